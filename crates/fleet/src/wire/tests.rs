use super::*;

#[test]
fn an_envelope_is_taken_whole_or_its_fault_is_named() {
    let sealed = seal(Kind::Load, 513, &[7; BODY + 9]);
    assert_eq!(sealed.len(), LONGEST);
    assert_eq!(open(&sealed), Ok(Opened { kind: Kind::Load, from: 513, body: &[7; BODY] }));
    for cut in 0..sealed.len() {
        assert!(open(&sealed[..cut]).is_err(), "cut at {cut}");
    }
    for at in 0..sealed.len() * 8 {
        let mut spoilt = sealed.clone();
        spoilt[at / 8] ^= 1 << (at % 8);
        assert!(open(&spoilt).is_err(), "bit {at}");
    }
    let mut newer = sealed[..6].to_vec();
    newer[2] = 2;
    let sum = checksum(&newer, b"x");
    newer.extend_from_slice(&sum.to_be_bytes());
    assert_eq!(open(&[&newer[..], b"x"].concat()), Err(Fault::Version));
    assert_eq!(open(&[0; 300]), Err(Fault::Malformed));
}

#[test]
fn news_come_back_as_they_were_and_never_take_over_the_room() {
    let pulse = |n: u16| Pulse { life: n | 1, beat: n & BEATS, left: n.is_multiple_of(3) };
    let named =
        |n: u16| Named { who: n * 700, pulse: pulse(n), accused: n.is_multiple_of(2).then_some(n as u8) };
    let news = News {
        own: pulse(40_000),
        paused: true,
        dark: false,
        named: (0..9).map(named).collect(),
        first: 900,
        window: (0..300).map(pulse).collect(),
    };
    let bytes = news.write();
    assert!(bytes.len() <= BODY);
    let back = News::read(&bytes).expect("reads");
    assert_eq!(back, News { window: news.window[..News::room(9)].to_vec(), ..news });
    assert!((0..NEWS + 9 * NAMED).all(|n| News::read(&bytes[..n]).is_none()));
}

#[test]
fn beats_and_lives_go_round() {
    assert!(later_beat(3, BEATS) && !later_beat(BEATS, 3) && !later_beat(5, 5));
    assert!(later_life(2, 65_000) && !later_life(65_000, 2) && later_life(1, 0) && !later_life(0, 1));
}
