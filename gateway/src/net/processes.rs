//! The gateway's other processes during an upgrade: handover of state, and division of the limits.
use super::poll_key::PollKey;
use super::Gateway;
use crate::clock;
use crate::core::LearnedState;
use crate::upgrade::{Discovery, ProcessState, ReadFrames, ReceivedFrame, Upgrade};
use larchway::MonotonicTime;
use larchway_operations::handover::{Frame, HandoverState, ProcessStatus, StoreWork};
use larchway_operations::manual_ejection;
use polling::{Event, PollMode};
use std::collections::BTreeMap;
use std::path::Path;
use tracing::{error, info};

impl Gateway {
    /// Finds the gateway's other processes. Returns their first frames, for [`Gateway::take_over_state`].
    pub(super) fn find_other_processes(&mut self, folder: &Path, name: &str) -> Vec<ReceivedFrame> {
        let Discovery { upgrade, saved_ejections, frames } = match Upgrade::discover(folder, name) {
            Ok(found) => found,
            Err(why) => {
                error!(error = %why, "no other process of this gateway can be found");
                return Vec::new();
            }
        };
        let polled = self.poller.add_with_mode(
            &upgrade.listener,
            Event::readable(PollKey::UpgradeListener.into()),
            PollMode::Level,
        );
        if let Err(error) = polled {
            error!(%error, "cannot poll the listener of other processes");
        }
        for place in upgrade.places() {
            self.processes.joined(place);
            if let Some(stream) = upgrade.stream(place) {
                let interest = Event::readable(PollKey::Process(place).into());
                if let Err(error) = self.poller.add_with_mode(stream, interest, PollMode::Level) {
                    error!(%error, "cannot poll a connection");
                }
            }
        }
        self.upgrade = Some(upgrade);
        self.apply_ejection_input(clock::now(), manual_ejection::Input::Records(saved_ejections));
        frames
    }

    /// Handles the frames that the others sent at the start. Learned state is taken over from one process only: one
    /// that is not stopping if there is one, since it knows most.
    pub(super) fn take_over_state(&mut self, now: MonotonicTime, frames: Vec<ReceivedFrame>) {
        let is_serving = |place: usize| {
            let mut own_frames = frames.iter().filter(|received| received.place == place);
            let status = own_frames.find(|received| matches!(received.frame, Frame::Status(_)));
            let status = status.map(|received| &received.frame);
            matches!(status, Some(Frame::Status(ProcessStatus { stopping: false, .. })))
        };
        let places = frames.iter().map(|received| received.place);
        let serving_by_place = places.map(|place| (place, is_serving(place))).collect::<BTreeMap<_, _>>();
        let serving_place =
            serving_by_place.iter().max_by_key(|(_, is_serving)| **is_serving).map(|(place, _)| *place);
        for ReceivedFrame { place, frame } in frames {
            match frame {
                Frame::State(state) if Some(place) == serving_place => {
                    let (classes, stores) = (state.classes.len(), state.stores.len());
                    info!(classes, stores, "takes over what another process has learned");
                    self.take_over_starts(now, state.learned.listed_starts());
                    self.core.take_over(&state.classes, state.learned);
                    self.apply_ejection_input(now, manual_ejection::Input::PeerEndpoints(state.stores));
                }
                Frame::State(_) => {}
                frame => self.handle_frame(now, place, frame),
            }
        }
        self.share_limits();
    }

    /// Accepts connections of other processes of the gateway and reads their first frames.
    pub(super) fn accept_process(&mut self, now: MonotonicTime) {
        while let Some(upgrade) = &mut self.upgrade {
            let place = match upgrade.accept() {
                Ok(Some(place)) => place,
                Ok(None) => return,
                Err(e) => return self.pause_accepting(now, &e),
            };
            let stream = self.upgrade.as_ref().and_then(|u| u.stream(place));
            let interest = Event::readable(PollKey::Process(place).into());
            if let Some(Err(error)) = stream.map(|s| self.poller.add_with_mode(s, interest, PollMode::Level))
            {
                error!(%error, "cannot poll a connection");
            }
            self.read_process(now, place);
        }
    }

