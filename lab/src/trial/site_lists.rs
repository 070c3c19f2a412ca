//! `trial site-lists`: gateways of one site behind relays, with the whole list of the target and with that of their
//! site and its sources: processor time a request, memory, bytes of the list, and what a change of the list costs.
use super::bounds::Bounds;
use super::capacity::gateway::bench::{publish_at, Bench, Usage, Wanted};
use super::capacity::gateway::site::{Named, STORES};
use super::{Outcome, TrialError};
use serde::Serialize;
use serde_json::json;
use std::time::Duration;

/// Stores listed where the list is small for all.
const FEW_STORES: usize = 12;
/// The last of the sites whose parents are near.
const LAST_NEAR_SITE: usize = 7;
/// Requests a second at each gateway, of all at the same time: what else the machine does then concerns all alike.
const REQUEST_RATE: f64 = 300.0;
const WARM_UP: Duration = Duration::from_secs(2);
const REQUESTS: Duration = Duration::from_secs(20);
const CHANGE_RATE: f64 = 20.0;
const CHANGES: Duration = Duration::from_secs(4);
const IDLE: Duration = Duration::from_secs(2);

/// Share of the requests that must be served.
const SERVED: f64 = 0.95;
/// A site's list, by all of the whole one: its bytes, and the memory that it takes above that of few stores. The site's
/// stores and all parents are a fifth of all.
const OWN_AND_PARENTS_SHARE: f64 = 0.35;
/// The same of a list with near parents alone, which are one in a hundred of all.
const NEAR_SHARE: f64 = 0.1;
/// Processor time of a request with a site's list at most, by that with the whole list.
const REQUEST_BY_FULL: f64 = 1.15;
/// The same with near parents alone, by that with few stores.
const REQUEST_BY_FEW: f64 = 1.25;

/// A list that a gateway is sent.
#[derive(Debug, Clone, Copy)]
struct List {
    name: &'static str,
    stores: usize,
    named: Named,
}

const FEW: List = List { name: "few stores", stores: FEW_STORES, named: Named::All };
const FULL_LIST: List = List { name: "whole list", stores: STORES, named: Named::All };
const OWN_AND_PARENTS: List =
    List { name: "site and all parents", stores: STORES, named: Named::OwnAndParents };
const NEAR: List =
    List { name: "site and near parents", stores: STORES, named: Named::OwnAndNearParents(LAST_NEAR_SITE) };

/// What a gateway with one of the lists showed.
#[derive(Debug, Clone, Serialize)]
struct Shown {
    list: &'static str,
    request_us: f64,
    served: f64,
    memory_mb: f64,
    list_bytes: u64,
    change_us: f64,
    change_bytes: f64,
}

/// A gateway while it is measured.
struct Measured {
    list: List,
    bench: Bench,
    list_bytes: u64,
    idle: Usage,
    request_us: f64,
    served: f64,
}

impl Measured {
    fn start(list: List, seed: u64) -> Result<Measured, TrialError> {
        let List { name, stores, named } = list;
        let wanted = Wanted { stores, named, seed, relayed: true, ..Wanted::default() };
        let bench = Bench::start(&format!("lists-{}", name.replace(' ', "-")), &wanted)?;
        let list_bytes = bench.control_bytes();
        let idle = bench.idle(IDLE)?;
        Ok(Measured { list, bench, list_bytes, idle, request_us: 0.0, served: 0.0 })
    }

    fn request(&mut self, seed: u64) -> Result<(), TrialError> {
        self.bench.request(REQUEST_RATE, WARM_UP, seed)?;
        let (usage, result) = self.bench.during(|| self.bench.request(REQUEST_RATE, REQUESTS, seed + 1))?;
        let result = result?;
        self.request_us = usage.micros_each(result.asked, &self.idle);
        self.served = (result.in_time + result.late) as f64 / result.asked.max(1) as f64;
        Ok(())
    }

    fn finish(self) -> Result<Shown, TrialError> {
        let memory_mb = self.bench.resident_mb()?;
        let publish = || publish_at(CHANGE_RATE, CHANGES, 0, |change| self.bench.change_list(change));
        let (usage, changes) = self.bench.during(publish)?;
        let idle_bytes = self.idle.bytes_per_second() * usage.elapsed.as_secs_f64();
        Ok(Shown {
            list: self.list.name,
            request_us: self.request_us,
            served: self.served,
            memory_mb,
            list_bytes: self.list_bytes,
            change_us: usage.micros_each(changes, &self.idle),
            change_bytes: (usage.received as f64 - idle_bytes) / changes.max(1) as f64,
        })
    }
}

fn measure(list: List, all: &[Shown]) -> Result<&Shown, TrialError> {
    let found = all.iter().find(|shown| shown.list == list.name);
    found.ok_or_else(|| TrialError::Unexpected(format!("{} was not played", list.name)))
}

fn check(all: &[Shown]) -> Result<Vec<String>, TrialError> {
    let (few, full) = (measure(FEW, all)?, measure(FULL_LIST, all)?);
    let (own, near) = (measure(OWN_AND_PARENTS, all)?, measure(NEAR, all)?);
    let mut bounds = Bounds::default();
    let mut at_most = |what: &str, shown: &Shown, value: f64, most: f64| {
        bounds.check(value <= most, || format!("{}: {what}: {value:.1}, {most:.1} at most", shown.list));
    };
    for (shown, share) in [(own, OWN_AND_PARENTS_SHARE), (near, NEAR_SHARE)] {
        at_most("bytes of the list", shown, shown.list_bytes as f64, share * full.list_bytes as f64);
        let most = few.memory_mb + share * (full.memory_mb - few.memory_mb);
        at_most("MB", shown, shown.memory_mb, most);
    }
    at_most("us a request", own, own.request_us, REQUEST_BY_FULL * full.request_us);
    at_most("us a request", near, near.request_us, REQUEST_BY_FEW * few.request_us);
    for shown in all {
        bounds.check(shown.served >= SERVED, || format!("{}: {:.3} served", shown.list, shown.served));
    }
    Ok(bounds.into_broken())
}

fn row(shown: &Shown) -> String {
    format!(
        "{:22}  request {:6.1} us  served {:.3}  memory {:5.2} MB  list {:7} bytes  change {:6.1} us, {:6.1} bytes\n",
        shown.list,
        shown.request_us,
        shown.served,
        shown.memory_mb,
        shown.list_bytes,
        shown.change_us,
        shown.change_bytes
    )
}

/// Requests at all gateways at the same time.
fn request_all(measured: &mut [Measured], seed: u64) -> Result<(), TrialError> {
    std::thread::scope(|scope| {
        let threads: Vec<_> =
            measured.iter_mut().map(|gateway| scope.spawn(move || gateway.request(seed))).collect();
        threads.into_iter().try_for_each(|thread| {
            let requested = thread.join();
            requested.map_err(|_| TrialError::Unexpected("requests failed".to_string()))?
        })
    })
}

/// Plays the trial.
pub fn play(seed: u64) -> Result<Outcome, TrialError> {
    let lists = [FEW, FULL_LIST, OWN_AND_PARENTS, NEAR];
    let started = lists.into_iter().map(|list| Measured::start(list, seed)).collect::<Result<Vec<_>, _>>();
    let mut measured = started?;
    request_all(&mut measured, seed)?;
    let shown = measured.into_iter().map(Measured::finish).collect::<Result<Vec<_>, _>>()?;
    let broken = check(&shown)?;
    Ok(Outcome { table: shown.iter().map(row).collect(), figures: json!(shown), broken })
}
