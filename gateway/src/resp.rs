//! The wire to stores, parents and the origin: RESP arrays of bulk strings.
use crate::connection::{Conn, Final, Role};
use crate::core::Pull;
use crate::net::Gateway;
use crate::slots::Key;
use larchway::{Micros, Note, ServerId, Status};
use std::collections::VecDeque;

/// Longest answer: a whole object and its fields.
pub const LONGEST: usize = 300_000;
/// Longest object.
const OBJECT: usize = 240_000;
/// Longest id, word and list of fields of an answer.
const WORDS: [usize; 3] = [64, 16, 2048];
/// Ids remembered of a connection, of which a further answer may come.
const REMEMBERED: usize = 64;
/// µs without a byte, while an attempt is out, from which a connection is in doubt.
const SILENT: Micros = 500_000;
/// µs without a byte after which an answer that has begun does not go on.
pub const CUT_SHORT: Micros = 1_000_000;

/// What a store answered, as slices of the read buffer.
#[derive(Debug, PartialEq)]
pub struct Reply<'a> {
    /// The request it answers.
    pub id: &'a str,
    /// How the attempt ended; none for a word that ends nothing.
    pub status: Option<Status>,
    /// Whether the client's copy is the one.
    pub same: bool,
    /// How the answer came about.
    pub note: Note,
    /// The store's report of its load, as it came.
    pub report: Option<&'a str>,
    /// µs that the store waited for its source, as told.
    pub waited: Micros,
    /// The tag of the bytes.
    pub entity: Option<&'a str>,
    /// When the origin gave this copy out, on the Unix clock; 0 where that is not told.
    pub issued: Micros,
    /// The bytes.
    pub body: &'a [u8],
}

impl<'a> Reply<'a> {
    /// What a copy of the gateway's own says in place of a store.
    pub fn held(entity: Option<&'a str>, body: &'a [u8], same: bool) -> Self {
        let (id, status, note, report) = ("", Some(Status::Ok), Note::Hit, None);
        Reply { id, status, same, note, report, waited: 0, entity, issued: 0, body }
    }
}

/// One line `Xnnn\r\n`: its number and the place after it.
fn line(input: &[u8], at: usize, mark: u8) -> Result<Option<(usize, usize)>, String> {
    let rest = &input[at.min(input.len())..];
    match rest.first() {
        None => return Ok(None),
        Some(&b) if b != mark => return Err(format!("{:?} where {:?} is due", b as char, mark as char)),
        Some(_) => {}
    }
    let Some(end) = rest.iter().take(16).position(|&b| b == b'\n') else {
        return if rest.len() >= 16 { Err("a length is too long".into()) } else { Ok(None) };
    };
    let digits = rest[1..end].strip_suffix(b"\r").ok_or("a line does not end in CR LF")?;
    let number =
        std::str::from_utf8(digits).ok().filter(|d| !d.starts_with('+')).and_then(|d| d.parse().ok());
    Ok(Some((number.ok_or("a length is not a number")?, at + end + 1)))
}

/// The words of an array, and its length in bytes.
type Words<'a> = (Vec<&'a [u8]>, usize);

/// Takes a whole array off the front of the input: its words and its length in bytes.
pub fn words(input: &[u8]) -> Result<Option<Words<'_>>, String> {
    let Some((count, mut at)) = line(input, 0, b'*')? else { return Ok(None) };
    if !(1..=16).contains(&count) {
        return Err(format!("an array of {count}"));
    }
    let mut words = Vec::with_capacity(count);
    for _ in 0..count {
        let Some((length, start)) = line(input, at, b'$')? else { return Ok(None) };
        if length > LONGEST {
            return Err(format!("a string of {length} bytes"));
        }
        let end = start + length;
        if input.len() < end + 2 {
            return Ok(None);
        }
        if &input[end..end + 2] != b"\r\n" {
            return Err("a string does not end in CR LF".into());
        }
        words.push(&input[start..end]);
        at = end + 2;
    }
    Ok(Some((words, at)))
}

/// The value of a field in a list `name=value,name=value`.
pub fn field<'a>(fields: &'a str, name: &str) -> Option<&'a str> {
    fields.split(',').find_map(|f| f.split_once('=').filter(|(n, _)| *n == name)).map(|(_, value)| value)
}

fn note(word: Option<&str>) -> Note {
    match word.unwrap_or("") {
        "HIT" => Note::Hit,
        "MISS" => Note::Filled,
        "MISS_ORIGIN" => Note::FilledByOrigin,
        "COLLAPSED" => Note::Joined,
        "STALE" => Note::Stale,
        "UP_BUSY" => Note::SourceRefused,
        "UP_DOWN" => Note::SourceLost,
        "UP_MISS" => Note::SourceLacks,
        "NO_FILL" => Note::NoFillSlot,
        "ORIGIN_ERR" => Note::OriginFailed,
        _ => Note::None,
    }
}

