//! Stand-ins of stores: edge caches with copies in memory, parents, and the origin.
use crate::record::{unix_ms, Record};
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Time that a store takes for an answer, and for a fill besides.
const ACCESS_TIME: Duration = Duration::from_millis(5);
const FILL_TIME: Duration = Duration::from_millis(15);

/// A request that reached a store whole, and when.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Milliseconds since the start of the record.
    pub at: u64,
    /// The store.
    pub store: String,
    /// The fields of the request.
    pub fields: HashMap<String, String>,
}

/// The requests that reached any of the stores.
#[derive(Default)]
pub struct Log {
    pub arrivals: Mutex<Vec<Arrival>>,
}

impl Arrival {
    /// Whether the request gives work to a store, itself or as the source of a fill.
    pub fn uses(&self, store: &str) -> bool {
        self.store == store || self.fields.get("miss").is_some_and(|source| source == store)
    }
}

/// A copy that a store holds.
#[derive(Clone)]
struct Copy {
    issued: u64,
}

/// The kind of a store.
#[derive(Clone, Copy, PartialEq)]
pub enum Kind {
    Edge,
    Parent,
    Origin,
}

struct Shared {
    record: Record,
    log: Arc<Log>,
    name: String,
    kind: Kind,
    fresh_ms: HashMap<String, u64>,
    copies: Mutex<HashMap<(String, String), Copy>>,
}

/// A store.
#[derive(Clone)]
pub struct Store {
    pub name: String,
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Store {
    /// Listens at a free port of an address. `fresh_ms`: the fresh time of each class with one.
    pub fn start(
        record: &Record,
        log: &Arc<Log>,
        host: &str,
        name: &str,
        kind: Kind,
        fresh_ms: &[(&str, u64)],
    ) -> std::io::Result<Store> {
        let listener = TcpListener::bind((host, 0))?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            record: record.clone(),
            log: log.clone(),
            name: name.to_string(),
            kind,
            fresh_ms: fresh_ms.iter().map(|(class, ms)| (class.to_string(), *ms)).collect(),
            copies: Mutex::default(),
        });
        let served = shared.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = served.clone();
                std::thread::spawn(move || shared.serve(stream));
            }
        });
        Ok(Store { name: name.to_string(), address, shared })
    }

    /// Drops the copies that were issued up to a time, as a purge takes effect here.
    pub fn drop_copies(&self, issued: u64) {
        self.shared.copies.lock().unwrap().retain(|_, copy| copy.issued > issued);
    }

    /// The entry of the store in the list.
    pub fn entry(&self, health: &str, born_ms: u64) -> String {
        let (site, class) = match self.shared.kind {
            Kind::Edge => ("edge", "standard"),
            Kind::Parent => ("east", "parent"),
            Kind::Origin => ("east", "origin"),
        };
        format!(
            r#"{{"host":"{}","dial":"{}","site":"{site}","class":"{class}","block":0,"health":"{health}","share":4,"born_ms":{born_ms}}}"#,
            self.name, self.address
        )
    }
}

fn read_array(stream: &mut TcpStream, input: &mut Vec<u8>) -> Option<Vec<Vec<u8>>> {
    let mut buffer = [0; 16384];
    loop {
        if let Some((strings, used)) = parse_array(input) {
            input.drain(..used);
            return Some(strings);
        }
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return None,
            Ok(count) => input.extend_from_slice(&buffer[..count]),
        }
    }
}

fn parse_line(input: &[u8], at: usize) -> Option<(usize, usize)> {
    let end = input.get(at..)?.windows(2).position(|pair| pair == b"\r\n")? + at;
    let number = std::str::from_utf8(&input[at + 1..end]).ok()?.parse().ok()?;
    Some((number, end + 2))
}

fn parse_array(input: &[u8]) -> Option<(Vec<Vec<u8>>, usize)> {
    let (count, mut at) = parse_line(input, 0)?;
    let mut strings = Vec::new();
    for _ in 0..count {
        let (length, start) = parse_line(input, at)?;
        strings.push(input.get(start..start + length)?.to_vec());
        at = start + length + 2;
        if input.len() < at {
            return None;
        }
    }
    Some((strings, at))
}

