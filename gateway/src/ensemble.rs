//! Ephemeral nodes: the client protocol of a ZooKeeper ensemble. Each instance registers itself under a path of
//! the fleet with a node that ends with its session, and may take its list of stores from the children of another.
use crate::bulletin::{self, News, Store};
use crate::config::{self, Ensemble, Terms};
use crate::log;
use crate::net::{Conn, Gateway, Role};
use crate::slots::Key;
use larchway::Micros;
use std::collections::{BTreeMap, VecDeque};

/// Longest frame taken: the usual limit of a node's size.
const LONGEST: usize = 1 << 20;
/// µs: first and longest pause between calls.
const BACKOFF: (Micros, Micros) = (100_000, 2_000_000);
/// µs in which a connection must come up and the session be granted.
const GRANT: Micros = 2_000_000;

const CREATE: i32 = 1;
const EXISTS: i32 = 3;
const GET_DATA: i32 = 4;
const GET_CHILDREN: i32 = 8;
const PING: i32 = 11;
const CLOSE: i32 = -11;
const EVENT_XID: i32 = -1;
const PING_XID: i32 = -2;
const NO_NODE: i32 = -101;
const NODE_EXISTS: i32 = -110;
const SESSION_EXPIRED: i32 = -112;
const EPHEMERAL: i32 = 1;
const NODE_DELETED: i32 = 2;

/// What was asked of the ensemble, in the order of the answers.
#[derive(Debug, Clone, PartialEq)]
enum Asked {
    /// To create a part of the fleet's path.
    Path,
    /// To create the own node.
    Register,
    /// Whether the own node of an earlier session still stands.
    Leftover,
    Children,
    /// The data of a store's node, in which reading of the list.
    Store(u64, String),
    Close,
}

struct Cursor<'a>(&'a [u8]);

impl<'a> Cursor<'a> {
    fn take(&mut self, n: usize) -> Result<&'a [u8], String> {
        let (head, rest) = self.0.split_at_checked(n).ok_or("a frame is too short")?;
        self.0 = rest;
        Ok(head)
    }
    fn int(&mut self) -> Result<i32, String> {
        let b = self.take(4)?;
        Ok(i32::from_be_bytes([b[0], b[1], b[2], b[3]]))
    }
    fn long(&mut self) -> Result<i64, String> {
        Ok(i64::from(self.int()?) << 32 | i64::from(self.int()? as u32))
    }
    /// A length of -1 stands for nothing.
    fn buffer(&mut self) -> Result<&'a [u8], String> {
        let n = self.int()?;
        self.take(usize::try_from(n.max(0)).unwrap_or(0))
    }
    fn text(&mut self) -> Result<&'a str, String> {
        std::str::from_utf8(self.buffer()?).map_err(|_| "a string is not UTF-8".into())
    }
}

fn buffer(out: &mut Vec<u8>, bytes: &[u8]) {
    out.extend_from_slice(&(bytes.len() as u32).to_be_bytes());
    out.extend_from_slice(bytes);
}

fn framed(out: &mut Vec<u8>, content: &[u8]) {
    buffer(out, content);
}

/// Takes a whole frame off the front of the input: its content and its length in all.
pub fn frame(input: &[u8]) -> Result<Option<(&[u8], usize)>, String> {
    let Some(head) = input.get(..4) else { return Ok(None) };
    let length = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize;
    if length > LONGEST {
        return Err(format!("a frame of {length} bytes"));
    }
    Ok(input.get(4..4 + length).map(|content| (content, 4 + length)))
}

/// The state of the session, kept over connections.
pub struct Session {
    /// How it is set up.
    pub config: Ensemble,
    name: String,
    data: String,
    id: i64,
    password: Vec<u8>,
    zxid: i64,
    /// The session's time-out as granted.
    pub timeout: Micros,
    granted: bool,
    xid: i32,
    asked: VecDeque<(i32, Asked)>,
    stores: BTreeMap<String, Option<Store>>,
    missing: usize,
    reading: u64,
    server: usize,
    /// The connection.
    pub conn: Option<Key>,
    heard: Micros,
    pinged: Micros,
    backoff: Micros,
    /// When it is to be looked at next.
    pub due: Micros,
}

