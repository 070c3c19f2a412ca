use super::gossip::{CLAIM_BYTES, GOSSIP_HEADER_BYTES};
use super::*;

#[test]
fn a_datagram_is_decoded_completely_or_its_error_is_named() {
    let datagram = encode(MessageKind::Load, 513, &[7; MAX_BODY_BYTES + 9]);
    assert_eq!(datagram.len(), MAX_DATAGRAM_BYTES);
    let envelope = Envelope { kind: MessageKind::Load, from: 513, body: &[7; MAX_BODY_BYTES] };
    assert_eq!(decode(&datagram), Ok(envelope));
    for length in 0..datagram.len() {
        assert!(decode(&datagram[..length]).is_err(), "truncated to {length} bytes");
    }
    for bit in 0..datagram.len() * 8 {
        let mut corrupt = datagram.clone();
        corrupt[bit / 8] ^= 1 << (bit % 8);
        assert!(decode(&corrupt).is_err(), "bit {bit} flipped");
    }
    let mut newer = datagram[..CHECKED_HEADER_BYTES].to_vec();
    newer[2] = 2;
    let checksum = checksum(&newer, b"x");
    newer.extend_from_slice(&checksum.to_be_bytes());
    assert_eq!(decode(&[&newer[..], b"x"].concat()), Err(DecodeError::UnsupportedVersion));
    assert_eq!(decode(&[0; 300]), Err(DecodeError::Malformed));
}

#[test]
fn gossip_is_decoded_as_it_was_encoded_and_never_exceeds_its_capacity() {
    let heartbeat = |number: u16| Heartbeat {
        incarnation: number | 1,
        beat: number & BEAT_MASK,
        left: number.is_multiple_of(3),
    };
    let state = |number: u16| match number.is_multiple_of(2) {
        true => ClaimedState::SuspectedFor(number as u8),
        false => ClaimedState::Unsuspected,
    };
    let claim = |number: u16| MemberClaim {
        member: number * 700,
        heartbeat: heartbeat(number),
        state: state(number),
    };
    let gossip = Gossip {
        own: heartbeat(40_000),
        paused: true,
        isolated: false,
        claims: (0..9).map(claim).collect(),
        window_start: 900,
        window: (0..300).map(heartbeat).collect(),
    };
    let bytes = gossip.encode();
    assert!(bytes.len() <= MAX_BODY_BYTES);
    let decoded = Gossip::decode(&bytes).expect("decodes");
    assert_eq!(decoded, Gossip { window: gossip.window[..Gossip::window_capacity(9)].to_vec(), ..gossip });
    assert!(
        (0..GOSSIP_HEADER_BYTES + 9 * CLAIM_BYTES).all(|number| Gossip::decode(&bytes[..number]).is_none())
    );
}

#[test]
fn beats_and_incarnations_wrap_around() {
    assert!(is_later_beat(3, BEAT_MASK) && !is_later_beat(BEAT_MASK, 3) && !is_later_beat(5, 5));
    assert!(is_later_incarnation(2, 65_000) && !is_later_incarnation(65_000, 2));
    assert!(is_later_incarnation(1, 0) && !is_later_incarnation(0, 1));
}
