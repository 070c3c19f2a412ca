//! The cases. Each starts a small deployment, plays its disruption unless it is left out, and judges by what stores and
//! clients have seen.
use crate::bulletin::Pace;
use crate::client::{flood, Answer};
use crate::gateway::{free_address, Gateway, SIGKILL, SIGTERM};
use crate::operator;
use crate::record::unix_ms;
use crate::store::{issued_of, Store};
use crate::world::{object, Asked, World};
use crate::Verdict;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Each time limit is so much longer on sockets.
const SLACK_MS: u64 = 50;
/// `rules.stopSendingWithinMs` and `familyInfo.noticeTimeMs` of the settings.
const DRAIN_MS: u64 = 1000;
const PURGE_MS: u64 = 300;
/// What the bulletin has to tell is told no later than this.
const TOLD_AT_LATEST_MS: u64 = 7000;
/// After an upgrade the bulletin's news counts as told so long after the yes.
const NEWS_AFTER_YES_MS: u64 = 2000;
/// How late the slow bulletin answers: under half of [`TOLD_AT_LATEST_MS`].
const SLOW: Duration = Duration::from_secs(3);

/// Bad clients at once: well under a third of the descriptors.
const BAD_CLIENTS: usize = 150;

/// What a slow client reads a second.
const SLOW_BYTES_PER_S: usize = 1_000_000;

/// Plays a case.
pub fn play(case: &str, root: &Path, folder: &Path, trouble: bool) -> std::io::Result<Verdict> {
    let play = match case {
        "bad-clients" => bad_clients,
        "slow-readers" => slow_readers,
        "slow-discovery-drain" => slow_discovery_drain,
        "slow-discovery-purge" => slow_discovery_purge,
        "upgrade-in-an-outage" => upgrade_in_an_outage,
        other => return Ok(Verdict::NotRun(format!("{other} is no case"))),
    };
    play(&mut World::start(root, folder)?, trouble)
}

/// Bad clients send requests of a class that does not exist at full speed, and read what they are sent. Eight usual
/// clients send some tens of requests a second.
fn bad_clients(world: &mut World, trouble: bool) -> std::io::Result<Verdict> {
    let config = world.write_config()?;
    let Some(mut gateway) = world.start_gateway(&world.scratch("tmp")?, &config, None) else {
        return Ok(Verdict::NotRun("the gateway is not ready".to_string()));
    };
    for number in 0..8 {
        let objects = (0..6000).map(|turn| object(turn * 8 + number)).collect();
        world.start_client("bid-status", objects, Duration::from_millis(150), 1250);
    }
    world.wait_until(3000);
    let stop = Arc::new(AtomicBool::new(false));
    let mut floods = Vec::new();
    if trouble {
        world.record.tell(format!("bad clients: {BAD_CLIENTS} begin to send"));
        for _ in 0..BAD_CLIENTS {
            let (listen, stop) = (world.listen, stop.clone());
            floods.push(std::thread::spawn(move || flood(listen, &stop)));
        }
    }
    world.wait_until(15_000);
    world.stop_clients();
    stop.store(true, Ordering::SeqCst);
    let sent: usize = floods.into_iter().filter_map(|flood| flood.join().ok()).sum();
    world.record.tell(format!("bad clients: sent {sent} bytes in all"));
    world.tell_counts();
    let has_ended = gateway.has_ended();
    let asked = world.asked.lock().unwrap();
    let is_lost = |asked: &&Asked| matches!(asked.answer, Answer::Nothing | Answer::Closed);
    let lost = asked.iter().filter(is_lost).count();
    world.record.tell(format!("{lost} of {} requests of the usual clients are lost", asked.len()));
    Ok(if lost > 0 || has_ended { Verdict::Broken } else { Verdict::Held })
}