impl Session {
    /// A session that has not begun, for the instance of this name and address.
    pub fn new(config: Ensemble, name: &str, data: String) -> Self {
        Session {
            timeout: config.session,
            config,
            name: name.to_string(),
            data,
            id: 0,
            password: vec![0; 16],
            zxid: 0,
            granted: false,
            xid: 0,
            asked: VecDeque::new(),
            stores: BTreeMap::new(),
            missing: 0,
            reading: 0,
            server: 0,
            conn: None,
            heard: 0,
            pinged: 0,
            backoff: BACKOFF.0,
            due: 0,
        }
    }

    fn own(&self) -> String {
        format!("{}/{}", self.config.path, self.name)
    }

    /// The first frame of a connection: asks for the session held, or for a new one.
    fn hello(&mut self) -> Vec<u8> {
        self.granted = false;
        self.asked.clear();
        let mut content = Vec::new();
        content.extend_from_slice(&0i32.to_be_bytes());
        content.extend_from_slice(&self.zxid.to_be_bytes());
        content.extend_from_slice(&((self.config.session / 1000) as i32).to_be_bytes());
        content.extend_from_slice(&self.id.to_be_bytes());
        buffer(&mut content, &self.password);
        content.push(0);
        let mut out = Vec::new();
        framed(&mut out, &content);
        out
    }

    fn ask(&mut self, out: &mut Vec<u8>, asked: Asked, kind: i32, content: impl FnOnce(&mut Vec<u8>)) {
        self.xid = self.xid.checked_add(1).unwrap_or(1);
        let mut bytes = self.xid.to_be_bytes().to_vec();
        bytes.extend_from_slice(&kind.to_be_bytes());
        content(&mut bytes);
        framed(out, &bytes);
        self.asked.push_back((self.xid, asked));
    }

    fn create(&mut self, out: &mut Vec<u8>, asked: Asked, path: &str, data: &str, flags: i32) {
        self.ask(out, asked, CREATE, |bytes| {
            buffer(bytes, path.as_bytes());
            buffer(bytes, data.as_bytes());
            // One entry: all rights to anyone.
            bytes.extend_from_slice(&1i32.to_be_bytes());
            bytes.extend_from_slice(&31i32.to_be_bytes());
            buffer(bytes, b"world");
            buffer(bytes, b"anyone");
            bytes.extend_from_slice(&flags.to_be_bytes());
        });
    }

    fn watch(&mut self, out: &mut Vec<u8>, asked: Asked, kind: i32, path: &str) {
        self.ask(out, asked, kind, |bytes| {
            buffer(bytes, path.as_bytes());
            bytes.push(1);
        });
    }

    fn register(&mut self, out: &mut Vec<u8>) {
        let (own, data) = (self.own(), self.data.clone());
        self.create(out, Asked::Register, &own, &data, EPHEMERAL);
    }

    fn list(&mut self, out: &mut Vec<u8>) {
        if let Some(path) = self.config.stores.clone() {
            self.watch(out, Asked::Children, GET_CHILDREN, &path);
        }
    }

    fn ping(&mut self, at: Micros, out: &mut Vec<u8>) {
        self.pinged = at;
        framed(out, &[PING_XID.to_be_bytes(), PING.to_be_bytes()].concat());
    }

    /// When the server counts as silent: a third of the time-out is left to find another one.
    fn silent(&self) -> Micros {
        self.heard + if self.granted { self.timeout * 2 / 3 } else { GRANT }
    }

    /// When to ping, or to find that the server is silent.
    fn next_look(&self) -> Micros {
        if self.granted {
            (self.pinged + self.timeout / 3).min(self.silent())
        } else {
            self.silent()
        }
    }

    /// Ends the session, so that the own node goes at once.
    pub fn close(&mut self, out: &mut Vec<u8>) {
        self.ask(out, Asked::Close, CLOSE, |_| {});
    }

    /// The session is no more: the next connection begins a new one and registers again.
    fn expire(&mut self) -> String {
        (self.id, self.zxid) = (0, 0);
        self.password = vec![0; 16];
        "the session has expired".into()
    }