    /// Reads and handles the frames of another process of the gateway.
    pub(super) fn read_process(&mut self, now: MonotonicTime, place: usize) {
        let Some(upgrade) = &mut self.upgrade else { return };
        let Some(ReadFrames { frames, liveness }) = upgrade.read_frames(place) else { return };
        for frame in frames {
            self.handle_frame(now, place, frame);
        }
        // Determined only now: a frame may have been answered with more than the socket accepts at once.
        let state = self.upgrade.as_mut().and_then(|upgrade| upgrade.finish_read(place, liveness));
        self.apply_process_change(place, state);
    }

    /// Handles one frame of another process of the gateway.
    pub(super) fn handle_frame(&mut self, now: MonotonicTime, place: usize, frame: Frame) {
        match frame {
            Frame::Hello { name } => {
                info!(name, "another process of this gateway has started");
                self.processes.joined(place);
                self.share_limits();
                self.sent_work_reported_until = now;
                let LearnedState { classes, learned } = self.core.learned(now);
                let stores = self.manual_ejections.endpoints().collect();
                let state = HandoverState { classes, learned, stores };
                for frame in [
                    self.status(),
                    Frame::EjectionRecords(self.manual_ejections.records().cloned().collect()),
                ] {
                    self.send_to_process(place, &frame);
                }
                self.send_to_process(place, &Frame::State(Box::new(state)));
            }
            Frame::EjectionRecords(records) => {
                self.apply_ejection_input(now, manual_ejection::Input::Records(records));
            }
            Frame::SlowStartWork(sent) => {
                let sent: Vec<_> = sent.into_iter().map(|sent| (sent.store, sent.work_micros)).collect();
                self.core.record_peer_sends(now, &sent);
            }
            Frame::Status(status) => self.processes.update_status(place, status),
            // State is taken over at the start only.
            Frame::State(_) => {}
        }
    }

    /// Reports to the other processes the work sent to warming stores: two processes that each use the full slow start
    /// budget would overload a store.
    pub(super) fn send_slow_start_counts(&mut self, now: MonotonicTime) {
        let sent = self.core.sent_after(now, self.sent_work_reported_until);
        self.sent_work_reported_until = now;
        if !sent.is_empty() {
            let sent = sent.into_iter().map(|(store, work_micros)| StoreWork { store, work_micros });
            self.send_to_processes(&Frame::SlowStartWork(sent.collect()));
        }
    }

    /// The status of this process: whether it accepts clients, and whether it was signalled to stop.
    fn status(&self) -> Frame {
        Frame::Status(ProcessStatus {
            serving: self.platform_listener.is_some(),
            stopping: self.is_stopping(),
        })
    }

    /// Sends the status of this process to the others.
    pub(super) fn send_status(&mut self) {
        let status = self.status();
        self.send_to_processes(&status);
    }

    /// Sends a frame to each of the gateway's other processes.
    pub(super) fn send_to_processes(&mut self, frame: &Frame) {
        for place in self.upgrade.as_ref().map(Upgrade::places).unwrap_or_default() {
            self.send_to_process(place, frame);
        }
    }

    /// Sends a frame to one of the gateway's other processes.
    fn send_to_process(&mut self, place: usize, frame: &Frame) {
        let state = self.upgrade.as_mut().and_then(|u| u.send(place, frame));
        self.apply_process_change(place, state);
    }

    /// Updates the events that another process is polled for, or removes one that has exited.
    fn apply_process_change(&mut self, place: usize, state: Option<ProcessState>) {
        match state {
            Some(ProcessState::Ended(stream)) => {
                // Dropping the socket ends polling too, so an error has no effect.
                let _ = self.poller.delete(&stream);
                info!("another process of this gateway has ended");
                self.processes.left(place);
                self.share_limits();
            }
            Some(ProcessState::Reading) => {
                self.poll_process(place, Event::readable(PollKey::Process(place).into()));
            }
            Some(ProcessState::Writing) => {
                self.poll_process(place, Event::all(PollKey::Process(place).into()));
            }
            None => {}
        }
    }

    /// Sets the events that another process is polled for.
    fn poll_process(&self, place: usize, interest: Event) {
        let stream = self.upgrade.as_ref().and_then(|upgrade| upgrade.stream(place));
        let polled = stream.map(|stream| self.poller.modify_with_mode(stream, interest, PollMode::Level));
        if let Some(Err(error)) = polled {
            error!(%error, "cannot poll a connection");
        }
    }
}
