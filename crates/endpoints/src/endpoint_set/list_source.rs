//! Inputs of the endpoint list.
use super::process::UnreportedStart;
use super::record::ListRecord;
use super::EndpointSet;
use crate::endpoint::Endpoint;
use crate::input::ListScope;
use crate::output::Output;
use larchway::{MonotonicTime, ServerId, State};
use std::collections::BTreeSet;

impl EndpointSet {
    pub(super) fn list_heartbeat(&mut self, now: MonotonicTime, outputs: &mut Vec<Output>) {
        self.last_list_heartbeat = self.last_list_heartbeat.max(now);
        self.review_departed(now, outputs);
    }

    pub(super) fn update_list(
        &mut self,
        now: MonotonicTime,
        scope: ListScope,
        endpoints: Vec<Endpoint>,
        outputs: &mut Vec<Output>,
    ) {
        self.last_list_heartbeat = self.last_list_heartbeat.max(now);
        self.list.connected = true;
        let mut touched = Vec::new();
        if scope.is_complete() {
            touched = self.remove_unlisted(now, &endpoints);
            let first = !std::mem::replace(&mut self.list.ready, true);
            // Until the list was read it counted for nothing; now it counts for all.
            if first {
                touched = self.records.keys().copied().collect();
            }
        }
        // A complete list names endpoints that have been running for long.
        let unreported_start = match scope {
            ListScope::Complete => UnreportedStart::LongAgo,
            ListScope::Changes => UnreportedStart::Now,
        };
        for endpoint in endpoints {
            touched.extend(self.update_listed(now, endpoint, unreported_start, outputs));
        }
        for id in touched {
            self.review(now, id, outputs);
        }
        self.review_departed(now, outputs);
    }

    /// Marks the endpoints that a complete list no longer names, and returns them.
    fn remove_unlisted(&mut self, now: MonotonicTime, endpoints: &[Endpoint]) -> Vec<ServerId> {
        let listed: BTreeSet<ServerId> = endpoints.iter().map(|endpoint| endpoint.host.server).collect();
        let mut removed = Vec::new();
        for (&id, record) in &mut self.records {
            if record.list.is_listed() && !listed.contains(&id) {
                record.list = ListRecord::Removed { at: now };
                removed.push(id);
            }
        }
        removed
    }

    /// Applies one endpoint of the list; returns it if its record has to be reviewed.
    fn update_listed(
        &mut self,
        now: MonotonicTime,
        endpoint: Endpoint,
        unreported_start: UnreportedStart,
        outputs: &mut Vec<Output>,
    ) -> Option<ServerId> {
        let id = endpoint.host.server;
        if endpoint.host.state == State::Removed {
            self.records.get_mut(&id)?.list = ListRecord::Removed { at: now };
            return Some(id);
        }
        let record = self.register(now, &endpoint, None, unreported_start, outputs)?;
        match &mut record.list {
            ListRecord::Listed { endpoint: known, .. } if *known == endpoint => {}
            list => *list = ListRecord::Listed { changed_at: now, endpoint },
        }
        Some(id)
    }
}
