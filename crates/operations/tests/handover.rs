//! Frames between two processes of one gateway: whole or refused (invariant 10 of `docs/design/operations.md`).
use larchway_operations::cordon::Mark;
use larchway_operations::handover::{last_answer, Company, Frame, Refused, State, LONGEST};

fn marks() -> Vec<Mark> {
    (0..3).map(|n| Mark { who: format!("s-{n}"), down: n != 1, at: 1_000 + n }).collect()
}

#[test]
fn a_file_torn_at_any_byte_or_with_any_byte_changed_is_refused_and_is_never_a_ban() {
    let whole = Frame::Marks(marks()).write();
    assert!(matches!(Frame::read(&whole), Ok(Frame::Marks(read)) if read == marks()));
    for cut in 0..whole.len() {
        assert!(Frame::read(&whole[..cut]).is_err(), "cut at {cut}");
        for wrong in [0u8, 0xff, whole[cut] ^ 1] {
            let mut spoilt = whole.clone();
            if spoilt[cut] != wrong {
                spoilt[cut] = wrong;
                assert!(Frame::read(&spoilt).is_err(), "byte {cut} is {wrong}");
            }
        }
    }
    assert_eq!(Frame::read(&[&whole[..], b"x"].concat()).err(), Some(Refused::Torn));
    for other in [0u16, 2, 900] {
        let mut changed = whole.clone();
        changed[8..10].copy_from_slice(&other.to_be_bytes());
        assert_eq!(Frame::read(&changed).err(), Some(Refused::Version(other)));
    }
    let mut long = whole.clone();
    long[10..14].copy_from_slice(&(LONGEST as u32 + 1).to_be_bytes());
    assert_eq!(Frame::take(&long).err(), Some(Refused::Long(LONGEST + 1)));
    assert_eq!(Frame::read(b"{\"down\":[\"s-1\"]}").err(), Some(Refused::Foreign));
}

#[test]
fn frames_come_off_a_stream_in_order_whatever_its_pieces() {
    let frames = [
        Frame::Hello { name: "n1".into() },
        Frame::Status { serving: true, stopping: false },
        Frame::State(Box::new(State { classes: vec!["files".into()], ..State::default() })),
        Frame::Marks(marks()),
    ];
    let bytes: Vec<u8> = frames.iter().flat_map(Frame::write).collect();
    for size in [1, 7, 1000] {
        let (mut input, mut read) = (Vec::new(), Vec::new());
        for piece in bytes.chunks(size) {
            input.extend_from_slice(piece);
            while let Some((frame, used)) = Frame::take(&input).expect("no fault") {
                input.drain(..used);
                read.push(format!("{frame:?}"));
            }
        }
        let wanted: Vec<String> = frames.iter().map(|f| format!("{f:?}")).collect();
        assert_eq!((read, input.len()), (wanted, 0));
    }
}

#[test]
fn limits_are_shared_by_those_that_are_there_and_only_one_that_serves_is_a_successor() {
    let mut company = Company::default();
    assert_eq!((company.share(), company.successor()), (1, false));
    company.joined(0);
    assert_eq!((company.share(), company.successor()), (2, false));
    company.told(0, true, false);
    assert!(company.successor());
    company.joined(1);
    company.told(0, true, true);
    assert_eq!((company.share(), company.successor()), (3, false));
    company.left(0);
    company.left(1);
    assert_eq!((company.share(), company.successor()), (1, false), "again alone, with all limits");
}

#[test]
fn what_comes_late_is_answered_before_the_platform_kills() {
    let s = 1_000_000;
    assert_eq!(last_answer(10 * s, 3320 * 1000), 10 * s + 3_600_000);
    assert_eq!(last_answer(10 * s, 1390 * 1000), 10 * s + 1_990_000);
}
