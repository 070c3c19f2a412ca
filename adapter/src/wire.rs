//! Parses and writes the lines of the simulator's protocol.
use crate::error::LineError;
use larchway::settings::{self, micros, span_of_millis};
use larchway::{
    duration_micros, Action, Event, Get, Host, Members, MonotonicTime, Note, Outcome, Request, RequestState,
    Scope, Settings, State, Status,
};
use std::io::{self, Write};
use std::str::FromStr;
use std::time::Duration;

/// A parsed line: its message name and its fields.
pub struct Line<'a> {
    name: &'a str,
    fields: Vec<(&'a str, &'a str)>,
}

/// The meaning of a line.
pub enum Message<'a> {
    /// A batch of lines begins, at this time.
    Batch(MonotonicTime),
    /// The batch ends.
    Flush,
    /// The following lines are for this instance.
    Select(&'a str),
    /// A new instance, with its settings and seed.
    Create(Box<Settings>, u64),
    /// The instance was killed.
    Crash,
    /// An event for the instance.
    Event(Event),
    /// No event: further lines belong to the same message, or the message affects no decision.
    More,
}

/// An endpoint list whose rows have not all arrived.
pub struct Rows {
    remaining: usize,
    members: Members,
}

impl<'a> Line<'a> {
    /// Parses a line; a field named `info` or `noteText` extends to the end of the line.
    pub fn parse(line: &'a str) -> Result<Self, LineError> {
        let (name, mut rest) = line.split_once(' ').unwrap_or((line, ""));
        let mut fields = Vec::new();
        while !rest.is_empty() {
            let (field, after) = match rest.split_once(' ') {
                Some(parts) if !rest.starts_with("info=") && !rest.starts_with("noteText=") => parts,
                _ => (rest, ""),
            };
            fields.push(field.split_once('=').ok_or_else(|| LineError::NotAField(field.to_string()))?);
            rest = after;
        }
        Ok(Line { name, fields })
    }

    fn text(&self, key: &str) -> Option<&'a str> {
        self.fields.iter().find(|(name, _)| *name == key).map(|&(_, value)| value)
    }

    fn required(&self, key: &'static str) -> Result<&'a str, LineError> {
        self.text(key).ok_or(LineError::Missing(key))
    }

    fn optional<T: FromStr>(&self, key: &'static str) -> Result<Option<T>, LineError> {
        let invalid = |value: &str| LineError::InvalidText { key, value: value.to_string() };
        self.text(key).map(|value| value.parse().map_err(|_| invalid(value))).transpose()
    }

    fn required_number<T: FromStr>(&self, key: &'static str) -> Result<T, LineError> {
        self.optional(key)?.ok_or(LineError::Missing(key))
    }

    fn decimal(&self, key: &'static str) -> Result<f64, LineError> {
        match self.optional::<f64>(key)? {
            Some(value) if !value.is_finite() || value < 0.0 => Err(LineError::InvalidNumber { key, value }),
            value => Ok(value.unwrap_or(0.0)),
        }
    }

    /// Comma-separated numbers; empty if the field is absent.
    fn numbers(&self, key: &'static str) -> Result<Vec<f64>, LineError> {
        let invalid = |value: &str| LineError::InvalidText { key, value: value.to_string() };
        let number = |value: &str| value.parse().map_err(|_| invalid(value));
        self.text(key).map_or(Ok(Vec::new()), |row| row.split(',').map(number).collect())
    }

    fn time(&self, key: &'static str) -> Result<MonotonicTime, LineError> {
        Ok(MonotonicTime::from_micros(micros(self.decimal(key)?)))
    }

    fn span(&self, key: &'static str) -> Result<Duration, LineError> {
        Ok(span_of_millis(self.decimal(key)?))
    }
}

fn host(line: &Line) -> Result<Host, LineError> {
    Ok(Host {
        server: line.required_number("server")?,
        zone: line.optional("site")?.unwrap_or(0),
        kind: line.optional("shape")?.unwrap_or(0),
        cell: line.optional("unitGroup")?.unwrap_or(0),
        state: match line.required("state")? {
            "up" => State::Up,
            "draining" => State::Draining,
            "removed" => State::Removed,
            other => return Err(LineError::InvalidText { key: "state", value: other.to_string() }),
        },
        weight: line.optional::<f64>("units")?.filter(|w| w.is_finite()).unwrap_or(1.0),
        started: line.time("lastStartMs")?,
    })
}

fn status(code: u64) -> Result<Status, LineError> {
    Ok(match code {
        0 => Status::Ok,
        13 => Status::Error,
        8 => Status::Full,
        4 => Status::Timeout,
        14 => Status::ConnectFailed,
        10 => Status::Reset,
        1 => Status::Cancelled,
        9 => Status::NeverSent,
        5 => Status::Miss,
        _ => return Err(LineError::UnknownOutcome(code)),
    })
}

fn note(code: u64) -> Note {
    match code {
        1 => Note::Hit,
        2 => Note::Filled,
        3 => Note::FilledByOrigin,
        4 => Note::Joined,
        5 => Note::Stale,
        6 => Note::SourceRefused,
        7 => Note::SourceLost,
        8 => Note::SourceLacks,
        9 => Note::NoFillSlot,
        10 => Note::OriginFailed,
        _ => Note::None,
    }
}

/// Parses the head of an endpoint list; returns the list if it has no rows.
fn list_head(line: &Line, rows: &mut Option<Rows>) -> Result<Option<Members>, LineError> {
    let scope = match line.required("scope")? {
        "changes" => Scope::Changes,
        "all" | "remembered" => Scope::Full,
        "refused" => Scope::Failed,
        other => return Err(LineError::InvalidText { key: "scope", value: other.to_string() }),
    };
    let remaining: usize = line.optional("hosts")?.unwrap_or(0);
    let members = Members { scope, hosts: Vec::new() };
    if remaining == 0 {
        return Ok(Some(members));
    }
    *rows = Some(Rows { remaining, members });
    Ok(None)
}