    /// Takes in a frame and writes what follows from it. Returns the list of stores if it is whole and new.
    fn take(
        &mut self,
        terms: &Terms,
        content: &[u8],
        out: &mut Vec<u8>,
    ) -> Result<Option<Vec<Store>>, String> {
        let mut c = Cursor(content);
        if !self.granted {
            let _version = c.int()?;
            let (timeout, id) = (c.int()?, c.long()?);
            if timeout <= 0 || id == 0 {
                return Err(self.expire());
            }
            let password = c.buffer()?.to_vec();
            self.timeout = timeout as Micros * 1000;
            (self.granted, self.backoff) = (true, BACKOFF.0);
            if id != self.id {
                log!("a session with the ensemble is granted for {timeout} ms");
                (self.id, self.password) = (id, password);
                let path = self.config.path.clone();
                for (end, _) in path.match_indices('/').skip(1).chain([(path.len(), "")]) {
                    self.create(out, Asked::Path, &path[..end], "", 0);
                }
                self.register(out);
            }
            // Watches are asked for anew on each connection: one missed in between would stay silent for ever.
            self.list(out);
            return Ok(None);
        }
        let (xid, zxid, error) = (c.int()?, c.long()?, c.int()?);
        if zxid > 0 {
            self.zxid = zxid;
        }
        match xid {
            PING_XID => return Ok(None),
            EVENT_XID => {
                let (kind, _state, path) = (c.int()?, c.int()?, c.text()?);
                self.event(kind, path, out);
                return Ok(None);
            }
            _ => {}
        }
        let (expected, asked) = self.asked.pop_front().ok_or("an answer to nothing")?;
        if expected != xid {
            return Err(format!("an answer to {xid} where {expected} is due"));
        }
        match (asked, error) {
            (_, SESSION_EXPIRED) => Err(self.expire()),
            (Asked::Close, _) => Err("closed".into()),
            (Asked::Path, 0 | NODE_EXISTS) => Ok(None),
            (Asked::Register, 0) => {
                log!("registered as {}", self.own());
                Ok(None)
            }
            // The node of this instance's life before a kill stands until its session lapses: wait for its end.
            (Asked::Register, NODE_EXISTS) => {
                let own = self.own();
                self.watch(out, Asked::Leftover, EXISTS, &own);
                Ok(None)
            }
            (Asked::Leftover, 0) => Ok(None),
            (Asked::Leftover, NO_NODE) => {
                self.register(out);
                Ok(None)
            }
            (Asked::Children, 0) => {
                let count = usize::try_from(c.int()?).unwrap_or(0);
                self.stores.clear();
                self.missing = 0;
                self.reading += 1;
                let base = self.config.stores.clone().unwrap_or_default();
                for _ in 0..count {
                    let child = c.text()?.to_string();
                    self.missing += 1;
                    let asked = Asked::Store(self.reading, child.clone());
                    self.watch(out, asked, GET_DATA, &format!("{base}/{child}"));
                    self.stores.insert(child, None);
                }
                // An ensemble without a store in it tells nothing of those that run.
                Ok(None)
            }
            (Asked::Children, error) => {
                log!("the ensemble has no list of stores: error {error}");
                Ok(None)
            }
            // An answer to an earlier reading of the list says nothing of this one.
            (Asked::Store(reading, _), _) if reading != self.reading => Ok(None),
            (Asked::Store(_, child), error) => Ok(self.told(terms, child, (error == 0).then_some(&mut c))),
            (asked, error) => Err(format!("error {error} on {asked:?}")),
        }
    }

    fn event(&mut self, kind: i32, path: &str, out: &mut Vec<u8>) {
        let stores = self.config.stores.clone();
        if kind == NODE_DELETED && path == self.own() {
            self.register(out);
        } else if stores.as_deref().is_some_and(|s| path.starts_with(s)) && !self.listing() {
            // A child came or went, or its data changed: the whole is read again, in one go.
            self.list(out);
        }
    }

    /// Whether the list is on its way already and not read yet.
    fn listing(&self) -> bool {
        self.asked.iter().any(|(_, a)| *a == Asked::Children)
    }

