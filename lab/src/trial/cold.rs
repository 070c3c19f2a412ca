//! `trial cold`: a cold box, the only one of its location, before 20 and 30 gateways that know nothing of each other,
//! half of which are killed and started again while it warms. What matters is the sum of what they send to it.
use super::fleet::{spawn, Gateway};
use super::spread::SETTINGS;
use super::Outcome;
use crate::clock::now;
use crate::load::{self, Load, Tally};
use crate::stand::bulletin::Bulletin;
use crate::stand::store::Store;
use larchway_keeper::Micros;
use serde_json::json;
use std::fmt::Write as _;
use std::path::PathBuf;
use std::time::Duration;

/// Requests that a box works on at once, and ms that one takes. So small that a gateway's part of a cold one's budget is
/// well under one call.
const WORKERS: usize = 4;
const SERVICE: u64 = 80;
/// In time, ms: a cold box has a good while for each.
const AIM: u64 = 3000;
/// Times the capacity of a warm box that is asked for: several times what the cold one can do.
const ASKED: f64 = 2.0;
/// As the settings tell: from which share and in how many ms a box warms, and what it falls at, times so much in so many ms.
const COLD: (f64, f64) = (0.2, 60_000.0);
const FALL: (f64, u64) = (2.0, 1000);
/// ms of the script: the cold box is told of, half of the gateways are killed and come back, the end.
const SCRIPT: [u64; 3] = [1000, 3000, 9000];

/// Requests a second that a warm box can do.
fn capacity() -> f64 {
    WORKERS as f64 * 1000.0 / SERVICE as f64
}

/// What a cold box got.
#[derive(Debug, Clone, Copy)]
pub struct Shown {
    /// Calls in all.
    pub calls: usize,
    /// In the window in which it got most for what it is allowed: calls, and the budget N.
    pub worst: (usize, f64),
    /// Requests of clients, and those served in time.
    pub served: (u64, u64),
}

impl Shown {
    /// What is put down to chance beyond a budget: 2 x root of N, and 2.
    pub fn bound(&self) -> f64 {
        let budget = self.worst.1;
        budget + 2.0 * budget.sqrt() + 2.0
    }
}

struct World {
    dir: PathBuf,
    bulletin: Bulletin,
    store: Store,
    all: usize,
    seed: u64,
}

impl World {
    fn entry(&self, born: Micros) -> String {
        format!(
            r#"{{"host":"s-a0","dial":"{}","site":"edge","class":"standard","health":"up","share":{WORKERS},"born_ms":{}}}"#,
            self.store.address,
            born / 1000
        )
    }

    /// Starts one, with the list as it was before the box.
    fn gateway(&self, at: usize) -> Result<Gateway, String> {
        let all = self.all;
        let settings = SETTINGS
            .replace("\"upperColdMs\":21000", &format!("\"upperColdMs\":21000,\"zoneBalancers\":[0,{all}]"))
            .replace("\"startCapacity\":0.3", &format!("\"startCapacity\":{}", COLD.0))
            .replace("\"warmWithinMs\":10000", &format!("\"warmWithinMs\":{}", COLD.1))
            .replace("\"targetMs\":250", &format!("\"targetMs\":{AIM}"))
            .replace("\"deadlineMs\":2000", &format!("\"deadlineMs\":{}", 2 * AIM));
        let config = format!(
            r#"{{"seed":"{:x}","limits":{{"cores":1.0,"memory_mb":32,"sockets":96}},"bulletin":"{}",
            "known":{{"no":1,"items":[{{"no":1,"roster":{{"seq":1,"whole":true,"hosts":[]}}}}]}},
            "settings":{{"balancers":{all},"me":{at},{settings}}}}}"#,
            larchway::mix(self.seed ^ at as u64 ^ now() << 16),
            self.bulletin.address,
        );
        spawn(&self.dir, at, &config, &[])
    }

    fn ask(&self, gateway: &Gateway, ms: u64) -> std::thread::JoinHandle<Option<Tally>> {
        let load = Load {
            gateway: gateway.at as u8,
            rate: capacity() * ASKED / self.all as f64,
            ttl_ms: 2 * AIM,
            aim_ms: AIM,
            class: "history-files".into(),
            objects: 20_000,
            zipf: 0.0,
            writes: 0.0,
            span: ms * 1000,
            seed: larchway::mix(self.seed ^ (gateway.at as u64) << 20 ^ ms),
            lines: (2, 2000),
        };
        let front = gateway.front;
        std::thread::spawn(move || load::play(front, &load).ok())
    }
}

