//! A store's entry in the list of stores, which is the data of its node in the ensemble too.
use std::fmt;
use std::net::SocketAddr;

/// An entry; it is written as one line of JSON.
pub(super) struct ListEntry<'a> {
    pub host: &'a str,
    pub address: SocketAddr,
    pub site: &'a str,
    /// `standard`, `parent` or `origin`.
    pub class: &'a str,
    pub health: &'a str,
    /// Its size, in units of the list.
    pub units: f64,
    /// When it started cold, ms of the Unix clock; 0: long ago.
    pub started_ms: u64,
}

impl fmt::Display for ListEntry<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ListEntry { host, address, site, class, health, units, started_ms } = self;
        write!(f, r#"{{"host":"{host}","dial":"{address}","site":"{site}","class":"{class}","#)?;
        write!(f, r#""health":"{health}","share":{units},"born_ms":{started_ms}}}"#)
    }
}

/// The site of a store of this class, in trials with two sites.
pub(super) fn site_of_class(class: &str) -> &'static str {
    match class {
        "standard" => "edge",
        _ => "east",
    }
}