/// Whether a list of fields has its form, and each field the gateway reads a value that it can have.
fn fields_hold(fields: &str) -> bool {
    let plain = |t: &str| t.bytes().all(|b| b.is_ascii_graphic());
    let holds = |f: &str| match f.split_once('=') {
        Some(("issued" | "delay", value)) => value.parse::<f64>().is_ok_and(|n| n >= 0.0),
        Some((name, value)) => !name.is_empty() && plain(name) && plain(value),
        None => false,
    };
    matches!(fields, "" | "-") || fields.split(',').all(holds)
}

/// Takes a whole answer off the front of the input: the answer and its length in bytes. What no store can have
/// meant is an error: then nothing that follows on the connection can be trusted either.
pub fn reply(input: &[u8]) -> Result<Option<(Reply<'_>, usize)>, String> {
    let Some((words, length)) = words(input)? else { return Ok(None) };
    let text = |at: usize| match words.get(at) {
        None => Ok(""),
        Some(word) if word.len() > WORDS[at] => Err("a word is too long".to_string()),
        Some(word) => std::str::from_utf8(word).map_err(|_| "a word is not UTF-8".to_string()),
    };
    let (id, word, fields) = (text(0)?, text(1)?, text(2)?);
    let status = match word {
        "ok" | "current" => Some(Status::Ok),
        "nothing" => Some(Status::Miss),
        "refused" => Some(Status::Full),
        "error" => Some(Status::Error),
        "stale" => Some(Status::NeverSent),
        // A probe's answer (ECHO or METER), which ends no attempt; `no` is an answer like `yes`, not a fault.
        "yes" | "no" => None,
        other => return Err(format!("the word {other:?}")),
    };
    let body = words.get(3).copied().unwrap_or(&[]);
    if word == "ok" && words.len() != 4 || words.len() > 4 {
        return Err(format!("{word} in {} words", words.len()));
    }
    if !fields_hold(fields) {
        return Err("its fields cannot be read".into());
    }
    if body.len() > OBJECT || word == "current" && !body.is_empty() {
        return Err(format!("{word} with {} bytes", body.len()));
    }
    let note = note(field(fields, "remark"));
    let (entity, report) = (field(fields, "entity"), field(fields, "report"));
    let span =
        |name: &str| field(fields, name).and_then(|ms| ms.parse().ok()).map_or(0, larchway::settings::micros);
    let (waited, issued) = (span("delay"), span("issued"));
    let same = word == "current";
    Ok(Some((Reply { id, status, same, note, report, waited, entity, issued, body }, length)))
}

/// The values of a report `inflight:7;util:0.61` in the order of these names; one that is missing or no number is
/// NaN, for whoever reads them to pass over.
pub fn loads(report: &str, names: &[String]) -> Vec<f64> {
    let value = |name: &String| {
        let found = report.split(';').find_map(|f| f.split_once(':').filter(|(n, _)| n == name));
        found.and_then(|(_, value)| value.parse().ok()).unwrap_or(f64::NAN)
    };
    names.iter().map(value).collect()
}

/// Writes an array of bulk strings.
pub fn write_words(out: &mut Vec<u8>, words: &[&[u8]]) {
    out.extend_from_slice(format!("*{}\r\n", words.len()).as_bytes());
    for word in words {
        out.extend_from_slice(format!("${}\r\n", word.len()).as_bytes());
        out.extend_from_slice(word);
        out.extend_from_slice(b"\r\n");
    }
}

// The driver.

/// A connection to a store and what it carries.
pub struct Link {
    /// The store.
    pub store: ServerId,
    /// Attempts of which no byte is written.
    pub waiting: VecDeque<Key>,
    /// Attempts written, by the id they went under.
    pub open: Vec<(String, Key)>,
    /// Ids answered or given up, of which a further answer may be on its way.
    past: VecDeque<String>,
    /// Whether an attempt was given up here of which nothing came: the next may be met by the same silence.
    pub doubtful: bool,
    /// Whether a part of the last attempt is still to be written.
    pub partly: bool,
}

impl Link {
    /// A connection that carries nothing.
    pub fn new(store: ServerId) -> Self {
        let (waiting, open, past) = (VecDeque::new(), Vec::new(), VecDeque::new());
        Link { store, waiting, open, past, doubtful: false, partly: false }
    }