    fn told(&mut self, terms: &Terms, child: String, data: Option<&mut Cursor<'_>>) -> Option<Vec<Store>> {
        let read = |c: &mut Cursor<'_>| {
            let text = std::str::from_utf8(c.buffer()?).map_err(|_| "it is not UTF-8".to_string())?;
            bulletin::store(&config::parse(text)?, terms)
        };
        let store = data.and_then(|c| match read(c) {
            Ok(store) => Some(store),
            Err(why) => {
                log!("the node of store {child} is passed over: {why}");
                None
            }
        });
        *self.stores.get_mut(&child)? = store;
        self.missing = self.missing.saturating_sub(1);
        if self.missing > 0 || self.listing() {
            return None;
        }
        Some(self.stores.values().flatten().cloned().collect())
    }
}

// The driver.

/// Begins a session, or leaves the one held for another if it is set up in a new way: its node goes with it.
pub fn set_up(gateway: &mut Gateway, at: Micros, config: Ensemble, name: &str, data: String) {
    let mut due = 0;
    if let Some(old) = &mut gateway.ensemble {
        if old.config == config && old.data == data {
            return;
        }
        if let Some(key) = old.conn {
            let mut out = Vec::new();
            old.close(&mut out);
            if let Some(conn) = gateway.conn(key) {
                conn.output.bytes.extend_from_slice(&out);
            }
            gateway.flush(at, key);
            gateway.close(at, key, Some("it is set up anew"));
        }
        due = gateway.ensemble.as_ref().map_or(0, |old| old.due);
    }
    gateway.ensemble = Some(Session { due, ..Session::new(config, name, data) });
    gateway.set_ensemble(at);
}

/// Takes one frame off the input of the connection and returns how much was used.
pub fn drive(gateway: &mut Gateway, at: Micros, key: Key, input: &[u8]) -> Result<usize, String> {
    let Some((content, used)) = frame(input)? else { return Ok(0) };
    let mut out = Vec::new();
    let Some(session) = gateway.ensemble.as_mut() else { return Ok(used) };
    session.heard = at;
    let before = session.granted;
    let stores = session.take(&gateway.terms, content, &mut out)?;
    let next = session.next_look();
    if !before {
        // The time-out granted may be shorter than the wait for the grant that is set now.
        gateway.set_ensemble(next);
    }
    if let Some(stores) = stores.filter(|s| !s.is_empty()) {
        gateway.news(at, &News::Roster { whole: true, stores });
    }
    if let Some(conn) = gateway.conn(key) {
        conn.output.bytes.extend_from_slice(&out);
    }
    gateway.flush(at, key);
    Ok(used)
}

/// Calls the ensemble, pings it, or notices that it has gone silent.
pub fn tend(gateway: &mut Gateway, at: Micros) {
    if gateway.stopping() {
        return;
    }
    let Some(session) = gateway.ensemble.as_mut() else { return };
    if let Some(key) = session.conn {
        if at >= session.silent() {
            return gateway.close(at, key, Some("it has gone silent"));
        }
        let mut out = Vec::new();
        if session.granted && at >= session.pinged + session.timeout / 3 {
            session.ping(at, &mut out);
        }
        let next = session.next_look();
        gateway.set_ensemble(next.max(at + 1000));
        if let Some(conn) = gateway.conn(key) {
            conn.output.bytes.extend_from_slice(&out);
        }
        gateway.flush(at, key);
        return;
    }
    session.server += 1;
    let address = session.config.servers[session.server % session.config.servers.len()];
    let hello = session.hello();
    (session.heard, session.pinged) = (at, at);
    let key = gateway.connect(at, address, Role::Ensemble, at + GRANT);
    if let Some(Conn { output, .. }) = key.and_then(|k| gateway.conn(k)) {
        output.bytes.extend_from_slice(&hello);
    }
    let Some(session) = gateway.ensemble.as_mut() else { return };
    session.conn = key;
    match key {
        Some(_) => gateway.set_ensemble(at + GRANT),
        None => lost(gateway, at, "no connection"),
    }
}

/// The connection is lost: another server is called after a pause.
pub fn lost(gateway: &mut Gateway, at: Micros, why: &str) {
    let stopping = gateway.stopping();
    let Some(session) = gateway.ensemble.as_mut() else { return };
    if stopping {
        session.conn = None;
        return;
    }
    log!("the ensemble is lost: {why}");
    session.conn = None;
    let next = at + session.backoff;
    session.backoff = (2 * session.backoff).min(BACKOFF.1);
    gateway.set_ensemble(next);
}
