//! Events through a tree of relays to real gateways, with faults between them (docs/design/event-distribution.md). Each
//! wait is for a condition, with half a minute at most.
use larchway_distribution::EventNumber;
use larchway_lab::stand::event_source::EventSource;
use larchway_lab::stand::link::Link;
use larchway_lab::trial::distribution::gateways::{EventsStatus, RealGateway, Upstream};
use larchway_lab::trial::distribution::processes::RelayProcess;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

const WAIT: Duration = Duration::from_secs(30);
const POLL: Duration = Duration::from_millis(100);
const LEAVES: usize = 3;
const GATEWAYS: usize = 20;
/// The first gateways reach their relays through links that are cut, the next ones through slow links.
const BEHIND_CUT_LINKS: usize = 4;
const BEHIND_SLOW_LINKS: usize = 4;
/// Bytes a second on a slow link.
const SLOW_RATE: u64 = 20_000;
/// Events told between two faults.
const EVENTS: usize = 50;
const RELAY_KEYS: &str = r#","restart_history":true,"lost_ms":2000"#;
const ROOT_KEYS: &str = r#","root":true,"restart_history":true,"lost_ms":2000"#;

/// The source, a root relay, its leaves and the gateways below them. All processes end with it.
struct Tree {
    source: EventSource,
    gateways: Vec<RealGateway>,
    /// The last status of each gateway.
    seen: Vec<EventsStatus>,
    leaves: Vec<RelayProcess>,
    root: RelayProcess,
    cut_links: Vec<Link>,
    /// They end with this.
    _slow_links: Vec<Link>,
    dir: PathBuf,
}

