//! Saves the files of the event loop in the background, and defers the replies to operators' calls until the effect
//! of a call is durable.
use crate::console::{CallNumber, Reply};
use crate::durable_file::writer::{DurableWriter, Progress};
use crate::durable_file::{DurableFile, SystemStorage};
use larchway::MonotonicTime;
use larchway_operations::manual_ejection::{EjectionAction, EjectionOutcome};
use std::io;
use std::os::unix::net::UnixStream;
use std::time::Duration;

/// Time after which an operator gets a reply although the effect of the call is not durable: half of the second
/// within which a reply is due.
const MAX_REPLY_DELAY: Duration = Duration::from_millis(500);
/// Time for which the process waits at its end for files that are not durable yet.
const FINISH_TIMEOUT: Duration = Duration::from_millis(300);

/// A manual ejection or restoration that is in force in this process and is being saved.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EjectionCall {
    /// The id of the store.
    pub store: String,
    /// Whether the store was ejected or restored.
    pub action: EjectionAction,
}

/// A reply that is deferred until a file is durable.
struct DeferredReply {
    call: CallNumber,
    ejection: EjectionCall,
    file: DurableFile,
    /// When it is sent in any case.
    deadline: MonotonicTime,
}

/// A reply that can be sent now.
#[derive(Debug)]
pub struct ReadyReply {
    /// The call that is replied to.
    pub call: CallNumber,
    /// The reply.
    pub reply: Reply,
}

impl DeferredReply {
    /// The reply, if the file is durable or the deadline has passed.
    fn ready(&self, now: MonotonicTime, writer: &DurableWriter) -> Option<ReadyReply> {
        let unsaved_reason = match writer.progress(&self.file) {
            Progress::Durable => None,
            _ if now < self.deadline => return None,
            Progress::Waiting => Some("it is still being written".to_string()),
            Progress::Failing(reason) => Some(reason),
        };
        let EjectionCall { store, action } = &self.ejection;
        let reply = Reply::ejection(store, *action, EjectionOutcome::Applied, unsaved_reason.as_deref());
        Some(ReadyReply { call: self.call, reply })
    }
}

/// The files that the event loop saves.
pub struct StateSaver {
    writer: DurableWriter,
    /// Becomes readable when a save has succeeded or failed.
    finished: UnixStream,
    /// At most one for each operator connection.
    deferred: Vec<DeferredReply>,
}

impl StateSaver {
    /// Starts the thread that writes the files.
    pub fn start() -> io::Result<Self> {
        let (finished, notify) = UnixStream::pair()?;
        finished.set_nonblocking(true)?;
        let writer = DurableWriter::start(Box::new(SystemStorage), notify)?;
        Ok(StateSaver { writer, finished, deferred: Vec::new() })
    }

    /// The stream to be polled for reading; drain it before [`StateSaver::ready_replies`].
    pub fn finished(&self) -> &UnixStream {
        &self.finished
    }

    /// Saves the content of a file in the background.
    pub fn save(&self, file: DurableFile, content: Vec<u8>) {
        self.writer.save(file, content);
    }

    /// Whether the newest content of a file is on stable storage.
    pub fn is_durable(&self, file: &DurableFile) -> bool {
        self.writer.progress(file) == Progress::Durable
    }

    /// The number of files whose newest content is not on stable storage.
    pub fn unsaved(&self) -> usize {
        self.writer.unsaved()
    }

    /// Defers the reply to a call until a file is durable, for at most half a second.
    pub fn defer_reply(
        &mut self,
        now: MonotonicTime,
        call: CallNumber,
        ejection: EjectionCall,
        file: DurableFile,
    ) {
        self.deferred.push(DeferredReply { call, ejection, file, deadline: now + MAX_REPLY_DELAY });
    }

    /// When the next deferred reply must be sent although its file is not durable.
    pub fn next_due(&self) -> Option<MonotonicTime> {
        self.deferred.iter().map(|reply| reply.deadline).min()
    }

    /// Removes and returns the replies whose file is durable or whose deadline has passed.
    pub fn ready_replies(&mut self, now: MonotonicTime) -> Vec<ReadyReply> {
        let mut ready = Vec::new();
        let writer = &self.writer;
        self.deferred.retain(|deferred| match deferred.ready(now, writer) {
            Some(reply) => {
                ready.push(reply);
                false
            }
            None => true,
        });
        ready
    }

    /// Waits for the files that are not durable, up to 300 ms, at the end of the process. Returns the number of files
    /// that are still not durable.
    pub fn finish(&self) -> usize {
        self.writer.finish(FINISH_TIMEOUT)
    }
}
