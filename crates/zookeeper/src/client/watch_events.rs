//! Handles watch events of the server.
use super::{Client, ClientEvent, Output};
use crate::proto::{Event, EventKind};

impl Client {
    /// Handles a watch event: rereads the changed nodes of each affected watch, or removes deleted children.
    pub(super) fn handle_watch_event(&mut self, event: &Event, out: &mut Vec<Output>) {
        if event.kind == EventKind::Session {
            return;
        }
        if self.own_path().as_deref() == Some(&event.path) && event.kind == EventKind::Deleted {
            self.registered = false;
            self.register();
        }
        for watch_index in 0..self.watches.len() {
            let watch = &self.watches[watch_index];
            if watch.path == event.path {
                self.handle_path_event(watch_index, event.kind, out);
            } else if let Some(name) = watch.child_name(&event.path) {
                self.handle_child_event(watch_index, name, event.kind, out);
            }
        }
    }

    fn handle_path_event(&mut self, watch_index: usize, kind: EventKind, out: &mut Vec<Output>) {
        match kind {
            EventKind::Created | EventKind::ChildrenChanged => self.list_children(watch_index),
            EventKind::Deleted => {
                self.handle_path_missing(watch_index, out);
                self.watch_missing_path(watch_index);
            }
            // Without the watch no events arrive, so it is set again and the path reread.
            EventKind::PersistentWatchRemoved | EventKind::ChildWatchRemoved => self.add_watch(watch_index),
            EventKind::Session | EventKind::DataChanged | EventKind::DataWatchRemoved => {}
        }
    }

    fn handle_child_event(&mut self, watch_index: usize, name: &str, kind: EventKind, out: &mut Vec<Output>) {
        match kind {
            EventKind::Created | EventKind::DataChanged | EventKind::DataWatchRemoved => {
                self.watches[watch_index].enqueue_read(name);
            }
            EventKind::Deleted => {
                if self.watches[watch_index].remove(name) {
                    let name = name.to_string();
                    out.push(Output::Event(ClientEvent::ChildRemoved { watch: watch_index, name }));
                }
                self.report_if_complete(watch_index, out);
            }
            _ => {}
        }
    }
}
