use super::*;

fn gauges() -> Gauges {
    let rejections = RejectionCounts { attempts_exhausted: 4, no_server: 5, slow_start: 6, not_in_time: 7 };
    let memory = MemoryGauges {
        limit: 100,
        private: 60,
        client_buffers: 1,
        store_buffers: 2,
        spare_pages: 3,
        copies: 4,
        request_bodies: 5,
    };
    Gauges { known_stores: 9, skipped_stores: 1, unsaved_files: 2, warming_stores: 3, rejections, memory }
}

#[test]
fn class_names_cannot_break_a_statsd_line() {
    let mut counters = RequestCounters::default();
    counters.declare(["a:b|c\n.d e", "plain-1"].into_iter());
    counters.count_received();
    let report = counters.report(gauges());
    assert!(report.contains("svc.passed.a%3Ab%7Cc%0A%2Ed%20e:0|c\n"), "{report}");
    for line in report.lines() {
        let (name, value) = line.split_once(':').expect("a name and a value");
        let (number, kind) = value.split_once('|').expect("a number and a kind");
        assert!(name.starts_with("svc.") && number.parse::<u64>().is_ok() && ["c", "g"].contains(&kind));
    }
    assert!(report.contains("svc.in_progress:1|g") && report.contains("svc.known_stores:9|g"));
    assert!(report.contains("svc.unsaved_files:2|g"));
}

#[test]
fn class_names_beyond_the_limit_share_one_counter() {
    let mut counters = RequestCounters::default();
    for n in 0..2 * MAX_CLASSES {
        counters.count_received();
        counters.count_ended(&format!("c{n}"), RequestEnd::Served);
    }
    assert_eq!(counters.classes().count(), MAX_CLASSES + 1);
    assert_eq!(counters.class(OTHER_CLASSES).served, MAX_CLASSES as u64);
    assert_eq!(counters.in_progress(), 0);
}

#[test]
fn the_report_keeps_the_names_order_and_types_of_its_metrics() {
    let mut counters = RequestCounters::default();
    for (class, end) in [("a", RequestEnd::Served), ("a", RequestEnd::Rejected), ("b", RequestEnd::Failed)] {
        counters.count_received();
        counters.count_ended(class, end);
    }
    counters.count_received();
    counters.count_attempt();
    let expected = "svc.passed.a:1|c\nsvc.dropped.a:1|c\nsvc.bad_gateway.a:0|c\n\
                    svc.passed.b:0|c\nsvc.dropped.b:0|c\nsvc.bad_gateway.b:1|c\n\
                    svc.upstream_tries:1|c\nsvc.in_progress:1|g\nsvc.known_stores:9|g\nsvc.skipped_stores:1|g\n\
                    svc.loads:0|c\nsvc.load_errors:0|c\nsvc.unsaved_files:2|g\n\
                    svc.warming_stores:3|g\nsvc.given_up.attempts:4|c\nsvc.given_up.no_store:5|c\n\
                    svc.given_up.slow_start:6|c\nsvc.given_up.not_in_time:7|c\n\
                    svc.memory.limit:100|g\nsvc.memory.private:60|g\nsvc.memory.client_buffers:1|g\n\
                    svc.memory.store_buffers:2|g\nsvc.memory.spare_pages:3|g\nsvc.memory.copies:4|g\n\
                    svc.memory.request_bodies:5|g\nsvc.memory.other:45|g\n";
    assert_eq!(counters.report(gauges()), expected);
}
