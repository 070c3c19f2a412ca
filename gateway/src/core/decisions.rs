//! The interface to the decision module: feeds it events, executes its actions and runs its timers.
use super::attempts::Attempt;
use super::messages::{Command, FailureCause};
use super::origin::FetchAdmission;
use super::Core;
use crate::deadlines::DeadlineKind;
use crate::slots::SlotKey;
use larchway::{Action, Event, Get, MonotonicTime, Note, Outcome, RequestState, Status};
use larchway_operations::RequestEnd;
use std::time::Duration;

/// Placeholder in a request's list for an attempt that the shield refused, which never had a slot.
const NO_ATTEMPT: SlotKey = SlotKey(u64::MAX);

impl Core {
    /// Handles an expired deadline of a request, an attempt or the module; ignores the deadlines of connections.
    pub fn handle_deadline(&mut self, now: MonotonicTime, due: DeadlineKind) {
        match due {
            DeadlineKind::Module(mark) => self.handle_event(now, Event::Timer(mark)),
            DeadlineKind::Attempt(key) => self.withdraw(now, key, Status::Timeout),
            DeadlineKind::Dispatch(key) => self.commands.push_back(Command::SendAttempt(key)),
            DeadlineKind::Request(key) => self.expire_request(now, key),
            _ => {}
        }
    }

    /// Handles the deadline of a request: its attempts time out, and without a reply by then it fails.
    fn expire_request(&mut self, now: MonotonicTime, key: SlotKey) {
        let Some(open) = self.requests.get(key).filter(|open| !open.answered) else { return };
        let (ends_with_process, attempts) = (open.ends_with_process, open.attempts.clone());
        // Fails it first: the module does not know that the process ends, and would begin another attempt.
        if ends_with_process {
            self.fail_overdue(now, key);
        }
        for attempt in attempts {
            self.withdraw(now, attempt, Status::Timeout);
        }
        self.fail_overdue(now, key);
    }

    /// Passes an event to the module, and executes its actions until they cause no further event.
    pub(super) fn handle_event(&mut self, now: MonotonicTime, event: Event) {
        self.events.push_back(event);
        let mut actions = std::mem::take(&mut self.actions);
        while let Some(event) = self.events.pop_front() {
            self.router.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.execute(now, action);
            }
        }
        self.actions = actions;
    }

    fn execute(&mut self, now: MonotonicTime, action: Action) {
        match action {
            Action::Get(get) => self.begin_attempt(now, get),
            Action::Refuse { id, retry_after } => {
                let reply = |reply_to| Command::ReplyRejected(reply_to, retry_after);
                self.answer(now, SlotKey(id), RequestEnd::Rejected, reply);
            }
            Action::Fail(id) => self.fail(now, SlotKey(id)),
            Action::Cancel { id, attempt } => {
                let open = self.requests.get(SlotKey(id));
                let key = open.and_then(|open| open.attempts.get(attempt as usize).copied());
                if let Some(key) = key {
                    self.cancel(now, key);
                }
            }
            Action::Timer { at, mark } => self.deadlines.set(at, DeadlineKind::Module(mark)),
            // The source of events sends changes without being polled.
            Action::Watch => {}
        }
    }

    /// Begins an attempt, unless the shield refuses the fetch that it needs.
    fn begin_attempt(&mut self, now: MonotonicTime, get: Get) {
        let request = SlotKey(get.id);
        let admission = self.admit_fetch(now, request, &get);
        let Some(open) = self.requests.get_mut(request) else { return };
        let number = open.attempts.len() as u64;
        let fetch = match admission {
            FetchAdmission::NotNeeded => None,
            FetchAdmission::Admitted(fetch) => Some(fetch),
            FetchAdmission::Refused => {
                open.attempts.push(NO_ATTEMPT);
                let outcome = Outcome { request: open.state(), ..refused_by_shield(request, number) };
                return self.events.push_back(Event::Outcome(outcome));
            }
        };
        let stop_at = get.stop_at.map(|at| at.min(open.deadline));
        let get = Get { stop_at, ..get };
        let key = self.attempts.insert(Attempt::new(now, request, number, get, fetch));
        self.unsent_attempts.insert(key);
        open.attempts.push(key);
        open.running_attempts += 1;
        if let Some(at) = stop_at {
            self.deadlines.set(at, DeadlineKind::Attempt(key));
        }
        self.commands.push_back(Command::SendAttempt(key));
    }

    /// Fails a request that the module has given up.
    fn fail(&mut self, now: MonotonicTime, request: SlotKey) {
        let late = self.requests.get(request).is_some_and(|open| now >= open.deadline);
        let cause = if late { FailureCause::DeadlineExceeded } else { FailureCause::Unserved };
        self.answer(now, request, RequestEnd::Failed, |reply_to| Command::ReplyFailed(reply_to, cause));
    }
}

/// The outcome of an attempt that the shield refused while its request is open. The module decides again at once: it
/// had decided on the attempt before the shield was asked for admission.
fn refused_by_shield(request: SlotKey, attempt: u64) -> Outcome {
    Outcome {
        id: request.0,
        attempt,
        status: Status::Full,
        latency: Duration::ZERO,
        request: RequestState::Open,
        note: Note::NoFillSlot,
        waited: Duration::ZERO,
        load: Vec::new(),
    }
}
