//! Files saved by the worker, and the operators' calls that are answered when such a file is durable.
use super::errors::ConfigurationError;
use super::poll_key::PollKey;
use super::Gateway;
use crate::console::{self, CallerChange};
use crate::deadlines::DeadlineKind;
use crate::durable_file::DurableFile;
use crate::sockets::drain;
use crate::state_saver::{EjectionCall, ReadyReply, StateSaver};
use larchway::MonotonicTime;
use polling::{Event, PollMode};
use std::io;
use tracing::error;

impl Gateway {
    /// Defers the reply to a caller of the console until the change that it requested is durable.
    pub(super) fn defer_answer(
        &mut self,
        now: MonotonicTime,
        place: usize,
        ejection: EjectionCall,
        file: DurableFile,
    ) -> Option<console::CallerState> {
        let call = self.console.as_mut()?.defer(place)?;
        self.saver.as_mut()?.defer_reply(now, call, ejection, file);
        self.schedule_saver();
        Some(console::CallerState::Deferred)
    }

    /// Answers the deferred calls whose files are durable or whose time-out has expired.
    pub(super) fn answer_deferred_calls(&mut self, now: MonotonicTime) {
        let ready = self.saver.as_mut().map(|saver| saver.ready_replies(now)).unwrap_or_default();
        // Without a reply the console's deadline must not be rescheduled: that would cancel the pending retry of an
        // address that could not be bound.
        if !ready.is_empty() {
            self.answer_calls(now, ready);
        }
        self.schedule_saver();
    }

    /// Sends replies to the callers that are still connected.
    fn answer_calls(&mut self, now: MonotonicTime, replies: Vec<ReadyReply>) {
        for ReadyReply { call, reply } in replies {
            let answered = self.console.as_mut().and_then(|c| c.answer_deferred(now, call, &reply));
            if let Some(CallerChange { place, state }) = answered {
                self.apply_console_state(place, state);
            }
        }
        self.schedule_console(None);
    }

    /// Schedules the time-out of the deferred calls.
    fn schedule_saver(&mut self) {
        let due = self.saver.as_ref().and_then(StateSaver::next_due);
        self.core.deadlines.reschedule(&mut self.saver_deadline, due, DeadlineKind::DeferredReplies);
    }

    /// Starts the worker that saves files, if it is needed and not running yet.
    pub(super) fn start_saver(&mut self, needed: bool) -> Result<(), ConfigurationError> {
        if !needed || self.saver.is_some() {
            return Ok(());
        }
        let start = || -> io::Result<StateSaver> {
            let saver = StateSaver::start()?;
            self.poller.add_with_mode(
                saver.finished(),
                Event::readable(PollKey::SaveFinished.into()),
                PollMode::Level,
            )?;
            Ok(saver)
        };
        self.saver = Some(start().map_err(ConfigurationError::StartWriter)?);
        Ok(())
    }

    /// Handles a notification of the worker: answers the operators whose files are durable now.
    pub(super) fn handle_finished_saves(&mut self, now: MonotonicTime) {
        if let Some(saver) = &self.saver {
            drain(saver.finished());
        }
        self.answer_deferred_calls(now);
    }

    /// Waits briefly for unsaved files at the end of the process, and logs how many could not be written.
    pub(super) fn finish_saves(&self) {
        let unsaved = self.saver.as_ref().map_or(0, StateSaver::finish);
        if unsaved > 0 {
            error!(files = unsaved, "ends with files that are not written");
        }
    }

    /// Passes a file's new content to the worker that saves files, if there is one.
    pub(super) fn save(&self, file: DurableFile, content: Vec<u8>) {
        if let Some(saver) = &self.saver {
            saver.save(file, content);
        }
    }

    /// The file of the manual ejection records if its newest content is not durable yet.
    pub(super) fn unsaved_ejections(&self) -> Option<DurableFile> {
        let file = self.upgrade.as_ref()?.ejections_file();
        let durable = self.saver.as_ref()?.is_durable(file);
        (!durable).then(|| file.clone())
    }
}
