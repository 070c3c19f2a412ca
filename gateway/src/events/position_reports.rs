//! When a gateway reports to its relay how far it has applied the events.
use super::documents::Documents;
use larchway::MonotonicTime;
use larchway_distribution::positions::PositionReport;
use larchway_distribution::subscriber::{position_request, Subscriber};
use std::time::Duration;

/// Time between two reports at least.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// The reports of one gateway.
#[derive(Debug, Default)]
pub(super) struct PositionReports {
    /// Whether the gateway has caught up since the start, from sources that positions are reported to. One that has not
    /// is not counted: it serves nothing old, and its position would hold back that of all.
    has_caught_up: bool,
    /// The report sent last on this connection.
    reported: Option<PositionReport>,
    /// When the next report may be sent at the earliest.
    next_at: MonotonicTime,
}

impl PositionReports {
    /// A connection begins, on which nothing is reported yet.
    pub(super) fn start_connection(&mut self) {
        self.reported = None;
    }

    /// The request with the next report, if one is due: the position or a rejection is new. `name`: the gateway's.
    pub(super) fn next_request(
        &mut self,
        now: MonotonicTime,
        subscriber: &Subscriber,
        name: &str,
        documents: Option<&Documents>,
    ) -> Option<Vec<u8>> {
        self.has_caught_up |= subscriber.caught_up();
        let is_settled = documents.is_none_or(Documents::is_settled);
        if !self.has_caught_up || now < self.next_at || !is_settled {
            return None;
        }
        let position = PositionReport::of_gateway(name, subscriber.cursor());
        let report = match documents {
            Some(documents) => documents.add_to_report(position),
            None => position,
        };
        if self.reported.as_ref() == Some(&report) {
            return None;
        }
        let source = subscriber.source()?;
        let request = position_request(source, &report).into_bytes();
        self.reported = Some(report);
        self.next_at = now + REPORT_INTERVAL;
        Some(request)
    }
}
