//! Compatibility of handover frames and stored ejection records between releases: bytes recorded from an earlier release
//! are decoded field by field, and the same content is encoded to the same bytes.
use larchway::MonotonicTime;
use larchway_operations::handover::{DecodedFrame, Frame, HandoverState, ProcessStatus};
use larchway_operations::manual_ejection::{EjectionRecord, PeerEndpoint};

/// Frames that a process sent to its successor over their socket, recorded from a release that used version 1 of the
/// format. The process had served two requests, received a purge, and handled operators' requests.
const HANDOVER: &[u8] = include_bytes!("data/handover-version-1.frames");
/// The file in which the same process stored the operators' requests.
const EJECTIONS: &[u8] = include_bytes!("data/manual-ejections-version-1.stores");

/// Times of the operators' requests, in microseconds.
const FIRST_EJECTED_AT: u64 = 1_796_218_740_928_416;
const SECOND_RESTORED_AT: u64 = 1_796_218_740_929_401;
const SECOND_EJECTED_AT: u64 = 1_796_218_741_230_865;
/// Time at which the process took the snapshot of its learned state, in microseconds.
const SNAPSHOT_TAKEN_AT: u64 = 1_796_218_741_230_218;

fn record(store: &str, ejected: bool, recorded_at: u64) -> EjectionRecord {
    EjectionRecord { store: store.to_string(), ejected, recorded_at: MonotonicTime::from_micros(recorded_at) }
}

fn frames(mut bytes: &[u8]) -> Vec<Frame> {
    let mut frames = Vec::new();
    while let Some(DecodedFrame { frame, length }) = Frame::decode_first(bytes).expect("a frame of version 1")
    {
        frames.push(frame);
        bytes = &bytes[length..];
    }
    assert!(bytes.is_empty(), "{} bytes are left", bytes.len());
    frames
}

#[test]
fn frames_of_an_earlier_release_are_decoded_completely() {
    let frames = frames(HANDOVER);
    let [Frame::Status(status), Frame::EjectionRecords(first), Frame::State(state), Frame::EjectionRecords(second)] =
        &frames[..]
    else {
        panic!("{frames:?}");
    };
    assert_eq!(*status, ProcessStatus { serving: true, stopping: false });
    let restored = record("s-a2", false, SECOND_RESTORED_AT);
    assert_eq!(*first, [record("s-a1", true, FIRST_EJECTED_AT), restored]);
    assert_eq!(*second, [record("s-a1", true, FIRST_EJECTED_AT), record("s-a2", true, SECOND_EJECTED_AT)]);
    let HandoverState { classes, learned, stores } = &**state;
    assert_eq!(*classes, ["history-files", "bid-status", "bid-submit"]);
    let usable = |name: &str| PeerEndpoint { name: name.to_string(), usable: true };
    assert_eq!(*stores, ["s-a1", "s-a2", "s-b1", "s-c1"].map(usable));
    assert_eq!(learned.taken_at().as_micros(), SNAPSHOT_TAKEN_AT);
}

#[test]
fn handover_frames_encode_to_the_bytes_of_an_earlier_release() {
    let encoded: Vec<u8> = frames(HANDOVER).iter().flat_map(Frame::encode).collect();
    assert_eq!(encoded, HANDOVER);
}

#[test]
fn stored_ejection_records_of_an_earlier_release_are_decoded_and_encoded_unchanged() {
    let decoded = Frame::decode(EJECTIONS).expect("a frame of version 1");
    let Frame::EjectionRecords(records) = &decoded else { panic!("{decoded:?}") };
    let restored = record("s-a2", false, SECOND_RESTORED_AT);
    assert_eq!(*records, [record("s-a1", true, FIRST_EJECTED_AT), restored]);
    assert_eq!(decoded.encode(), EJECTIONS);
}