/// Parses a row of an endpoint list; returns the list if it was the last row.
fn row(line: &Line, rows: &mut Option<Rows>) -> Result<Option<Members>, LineError> {
    let Some(open) = rows.as_mut() else { return Err(LineError::RowWithoutList) };
    open.members.hosts.push(host(line)?);
    open.remaining -= 1;
    let complete = open.remaining == 0;
    Ok(rows.take_if(|_| complete).map(|rows| rows.members))
}

fn arrival(line: &Line) -> Result<Request, LineError> {
    Ok(Request {
        id: line.required_number("handle")?,
        class: line.required_number("category")?,
        object: line.optional("object")?.unwrap_or(0),
        part: line.decimal("rangeNo")? as u64,
        group: line.decimal("group")? as u64,
        ttl: line.span("ttlMs")?,
        size_kb: line.decimal("bytesK")?,
        spare_origin: false,
    })
}

fn outcome(line: &Line) -> Result<Outcome, LineError> {
    Ok(Outcome {
        id: line.required_number("handle")?,
        attempt: line.required_number("attempt")?,
        status: status(line.required_number("outcome")?)?,
        latency: line.span("delaySeenMs")?,
        request: match line.optional::<u8>("complete")? {
            None | Some(0) => RequestState::Open,
            Some(_) => RequestState::Closed,
        },
        note: note(line.optional("note")?.unwrap_or(0)),
        waited: line.span("fillWaitMs")?,
        load: line.numbers("load")?,
    })
}

impl<'a> Message<'a> {
    /// Interprets a line. The rows of a list are collected in `rows` until it is complete.
    pub fn read(line: &Line<'a>, now: MonotonicTime, rows: &mut Option<Rows>) -> Result<Self, LineError> {
        if rows.is_some() && line.name != "ROW" {
            return Err(LineError::RowsMissing);
        }
        let event = match line.name {
            "BATCH" => {
                line.required("simTimeMs")?;
                let at = line.time("simTimeMs")?;
                return if at < now { Err(LineError::ClockWentBack) } else { Ok(Message::Batch(at)) };
            }
            "FLUSH" => return Ok(Message::Flush),
            "SELECT" => {
                let who = line.required("who")?;
                return if who.is_empty() { Err(LineError::EmptyInstance) } else { Ok(Message::Select(who)) };
            }
            "CREATE" => {
                let settings = settings::read(line.required("info")?)?;
                return Ok(Message::Create(Box::new(settings), line.required_number("entropy")?));
            }
            "CRASH_NOW" => return Ok(Message::Crash),
            "VIEW" => match list_head(line, rows)? {
                Some(members) => Event::Members(members),
                None => return Ok(Message::More),
            },
            "ROW" => match row(line, rows)? {
                Some(members) => Event::Members(members),
                None => return Ok(Message::More),
            },
            "ARRIVAL" => Event::Request(arrival(line)?),
            "OUTCOME" => Event::Outcome(outcome(line)?),
            "HEADERS" => Event::Started(line.required_number("handle")?),
            "CLIENT_LEFT" => Event::ClientLeft(line.required_number("handle")?),
            "RING" => Event::Timer(line.required_number("mark")?),
            "OUTDATED" => Event::Purged {
                age: line.span("howOldMs")?,
                group: line.optional::<f64>("batchId")?.unwrap_or(0.0) as u64,
                object: line.optional("object")?,
            },
            // Ignored: routers send no health checks and do not communicate with each other here.
            "PING_RESULT" | "FROM_PEER" => return Ok(Message::More),
            other => return Err(LineError::UnknownMessage(other.to_string())),
        };
        Ok(Message::Event(event))
    }
}

/// Formats microseconds as milliseconds with three decimals.
fn format_millis(micros: u64) -> String {
    format!("{}.{:03}", micros / 1000, micros % 1000)
}

fn write_get(out: &mut impl Write, get: &Get) -> io::Result<()> {
    write!(out, "ANSWER_FROM handle={} server={} source={}", get.id, get.server, get.source)?;
    if let Some(at) = get.stop_at {
        write!(out, " stopAtMs={}", format_millis(at.as_micros()))?;
    }
    if let Some(age) = get.max_age {
        write!(out, " howOldMs={}", format_millis(duration_micros(age)))?;
    }
    let bits = u8::from(get.join_fill) + 2 * u8::from(get.cached_only) + 8 * u8::from(get.renew_stale);
    writeln!(out, " rank={} bits={bits}", get.rank)
}

/// Writes an action as a line of the reply.
pub fn write_action(out: &mut impl Write, action: &Action) -> io::Result<()> {
    match action {
        Action::Get(get) => write_get(out, get),
        Action::Refuse { id, retry_after } => {
            writeln!(out, "PUSH_BACK handle={id} stayAwayMs={}", format_millis(duration_micros(*retry_after)))
        }
        Action::Fail(id) => writeln!(out, "REPORT_FAILURE handle={id}"),
        Action::Cancel { id, attempt } => writeln!(out, "ABORT_ATTEMPT handle={id} attempt={attempt}"),
        Action::Timer { at, mark } => {
            writeln!(out, "WAKE_AT whenMs={} mark={mark}", format_millis(at.as_micros()))
        }
        Action::Watch => writeln!(out, "STREAM_CHANGES on=1"),
    }
}
