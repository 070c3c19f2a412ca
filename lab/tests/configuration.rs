//! Configuration as events through a tree of relays to real gateways, with faults between them
//! (docs/design/configuration-events.md). Each wait is for a condition, with half a minute at most.
use larchway_distribution::EventNumber;
use larchway_lab::stand::event_source::EventSource;
use larchway_lab::stand::link::Link;
use larchway_lab::trial::distribution::gateways::{configuration, RealGateway, Upstream};
use larchway_lab::trial::distribution::processes::RelayProcess;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

const WAIT: Duration = Duration::from_secs(30);
const POLL: Duration = Duration::from_millis(100);
const LEAVES: usize = 2;
const GATEWAYS: usize = 8;
/// This one reaches its relays through links that are cut.
const CUT: usize = 0;
/// The file of this one has no key for the limit that is published last.
const WITHOUT_KEY: usize = 5;
/// More than a relay sends as pages to one that has nothing.
const PURGES: usize = 1200;
const SEED: u64 = 1;
const RELAY_KEYS: &str = r#","restart_history":true,"lost_ms":60000"#;
const ROOT_KEYS: &str = r#","root":true,"restart_history":true,"lost_ms":60000"#;
const ATTEMPTS: &str = "settings.limits.maxAttempts";
const RETRY_AFTER: &str = "settings.limits.maxRetryAfterMs";

/// The source, a root relay, its leaves and the gateways below them. All processes end with it.
struct Tree {
    source: EventSource,
    gateways: Vec<RealGateway>,
    upstreams: Vec<Upstream>,
    leaves: Vec<RelayProcess>,
    root: RelayProcess,
    cut_links: Vec<Link>,
    dir: PathBuf,
}

