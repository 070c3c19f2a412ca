//! `trial upgrade`: ten upgrades of one gateway under load, with stores taken out by hand and drained in between, on
//! real processes and sockets, against the same load and the same calls with no upgrade.
mod bans;
mod figures;
mod report;
mod resources;
mod run;
mod world;

use super::bounds::Bounds;
use super::{Outcome, TrialError};
use run::Variant;
use serde_json::json;

const UPGRADES: usize = 10;
/// Requests a second.
const RATE: f64 = 150.0;
/// ms: the first round, and from one to the next.
const FIRST_MS: u64 = 1500;
const ROUND_MS: u64 = 2600;
/// ms: the client's wait, which is the longest deadline, and what the platform adds before it kills.
const LONGEST_DEADLINE_MS: u64 = 1000;
const PLATFORM_GRACE_MS: u64 = 700;
/// What a gateway may have, both processes of an upgrade together.
const MEMORY_MB: u64 = 64;
const SOCKETS: u64 = 512;

const SETTINGS: &str = r#"{"balancers":1,"familyInfo":{"canJoin":true,"goneEverywhereMs":6000.0,"graceForMs":[0,0],
 "lifetimeByClassMs":[0,0],"mayPassBy":true,"neverKept":[false,true],"noteLevel":"all","oneFlowKbPerS":7800,
 "peersFill":"any","shieldKind":1,"storeKind":2,"upperColdMs":21000,"zoneBalancers":[0,1]},
 "limits":{"cancel":true,"connIdleMs":30000,"connectTimeoutMs":400,"maxAttempts":8,
 "maxRetryAfterMs":1000,"mayDuplicate":true,"retryAfter":true},
 "locality":1,"membershipMode":"push","models":["standard","parent","origin"],
 "services":[{"aimStretch":1.6,"deadlineMs":1000,"effect":"pure","name":"history-files","targetMs":150},
 {"deadlineMs":1000,"effect":"token","group":"all","name":"bid-submit","targetMs":300,"windowMs":3000}],
 "weightKind":"rough","zones":["east","edge"]}"#;

/// Plays the trial.
pub fn play(seed: u64, only: Option<&str>) -> Result<Outcome, TrialError> {
    if let Some(case) = only {
        return Err(TrialError::OnlyCase(case.into()));
    }
    let no_upgrade = run::play_variant(Variant::NoUpgrade, seed)?;
    let upgrades = run::play_variant(Variant::Upgrades, seed)?;
    let (mut table, mut bounds) = (report::header(), Bounds::default());
    for (name, figures) in [("no upgrade", &no_upgrade), ("10 upgrades", &upgrades)] {
        table.push_str(&report::row(name, figures));
        report::check(name, figures, &mut bounds);
    }
    report::check_upgrades(&no_upgrade, &upgrades, &mut bounds);
    let figures = json!({ "seed": seed, "no_upgrade": no_upgrade.json(), "upgrades": upgrades.json() });
    Ok(Outcome { table, figures, broken: bounds.into_broken() })
}
