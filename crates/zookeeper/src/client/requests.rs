//! The request queue: builds the requests for a new connection and sends them as the window allows.
use super::children_watch::ChildrenWatch;
use super::{Client, Output};
use crate::proto::{Acl, Mode, Request, Watch, WatchMode};
use crate::session;
use larchway::MonotonicTime;
use std::time::Duration;

/// The purpose of a queued or in-flight request; indexes refer to the watches of the client.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum PendingRequest {
    CreateParent(String),
    Register,
    CheckOwnNode,
    SetOwnData,
    Sync,
    AddWatch(usize),
    WatchPath(usize),
    ListChildren(usize),
    ReadChild(usize, String),
}

impl Client {
    pub(super) fn request_sync(&mut self) {
        self.sync_due = None;
        if let Some(watch) = self.watches.first() {
            self.request_queue.push_back((PendingRequest::Sync, Request::Sync(watch.path.clone())));
        }
    }

    pub(super) fn set_own_data(&mut self, data: Vec<u8>) {
        let Some(registration) = &mut self.registration else { return };
        if registration.data != data {
            registration.data = data.clone();
            if self.registered {
                let path = format!("{}/{}", registration.base, registration.name);
                self.request_queue.push_back((PendingRequest::SetOwnData, Request::SetData(path, data, -1)));
            }
        }
    }

    pub(super) fn discard_requests(&mut self) {
        self.in_flight.clear();
        self.sync_due = None;
        self.request_queue.clear();
        self.watches.iter_mut().for_each(ChildrenWatch::discard_requests);
    }

    pub(super) fn start_requests(&mut self, fresh: bool) {
        self.discard_requests();
        if let Some(registration) = &self.registration {
            if fresh {
                self.registered = false;
                let base_path = &registration.base;
                for (end, _) in base_path.match_indices('/').skip(1).chain([(base_path.len(), "")]) {
                    let parent_path = base_path[..end].to_string();
                    let request = self.create_request(&parent_path, Vec::new(), Mode::Persistent);
                    self.request_queue.push_back((PendingRequest::CreateParent(parent_path), request));
                }
                self.register();
            } else {
                self.check_own_node();
            }
        }
        if self.sync_interval > Duration::ZERO {
            self.request_sync();
        }
        for watch_index in 0..self.watches.len() {
            let watch = &mut self.watches[watch_index];
            (watch.persistent, watch.reread_all) = (true, true);
            self.add_watch(watch_index);
        }
    }

    pub(super) fn create_request(&self, path: &str, data: Vec<u8>, mode: Mode) -> Request {
        // Parent nodes are shared with other instances, so only the own node gets a restrictive ACL.
        let acl = if mode.ephemeral() { self.acl.clone() } else { Acl::open() };
        Request::Create { path: path.to_string(), data, acl, mode, stat: false }
    }

    pub(super) fn own_path(&self) -> Option<String> {
        self.registration.as_ref().map(|registration| format!("{}/{}", registration.base, registration.name))
    }

    pub(super) fn register(&mut self) {
        let (Some(path), Some(registration)) = (self.own_path(), &self.registration) else { return };
        let request = self.create_request(&path, registration.data.clone(), Mode::Ephemeral);
        self.request_queue.push_back((PendingRequest::Register, request));
    }

    pub(super) fn check_own_node(&mut self) {
        if let Some(path) = self.own_path() {
            self.request_queue
                .push_back((PendingRequest::CheckOwnNode, Request::Exists(path, Watch::OneTime)));
        }
    }

    pub(super) fn list_children(&mut self, watch_index: usize) {
        let watch = &mut self.watches[watch_index];
        if watch.listing {
            watch.list_again = true;
            return;
        }
        watch.listing = true;
        let path = watch.path.clone();
        // Servers without persistent watches are sent only the older requests.
        let request = if watch.persistent {
            Request::GetChildren2(path, Watch::None)
        } else {
            Request::GetChildren(path, Watch::OneTime)
        };
        self.request_queue.push_back((PendingRequest::ListChildren(watch_index), request));
    }

    /// Sends queued requests until the window is full.
    pub(super) fn send_queued(&mut self, now: MonotonicTime, out: &mut Vec<Output>) {
        while self.session.available_requests() > 0 {
            let next = self.request_queue.pop_front().or_else(|| self.next_child_read());
            let Some((pending, request)) = next else { return };
            self.last_token += 1;
            if let PendingRequest::ReadChild(watch_index, name) = &pending {
                self.watches[*watch_index].reading.insert(name.clone(), self.last_token);
            }
            if pending == PendingRequest::Sync {
                self.sync_requested_at = now;
            }
            self.in_flight.insert(self.last_token, pending);
            let mut outputs = Vec::new();
            self.session.handle(now, session::Input::Request(self.last_token, request), &mut outputs);
            for output in outputs {
                self.handle_session_output(now, output, out);
            }
        }
    }

    pub(super) fn next_child_read(&mut self) -> Option<(PendingRequest, Request)> {
        for (watch_index, watch) in self.watches.iter_mut().enumerate() {
            if let Some(name) = watch.read_queue.pop_front() {
                watch.queued.remove(&name);
                let one_time = if watch.persistent { Watch::None } else { Watch::OneTime };
                let request = Request::GetData(format!("{}/{name}", watch.path), one_time);
                return Some((PendingRequest::ReadChild(watch_index, name), request));
            }
        }
        None
    }

    /// On a server without persistent watches, sets a one-time watch that reports the creation of the path.
    pub(super) fn watch_missing_path(&mut self, watch_index: usize) {
        let watch = &self.watches[watch_index];
        if !watch.persistent {
            let request = Request::Exists(watch.path.clone(), Watch::OneTime);
            self.request_queue.push_back((PendingRequest::WatchPath(watch_index), request));
        }
    }

    /// Queues the request that sets the recursive watch on a path.
    pub(super) fn add_watch(&mut self, watch_index: usize) {
        let request = Request::AddWatch(self.watches[watch_index].path.clone(), WatchMode::Recursive);
        self.request_queue.push_back((PendingRequest::AddWatch(watch_index), request));
    }
}
