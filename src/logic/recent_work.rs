//! Work recently sent to a server, as counted by the slow start budgets.
use crate::statistics::SlidingSum;
use crate::time::MonotonicTime;
use std::collections::VecDeque;
use std::time::Duration;

/// A share of a request without a stated size: a source counts only part of a request that may not reach it.
#[derive(Debug, Clone, Copy)]
struct UnsizedShare {
    class: usize,
    /// Share of the request's work, from 0 to 1.
    share: f64,
    /// Whether it has been answered.
    is_answered: bool,
}

/// A request, or a share of one, sent to the server.
#[derive(Debug, Clone, Copy)]
struct SentRequest {
    at: MonotonicTime,
    /// Work in microseconds, as estimated when it was sent.
    work: f64,
    /// None if the client stated the size.
    unsized_share: Option<UnsizedShare>,
}

impl SentRequest {
    /// Its work in microseconds by the present estimates; `work_of` gives that of a request of a class. Short
    /// answers arrive first, so a request that is not yet answered counts with no less than when it was sent.
    fn work(&self, work_of: &impl Fn(usize) -> f64) -> f64 {
        let Some(UnsizedShare { class, share, is_answered }) = self.unsized_share else { return self.work };
        let work = share * work_of(class);
        if is_answered {
            work
        } else {
            work.max(self.work)
        }
    }
}

/// The requests recently sent to one server, in time order. An answered request counts with the estimate for
/// its class at the time the budget is read: with the estimate at sending time, the first requests of a class
/// would fill the budget for its whole span, even after their answers have shown them to be small.
#[derive(Debug, Clone, Default)]
pub(super) struct RecentWork(VecDeque<SentRequest>);

impl RecentWork {
    /// Adds a request with a stated size, as work in microseconds, and drops those older than the span.
    pub(super) fn add_sized(&mut self, work: f64, at: MonotonicTime, span: Duration) {
        self.add(SentRequest { at, work, unsized_share: None }, span);
    }

    /// Adds a share (from 0 to 1) of a request of a class without a stated size. `work` is the share's
    /// present estimate in microseconds.
    pub(super) fn add_unsized(
        &mut self,
        class: usize,
        share: f64,
        work: f64,
        at: MonotonicTime,
        span: Duration,
    ) {
        let unsized_share = Some(UnsizedShare { class, share, is_answered: false });
        self.add(SentRequest { at, work, unsized_share }, span);
    }

    fn add(&mut self, sent: SentRequest, span: Duration) {
        while self.0.front().is_some_and(|earlier| earlier.at + span < sent.at) {
            self.0.pop_front();
        }
        self.0.push_back(sent);
    }

    /// Marks a request of a class that was sent at this time as answered.
    pub(super) fn answer(&mut self, class: usize, at: MonotonicTime) {
        let first = self.0.partition_point(|sent| sent.at < at);
        let sent_then = self.0.range_mut(first..).take_while(|sent| sent.at == at);
        let mut parts = sent_then.filter_map(|sent| sent.unsized_share.as_mut());
        if let Some(part) = parts.find(|part| part.class == class && !part.is_answered) {
            part.is_answered = true;
        }
    }

    /// Work in microseconds sent in the span that ends at this time; `work_of` gives that of a request of a
    /// class.
    pub(super) fn sum(&self, at: MonotonicTime, span: Duration, work_of: impl Fn(usize) -> f64) -> f64 {
        self.0.iter().filter(|sent| sent.at + span >= at).map(|sent| sent.work(&work_of)).sum()
    }

    /// Work in microseconds sent after this time.
    pub(super) fn after(&self, at: MonotonicTime, work_of: impl Fn(usize) -> f64) -> f64 {
        self.0.iter().rev().take_while(|sent| sent.at > at).map(|sent| sent.work(&work_of)).sum()
    }

    /// The requests as amounts of work in microseconds without their classes, for another process of the
    /// router.
    pub(super) fn valued(&self, work_of: impl Fn(usize) -> f64) -> SlidingSum {
        self.0.iter().map(|sent| (sent.at, sent.work(&work_of))).collect()
    }

    /// Fixes the work of the requests of a class, whose slot is about to be taken by another class.
    pub(super) fn settle(&mut self, class: usize, work_of_class: f64) {
        for sent in &mut self.0 {
            if sent.unsized_share.is_some_and(|part| part.class == class) {
                sent.work = sent.work(&|_| work_of_class);
                sent.unsized_share = None;
            }
        }
    }
}