    /// Whether an id is or was used here: a late or second answer to its first attempt must not pass for the
    /// next one's.
    pub fn knows(&self, call: &str) -> bool {
        self.past.iter().any(|d| d == call) || self.open.iter().any(|(c, _)| c == call)
    }

    /// Takes an attempt off the connection and remembers its id.
    fn end(&mut self, place: usize) -> Key {
        let (call, attempt) = self.open.swap_remove(place);
        self.past.push_back(call);
        if self.past.len() > REMEMBERED {
            self.past.pop_front();
        }
        attempt
    }
}

/// Takes one answer off the input of a connection and returns how much was used.
pub fn drive(gateway: &mut Gateway, at: Micros, key: Key, input: &[u8]) -> Result<usize, String> {
    let Some((reply, used)) = reply(input)? else { return Ok(0) };
    let Some(Conn { role: Role::Store(link), .. }) = gateway.conn(key) else { return Ok(0) };
    link.doubtful = false;
    let Some(status) = reply.status else {
        let store = link.store;
        if let Some(report) = reply.report {
            gateway.core.reported(store, &loads(report, &gateway.terms.report));
        }
        return Ok(used);
    };
    // A second copy, or an answer to what was never asked here, says nothing of the others.
    let Some(place) = link.open.iter().position(|(call, _)| call == reply.id) else { return Ok(used) };
    let (call, attempt) = link.open[place].clone();
    if reply.same && !gateway.core.offered_copy(attempt) {
        return Err(format!("{call} is told that its copy holds, and has none"));
    }
    let Some(Conn { role: Role::Store(link), .. }) = gateway.conn(key) else { return Ok(0) };
    link.end(place);
    if reply.status == Some(Status::Ok) && !reply.same {
        gateway.core.keep_copy(at, attempt, reply.issued, reply.entity, reply.body);
    }
    let load = reply.report.map_or(Vec::new(), |report| loads(report, &gateway.terms.report));
    if let Some(ticket) = gateway.core.answered(at, attempt, status, reply.note, reply.waited, load) {
        gateway.answer(at, ticket, &Final::Served(&reply));
    }
    Ok(used)
}

/// Writes the request of an attempt.
pub fn pull(out: &mut Vec<u8>, pull: &Pull<'_>, classes: &[String]) {
    let ask = pull.ask;
    let class = classes.get(ask.class).map_or("", String::as_str);
    let mut fields = format!("profile={class},thing={},nth={},max={}", ask.thing, ask.part, pull.max);
    let mut add = |name: &str, value: &str| {
        fields.extend([",", name, "=", value]);
    };
    if let Some(dedupe) = &ask.dedupe {
        add("replay", dedupe);
    }
    if let Some(source) = pull.source {
        add("miss", source);
    }
    if pull.rank > 0 {
        add("prio", &pull.rank.to_string());
    }
    if pull.within > 0 {
        add("within", &pull.within.to_string());
    }
    if let Some(via) = &pull.via {
        // A list of fields has no room for commas and equals signs; names are plain.
        add("via", &via.replace("; epoch=", "_").replace(", ", "|").replace([',', '=', ' ', ';'], "-"));
    }
    let words = [(pull.join, "share"), (pull.peek, "peek"), (pull.renew, "swr")];
    let words: Vec<&str> = words.iter().filter(|w| w.0).map(|w| w.1).collect();
    if !words.is_empty() {
        add("f", &words.join("+"));
    }
    if let Some(mine) = &ask.mine {
        add("mine", mine);
    }
    write_words(out, &[b"PULL", ask.call.as_bytes(), fields.as_bytes(), &ask.body]);
}

/// Gives an attempt up: withdraws it from its connection.
pub fn kill(gateway: &mut Gateway, at: Micros, carrier: Key, attempt: Key, call: &str) {
    let Some(conn) = gateway.conn(carrier) else { return };
    let silent = at >= conn.heard + SILENT;
    let Role::Store(link) = &mut conn.role else { return };
    link.waiting.retain(|a| *a != attempt);
    let Some(place) = link.open.iter().position(|(_, a)| *a == attempt) else { return };
    link.end(place);
    // Danger: a connection whose answers never come looks the idlest of all and is taken again and again.
    link.doubtful |= silent;
    let spent = link.doubtful && link.open.is_empty() && link.waiting.is_empty();
    write_words(&mut conn.output.bytes, &[b"KILL", call.as_bytes()]);
    if gateway.flush(at, carrier) && spent {
        gateway.close(at, carrier, Some("nothing came on it"));
    }
}

#[cfg(test)]
mod tests;
