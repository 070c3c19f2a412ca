//! What two processes of one gateway tell each other during an upgrade, in bytes under a seal. Anything torn, foreign or
//! of another version is refused by name, and never half read.
use crate::cordon::Mark;
use larchway::{Learned, Micros, ServerId};
use larchway_members::sealed::{Broken, Form, HEAD};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Rises with each change of a frame's form. Frames of another version are refused: a field that only one side knows
/// would be read as something else.
pub const VERSION: u16 = 1;
const FORM: Form = Form { mark: b"larchops", version: VERSION };
/// Most bytes of a frame: 10,000 objects with their records take about 1 MB.
pub const LONGEST: usize = 8 << 20;

/// What a process of a gateway knows that the next one should.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct State {
    /// Names of the classes, in the order of the learned sending times.
    pub classes: Vec<String>,
    /// What the decision module has learned.
    pub learned: Learned,
    /// The listed stores, each with whether it is to get work: what is missing has gone.
    pub stores: Vec<(String, bool)>,
}

/// A message between two processes of one gateway.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Frame {
    /// A process that begins asks for what the other one knows.
    Hello {
        /// The gateway's name.
        name: String,
    },
    /// The answer to [`Frame::Hello`].
    State(Box<State>),
    /// The operators' word on stores.
    Marks(Vec<Mark>),
    /// Work (µs) sent to cold stores since the last such frame: the cold budget is one for both.
    Sent(Vec<(ServerId, f64)>),
    /// How the process is.
    Status {
        /// Whether it takes clients in.
        serving: bool,
        /// Whether it was told to stop.
        stopping: bool,
    },
}

/// Why bytes are refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refused {
    /// They are none of this.
    Foreign,
    /// They are of another version.
    Version(u16),
    /// They end early, or go on.
    Torn,
    /// They are too many.
    Long(usize),
    /// The checksum does not fit, or what it covers is no frame.
    Spoilt,
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refused::Foreign => write!(f, "it is nothing that larchway wrote"),
            Refused::Version(v) => write!(f, "it is of version {v}, and {VERSION} is read here"),
            Refused::Torn => write!(f, "it is torn"),
            Refused::Long(n) => write!(f, "it has {n} bytes, and {LONGEST} are read at most"),
            Refused::Spoilt => write!(f, "its checksum does not fit"),
        }
    }
}

impl Frame {
    /// In bytes.
    pub fn write(&self) -> Vec<u8> {
        FORM.write(self)
    }

    /// Takes a whole frame off the front of the input: the frame and its length in bytes; none while it is not whole.
    pub fn take(input: &[u8]) -> Result<Option<(Frame, usize)>, Refused> {
        let seal = FORM.seal(input).map_err(|broken| match broken {
            Broken::Foreign => Refused::Foreign,
            Broken::Version(version) => Refused::Version(version),
        })?;
        let Some(seal) = seal else { return Ok(None) };
        if seal.length > LONGEST {
            return Err(Refused::Long(seal.length));
        }
        let end = HEAD + seal.length;
        let Some(body) = input.get(HEAD..end) else { return Ok(None) };
        Ok(Some((seal.open(body).ok_or(Refused::Spoilt)?, end)))
    }

    /// Reads a file that holds one frame and nothing else.
    pub fn read(bytes: &[u8]) -> Result<Frame, Refused> {
        match Frame::take(bytes)? {
            Some((frame, used)) if used == bytes.len() => Ok(frame),
            _ => Err(Refused::Torn),
        }
    }
}

/// The processes of one gateway, as each of them sees it: how its limits are shared, and who comes after it.
#[derive(Debug, Clone, Default)]
pub struct Company {
    /// By place, the others: whether each takes clients in, and whether it was told to stop.
    others: std::collections::BTreeMap<usize, (bool, bool)>,
}

impl Company {
    /// Another process is there.
    pub fn joined(&mut self, place: usize) {
        self.others.entry(place).or_insert((false, false));
    }

    /// It has told how it is.
    pub fn told(&mut self, place: usize, serving: bool, stopping: bool) {
        self.others.insert(place, (serving, stopping));
    }

    /// It has ended, however that was.
    pub fn left(&mut self, place: usize) {
        self.others.remove(&place);
    }

    /// Among how many processes the gateway's limits are shared.
    pub fn share(&self) -> usize {
        1 + self.others.len()
    }

    /// Whether another process takes clients in and is not told to stop: this one may leave its clients to it.
    pub fn successor(&self) -> bool {
        self.others.values().any(|(serving, stopping)| *serving && !stopping)
    }
}

/// When a process that was told to stop must have answered what came late: the platform kills it after the longest
/// deadline (3 s where it is longer) and 0.7 s, and the answer needs its way.
pub fn last_answer(stopped: Micros, longest: Micros) -> Micros {
    stopped + longest.min(3_000_000) + 600_000
}
