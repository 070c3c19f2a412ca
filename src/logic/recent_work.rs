//! Work that was sent to a server of late, as the budgets of slow start count it.
use crate::statistics::SlidingSum;
use crate::time::MonotonicTime;
use std::collections::VecDeque;
use std::time::Duration;

/// A part of a request whose client stated no size: a fill may not reach its source.
#[derive(Debug, Clone, Copy)]
struct UnsizedPart {
    class: usize,
    /// From 0 to 1.
    part: f64,
    /// Whether it has been answered.
    is_answered: bool,
}

/// One request, or a part of one.
#[derive(Debug, Clone, Copy)]
struct SentRequest {
    at: MonotonicTime,
    /// Microseconds that it counted for when it was sent.
    work: f64,
    /// None where its client stated its size.
    unsized_part: Option<UnsizedPart>,
}

impl SentRequest {
    /// Microseconds that it counts for now; `work_of`: those of a request of a class. Danger: of those in
    /// flight the short ones are answered first, so one that is not answered counts for no less than before.
    fn work(&self, work_of: &impl Fn(usize) -> f64) -> f64 {
        let Some(UnsizedPart { class, part, is_answered }) = self.unsized_part else { return self.work };
        let work = part * work_of(class);
        if is_answered {
            work
        } else {
            work.max(self.work)
        }
    }
}

/// What was sent to one server, in the order of time. Harm: by what they counted for when they were sent,
/// the first requests of a class fill a budget for its whole span after their answers have shown them to be
/// small. So an answered request counts for what its class is known to take when the budget is read.
#[derive(Debug, Clone, Default)]
pub(super) struct RecentWork(VecDeque<SentRequest>);

impl RecentWork {
    /// Adds a request whose size is stated, in microseconds, and drops what is older than the span.
    pub(super) fn add_sized(&mut self, work: f64, at: MonotonicTime, span: Duration) {
        self.add(SentRequest { at, work, unsized_part: None }, span);
    }

    /// Adds a part of a request of a class, from 0 to 1, which counts for so many microseconds now.
    pub(super) fn add_unsized(
        &mut self,
        class: usize,
        part: f64,
        work: f64,
        at: MonotonicTime,
        span: Duration,
    ) {
        let unsized_part = Some(UnsizedPart { class, part, is_answered: false });
        self.add(SentRequest { at, work, unsized_part }, span);
    }

    fn add(&mut self, sent: SentRequest, span: Duration) {
        while self.0.front().is_some_and(|earlier| earlier.at + span < sent.at) {
            self.0.pop_front();
        }
        self.0.push_back(sent);
    }

    /// A request of a class that was sent at this time has been answered.
    pub(super) fn answer(&mut self, class: usize, at: MonotonicTime) {
        let first = self.0.partition_point(|sent| sent.at < at);
        let sent_then = self.0.range_mut(first..).take_while(|sent| sent.at == at);
        let mut parts = sent_then.filter_map(|sent| sent.unsized_part.as_mut());
        if let Some(part) = parts.find(|part| part.class == class && !part.is_answered) {
            part.is_answered = true;
        }
    }

    /// Microseconds sent in the span that ends at this time; `work_of`: those of a request of a class.
    pub(super) fn sum(&self, at: MonotonicTime, span: Duration, work_of: impl Fn(usize) -> f64) -> f64 {
        self.0.iter().filter(|sent| sent.at + span >= at).map(|sent| sent.work(&work_of)).sum()
    }

    /// Microseconds sent later than this time.
    pub(super) fn after(&self, at: MonotonicTime, work_of: impl Fn(usize) -> f64) -> f64 {
        self.0.iter().rev().take_while(|sent| sent.at > at).map(|sent| sent.work(&work_of)).sum()
    }

    /// The same as work alone, for whoever does not know the classes.
    pub(super) fn valued(&self, work_of: impl Fn(usize) -> f64) -> SlidingSum {
        self.0.iter().map(|sent| (sent.at, sent.work(&work_of))).collect()
    }

    /// Values the requests of a class once and for all: its slot is another class's from now on.
    pub(super) fn settle(&mut self, class: usize, work_of_class: f64) {
        for sent in &mut self.0 {
            if sent.unsized_part.is_some_and(|part| part.class == class) {
                sent.work = sent.work(&|_| work_of_class);
                sent.unsized_part = None;
            }
        }
    }
}