impl Drop for Tree {
    fn drop(&mut self) {
        // A directory that stays is no fault of what is tested.
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

impl Tree {
    /// Starts all processes; `name` distinguishes its files from those of others.
    fn start(name: &str) -> Tree {
        std::env::set_var("LARCHWAY_LAB", env!("CARGO_BIN_EXE_larchway-lab"));
        let dir = std::env::temp_dir().join(format!("larchway-lab-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a folder");
        let mut source = EventSource::start().expect("the source");
        source.publish(list);
        let root = RelayProcess::start(&dir, "root", &[source.address], ROOT_KEYS).expect("the root");
        let leaf = |number: usize| {
            let name = format!("leaf-{number}");
            RelayProcess::start(&dir, &name, &[root.address], RELAY_KEYS).expect("a leaf")
        };
        let leaves: Vec<RelayProcess> = (0..LEAVES).map(leaf).collect();
        let direct: Vec<SocketAddr> = leaves.iter().map(|leaf| leaf.address).collect();
        let cut_links: Vec<Link> = direct.iter().map(|leaf| Link::to(*leaf).expect("a link")).collect();
        let behind: Vec<SocketAddr> = cut_links.iter().map(|link| link.address).collect();
        let upstream =
            |number| Upstream::Configured(if number == CUT { behind.clone() } else { direct.clone() });
        let upstreams: Vec<Upstream> = (0..GATEWAYS).map(upstream).collect();
        let mut tree = Tree { source, gateways: Vec::new(), upstreams, leaves, root, cut_links, dir };
        tree.gateways = (0..GATEWAYS).map(|number| tree.start_gateway(number)).collect();
        tree
    }

    fn start_gateway(&self, number: usize) -> RealGateway {
        let upstream = &self.upstreams[number];
        let mut file = configuration(upstream.bulletin(), number, SEED);
        if number == WITHOUT_KEY {
            let key = "\"maxRetryAfterMs\":1000,";
            assert!(file.contains(key), "{file}");
            file = file.replace(key, "");
        }
        RealGateway::start_with(&self.dir, number, upstream, &file).expect("a gateway")
    }

    /// Publishes a version of a limit; returns the number of its event.
    fn publish(&mut self, name: &str, version: u64, content: &Value) -> EventNumber {
        let entry =
            json!({"kind": "limit", "name": name, "version": version, "stage": 0, "content": content});
        self.source.publish(|number| {
            json!({"no": number, "documents": {"whole": false, "entries": [entry]}}).to_string()
        });
        self.source.last()
    }

    /// The version of a limit that is in force at a gateway.
    fn in_force(&self, at: usize, name: &str) -> Option<u64> {
        let documents = self.gateways[at].documents().expect("a report");
        let in_force = documents["in_force"].as_array()?.iter().find(|document| document["name"] == name);
        in_force.and_then(|document| document["version"].as_u64())
    }

    fn wait_in_force(&self, gateways: &[usize], name: &str, version: Option<u64>, when: &str) {
        for at in gateways {
            let seen = || self.in_force(*at, name);
            wait(|| seen() == version, || format!("{when}: gateway {at} has {:?}, not {version:?}", seen()));
        }
    }

    /// What the root says of a limit.
    fn held(&self, name: &str) -> Value {
        let documents = self.root.documents().expect("an answer");
        let all = documents["documents"].as_array().expect("a list");
        all.iter().find(|document| document["name"] == name).cloned().unwrap_or(Value::Null)
    }

    fn wait_applied(&self, name: &str, version: u64, when: &str) {
        let held = || self.held(name);
        wait(
            || held()["version"] == version && held()["applied"] == true,
            || format!("{when}: {}", self.root.documents().expect("an answer")),
        );
    }

    fn kill_and_restart_a_leaf(&mut self) {
        self.leaves[0].kill();
        self.publish(ATTEMPTS, 2, &json!(5));
        self.wait_in_force(&all(), ATTEMPTS, Some(2), "a leaf is killed");
        let leaf = self.leaves.remove(0);
        self.leaves.insert(0, leaf.restart().expect("the leaf starts again"));
    }

    fn cut_a_gateway_off(&mut self) {
        self.cut_links.iter().for_each(|link| link.cut(true));
        let number = self.publish(ATTEMPTS, 3, &json!(6));
        self.wait_in_force(&others(CUT), ATTEMPTS, Some(3), "a gateway is cut off");
        assert_eq!(self.in_force(CUT, ATTEMPTS), Some(2), "it stays on the version before");
        let last_seen = || self.root.done(number).expect("an answer");
        wait(
            || last_seen()["kept_by"][0]["name"] == format!("g{CUT}"),
            || format!("it does not show as a straggler: {}", last_seen()),
        );
        assert_eq!(self.held(ATTEMPTS)["applied"], false);
        self.cut_links.iter().for_each(|link| link.cut(false));
        self.wait_in_force(&all(), ATTEMPTS, Some(3), "it is back");
        self.wait_applied(ATTEMPTS, 3, "it is back");
    }

    /// One gateway cannot apply a version: it says which key, and the rest go on.
    fn publish_what_one_cannot_apply(&mut self) {
        let number = self.publish(RETRY_AFTER, 1, &json!(700));
        self.wait_in_force(&others(WITHOUT_KEY), RETRY_AFTER, Some(1), "one cannot apply it");
        assert_eq!(self.in_force(WITHOUT_KEY, RETRY_AFTER), None);
        let rejection = || self.held(RETRY_AFTER)["rejections"][0].clone();
        wait(|| !rejection().is_null(), || format!("no rejection: {}", self.held(RETRY_AFTER)));
        let rejection = rejection();
        assert_eq!(rejection["names"], json!([format!("g{WITHOUT_KEY}")]), "{rejection}");
        assert_eq!(rejection["reason"], format!("{RETRY_AFTER} is not in the file"), "{rejection}");
        assert_eq!(self.held(RETRY_AFTER)["applied"], false);
        let done = || self.root.done(number).expect("an answer");
        wait(|| done()["done"] == true, || format!("its position does not go on: {}", done()));
        self.publish(ATTEMPTS, 4, &json!(7));
        self.wait_in_force(&all(), ATTEMPTS, Some(4), "after a rejection");
    }

    /// A gateway that starts anew has the documents from a relay's snapshot.
    fn restart_a_gateway(&mut self) {
        let at = GATEWAYS - 1;
        self.gateways[at].kill();
        self.gateways[at] = self.start_gateway(at);
        self.wait_in_force(&[at], ATTEMPTS, Some(4), "a gateway starts anew");
        self.wait_in_force(&[at], RETRY_AFTER, Some(1), "a gateway starts anew");
    }

    /// Once the file of the one has the key, it is as all others.
    fn mend_the_file(&mut self) {
        let upstream = &self.upstreams[WITHOUT_KEY];
        let file = configuration(upstream.bulletin(), WITHOUT_KEY, SEED);
        self.gateways[WITHOUT_KEY].rewrite(&self.dir, &file).expect("the file is written");
        self.wait_in_force(&all(), RETRY_AFTER, Some(1), "the file has the key");
        self.wait_applied(RETRY_AFTER, 1, "the file has the key");
        assert_eq!(self.root.documents().expect("an answer")["positions"]["rejections"], Value::Null);
    }
}

fn all() -> Vec<usize> {
    (0..GATEWAYS).collect()
}

fn others(than: usize) -> Vec<usize> {
    (0..GATEWAYS).filter(|at| *at != than).collect()
}

fn wait(mut holds: impl FnMut() -> bool, what: impl Fn() -> String) {
    let end = Instant::now() + WAIT;
    while !holds() {
        assert!(Instant::now() < end, "not within {WAIT:?}: {}", what());
        std::thread::sleep(POLL);
    }
}

fn list(number: EventNumber) -> String {
    let host = r#"{"host":"s-1","dial":"127.0.0.1:1","site":"edge","class":"parent","health":"up","share":4,"born_ms":0}"#;
    format!(r#"{{"no":{number},"roster":{{"seq":{number},"whole":true,"hosts":[{host}]}}}}"#)
}

#[test]
fn documents_are_in_force_everywhere_through_kills_and_cuts_and_one_that_rejects_shows_by_name_and_key() {
    let mut tree = Tree::start("configuration");
    tree.publish(ATTEMPTS, 1, &json!(4));
    tree.wait_in_force(&all(), ATTEMPTS, Some(1), "documents flow");
    tree.wait_applied(ATTEMPTS, 1, "documents flow");
    tree.kill_and_restart_a_leaf();
    tree.cut_a_gateway_off();
    tree.publish_what_one_cannot_apply();
    tree.restart_a_gateway();
    tree.mend_the_file();
    tree.publish(ATTEMPTS, 5, &Value::Null);
    tree.wait_in_force(&all(), ATTEMPTS, None, "it is withdrawn");
    tree.wait_applied(ATTEMPTS, 5, "it is withdrawn");
}

/// A gateway that cannot apply the last version of a document goes on by the version before it, until it starts anew: a
/// relay's snapshot has the last version alone, so that the file's value is in force then. Two gateways of one fleet go by
/// different values, and only the rejection shows.
#[test]
fn a_gateway_that_starts_anew_and_cannot_apply_the_last_version_has_the_one_before_in_force() {
    let mut tree = Tree::start("version-before");
    tree.publish(ATTEMPTS, 1, &json!(4));
    tree.wait_in_force(&all(), ATTEMPTS, Some(1), "documents flow");
    tree.publish(ATTEMPTS, 2, &json!(0));
    let rejected = || !tree.held(ATTEMPTS)["rejections"][0].is_null();
    wait(rejected, || format!("no rejection: {}", tree.held(ATTEMPTS)));
    tree.wait_in_force(&all(), ATTEMPTS, Some(1), "nobody can apply the second version");
    // More than a page of events, so that one that starts is sent a snapshot.
    for _ in 0..PURGES {
        tree.source.publish(|number| {
            format!(r#"{{"no":{number},"recall":{{"item":"{number:016x}","issued":{number}}}}}"#)
        });
    }
    let last = tree.source.last();
    let done = || tree.root.done(last).expect("an answer");
    wait(|| done()["done"] == true, || format!("purges are not done: {}", done()));
    let at = GATEWAYS - 1;
    tree.gateways[at].kill();
    tree.gateways[at] = tree.start_gateway(at);
    tree.wait_in_force(&[at], ATTEMPTS, Some(1), "a gateway starts anew");
}
