//! The one envelope for all that gateways tell each other, 256 bytes at most: mark, version, kind, sender, checksum, then
//! what the kind says. Numbers have their big end first. What is cut, spoilt, foreign or of another version is told apart,
//! so that an operator sees which it was.

/// Most bytes: the platform voids a run with a longer one.
pub const LONGEST: usize = 256;
/// Bytes before what the kind says.
pub const HEAD: usize = 10;
/// Most bytes of what the kind says.
pub const BODY: usize = LONGEST - HEAD;
const MARK: [u8; 2] = *b"lw";
const VERSION: u8 = 1;

/// What an envelope holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// News of members, to be answered in kind.
    Ping,
    /// The answer.
    Ack,
    /// Try to reach a member, and tell if it answers.
    Reach,
    /// What the sender found of stores.
    Words,
    /// What the sender makes of the stores' load.
    Load,
}

const KINDS: [Kind; 5] = [Kind::Ping, Kind::Ack, Kind::Reach, Kind::Words, Kind::Load];

/// Why a datagram is not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// It came from an address that is not in `peers`, or names another sender than lives there.
    Foreign,
    /// It is no envelope, or cut.
    Malformed,
    /// Its checksum is wrong.
    Spoilt,
    /// It is of another version or an unknown kind.
    Version,
}

/// An envelope, opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Opened<'a> {
    /// What it holds.
    pub kind: Kind,
    /// Who sent it, by number.
    pub from: u16,
    /// What the kind says.
    pub body: &'a [u8],
}

fn checksum(head: &[u8], body: &[u8]) -> u32 {
    let mut sum = crc32fast::Hasher::new();
    sum.update(head);
    sum.update(body);
    sum.finalize()
}

/// Writes an envelope; what is over [`BODY`] is a fault of the caller, and cut.
pub fn seal(kind: Kind, from: u16, body: &[u8]) -> Vec<u8> {
    let body = &body[..body.len().min(BODY)];
    let place = KINDS.iter().position(|k| *k == kind).unwrap_or(0);
    let mut out = Vec::with_capacity(HEAD + body.len());
    out.extend_from_slice(&MARK);
    out.extend_from_slice(&[VERSION, place as u8 + 1]);
    out.extend_from_slice(&from.to_be_bytes());
    let sum = checksum(&out, body);
    out.extend_from_slice(&sum.to_be_bytes());
    out.extend_from_slice(body);
    out
}

/// Opens an envelope.
pub fn open(bytes: &[u8]) -> Result<Opened<'_>, Fault> {
    if bytes.len() > LONGEST || bytes.len() < HEAD || bytes[..2] != MARK {
        return Err(Fault::Malformed);
    }
    let (head, body) = (&bytes[..6], &bytes[HEAD..]);
    if u32::from_be_bytes([bytes[6], bytes[7], bytes[8], bytes[9]]) != checksum(head, body) {
        return Err(Fault::Spoilt);
    }
    let kind = KINDS.get(usize::from(bytes[3]).wrapping_sub(1));
    match kind.filter(|_| bytes[2] == VERSION) {
        Some(&kind) => Ok(Opened { kind, from: u16::from_be_bytes([bytes[4], bytes[5]]), body }),
        None => Err(Fault::Version),
    }
}

/// How a member's life goes on, as one gateway knows it: 4 bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Pulse {
    /// Its incarnation; 0 stands for one that was never heard.
    pub life: u16,
    /// Its own count, of 14 bits, that goes up with its clock.
    pub beat: u16,
    /// Whether it said farewell.
    pub left: bool,
}

/// A member that is named.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Named {
    /// Its number.
    pub who: u16,
    /// Its life.
    pub pulse: Pulse,
    /// If the sender accuses it: tenths of a second since it was first asked without an answer, [`SURE`] if the sender
    /// takes it for dead.
    pub accused: Option<u8>,
}

/// Stands for a verdict in place of the age of an accusation.
pub const SURE: u8 = u8::MAX - 1;

impl Pulse {
    fn write(self, out: &mut Vec<u8>) {
        out.extend_from_slice(&self.life.to_be_bytes());
        let left = u16::from(self.left) << 14;
        out.extend_from_slice(&(self.beat & BEATS | left).to_be_bytes());
    }
    fn read(b: &[u8]) -> Pulse {
        let (life, word) = (u16::from_be_bytes([b[0], b[1]]), u16::from_be_bytes([b[2], b[3]]));
        Pulse { life, beat: word & BEATS, left: word >> 14 & 1 == 1 }
    }
}

/// The bits of a beat.
pub const BEATS: u16 = 0x3fff;

/// Whether a beat comes after another; they go round.
pub fn later_beat(new: u16, old: u16) -> bool {
    (1..BEATS / 2).contains(&(new.wrapping_sub(old) & BEATS))
}

/// Whether an incarnation comes after another; they go round.
pub fn later_life(new: u16, old: u16) -> bool {
    new != 0 && (old == 0 || (1..0x8000).contains(&new.wrapping_sub(old)))
}

/// News of members: what pings and acks hold.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct News {
    /// The sender's own pulse.
    pub own: Pulse,
    /// Whether the sender was itself paused of late, and whether it hears nobody.
    pub paused: bool,
    /// See `paused`.
    pub dark: bool,
    /// Members named one by one: those accused, and those asked for.
    pub named: Vec<Named>,
    /// Members by their numbers from `first` on.
    pub first: u16,
    /// See `first`.
    pub window: Vec<Pulse>,
}

/// Bytes of the news that are always there, of a member named, and of one in the window.
const NEWS: usize = 4 + 1 + 1 + 2;
const NAMED: usize = 7;
const PULSE: usize = 4;

impl News {
    /// How many members fit into the window beside so many that are named.
    pub fn room(named: usize) -> usize {
        (BODY - NEWS).saturating_sub(named * NAMED) / PULSE
    }

    /// Its bytes.
    pub fn write(&self) -> Vec<u8> {
        let mut out = Vec::with_capacity(BODY);
        self.own.write(&mut out);
        out.push(u8::from(self.paused) | u8::from(self.dark) << 1);
        let named = &self.named[..self.named.len().min((BODY - NEWS) / NAMED)];
        out.push(named.len() as u8);
        out.extend_from_slice(&self.first.to_be_bytes());
        for one in named {
            out.extend_from_slice(&one.who.to_be_bytes());
            one.pulse.write(&mut out);
            out.push(one.accused.map_or(u8::MAX, |age| age.min(SURE)));
        }
        self.window.iter().take(News::room(named.len())).for_each(|p| p.write(&mut out));
        out
    }

    /// Reads them; none if they are cut.
    pub fn read(b: &[u8]) -> Option<News> {
        let (head, rest) = (b.get(..NEWS)?, b.get(NEWS..)?);
        let all = usize::from(head[5]) * NAMED;
        let (named, window) = (rest.get(..all)?, rest.get(all..)?);
        if window.len() % PULSE != 0 {
            return None;
        }
        let one = |c: &[u8]| Named {
            who: u16::from_be_bytes([c[0], c[1]]),
            pulse: Pulse::read(&c[2..]),
            accused: (c[6] != u8::MAX).then_some(c[6]),
        };
        Some(News {
            own: Pulse::read(head),
            paused: head[4] & 1 == 1,
            dark: head[4] & 2 == 2,
            named: named.chunks_exact(NAMED).map(one).collect(),
            first: u16::from_be_bytes([head[6], head[7]]),
            window: window.chunks_exact(PULSE).map(Pulse::read).collect(),
        })
    }
}

#[cfg(test)]
mod tests;