fn array(strings: &[&[u8]]) -> Vec<u8> {
    let mut output = format!("*{}\r\n", strings.len()).into_bytes();
    for string in strings {
        output.extend(format!("${}\r\n", string.len()).bytes());
        output.extend_from_slice(string);
        output.extend_from_slice(b"\r\n");
    }
    output
}

/// The ids of large objects begin with this.
const LARGE_OBJECTS: &str = "7f3a9c22";
const LARGE_BYTES: usize = 240_000;
const SMALL_BYTES: usize = 2000;

/// The bytes of a copy; they name the object, the part and when the copy was issued.
pub fn body_of(thing: &str, nth: &str, issued: u64) -> Vec<u8> {
    let mut body = format!("{thing} {nth} {issued} ").into_bytes();
    body.resize(if thing.starts_with(LARGE_OBJECTS) { LARGE_BYTES } else { SMALL_BYTES }, b'.');
    body
}

/// When the copy with these bytes was issued.
pub fn issued_of(body: &[u8]) -> Option<u64> {
    String::from_utf8_lossy(body).split(' ').nth(2)?.parse().ok()
}

impl Shared {
    fn serve(self: Arc<Self>, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut input = Vec::new();
        let Ok(writer) = stream.try_clone() else { return };
        let writer = Arc::new(Mutex::new(writer));
        while let Some(strings) = read_array(&mut stream, &mut input) {
            let text = |place: usize| {
                strings.get(place).map(|s| String::from_utf8_lossy(s).to_string()).unwrap_or_default()
            };
            match text(0).as_str() {
                "PULL" => {
                    let (id, fields) = (text(1), text(2));
                    let fields: HashMap<String, String> = fields
                        .split(',')
                        .filter_map(|field| {
                            field.split_once('=').map(|(name, value)| (name.to_string(), value.to_string()))
                        })
                        .collect();
                    let at = self.record.now();
                    self.record.line(format!("store {}: got {id} {}", self.name, text(2)));
                    self.log.arrivals.lock().unwrap().push(Arrival {
                        at,
                        store: self.name.clone(),
                        fields: fields.clone(),
                    });
                    let (shared, writer) = (self.clone(), writer.clone());
                    std::thread::spawn(move || shared.answer(&writer, &id, &fields));
                }
                "KILL" => self.record.line(format!("store {}: {} is given up", self.name, text(1))),
                _ => {
                    let answer = array(&[&strings[1], b"yes", b"-", b""]);
                    let _ = writer.lock().unwrap().write_all(&answer);
                }
            }
        }
    }

    fn answer(&self, writer: &Mutex<TcpStream>, id: &str, fields: &HashMap<String, String>) {
        std::thread::sleep(ACCESS_TIME);
        let field = |name: &str| fields.get(name).cloned().unwrap_or_default();
        let (class, thing, nth) = (field("profile"), field("thing"), field("nth"));
        let now = unix_ms();
        let fresh = self.fresh_ms.get(&class).copied().unwrap_or(0);
        let within = fields.get("within").and_then(|text| text.parse().ok()).unwrap_or(fresh);
        let key = (thing.clone(), nth.clone());
        let held = self
            .copies
            .lock()
            .unwrap()
            .get(&key)
            .cloned()
            .filter(|copy| within == 0 || now.saturating_sub(copy.issued) <= within);
        let (remark, copy) = match held {
            Some(copy) if self.kind == Kind::Edge => ("HIT", Some(copy)),
            _ if self.kind == Kind::Origin || fields.contains_key("miss") => {
                std::thread::sleep(FILL_TIME);
                let copy = Copy { issued: unix_ms() };
                if self.kind == Kind::Edge {
                    self.copies.lock().unwrap().insert(key, copy.clone());
                }
                ("MISS_ORIGIN", Some(copy))
            }
            _ => ("UP_MISS", None),
        };
        let answer = match &copy {
            Some(copy) => {
                let head = format!("entity=t{},issued={},remark={remark}", copy.issued, copy.issued);
                array(&[id.as_bytes(), b"ok", head.as_bytes(), &body_of(&thing, &nth, copy.issued)])
            }
            None => array(&[id.as_bytes(), b"nothing", format!("remark={remark}").as_bytes(), b""]),
        };
        let issued = copy.map_or(0, |copy| copy.issued);
        self.record.line(format!("store {}: answers {id} {remark} issued={issued}", self.name));
        let _ = writer.lock().unwrap().write_all(&answer);
    }
}
