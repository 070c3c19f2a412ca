//! Bytes under a seal: a mark, a version, the length and a CRC-32, then what they cover in postcard (postcard and
//! crc32fast from the registry). What is torn, foreign or of another version shows before anything of it is read.
use serde::de::DeserializeOwned;
use serde::Serialize;

/// Bytes of a seal.
pub const HEAD: usize = 8 + 2 + 4 + 4;

/// A form of sealed bytes.
#[derive(Debug, Clone, Copy)]
pub struct Form {
    /// What they begin with.
    pub mark: &'static [u8; 8],
    /// Rises with each change of what is covered.
    pub version: u16,
}

/// What a seal tells of the bytes behind it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Seal {
    /// Their number.
    pub length: usize,
    sum: u32,
}

/// Why there is no seal of the form.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Broken {
    /// It begins otherwise.
    Foreign,
    /// It is of another version.
    Version(u16),
}

impl Form {
    /// Writes something under its seal.
    pub fn write<T: Serialize>(&self, what: &T) -> Vec<u8> {
        // Postcard fails on nothing that stands in the types written here.
        let body = postcard::to_stdvec(what).unwrap_or_default();
        let mut out = self.mark.to_vec();
        out.extend_from_slice(&self.version.to_be_bytes());
        out.extend_from_slice(&(body.len() as u32).to_be_bytes());
        out.extend_from_slice(&crc32fast::hash(&body).to_be_bytes());
        out.extend_from_slice(&body);
        out
    }

    /// Reads the seal at the front of the input; none while it is not whole.
    pub fn seal(&self, input: &[u8]) -> Result<Option<Seal>, Broken> {
        let known = input.len().min(self.mark.len());
        if input[..known] != self.mark[..known] {
            return Err(Broken::Foreign);
        }
        let Some(head) = input.get(..HEAD) else { return Ok(None) };
        let version = u16::from_be_bytes([head[8], head[9]]);
        if version != self.version {
            return Err(Broken::Version(version));
        }
        let number = |at: usize| u32::from_be_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
        Ok(Some(Seal { length: number(10) as usize, sum: number(14) }))
    }
}

impl Seal {
    /// What the seal covers; none where the checksum does not fit, or it is no such thing and nothing else.
    pub fn open<T: DeserializeOwned>(&self, body: &[u8]) -> Option<T> {
        if self.sum != crc32fast::hash(body) {
            return None;
        }
        let (what, rest) = postcard::take_from_bytes(body).ok()?;
        rest.is_empty().then_some(what)
    }
}
