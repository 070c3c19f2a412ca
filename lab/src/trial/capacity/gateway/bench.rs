//! One real gateway with a stand-in bulletin and a stand-in store, and what it uses while something happens.
use super::relayed::Relayed;
use super::site::{self, Named, SiteConfiguration};
use crate::clock::now;
use crate::hollow::usage;
use crate::load::{self, Load, LoadResult};
use crate::stand::bulletin::Bulletin;
use crate::stand::store::Store;
use crate::trial::gateway::Gateway;
use crate::trial::TrialError;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// Bytes of an object.
const OBJECT_BYTES: usize = 1000;
/// Requests that the stand-in store works on at once.
const STORE_WORKERS: usize = 64;
/// Objects that are asked for.
const OBJECTS: u64 = 20_000;
/// The class of the requests.
const CLASS: &str = "history-files";
/// How long a reload may take.
const RELOAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Time between two reloads: the gateway logs five lines a second of a kind at most.
const RELOAD_PAUSE: Duration = Duration::from_millis(250);
/// Time between two looks into the log.
const LOG_POLL: Duration = Duration::from_micros(200);
/// What the gateway logs when it has read its configuration again.
const RELOADED: &str = "the configuration is read again";

/// What a case wants of its gateway.
#[derive(Debug, Clone, Default)]
pub(crate) struct Wanted {
    /// Stores listed.
    pub stores: usize,
    /// Gateways named in `peers`.
    pub gateways: usize,
    /// Whether datagrams between gateways are allowed.
    pub datagrams: bool,
    /// Whether it reads its events from a relay, with gzip and position reports, in place of the bulletin.
    pub relayed: bool,
    /// Whether documents of configuration that come from the relay are applied.
    pub documents: bool,
    /// Sites and the size of a store; none: those of the target.
    pub region: Option<Region>,
    /// Which stores it is sent; a part of them only by a relay, which has a scope for it.
    pub named: Named,
    /// Operator files by their flag.
    pub files: Vec<(&'static str, String)>,
    /// Feeds random numbers.
    pub seed: u64,
}

/// Few sites, which all stores are spread over.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Region {
    /// Sites.
    pub sites: usize,
    /// Size of a store, in the units of the list.
    pub units: f64,
}

/// What the gateway used in a span of time.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Usage {
    /// The span.
    pub elapsed: Duration,
    /// Processor time of the gateway.
    pub processor: Duration,
    /// Bytes that the bulletin wrote to the gateway; with a relay, those of both directions.
    pub received: u64,
}

impl Usage {
    /// Share of a core, in percent.
    pub(crate) fn core_percent(&self) -> f64 {
        self.processor.as_secs_f64() / self.elapsed.as_secs_f64() * 100.0
    }

    /// Bytes a second from the bulletin.
    pub(crate) fn bytes_per_second(&self) -> f64 {
        self.received as f64 / self.elapsed.as_secs_f64()
    }

    /// Processor time of one of `count` events in us, without what the idle gateway uses.
    pub(crate) fn micros_each(&self, count: u64, idle: &Usage) -> f64 {
        let idle_share = idle.processor.as_secs_f64() / idle.elapsed.as_secs_f64();
        let busy = self.processor.as_secs_f64() - idle_share * self.elapsed.as_secs_f64();
        busy * 1e6 / count.max(1) as f64
    }
}

/// What a reload took.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Reload {
    /// From before the signal is sent to the line in the log; some 1 to 3 ms of it are the program that sends it.
    pub elapsed: Duration,
    /// Processor time of the gateway.
    pub processor: Duration,
}

/// A gateway and its surroundings. Its process and its files end with it.
pub(crate) struct Bench {
    /// The bulletin that it reads.
    pub bulletin: Bulletin,
    /// The gateway.
    pub gateway: Gateway,
    /// What its configuration was written from.
    pub site: SiteConfiguration,
    relayed: Option<Relayed>,
    /// The store that all listed ones are.
    pub store: Store,
    dir: PathBuf,
}

impl Bench {
    /// Starts one; `name` distinguishes its files from those of others.
    pub(crate) fn start(name: &str, wanted: &Wanted) -> Result<Self, TrialError> {
        let dir = std::env::temp_dir().join(format!("larchway-lab-{}-capacity-{name}", std::process::id()));
        std::fs::create_dir_all(&dir).map_err(TrialError::io(dir.display().to_string()))?;
        let bulletin = Bulletin::start().map_err(TrialError::io("the bulletin"))?;
        let store =
            Store::wide(Duration::ZERO, OBJECT_BYTES, STORE_WORKERS).map_err(TrialError::io("the store"))?;
        let region = wanted.region.unwrap_or(Region { sites: site::SITES, units: site::STORE_UNITS });
        let site = SiteConfiguration {
            stores: wanted.stores,
            gateways: wanted.gateways,
            store: store.address,
            bulletin: bulletin.address,
            datagrams: wanted.datagrams,
            sites: region.sites,
            units: region.units,
            named: wanted.named,
            seed: wanted.seed,
        };
        bulletin.roster(true, &site.entries());
        let relayed =
            wanted.relayed.then(|| Relayed::start(&dir, bulletin.address, wanted.named)).transpose()?;
        let mut files = wanted.files.clone();
        files.extend(relayed.iter().map(|relayed| ("events", relayed.events_file(wanted.documents))));
        let gateway = Gateway::start(&dir, 0, &site.text(), &files)?;
        if let Some(relayed) = &relayed {
            relayed.wait_for_gateway()?;
        }
        Ok(Bench { bulletin, gateway, site, relayed, store, dir })
    }

