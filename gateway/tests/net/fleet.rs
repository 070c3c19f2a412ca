//! Gateways that know of each other. Numbers are those of `docs/design/fleet.md`.
use crate::scenario::{file, Scenario, Setup, SECOND};
use larchway_fleet::wire::{open, seal, Kind, News, Pulse};
use larchway_fleet::words::{self, Found, Word};
use std::net::UdpSocket;
use std::path::Path;
use std::process::Command;

fn settings() -> &'static str {
    Box::leak(SECOND.replace("\"maxAttempts\"", "\"peers\":true,\"maxAttempts\"").into_boxed_str())
}

#[test]
fn only_whole_envelopes_of_the_tier_are_taken_and_the_rest_is_counted_by_cause() {
    let peer = UdpSocket::bind("127.0.0.1:0").expect("binds");
    peer.set_read_timeout(Some(std::time::Duration::from_secs(10))).expect("sets");
    let foreign = UdpSocket::bind("127.0.0.1:0").expect("binds");
    let own = UdpSocket::bind("127.0.0.1:0").and_then(|s| s.local_addr()).expect("an address");
    let here = peer.local_addr().expect("an address");
    let listen: &'static str =
        Box::leak(format!("\"peer_listen\":\"{own}\",\"peers\":[\"{own}\",\"{here}\"],").into_boxed_str());
    let fleet = Some(r#"{"period_ms":250}"#);
    let setup = Setup { settings: settings(), fleet, console: true, config: listen, ..Setup::default() };
    let mut s = Scenario::new(setup);
    // It asks its peer, in 256 bytes at most, and takes its answer.
    let mut bytes = [0; 512];
    let length = peer.recv(&mut bytes).expect("a datagram");
    let ping = open(&bytes[..length]).expect("an envelope");
    assert!(length <= 256 && (ping.kind, ping.from) == (Kind::Ping, 0), "{ping:?}");
    let own_pulse = Pulse { life: 7, beat: 3, left: false };
    let news = News { own: own_pulse, ..News::default() }.write();
    peer.send_to(&seal(Kind::Ack, 1, &news), own).expect("sends");
    s.report("/ops/fleet", "\"heard\":1,");
    // Foreign: from elsewhere, or under another's number. Then one cut, one spoilt.
    foreign.send_to(&seal(Kind::Ack, 1, &news), own).expect("sends");
    peer.send_to(&seal(Kind::Ack, 0, &news), own).expect("sends");
    let whole = seal(Kind::Ack, 1, &news);
    peer.send_to(&whole[..5], own).expect("sends");
    peer.send_to(&whole[..whole.len() - 1], own).expect("sends");
    let told = s.report("/ops/fleet", "\"foreign\":2,\"malformed\":1,\"spoilt\":1");
    assert!(told.contains("\"heard\":1,"), "{told}");
    // Words of a store that fails, known or not, put nothing out.
    let word = |store| Word { store, found: Found::Failing, hops: 0, origin: 1 };
    peer.send_to(&seal(Kind::Words, 1, &words::write(&[word(1), word(2)])), own).expect("sends");
    let told = s.report("/ops/fleet", "\"words_heard\":2,");
    assert!(told.contains("\"alive\":2,") && told.contains("\"lent\":false"), "{told}");
    // Where nothing is lent the whole configured share is used, and shown.
    assert!(told.contains("\"share\":1.0,\"share_near\":1.0"), "{told}");
    // What cannot be used is named, and what ran goes on.
    s.run("put fleet {\"floor\":1.5}\nhup\nlog < floor: 1.5 is not from 0 to 1");
    s.report("/ops/fleet", "\"words_heard\":2,");
    // A farewell is told to those that are left; it comes before the end.
    s.run("term");
    let left = (0..100).any(|_| {
        let length = peer.recv(&mut bytes).expect("a datagram");
        let told = open(&bytes[..length]).expect("an envelope");
        News::read(told.body).is_some_and(|news| news.own.left)
    });
    assert!(left);
}

#[test]
fn the_file_of_the_fleet_is_checked_and_its_example_and_schema_are_true() {
    let deploy = Path::new(env!("CARGO_MANIFEST_DIR")).join("../deploy");
    let read = |text: &str| larchway_gateway::config::fleet_file(&file("fleet.json", text));
    let example = larchway_gateway::config::fleet_file(&deploy.join("fleet.json").display().to_string());
    assert_eq!(example, Ok(larchway_fleet::FleetFile::default()));
    let schema = std::fs::read_to_string(deploy.join("fleet.schema.json")).expect("reads");
    assert_eq!(schema.trim(), larchway_gateway::config::fleet_schema().trim(), "larchway schema fleet");
    for (wrong, named) in [
        (r#"{"pause_ms":100}"#, "pause_ms: 100"),
        (r#"{"period_ms":1}"#, "period_ms: 1"),
        (r#"{"lease_ms":3000}"#, "lease_ms: 3000"),
        (r#"{"floor":-1}"#, "floor: -1"),
        (r#"{"words":1}"#, "words"),
        (r#"{"speed":1}"#, "speed"),
    ] {
        let why = read(wrong).expect_err(wrong);
        assert!(why.contains(named), "{why}");
    }
    let told = Command::new(env!("CARGO_BIN_EXE_larchway")).args(["schema", "fleet"]).output().expect("runs");
    assert_eq!(String::from_utf8_lossy(&told.stdout).trim(), schema.trim());
}
