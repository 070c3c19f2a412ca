//! The requests that come to a stand-in store, as its reports of load count them.
use larchway::Micros;
use std::collections::VecDeque;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// µs of the spans over which a store's load is measured.
pub(super) const LOAD_SPAN: Micros = 500_000;
/// How many spans are retained.
const MAX_LOAD_SPANS: usize = 16;

/// The requests that came in during a span.
struct LoadSpan {
    /// The number of the span since the epoch.
    number: Micros,
    requests: u64,
}

/// The load of a store.
#[derive(Default)]
pub(super) struct StoreLoad {
    /// The last spans, the newest last.
    spans: Mutex<VecDeque<LoadSpan>>,
    /// By how many spans the reports are late.
    report_delay: AtomicU64,
}

impl StoreLoad {
    fn lock(&self) -> MutexGuard<'_, VecDeque<LoadSpan>> {
        self.spans.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes the reports late by so many spans.
    pub(super) fn report_late(&self, spans: u64) {
        self.report_delay.store(spans, Ordering::Relaxed);
    }

    /// Counts a request.
    pub(super) fn count_request(&self, time: Micros) {
        let mut spans = self.lock();
        let number = time / LOAD_SPAN;
        if spans.back().is_none_or(|last| last.number < number) {
            spans.push_back(LoadSpan { number, requests: 0 });
        }
        if let Some(last) = spans.back_mut() {
            last.requests += 1;
        }
        while spans.len() > MAX_LOAD_SPANS {
            spans.pop_front();
        }
    }

    /// The requests of the last complete span, as they are reported now.
    pub(super) fn reported_requests(&self, time: Micros) -> u64 {
        let reported = (time / LOAD_SPAN).saturating_sub(1 + self.report_delay.load(Ordering::Relaxed));
        self.lock().iter().find(|span| span.number == reported).map_or(0, |span| span.requests)
    }
}