    /// Processor time of the gateway so far.
    pub(crate) fn processor_time(&self) -> Result<Duration, TrialError> {
        Ok(Duration::from_micros(usage::processor_us(self.gateway.process_id())?))
    }

    /// Bytes between the gateway and its source of events so far.
    pub(crate) fn control_bytes(&self) -> u64 {
        let relayed = self.relayed.as_ref().map(Relayed::bytes_passed);
        relayed.unwrap_or_else(|| self.bulletin.bytes_written())
    }

    /// Resident memory of the gateway, MB (10^6 bytes).
    pub(crate) fn resident_mb(&self) -> Result<f64, TrialError> {
        Ok(usage::resident_bytes(self.gateway.process_id())? as f64 / 1e6)
    }

    /// What the gateway uses while `work` goes on.
    pub(crate) fn during<T>(&self, work: impl FnOnce() -> T) -> Result<(Usage, T), TrialError> {
        let (started, processor, received) = (Instant::now(), self.processor_time()?, self.control_bytes());
        let done = work();
        let usage = Usage {
            processor: self.processor_time()? - processor,
            received: self.control_bytes() - received,
            elapsed: started.elapsed(),
        };
        Ok((usage, done))
    }

    /// What the gateway uses while nothing happens.
    pub(crate) fn idle(&self, span: Duration) -> Result<Usage, TrialError> {
        self.during(|| std::thread::sleep(span)).map(|(usage, ())| usage)
    }

    /// Requests of clients at a rate, evenly over all objects.
    pub(crate) fn request(&self, rate: f64, span: Duration, seed: u64) -> Result<LoadResult, TrialError> {
        self.request_by(rate, span, seed, 0.0)
    }

    /// Requests of clients at a rate, the objects by Zipf's law with this exponent.
    pub(crate) fn request_by(
        &self,
        rate: f64,
        span: Duration,
        seed: u64,
        zipf: f64,
    ) -> Result<LoadResult, TrialError> {
        let load = Load {
            gateway: 1,
            rate,
            ttl_ms: 2000,
            objective_ms: 250,
            class: CLASS.into(),
            objects: OBJECTS,
            zipf,
            writes: 0.0,
            span: span.as_micros() as u64,
            seed,
            connections: load::Connections::FEW_GATEWAYS,
        };
        load::play(self.gateway.front, &load).map_err(TrialError::io("requests"))
    }

    /// A change of one store's state: out for a drain, or back.
    pub(crate) fn change_list(&self, change: u64) {
        let health = if change.is_multiple_of(2) { "draining" } else { "up" };
        self.bulletin.roster(false, &[self.site.entry(self.store_of(change / 2), health)]);
    }

    /// One list that takes so many stores out for a drain and has those of the list before back.
    pub(crate) fn drain_some(&self, list: u64, count: u64) {
        let of = |list: u64| (list * count..(list + 1) * count).map(|drain| self.store_of(drain));
        let drained = of(list).map(|store| self.site.entry(store, "draining"));
        let back = list.checked_sub(1).into_iter().flat_map(of).map(|store| self.site.entry(store, "up"));
        let entries: Vec<String> = back.chain(drained).collect();
        self.bulletin.roster(false, &entries);
    }

    /// The store that a drain concerns.
    fn store_of(&self, drain: u64) -> usize {
        larchway::mix(drain) as usize % self.site.stores.max(1)
    }

    /// The purge of an object, one of 2^64, issued now.
    pub(crate) fn purge(&self, number: u64) {
        let object = larchway::mix(number ^ self.site.seed << 40);
        self.bulletin.purge(object, now() / 1000);
    }

    /// Has the gateway read its configuration again.
    pub(crate) fn reload(&self) -> Result<Reload, TrialError> {
        let before = self.reloads_logged();
        let (started, processor) = (Instant::now(), self.processor_time()?);
        self.gateway.reload()?;
        while self.reloads_logged() == before {
            if started.elapsed() > RELOAD_TIMEOUT {
                return Err(TrialError::NotInTime(format!("no reload within {RELOAD_TIMEOUT:?}")));
            }
            std::thread::sleep(LOG_POLL);
        }
        let elapsed = started.elapsed();
        Ok(Reload { elapsed, processor: self.processor_time()? - processor })
    }

    /// So many reloads; the least time and the least processor time count, for the others waited for the processor.
    pub(crate) fn least_reload(&self, count: usize) -> Result<Reload, TrialError> {
        let mut least = self.reload()?;
        for _ in 1..count {
            std::thread::sleep(RELOAD_PAUSE);
            let next = self.reload()?;
            least.elapsed = least.elapsed.min(next.elapsed);
            least.processor = least.processor.min(next.processor);
        }
        Ok(least)
    }

    fn reloads_logged(&self) -> usize {
        std::fs::read_to_string(&self.gateway.log).unwrap_or_default().matches(RELOADED).count()
    }
}

impl Drop for Bench {
    fn drop(&mut self) {
        self.gateway.kill();
        if std::env::var_os("LARCHWAY_LAB_KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

/// Publishes at a rate for a span of time; each event gets its number from `first` on. Returns how many there were.
pub(crate) fn publish_at(rate: f64, span: Duration, first: u64, mut publish: impl FnMut(u64)) -> u64 {
    let started = Instant::now();
    let mut count = 0;
    loop {
        let due = Duration::from_secs_f64(count as f64 / rate);
        if due >= span {
            std::thread::sleep(span.saturating_sub(started.elapsed()));
            return count;
        }
        std::thread::sleep(due.saturating_sub(started.elapsed()));
        publish(first + count);
        count += 1;
    }
}
