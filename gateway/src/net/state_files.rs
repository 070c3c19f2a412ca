//! Files that a worker writes, and the operators' calls that are answered once such a file is durable.
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
    /// Leaves the caller at a place without an answer until what its call changed is durable.
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

    /// Answers the operators whose calls are durable or have waited long enough.
    pub(super) fn answer_deferred_calls(&mut self, now: MonotonicTime) {
        let ready = self.saver.as_mut().map(|saver| saver.ready_replies(now)).unwrap_or_default();
        // Danger: without a caller there is nothing to look at anew, and an address of the console that was not free is
        // tried again by the deadline that stands.
        if !ready.is_empty() {
            self.answer_calls(now, ready);
        }
        self.schedule_saver();
    }

    /// Answers operators, as far as they are still there.
    fn answer_calls(&mut self, now: MonotonicTime, replies: Vec<ReadyReply>) {
        for ReadyReply { call, reply } in replies {
            let answered = self.console.as_mut().and_then(|c| c.answer_deferred(now, call, &reply));
            if let Some(CallerChange { place, state }) = answered {
                self.apply_console_state(place, state);
            }
        }
        self.schedule_console(None);
    }

    /// Sets when an operator is owed an answer.
    fn schedule_saver(&mut self) {
        let due = self.saver.as_ref().and_then(StateSaver::next_due);
        self.core.deadlines.reschedule(&mut self.saver_deadline, due, DeadlineKind::DeferredReplies);
    }

    /// Starts the worker that saves files, where one is needed and none runs.
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

    /// The worker that saves files has finished: operators who waited for it are answered.
    pub(super) fn handle_finished_saves(&mut self, now: MonotonicTime) {
        if let Some(saver) = &self.saver {
            drain(saver.finished());
        }
        self.answer_deferred_calls(now);
    }

    /// Gives what is not durable a last moment.
    pub(super) fn finish_saves(&self) {
        let unsaved = self.saver.as_ref().map_or(0, StateSaver::finish);
        if unsaved > 0 {
            error!(files = unsaved, "ends with files that are not written");
        }
    }

    /// Hands a file to the worker that saves files.
    pub(super) fn save(&self, file: DurableFile, content: Vec<u8>) {
        if let Some(saver) = &self.saver {
            saver.save(file, content);
        }
    }

    /// The file of the operators' ejection records while its newest content is not durable.
    pub(super) fn unsaved_ejections(&self) -> Option<DurableFile> {
        let file = self.upgrade.as_ref()?.ejections_file();
        let durable = self.saver.as_ref()?.is_durable(file);
        (!durable).then(|| file.clone())
    }
}