/// Beside ordinary clients, 40 clients ask for large objects and read 1 MB a second. The platform watches the private
/// memory of the gateway, which it may kill over its limit.
fn slow_readers(world: &mut World, trouble: bool) -> std::io::Result<Verdict> {
    (world.memory_mb, world.sockets) = (32, 256);
    let config = world.write_config()?;
    let Some(mut gateway) = world.start_gateway(&world.scratch("tmp")?, &config, None) else {
        return Ok(Verdict::NotRun("the gateway is not ready".to_string()));
    };
    for number in 0..12 {
        let objects = (0..20_000).map(|turn| object(turn * 12 + number)).collect();
        world.start_client("history-files", objects, Duration::from_millis(5), 6000);
    }
    world.wait_until(30_000);
    let before = gateway.private_kb();
    world.record.tell(format!(
        "gateway n1: {before} kB of private memory; 40 clients begin to ask for large objects"
    ));
    for number in 0..40 {
        let pace = if trouble { SLOW_BYTES_PER_S } else { 100_000_000 };
        world.start_reader(number, Duration::from_millis(200), pace);
    }
    let (limit, mut most, until) = (world.memory_mb * 1024, 0, world.record.now() + 35_000);
    while world.record.now() < until && !gateway.has_ended() {
        let now = gateway.private_kb();
        if now > most {
            most = now;
            world.record.line(format!("gateway n1: {now} kB of private memory"));
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    world.stop_clients();
    world.tell_counts();
    world.record.tell(format!("gateway n1: at most {most} kB of private memory, {limit} kB allowed"));
    Ok(if most > limit { Verdict::Broken } else { Verdict::Held })
}

/// Four clients that ask for ever new objects, about 100 requests a second.
fn start_clients(world: &mut World) {
    for number in 0..4 {
        let objects = (0..6000).map(|turn| object(turn * 4 + number)).collect();
        world.start_client("bid-status", objects, Duration::from_millis(20), 2000);
    }
}

/// Says in the bulletin that a store drains; returns when.
fn drain(world: &World, store: &Store) -> u64 {
    let entry = store.entry("draining", 0);
    world.bulletin.tell(&format!(r#""roster":{{"seq":2,"whole":false,"hosts":[{entry}]}}"#));
    world.record.now()
}

/// Judges that a store gets no work after `limit`, a time of the record; `told`: when its drain was told.
fn judge_drain(world: &World, store: &Store, told: u64, limit: u64) -> Verdict {
    world.tell_counts();
    let arrivals = world.log.arrivals.lock().unwrap();
    let at: Vec<u64> =
        arrivals.iter().filter(|arrival| arrival.uses(&store.name)).map(|arrival| arrival.at).collect();
    let before = at.iter().filter(|at| **at < told).count();
    let late: Vec<u64> = at.iter().copied().filter(|at| *at > limit).collect();
    let after = limit - told;
    world.record.tell(format!(
        "{}: {before} requests before {told}, {} later than {after} ms after that",
        store.name,
        late.len()
    ));
    if let (Some(first), Some(last)) = (late.first(), late.last()) {
        world.record.tell(format!(
            "the first of these {} ms, the last {} ms after it",
            first - told,
            last - told
        ));
    }
    match (before, late.is_empty()) {
        (0, _) => Verdict::NotRun("the store had no work before its drain".to_string()),
        (_, true) => Verdict::Held,
        (_, false) => Verdict::Broken,
    }
}

/// Discovery is slow: it answers each call 3 s late. A store begins to drain.
fn slow_discovery_drain(world: &mut World, trouble: bool) -> std::io::Result<Verdict> {
    let config = world.write_config()?;
    if trouble {
        world.bulletin.set_pace(Pace { head: SLOW, events: SLOW });
    }
    let Some(_gateway) = world.start_gateway(&world.scratch("tmp")?, &config, None) else {
        return Ok(Verdict::NotRun("the gateway is not ready".to_string()));
    };
    start_clients(world);
    world.wait_until(5000);
    let drained = world.stores[0].clone();
    let told = drain(world, &drained);
    world.wait_until(told + 25_000);
    world.stop_clients();
    Ok(judge_drain(world, &drained, told, told + TOLD_AT_LATEST_MS + DRAIN_MS + SLACK_MS))
}

/// Discovery is slow: it answers each call at once and sends the events 3 s later. All objects of a group are purged.
fn slow_discovery_purge(world: &mut World, trouble: bool) -> std::io::Result<Verdict> {
    let config = world.write_config()?;
    if trouble {
        world.bulletin.set_pace(Pace { head: Duration::ZERO, events: SLOW });
    }
    let Some(_gateway) = world.start_gateway(&world.scratch("tmp")?, &config, None) else {
        return Ok(Verdict::NotRun("the gateway is not ready".to_string()));
    };
    // Each client asks for each of its 50 objects once in about 14 s.
    for number in 0..8 {
        let objects = (0..50).map(|turn| object(turn * 8 + number)).collect();
        world.start_client("history-files", objects, Duration::from_millis(270), 3000);
    }
    world.wait_until(16_000);
    let issued = unix_ms();
    world.bulletin.tell(&format!(r#""recall":{{"lot":17,"issued":{issued}}}"#));
    let told = world.record.now();
    world.wait_until(told + 2000);
    world.stores.iter().for_each(|store| store.drop_copies(issued));
    world.record.tell("stores: no copy from before the purge is left at any store");
    world.wait_until(told + 14_000);
    world.stop_clients();
    world.tell_counts();
    let limit = told + TOLD_AT_LATEST_MS + PURGE_MS + SLACK_MS;
    let asked = world.asked.lock().unwrap();
    let after: Vec<_> = asked.iter().filter(|asked| asked.sent > limit).collect();
    let is_old = |body: &[u8]| issued_of(body).is_some_and(|copy| copy <= issued);
    let old =
        after.iter().filter(|asked| matches!(&asked.answer, Answer::Served(body) if is_old(body))).count();
    world.record.tell(format!(
        "{} requests sent later than {} ms after the purge, {old} of them answered from a copy older than it",
        after.len(),
        limit - told
    ));
    Ok(match (after.len(), old) {
        (0, _) => Verdict::NotRun("nothing was asked after the purge".to_string()),
        (_, 0) => Verdict::Held,
        _ => Verdict::Broken,
    })
}

/// Starts the next process of the gateway and waits for its yes; then the old one is told to stop.
fn upgrade(
    world: &World,
    scratch: &Path,
    config: &Path,
    old: &mut Gateway,
) -> std::io::Result<Option<Gateway>> {
    let console = free_address("127.0.0.4")?;
    let Some(next) = world.start_gateway(scratch, config, Some(console)) else { return Ok(None) };
    let until = Instant::now() + Duration::from_secs(6);
    while !operator::is_ready(console) {
        if Instant::now() > until {
            return Ok(None);
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    world.record.tell("gateway n1: the next process says that it is ready");
    old.signal(SIGTERM);
    Ok(Some(next))
}

/// Waits for the end of a process that was told to stop, and kills it after 3.7 s.
fn await_end(old: &mut Gateway) {
    let until = Instant::now() + Duration::from_millis(3700);
    while !old.has_ended() {
        if Instant::now() > until {
            return old.signal(SIGKILL);
        }
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// A store drains, and the gateway is told. Later discovery is down for 8 s, and the gateway is upgraded meanwhile.
fn upgrade_in_an_outage(world: &mut World, trouble: bool) -> std::io::Result<Verdict> {
    // The configuration stays as it was at the start of the gateway.
    let config = world.write_config()?;
    let (scratch, console) = (world.scratch("tmp")?, free_address("127.0.0.4")?);
    let Some(mut old) = world.start_gateway(&scratch, &config, Some(console)) else {
        return Ok(Verdict::NotRun("the gateway is not ready".to_string()));
    };
    start_clients(world);
    world.wait_until(3000);
    let drained = world.stores[0].clone();
    let told = drain(world, &drained);
    world.wait_until(15_000);
    let down_at = world.record.now();
    if trouble {
        world.bulletin.go_down();
    }
    world.wait_until(16_000);
    let Some(_next) = upgrade(world, &scratch, &config, &mut old)? else {
        return Ok(Verdict::NotRun("the next process is not ready".to_string()));
    };
    let yes = world.record.now();
    await_end(&mut old);
    world.wait_until(down_at + 8000);
    if trouble {
        world.bulletin.come_back()?;
    }
    world.wait_until(down_at + 10_000);
    world.stop_clients();
    Ok(judge_drain(world, &drained, told, yes + NEWS_AFTER_YES_MS + DRAIN_MS + SLACK_MS))
}
