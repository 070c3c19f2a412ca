//! Handles the events of the session with the ensemble, and of the watched nodes.
use super::instance::zone_of_node;
use super::lease_events::lease_inputs;
use super::watches::WatchKind;
use super::{Effect, Membership};
use crate::clock::wire::Arrival;
use larchway::MonotonicTime;
use larchway_endpoints::{format, Connectivity, Input, Source};
use larchway_zookeeper::client::{self, ClientEvent};
use tracing::{error, info, warn};

/// A node below a watched path, with the data read.
struct ReadNode {
    watch: usize,
    name: String,
    data: Vec<u8>,
    /// The id of the session that owns it; 0 if it is not ephemeral.
    owner: i64,
}

impl Membership {
    /// Passes an input to the client of the ensemble, and collects the effects.
    pub(super) fn handle_client_input(
        &mut self,
        now: MonotonicTime,
        input: client::Input<'_>,
        effects: &mut Vec<Effect>,
    ) {
        let mut outputs = Vec::new();
        self.client.handle(now, input, &mut outputs);
        for output in outputs {
            match output {
                client::Output::Connect(server) => {
                    if let Some(&address) = self.settings.servers.get(server) {
                        self.last_server = Some(address);
                        effects.push(Effect::Connect(address));
                    }
                }
                client::Output::Write(bytes) => effects.push(Effect::Write(bytes)),
                client::Output::Disconnect(reason) => effects.push(Effect::Close(reason)),
                client::Output::Event(event) => self.handle_client_event(now, event, effects),
            }
        }
    }

    fn handle_client_event(&mut self, now: MonotonicTime, event: ClientEvent, effects: &mut Vec<Effect>) {
        if self.settings.counts_gateways {
            let inputs = lease_inputs(&event, &self.watches, &self.own.name);
            effects.extend(inputs.into_iter().map(Effect::Lease));
        }
        match event {
            ClientEvent::ChildChanged { watch, name, data, stat } => {
                self.node_appeared(now, ReadNode { watch, name, data, owner: stat.owner }, effects);
            }
            ClientEvent::ChildRemoved { watch, name } => self.node_removed(now, watch, name, effects),
            ClientEvent::Complete { watch, .. } => self.nodes_read(now, watch, effects),
            session_event => self.session_changed(now, session_event, effects),
        }
    }

    /// Handles events of the session and of the own node.
    fn session_changed(&mut self, now: MonotonicTime, event: ClientEvent, effects: &mut Vec<Effect>) {
        match event {
            ClientEvent::SessionEstablished { timeout, fresh, .. } => {
                let kind = if fresh { "a session" } else { "the session" };
                info!(timeout_ms = timeout.as_millis(), "{kind} with the ensemble is granted");
                self.set_connectivity(now, Connectivity::Connected, effects);
            }
            ClientEvent::Suspended(reason) => {
                warn!(%reason, "the ensemble is lost");
                self.set_connectivity(now, Connectivity::Disconnected, effects);
            }
            ClientEvent::Expired => warn!("the session with the ensemble has expired"),
            ClientEvent::StateRolledBack => {
                error!("the ensemble was rolled back to an older state: its data are not trusted for now");
                self.handle_endpoint_input(now, Input::Rewound, effects);
            }
            ClientEvent::Registered(path) => info!(%path, "registered"),
            ClientEvent::StaleRegistration(path) => {
                info!(%path, "a registration of an earlier process still exists: waiting until it expires");
            }
            ClientEvent::Rejected(what, code) => {
                error!(request = %what, ?code, "the ensemble rejected a request");
            }
            ClientEvent::PathMissing { watch } => {
                error!(path = %self.watches.path(watch), "a watched path does not exist in the ensemble");
            }
            ClientEvent::TooManyChildren { watch } => {
                error!(path = %self.watches.path(watch), "a watched path has too many children: some are ignored");
            }
            ClientEvent::Closed
            | ClientEvent::Synced { .. }
            | ClientEvent::ChildChanged { .. }
            | ClientEvent::ChildRemoved { .. }
            | ClientEvent::Complete { .. } => {}
        }
    }

    /// Handles a node below a watched path that has appeared, or whose data have changed.
    fn node_appeared(&mut self, now: MonotonicTime, node: ReadNode, effects: &mut Vec<Effect>) {
        match self.watches.kind(node.watch) {
            WatchKind::Stores => {
                let input = self.store_input(now, node);
                self.handle_endpoint_input(now, input, effects);
            }
            WatchKind::HierarchyChanges => {
                let path = self.node_path(&node);
                effects.push(Effect::HierarchyChange { node: path, data: node.data });
            }
            WatchKind::Gateways => {
                // A gateway without a readable zone is counted in the own zone. A count that is too high is safe: it
                // makes the share of each gateway smaller.
                let zone = zone_of_node(&node.data).unwrap_or(self.own.zone);
                let input = Input::GatewayAppeared { node: node.name, zone };
                self.handle_endpoint_input(now, input, effects);
            }
        }
    }

    /// The input that the node of a store makes for the endpoint set.
    fn store_input(&mut self, now: MonotonicTime, node: ReadNode) -> Input {
        match format::parse(&node.data, &self.known_names, &self.settings.node_defaults) {
            Ok(listed) => {
                let arrival = if self.stores_read { Arrival::Live } else { Arrival::Initial };
                let endpoint = self.wire_times.endpoint(now, listed, arrival);
                Input::NodeAppeared { node: node.name, endpoint, session: node.owner }
            }
            Err(error) => Input::NodeUnreadable { node: self.node_path(&node), error },
        }
    }

    fn node_path(&self, node: &ReadNode) -> String {
        format!("{}/{}", self.watches.path(node.watch), node.name)
    }

    /// Handles the deletion of a node below a watched path. A deleted change of the hierarchy stays in force, since a
    /// change is reverted by another one.
    fn node_removed(&mut self, now: MonotonicTime, watch: usize, name: String, effects: &mut Vec<Effect>) {
        let input = match self.watches.kind(watch) {
            WatchKind::HierarchyChanges => return,
            WatchKind::Stores => Input::NodeGone(name),
            WatchKind::Gateways => Input::GatewayGone(name),
        };
        self.handle_endpoint_input(now, input, effects);
    }

    /// Handles that all nodes below a watched path have been read.
    fn nodes_read(&mut self, now: MonotonicTime, watch: usize, effects: &mut Vec<Effect>) {
        let input = match self.watches.kind(watch) {
            WatchKind::HierarchyChanges => return,
            WatchKind::Stores => {
                self.stores_read = true;
                Input::NodesComplete
            }
            WatchKind::Gateways => Input::GatewaysComplete,
        };
        self.handle_endpoint_input(now, input, effects);
    }

    /// Records whether the session has a connection.
    pub(super) fn set_connectivity(
        &mut self,
        now: MonotonicTime,
        connectivity: Connectivity,
        effects: &mut Vec<Effect>,
    ) {
        let connected = connectivity == Connectivity::Connected;
        if std::mem::replace(&mut self.connected, connected) != connected {
            self.handle_endpoint_input(now, Input::Connection(Source::Nodes, connectivity), effects);
        }
    }
}
