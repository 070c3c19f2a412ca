//! The fleet's view of the stores' load. Numbers are those of `docs/design/spread.md`.
use crate::scenario::{file, Scenario, Setup, ROW, SECOND};
use larchway_fleet::wire::{open, seal, Kind};
use larchway_spread::wire::{Summary, Told};
use std::net::UdpSocket;
use std::path::Path;
use std::process::Command;

fn settings() -> &'static str {
    let told = SECOND.replace("\"maxAttempts\"", "\"peers\":true,\"maxAttempts\"");
    Box::leak(told.replacen('{', "{\"report\":{\"fields\":[\"util\"]},", 1).into_boxed_str())
}

#[test]
fn reports_of_stores_and_words_of_peers_make_the_view_and_nothing_else_does() {
    let peer = UdpSocket::bind("127.0.0.1:0").expect("binds");
    peer.set_read_timeout(Some(std::time::Duration::from_secs(10))).expect("sets");
    let own = UdpSocket::bind("127.0.0.1:0").and_then(|s| s.local_addr()).expect("an address");
    let spread = Some(r#"{"period_ms":100}"#);
    let mut s = Scenario::new(Setup { settings: settings(), spread, console: true, ..Setup::default() });
    let here = peer.local_addr().expect("an address");
    s.run(&format!(
        "edit config {{\"seed\" => {{\"peer_listen\":\"{own}\",\"peers\":[\"{own}\",\"{here}\"],\"seed\"\nhup\nlog < read again"
    ));
    s.run(&format!(
        "c1 > serve 1 op=guide-video ttl=5000 row={ROW} family=17 block=0 call=aa
         store < PULL aa
         store > aa ok remark=HIT,issued=$now,report=util:0.5 | x
         c1 < served 1 | x"
    ));
    s.report("/ops/spread", "\"load\":0.5,");
    // It tells its peer, in 256 bytes at most; what it hears of the same list counts.
    let mut bytes = [0; 512];
    let length = peer.recv(&mut bytes).expect("a datagram");
    let opened = open(&bytes[..length]).expect("an envelope");
    let told = Summary::read(opened.body).expect("a summary");
    assert!(
        length <= 256 && told.told.len() == 2 && (opened.kind, opened.from) == (Kind::Load, 0),
        "{told:?}"
    );
    let words = Summary { told: vec![Told { load: 0.25, worth: 20.0 }; 2], ..told };
    let sealed = |from: u16, words: &[u8]| seal(Kind::Load, from, words);
    peer.send_to(&sealed(1, &words.write()), own).expect("sends");
    s.report("/ops/spread", "\"heard\":1,");
    // What is cut, spoilt or of another sender, and what comes from elsewhere, never reaches the view.
    let foreign = UdpSocket::bind("127.0.0.1:0").expect("binds");
    foreign.send_to(&sealed(1, &words.write()), own).expect("sends");
    peer.send_to(&sealed(0, &words.write()), own).expect("sends");
    peer.send_to(&sealed(1, &words.write())[..20], own).expect("sends");
    for spoilt in [Summary { list: words.list ^ 1, ..words.clone() }.write(), vec![0; 300], b"ls".to_vec()] {
        peer.send_to(&sealed(1, &spoilt), own).expect("sends");
    }
    let told = s.report("/ops/spread", "\"turned_down\":3,");
    assert!(told.contains("\"heard\":1,"), "{told}");
    s.run("put spread {\"field\":\"nothing\"}\nhup\nlog < field: \"nothing\" is not among settings.report.fields");
    s.report("/ops/spread", "\"heard\":1,");
}

/// Where stores tell their load only when they are asked, `METER` asks them, on connections that there are.
#[test]
fn a_store_that_reports_only_when_probed_is_probed_where_the_settings_allow_it() {
    let spread = Some(r#"{"period_ms":100,"probes_per_s":100}"#);
    let mut s = Scenario::new(Setup { settings: settings(), spread, console: true, ..Setup::default() });
    s.run(&format!(
        "c1 > serve 1 op=guide-video ttl=5000 row={ROW} family=17 block=0 call=aa
         store < PULL aa
         store > aa ok remark=HIT,issued=$now | x
         c1 < served 1 | x
         never METER *
         edit config \"peers\":true => \"peers\":true,\"probes\":true
         hup
         log < read again
         store < METER *
         store > * yes report=inflight:7;util:0.75"
    ));
    s.report("/ops/spread", "\"load\":0.75,");
    // One that says no has no report; the connection goes on.
    s.run(&format!(
        "store < METER *
         store > * no
         c1 > serve 2 op=guide-video ttl=5000 row={ROW} family=17 block=0 call=bb
         store < PULL bb
         store > bb ok remark=HIT,issued=$now | x
         c1 < served 2 | x"
    ));
}

#[test]
fn the_example_and_the_schema_under_deploy_are_those_of_this_program_and_a_faulty_file_is_named() {
    let deploy = Path::new(env!("CARGO_MANIFEST_DIR")).join("../deploy");
    let read = |text: &str| larchway_gateway::config::spread_file(&file("spread.json", text));
    larchway_gateway::config::spread_file(&deploy.join("spread.json").display().to_string())
        .expect("well configured");
    let schema = std::fs::read_to_string(deploy.join("spread.schema.json")).expect("reads");
    assert_eq!(schema.trim(), larchway_gateway::config::spread_schema().trim(), "larchway schema spread");
    for (text, key) in [
        (r#"{"field":""}"#, "field"),
        (r#"{"period_ms":5}"#, "period_ms: 5"),
        (r#"{"fanout":9}"#, "fanout: 9"),
        (r#"{"probes_per_s":-1}"#, "probes_per_s: -1"),
        (r#"{"fan":1}"#, "fan"),
    ] {
        assert!(read(text).is_err_and(|e| e.contains(key)), "{key}");
    }
    let config = format!(r#"{{"name":"n1","listen":"127.0.0.1:0","peers":["here"],"settings":{SECOND}}}"#);
    let mut command = Command::new(env!("CARGO_BIN_EXE_larchway"));
    command.arg("check-config").env("EDGE_CONFIG", file("bad.json", &config));
    command.env_remove("EDGE_NAME").env_remove("EDGE_LISTEN");
    let said = String::from_utf8(command.output().expect("runs").stderr).expect("text");
    assert!(said.contains("peers"), "{said}");
}
