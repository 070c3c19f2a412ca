//! Frames between two processes of one gateway: each is decoded completely or rejected (invariant 10 of
//! `docs/design/operations.md`). Also the process group and the deadline of a shutdown.
use larchway::MonotonicTime;
use larchway_operations::handover::{
    DecodedFrame, Frame, FrameError, HandoverState, ProcessStatus, StoreWork, MAX_FRAME_LENGTH,
};
use larchway_operations::manual_ejection::{EjectionRecord, PeerEndpoint};
use larchway_operations::shutdown::final_reply_deadline;
use larchway_operations::ProcessGroup;
use std::time::Duration;

fn records() -> Vec<EjectionRecord> {
    let record = |n: u64| EjectionRecord {
        store: format!("s-{n}"),
        ejected: n != 1,
        recorded_at: MonotonicTime::from_micros(1_000 + n),
    };
    (0..3).map(record).collect()
}

#[test]
fn truncated_or_corrupted_ejection_frames_are_rejected() {
    let complete = Frame::EjectionRecords(records()).encode();
    assert!(matches!(Frame::decode(&complete), Ok(Frame::EjectionRecords(decoded)) if decoded == records()));
    for offset in 0..complete.len() {
        assert!(Frame::decode(&complete[..offset]).is_err(), "cut at {offset}");
        for replacement in [0u8, 0xff, complete[offset] ^ 1] {
            let mut corrupted = complete.clone();
            if corrupted[offset] != replacement {
                corrupted[offset] = replacement;
                assert!(Frame::decode(&corrupted).is_err(), "byte {offset} is {replacement}");
            }
        }
    }
    assert_eq!(Frame::decode(&[&complete[..], b"x"].concat()).err(), Some(FrameError::Truncated));
    for version in [0u16, 2, 900] {
        let mut changed = complete.clone();
        changed[8..10].copy_from_slice(&version.to_be_bytes());
        assert_eq!(Frame::decode(&changed).err(), Some(FrameError::UnsupportedVersion(version)));
    }
    let mut oversized = complete.clone();
    oversized[10..14].copy_from_slice(&(MAX_FRAME_LENGTH as u32 + 1).to_be_bytes());
    assert_eq!(Frame::decode_first(&oversized).err(), Some(FrameError::TooLong(MAX_FRAME_LENGTH + 1)));
    assert_eq!(Frame::decode(b"{\"down\":[\"s-1\"]}").err(), Some(FrameError::Foreign));
}

#[test]
fn frames_are_decoded_in_order_however_the_stream_is_split() {
    let frames = [
        Frame::Hello { name: "n1".into() },
        Frame::Status(ProcessStatus { serving: true, stopping: false }),
        Frame::State(Box::new(HandoverState { classes: vec!["files".into()], ..HandoverState::default() })),
        Frame::EjectionRecords(records()),
    ];
    let bytes: Vec<u8> = frames.iter().flat_map(Frame::encode).collect();
    for chunk_size in [1, 7, 1000] {
        let (mut input, mut decoded) = (Vec::new(), Vec::new());
        for chunk in bytes.chunks(chunk_size) {
            input.extend_from_slice(chunk);
            while let Some(DecodedFrame { frame, length }) =
                Frame::decode_first(&input).expect("a valid frame")
            {
                input.drain(..length);
                decoded.push(format!("{frame:?}"));
            }
        }
        let expected: Vec<String> = frames.iter().map(|frame| format!("{frame:?}")).collect();
        assert_eq!((decoded, input.len()), (expected, 0));
    }
}

#[test]
fn processes_share_limits_and_only_a_serving_one_is_a_successor() {
    let mut group = ProcessGroup::default();
    assert_eq!((group.process_count(), group.has_successor()), (1, false));
    group.joined(0);
    assert_eq!((group.process_count(), group.has_successor()), (2, false));
    group.update_status(0, ProcessStatus { serving: true, stopping: false });
    assert!(group.has_successor());
    group.joined(1);
    group.update_status(0, ProcessStatus { serving: true, stopping: true });
    assert_eq!((group.process_count(), group.has_successor()), (3, false));
    group.left(0);
    group.left(1);
    assert_eq!(
        (group.process_count(), group.has_successor()),
        (1, false),
        "the only process has all limits again"
    );
}

#[test]
fn the_final_reply_deadline_precedes_the_kill_by_the_platform() {
    let stopped_at = MonotonicTime::from_micros(10_000_000);
    let millis = Duration::from_millis;
    assert_eq!(final_reply_deadline(stopped_at, millis(3320)), stopped_at + millis(3600));
    assert_eq!(final_reply_deadline(stopped_at, millis(1390)), stopped_at + millis(1990));
}

#[test]
fn the_encoding_of_each_frame_is_stable() {
    let state = HandoverState {
        classes: vec!["files".into()],
        stores: vec![PeerEndpoint { name: "s-1".into(), usable: true }],
        ..HandoverState::default()
    };
    let frames = [
        Frame::Hello { name: "n1".into() },
        Frame::State(Box::new(state)),
        Frame::EjectionRecords(records()),
        Frame::SlowStartWork(vec![StoreWork { store: 7, work_micros: 1.5 }]),
        Frame::Status(ProcessStatus { serving: true, stopping: false }),
    ];
    let no_evidence = [0; 71];
    let expected: [Vec<u8>; 5] = [
        b"larchops\0\x01\0\0\0\x04\x88`Ma\0\x02n1".to_vec(),
        [b"larchops\0\x01\0\0\0U\x16\x9c\x02\xfe\x01\x01\x05files", &no_evidence[..], b"\x01\x03s-1\x01"].concat(),
        b"larchops\0\x01\0\0\0\x17\xb9\x16\xe8\xf7\x02\x03\x03s-0\x01\xe8\x07\x03s-1\0\xe9\x07\x03s-2\x01\xea\x07".to_vec(),
        b"larchops\0\x01\0\0\0\x0b\x13\xc5\x97\x92\x03\x01\x07\0\0\0\0\0\0\xf8?".to_vec(),
        b"larchops\0\x01\0\0\0\x03\xe1S@\x8f\x04\x01\0".to_vec(),
    ];
    for (frame, bytes) in frames.iter().zip(expected) {
        assert_eq!(frame.encode().escape_ascii().to_string(), bytes.escape_ascii().to_string(), "{frame:?}");
    }
}

#[test]
fn the_text_of_each_frame_error_is_stable() {
    let texts = [
        FrameError::Foreign,
        FrameError::UnsupportedVersion(2),
        FrameError::Truncated,
        FrameError::TooLong(9),
        FrameError::Corrupt,
    ]
    .map(|error| error.to_string());
    let expected = [
        "it was not written by larchway",
        "it is of version 2, and 1 is read here",
        "it is truncated or has trailing bytes",
        "its body has 9 bytes, and the maximum is 8388608",
        "it is corrupt: its checksum does not match, or its body cannot be decoded",
    ];
    assert_eq!(texts, expected);
}