impl Drop for Tree {
    fn drop(&mut self) {
        // A directory that stays is no fault of what is tested.
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

impl Tree {
    fn start() -> Tree {
        std::env::set_var("LARCHWAY_LAB", env!("CARGO_BIN_EXE_larchway-lab"));
        let dir = std::env::temp_dir().join(format!("larchway-lab-{}-distribution", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a folder");
        let mut source = EventSource::start().expect("the source");
        source.publish(|number| list(number, true));
        let root = RelayProcess::start(&dir, "root", &[source.address], ROOT_KEYS).expect("the root");
        let leaf = |number: usize| {
            let name = format!("leaf-{number}");
            RelayProcess::start(&dir, &name, &[root.address], RELAY_KEYS).expect("a leaf")
        };
        let leaves: Vec<RelayProcess> = (0..LEAVES).map(leaf).collect();
        let direct: Vec<SocketAddr> = leaves.iter().map(|leaf| leaf.address).collect();
        let cut_links = links(&direct);
        let slow_links = links(&direct);
        slow_links.iter().for_each(|link| link.slow(SLOW_RATE));
        let gateway = |number: usize| {
            let addresses = match number {
                0..BEHIND_CUT_LINKS => addresses(&cut_links),
                BEHIND_CUT_LINKS..BEHIND_SLOW => addresses(&slow_links),
                _ => direct.clone(),
            };
            let relays = vec![addresses[number % LEAVES], addresses[(number + 1) % LEAVES]];
            RealGateway::start(&dir, number, &Upstream::Relays(relays), 1).expect("a gateway")
        };
        let gateways: Vec<RealGateway> = (0..GATEWAYS).map(gateway).collect();
        let seen = gateways.iter().map(|gateway| gateway.events().expect("a status")).collect();
        Tree { source, gateways, seen, leaves, root, cut_links, _slow_links: slow_links, dir }
    }

    /// Publishes purges, and a change of the list.
    fn publish(&mut self) {
        for _ in 0..EVENTS {
            self.source.publish(|number| purge(number, 0));
        }
        self.source.publish(|number| list(number, false));
    }

    /// Looks at a gateway. In one history its cursor never goes back, and as long as nothing is out of the logs it has no
    /// gap.
    fn look(&mut self, at: usize) -> EventsStatus {
        let status = self.gateways[at].events().expect("a status");
        let before = std::mem::replace(&mut self.seen[at], status.clone());
        assert!(status.cursor >= before.cursor, "gateway {at} goes back: {before:?}, {status:?}");
        assert!(before.cursor == 0 || status.gaps == before.gaps, "gateway {at}: {before:?}, {status:?}");
        status
    }

    /// Waits until these gateways have applied the last event and have caught up, without a gap.
    fn wait_applied(&mut self, which: std::ops::Range<usize>, when: &str) {
        let last = self.source.last();
        for at in which {
            let applied = |status: &EventsStatus| status.cursor == last && status.caught_up;
            wait(|| applied(&self.look(at)), || format!("{when}: gateway {at}, {last}"));
        }
    }

    /// Waits until the root says that the last event is applied everywhere.
    fn wait_done(&self, when: &str) {
        let last = self.source.last();
        let done = || self.root.done(last).expect("an answer");
        wait(
            || {
                let done = done();
                done["done"] == true && done["gateways"] == GATEWAYS as u64 && done["lost"] == 0
            },
            || format!("{when}: {}", done()),
        );
        let done = done();
        assert!(done["kept_by"].as_array().is_some_and(Vec::is_empty), "{when}: {done}");
        let status = self.root.status().expect("a status");
        assert_eq!(status["positions"]["applied"], last, "{when}: {status}");
    }

    fn wait_everywhere(&mut self, when: &str) {
        self.wait_applied(0..GATEWAYS, when);
        self.wait_done(when);
        assert!(
            self.seen.iter().all(|status| status.lag_ms.is_some()),
            "a gateway that has caught up knows its lag: {:?}",
            self.seen
        );
    }

    fn kill_and_restart_leaf(&mut self) {
        self.leaves[0].kill();
        self.publish();
        self.wait_everywhere("a leaf is killed");
        let leaf = self.leaves.remove(0);
        self.leaves.insert(0, leaf.restart().expect("the leaf starts again"));
    }

    fn pause_leaf(&mut self) {
        self.leaves[1].signal("-STOP").expect("a signal");
        self.publish();
        self.wait_applied(0..GATEWAYS, "a leaf is paused");
        self.leaves[1].signal("-CONT").expect("a signal");
        self.publish();
        self.wait_everywhere("the leaf goes on");
    }

    fn cut_links(&mut self) {
        self.cut_links.iter().for_each(|link| link.cut(true));
        self.publish();
        self.wait_applied(BEHIND_CUT_LINKS..GATEWAYS, "links are cut");
        for at in 0..BEHIND_CUT_LINKS {
            wait(|| self.look(at).lagging, || format!("gateway {at} does not say that it lags"));
            let status = self.look(at);
            assert!(status.cursor < self.source.last(), "{status:?}");
        }
        let done = self.root.done(self.source.last()).expect("an answer");
        assert_eq!(done["event"], self.source.last());
        self.cut_links.iter().for_each(|link| link.cut(false));
        self.publish();
        self.wait_everywhere("the links are mended");
        for at in 0..BEHIND_CUT_LINKS {
            wait(|| !self.look(at).lagging, || format!("gateway {at} still lags"));
        }
    }

    fn restart_source(&mut self) {
        self.source.kill();
        for at in 0..GATEWAYS {
            wait(|| self.look(at).lagging, || format!("gateway {at}: the silence does not show"));
        }
        self.publish();
        self.source.come_back().expect("the source comes back");
        self.wait_everywhere("the source is back");
    }

    /// The source comes back with other events under the same numbers: all that gateways hold is void.
    fn replace_history(&mut self) {
        let gaps: Vec<u64> = self.seen.iter().map(|status| status.gaps).collect();
        self.source.kill();
        let longer = self.source.last() + EVENTS as EventNumber;
        let event = |number| if number == 1 { list(1, true) } else { purge(number, 1) };
        self.source.come_back_with((1..=longer).map(event).collect()).expect("the source comes back");
        for (at, gaps) in gaps.into_iter().enumerate() {
            let status = || self.gateways[at].events().expect("a status");
            wait(
                || {
                    let status = status();
                    status.cursor == longer && status.caught_up && status.gaps > gaps
                },
                || format!("gateway {at} with {gaps} gaps before the other history: {:?}", status()),
            );
            self.seen[at] = status();
        }
        self.publish();
        self.wait_everywhere("another history");
    }
}

/// The first gateway behind no link.
const BEHIND_SLOW: usize = BEHIND_CUT_LINKS + BEHIND_SLOW_LINKS;

fn links(targets: &[SocketAddr]) -> Vec<Link> {
    targets.iter().map(|target| Link::to(*target).expect("a link")).collect()
}

fn addresses(links: &[Link]) -> Vec<SocketAddr> {
    links.iter().map(|link| link.address).collect()
}

fn wait(mut holds: impl FnMut() -> bool, what: impl Fn() -> String) {
    let end = Instant::now() + WAIT;
    while !holds() {
        assert!(Instant::now() < end, "not within {WAIT:?}: {}", what());
        std::thread::sleep(POLL);
    }
}

fn list(number: EventNumber, whole: bool) -> String {
    let host = format!(
        r#"{{"host":"s-{number}","dial":"127.0.0.1:1","site":"edge","class":"parent","health":"up","share":4,"born_ms":0}}"#
    );
    format!(r#"{{"no":{number},"roster":{{"seq":{number},"whole":{whole},"hosts":[{host}]}}}}"#)
}

/// A purge of an object of its own in each history.
fn purge(number: EventNumber, history: u64) -> String {
    let object = larchway::mix(number ^ history << 32);
    format!(r#"{{"no":{number},"recall":{{"item":"{object:016x}","lot":0,"issued":1000.0}}}}"#)
}

/// E1, E2, E3, V1 and V2, each fault after the other on one tree.
#[test]
fn gateways_below_relays_apply_each_event_through_kills_pauses_cuts_and_a_source_that_comes_back() {
    let mut tree = Tree::start();
    tree.publish();
    tree.wait_everywhere("events flow");
    tree.kill_and_restart_leaf();
    tree.pause_leaf();
    tree.cut_links();
    tree.restart_source();
    tree.replace_history();
}