impl Drop for World {
    fn drop(&mut self) {
        if std::env::var_os("LARCHWAY_LAB_KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

/// Plays the script with so many gateways.
pub fn run(name: &str, gateways: usize, seed: u64) -> Result<Shown, String> {
    let dir = std::env::temp_dir().join(format!("larchway-lab-{}-cold-{name}", std::process::id()));
    std::fs::create_dir_all(&dir).map_err(|e| format!("{}: {e}", dir.display()))?;
    let world = World {
        dir,
        bulletin: Bulletin::start().map_err(|e| format!("the bulletin: {e}"))?,
        store: Store::wide(Duration::from_millis(SERVICE), 500, WORKERS)
            .map_err(|e| format!("a box: {e}"))?,
        all: gateways,
        seed,
    };
    world.bulletin.roster(true, &[]);
    let mut running = (0..gateways).map(|at| world.gateway(at)).collect::<Result<Vec<_>, _>>()?;
    let begun = std::time::Instant::now();
    let until = |ms: u64| std::thread::sleep(Duration::from_millis(ms).saturating_sub(begun.elapsed()));
    // Those that are killed are asked until then.
    let stays = |at: usize| at.is_multiple_of(2);
    let span = |at: usize| if stays(at) { SCRIPT[2] } else { SCRIPT[1] };
    let mut loads: Vec<_> = running.iter().map(|g| world.ask(g, span(g.at))).collect();
    until(SCRIPT[0]);
    let born = now();
    world.bulletin.roster(false, &[world.entry(born)]);
    until(SCRIPT[1]);
    for gateway in running.iter_mut().filter(|g| !stays(g.at)) {
        gateway.kill();
        *gateway = world.gateway(gateway.at)?;
        loads.push(world.ask(gateway, SCRIPT[2].saturating_sub(begun.elapsed().as_millis() as u64)));
    }
    let mut served = (0, 0);
    for load in loads {
        // Whose gateway is killed ends with an error, and is not counted.
        let Some(told) = load.join().map_err(|_| "a load ended".to_string())? else { continue };
        served = (served.0 + told.asked, served.1 + told.in_time);
    }
    Ok(Shown { served, ..worst(&world.store, born) })
}

/// The window that ends with a call in which most came beyond what the box is allowed at its end.
fn worst(store: &Store, born: Micros) -> Shown {
    let mut times: Vec<Micros> = store.seen().iter().map(|s| s.at).collect();
    times.sort_unstable();
    let budget = |at: Micros| {
        let gone = at.saturating_sub(born) as f64 / 1000.0 / COLD.1;
        FALL.0 * capacity() * FALL.1 as f64 / 1000.0 * (COLD.0 + (1.0 - COLD.0) * gone).min(1.0)
    };
    let mut shown = Shown { calls: times.len(), worst: (0, budget(born)), served: (0, 0) };
    let beyond = |(calls, budget): (usize, f64)| (calls as f64 - budget) / budget.sqrt();
    let (mut first, mut most) = (0, f64::MIN);
    for (last, at) in times.iter().enumerate() {
        while times[first] + FALL.1 * 1000 < *at {
            first += 1;
        }
        let window = (last + 1 - first, budget(*at));
        if beyond(window) > most {
            (most, shown.worst) = (beyond(window), window);
        }
    }
    shown
}

/// Plays the trial.
pub fn play(seed: u64, only: Option<&str>) -> Result<Outcome, String> {
    let mut outcome = Outcome { table: String::new(), figures: json!([]), broken: Vec::new() };
    let mut figures = Vec::new();
    for gateways in [20, 30] {
        let name = format!("{gateways} gateways");
        if only.is_some_and(|only| only != name) {
            continue;
        }
        let shown = run(&gateways.to_string(), gateways, seed)?;
        let ((calls, budget), served) = (shown.worst, shown.served.1 as f64 / shown.served.0.max(1) as f64);
        let _ = writeln!(
            outcome.table,
            "{name:12}  calls {:5}  worst window {calls:3} of {budget:6.1} ({:.1} with what is put down to chance)  served {served:.4}",
            shown.calls,
            shown.bound()
        );
        figures.push(
            json!({ "gateways": gateways, "calls": shown.calls, "worst": shown.worst, "served": served }),
        );
        if calls as f64 > shown.bound() {
            outcome.broken.push(format!("{name}: {calls} calls in a window that allows {budget:.1}"));
        }
        if shown.calls == 0 {
            outcome.broken.push(format!("{name}: the cold box was never asked"));
        }
    }
    outcome.figures = json!(figures);
    Ok(outcome)
}
