//! The configuration of a gateway at one of 800 sites, with as many stores listed and gateways named as a case wants.
use crate::trial::list_entry::ListEntry;
use std::net::SocketAddr;

/// Sites of the target.
pub const SITES: usize = 800;
/// Gateways of the target.
pub const GATEWAYS: usize = 12_000;
/// Stores of the target.
pub const STORES: usize = 4_900;
/// Stores of a site, until all sites have so many.
const STORES_PER_SITE: usize = 6;
/// Every so many stores one is a parent: a quarter as many parents as other stores.
const PARENT_EVERY: usize = 5;
/// Port of the gateways that are named; nothing listens there.
const PEER_PORT: u16 = 7400;
/// The site of the gateway that is measured.
const OWN_SITE: usize = 0;
/// Size of a store where a case wants no other.
pub const STORE_UNITS: f64 = 4.0;

/// What a configuration is written from.
#[derive(Debug, Clone)]
pub struct SiteConfiguration {
    /// Stores listed, all of which are the one stand-in at `store`.
    pub stores: usize,
    /// Gateways named in `peers`.
    pub gateways: usize,
    /// Address of the stand-in store.
    pub store: SocketAddr,
    /// Address of the stand-in bulletin.
    pub bulletin: SocketAddr,
    /// Whether datagrams between gateways are allowed; `peer_listen` is set then.
    pub datagrams: bool,
    /// Sites that the stores are spread over.
    pub sites: usize,
    /// Size of a store, in the units of the list.
    pub units: f64,
    /// Which stores the gateway's own file names; the source of events knows all.
    pub named: Named,
    /// Seed of the gateway.
    pub seed: u64,
}

/// A part of the list of stores.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Named {
    /// All stores.
    #[default]
    All,
    /// The own site's, and the parents of all sites.
    OwnAndParents,
    /// The own site's, and the parents of the first sites up to the one of this number.
    OwnAndNearParents(usize),
}

impl Named {
    /// The scope of a relay that holds this part, as JSON; none for the whole list.
    pub fn scope(self) -> Option<String> {
        let sites = match self {
            Named::All => return None,
            Named::OwnAndParents => String::new(),
            Named::OwnAndNearParents(last) => {
                let sites: Vec<String> = (0..=last).map(|site| format!("\"z{site}\"")).collect();
                format!(r#","sites":[{}]"#, sites.join(","))
            }
        };
        Some(format!(r#"{{"sites":["z{OWN_SITE}"],"sources":{{"classes":["parent","origin"]{sites}}}}}"#))
    }

    fn contains(self, site: usize, is_parent: bool) -> bool {
        let is_source = match self {
            Named::All => return true,
            Named::OwnAndParents => is_parent,
            Named::OwnAndNearParents(last) => is_parent && site <= last,
        };
        is_source || site == OWN_SITE
    }
}

/// Whether the store of this number is a parent.
fn is_parent(at: usize) -> bool {
    at % PARENT_EVERY == PARENT_EVERY - 1
}

impl SiteConfiguration {
    /// The site of the store of this number.
    fn site_of(&self, at: usize) -> usize {
        (at / STORES_PER_SITE) % self.sites
    }

    /// The entry of a store in the list.
    pub fn entry(&self, at: usize, health: &str) -> String {
        let class = if is_parent(at) { "parent" } else { "standard" };
        let entry = ListEntry {
            host: &format!("s-{at}"),
            address: self.store,
            site: &format!("z{}", self.site_of(at)),
            class,
            health,
            units: self.units,
            started_ms: 0,
        };
        entry.to_string()
    }

    /// All entries, of stores that are up.
    pub fn entries(&self) -> Vec<String> {
        (0..self.stores).map(|at| self.entry(at, "up")).collect()
    }

    /// The entries that the gateway's own file names.
    fn named_entries(&self) -> Vec<String> {
        let named = |at: &usize| self.named.contains(self.site_of(*at), is_parent(*at));
        (0..self.stores).filter(named).map(|at| self.entry(at, "up")).collect()
    }

    /// The text of the file that `EDGE_CONFIG` names.
    pub fn text(&self) -> String {
        let peers: Vec<String> =
            (0..self.gateways).map(|number| format!("\"{}\"", peer_address(number))).collect();
        let peer_listen = if self.datagrams { "\"127.0.0.1:0\"" } else { "null" };
        format!(
            r#"{{"seed":"{:x}","limits":{{"cores":1.0,"memory_mb":128,"sockets":8192}},"bulletin":"{}",
 "peer_listen":{peer_listen},"peers":[{}],
 "known":{{"no":1,"items":[{{"no":1,"roster":{{"seq":1,"whole":true,"hosts":[{}]}}}}]}},
 "settings":{{{}}}}}"#,
            self.seed,
            self.bulletin,
            peers.join(","),
            self.named_entries().join(","),
            self.settings(),
        )
    }

    fn settings(&self) -> String {
        let zones: Vec<String> = (0..SITES).map(|site| format!("\"z{site}\"")).collect();
        let gateways = self.gateways.max(SITES);
        let zone_gateways = vec![(gateways / SITES).to_string(); SITES];
        format!(
            r#""balancers":{gateways},"me":0,"familyInfo":{{"canJoin":true,"goneEverywhereMs":9100.0,"graceForMs":[0],
 "lifetimeByClassMs":[600000],"mayPassBy":true,"neverKept":[false],"noteLevel":"all","oneFlowKbPerS":7800,
 "peersFill":"any","shieldKind":1,"storeKind":2,"upperColdMs":21000,"zoneBalancers":[{}]}},
 "limits":{{"cancel":true,"connIdleMs":30000,"connectTimeoutMs":400,"maxAttempts":8,"maxRetryAfterMs":1000,
 "mayDuplicate":true,"peers":{},"retryAfter":true}},
 "locality":{OWN_SITE},"membershipMode":"push","models":["standard","parent","origin"],"report":{{"fields":["util"]}},
 "rules":{{"fallMs":1000,"fallMultiple":2.0,"startCapacity":0.3,"stopSendingWithinMs":500,"warmWithinMs":10000}},
 "services":[{{"aimStretch":2,"deadlineMs":2000,"effect":"pure","name":"history-files","targetMs":250}}],
 "weightKind":"nominal","zones":[{}]"#,
            zone_gateways.join(","),
            self.datagrams,
            zones.join(",")
        )
    }
}

/// The address of a gateway that is named: one of its own on loopback for each number.
fn peer_address(number: usize) -> SocketAddr {
    let host = u32::try_from(number).unwrap_or(u32::MAX) + 1;
    let [_, high, middle, low] = host.to_be_bytes();
    SocketAddr::from(([127, high + 1, middle, low], PEER_PORT))
}
