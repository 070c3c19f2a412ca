//! Handles the response to each kind of request.
use super::children_watch::MAX_CHILDREN;
use super::requests::PendingRequest;
use super::{Client, ClientEvent, Output};
use crate::proto::{Code, Response};
use larchway::MonotonicTime;
use std::collections::BTreeSet;

/// A response of the server, with the token of its request.
pub(super) struct ReceivedResponse {
    /// Token of the request.
    pub(super) token: u64,
    /// The last zxid that the server had seen.
    pub(super) zxid: i64,
    /// The result of the request, or the error of the server.
    pub(super) body: Result<Response, Code>,
}

impl Client {
    /// Handles the response to a request in flight.
    pub(super) fn handle_response(
        &mut self,
        now: MonotonicTime,
        pending: PendingRequest,
        response: ReceivedResponse,
        out: &mut Vec<Output>,
    ) {
        let ReceivedResponse { token, zxid, body } = response;
        match pending {
            PendingRequest::CreateParent(path) => handle_parent_created(path, body, out),
            PendingRequest::Register => self.handle_registration_response(body, out),
            PendingRequest::CheckOwnNode => self.handle_own_node_check(body, out),
            PendingRequest::SetOwnData => {
                if let Err(code) = body {
                    self.report_own_node_rejection(code, out);
                }
            }
            // If the server rejects the sync, no further one is sent on this connection.
            PendingRequest::Sync => {
                if body.is_ok() {
                    self.report_synced(now, out);
                }
            }
            PendingRequest::AddWatch(watch_index) => self.handle_watch_added(watch_index, body, out),
            PendingRequest::ListChildren(watch_index) => {
                self.handle_list_response(watch_index, zxid, body, out);
            }
            // The path was created after the list request and before this watch was set.
            PendingRequest::WatchPath(watch_index) => {
                if body.is_ok() {
                    self.list_children(watch_index);
                }
            }
            PendingRequest::ReadChild(watch_index, name) => {
                self.handle_child_response(watch_index, name, token, body, out);
            }
        }
    }

    fn handle_registration_response(&mut self, body: Result<Response, Code>, out: &mut Vec<Output>) {
        match body {
            Ok(_) => {
                self.registered = true;
                let path = self.own_path().unwrap_or_default();
                out.push(Output::Event(ClientEvent::Registered(path)));
            }
            // If this instance was killed and restarted, its previous node exists until that session expires.
            Err(Code::NodeExists) => self.check_own_node(),
            Err(code) => self.report_own_node_rejection(code, out),
        }
    }

    fn handle_own_node_check(&mut self, body: Result<Response, Code>, out: &mut Vec<Output>) {
        let path = self.own_path().unwrap_or_default();
        match body {
            Ok(Response::Stat(stat)) if stat.owner == self.session.id() => {
                if !std::mem::replace(&mut self.registered, true) {
                    out.push(Output::Event(ClientEvent::Registered(path)));
                }
            }
            Ok(_) => out.push(Output::Event(ClientEvent::StaleRegistration(path))),
            Err(Code::NoNode) => self.register(),
            Err(code) => self.report_own_node_rejection(code, out),
        }
    }

    fn report_own_node_rejection(&self, code: Code, out: &mut Vec<Output>) {
        let path = self.own_path().unwrap_or_default();
        out.push(Output::Event(ClientEvent::Rejected(path, code)));
    }

    /// A6: the server sends all changes before the `sync` ahead of this response, so every watch without outstanding
    /// reads is up to date.
    fn report_synced(&mut self, now: MonotonicTime, out: &mut Vec<Output>) {
        self.sync_due = Some(now + self.sync_interval);
        let requested_at = self.sync_requested_at;
        for (watch, children_watch) in self.watches.iter().enumerate() {
            if children_watch.is_current() {
                out.push(Output::Event(ClientEvent::Synced { watch, requested_at }));
            }
        }
    }

    fn handle_watch_added(
        &mut self,
        watch_index: usize,
        body: Result<Response, Code>,
        out: &mut Vec<Output>,
    ) {
        let watch = &mut self.watches[watch_index];
        if let Err(code) = body {
            if code != Code::Unimplemented {
                out.push(Output::Event(ClientEvent::Rejected(watch.path.clone(), code)));
            }
            watch.persistent = false;
        }
        self.list_children(watch_index);
    }

    fn handle_list_response(
        &mut self,
        watch_index: usize,
        zxid: i64,
        body: Result<Response, Code>,
        out: &mut Vec<Output>,
    ) {
        let watch = &mut self.watches[watch_index];
        watch.listing = false;
        match body {
            Ok(Response::Children(names, _)) => self.update_children(watch_index, zxid, names, out),
            Ok(_) => {}
            Err(Code::NoNode) => {
                self.handle_path_missing(watch_index, out);
                self.watch_missing_path(watch_index);
                if std::mem::take(&mut self.watches[watch_index].list_again) {
                    self.list_children(watch_index);
                }
            }
            Err(code) => out.push(Output::Event(ClientEvent::Rejected(watch.path.clone(), code))),
        }
    }

    fn handle_child_response(
        &mut self,
        watch_index: usize,
        name: String,
        token: u64,
        body: Result<Response, Code>,
        out: &mut Vec<Output>,
    ) {
        let watch = &mut self.watches[watch_index];
        // The response is outdated if a later read of the child was sent or the child was deleted.
        if watch.reading.get(&name) != Some(&token) {
            return;
        }
        watch.reading.remove(&name);
        match body {
            Ok(Response::Data(data, stat)) => {
                let event = if watch.try_insert(&name) {
                    ClientEvent::ChildChanged { watch: watch_index, name, data, stat }
                } else {
                    ClientEvent::TooManyChildren { watch: watch_index }
                };
                out.push(Output::Event(event));
            }
            Err(Code::NoNode) => {
                if watch.children.remove(&name) {
                    out.push(Output::Event(ClientEvent::ChildRemoved { watch: watch_index, name }));
                }
            }
            Err(code) => {
                let path = format!("{}/{name}", watch.path);
                out.push(Output::Event(ClientEvent::Rejected(path, code)));
            }
            Ok(_) => {}
        }
        self.report_if_complete(watch_index, out);
    }

    fn update_children(&mut self, watch_index: usize, zxid: i64, names: Vec<String>, out: &mut Vec<Output>) {
        let watch = &mut self.watches[watch_index];
        watch.listing = false;
        watch.list_zxid = Some(zxid);
        if names.len() > MAX_CHILDREN {
            out.push(Output::Event(ClientEvent::TooManyChildren { watch: watch_index }));
        }
        let names: BTreeSet<String> = names.into_iter().take(MAX_CHILDREN).collect();
        for name in watch.children.difference(&names).cloned().collect::<Vec<_>>() {
            watch.children.remove(&name);
            out.push(Output::Event(ClientEvent::ChildRemoved { watch: watch_index, name }));
        }
        // A cached child that was read on this connection is still watched and needs no new read.
        let reread_all = std::mem::take(&mut watch.reread_all);
        for name in names {
            if reread_all || !watch.children.contains(&name) {
                watch.enqueue_read(&name);
            }
        }
        if std::mem::take(&mut watch.list_again) {
            self.list_children(watch_index);
        }
        self.report_if_complete(watch_index, out);
    }

    pub(super) fn report_if_complete(&mut self, watch_index: usize, out: &mut Vec<Output>) {
        let watch = &mut self.watches[watch_index];
        if watch.listing || !watch.has_no_reads() {
            return;
        }
        if let Some(zxid) = watch.list_zxid.take() {
            out.push(Output::Event(ClientEvent::Complete {
                watch: watch_index,
                zxid,
                children: watch.children.len(),
            }));
        }
    }

    /// Removes all cached children because the watched path does not exist.
    pub(super) fn handle_path_missing(&mut self, watch_index: usize, out: &mut Vec<Output>) {
        let watch = &mut self.watches[watch_index];
        watch.read_queue.clear();
        watch.queued.clear();
        watch.list_zxid = None;
        for name in std::mem::take(&mut watch.children) {
            out.push(Output::Event(ClientEvent::ChildRemoved { watch: watch_index, name }));
        }
        out.push(Output::Event(ClientEvent::PathMissing { watch: watch_index }));
    }
}

/// Reports a failure to create a parent node. `NodeExists` is no failure: other instances share the parents.
fn handle_parent_created(path: String, body: Result<Response, Code>, out: &mut Vec<Output>) {
    match body {
        Ok(_) | Err(Code::NodeExists) => {}
        Err(code) => out.push(Output::Event(ClientEvent::Rejected(path, code))),
    }
}
