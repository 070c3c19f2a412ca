//! The text form of a trace (RFC 8586): `name; epoch=7, name`.
use std::fmt::Write;
use thiserror::Error;

/// Longest trace that is parsed, in bytes.
pub const MAX_TRACE_LENGTH: usize = 2048;
/// The name of the parameter that holds the epoch of a hop.
const EPOCH_PARAMETER: &str = "epoch";

/// One hop of a trace.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Hop {
    /// The node that forwarded the request.
    pub name: String,
    /// The epoch of the node's topology, if the trace has it.
    pub epoch: Option<u64>,
}

/// Why a trace cannot be parsed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum TraceError {
    /// The trace has this number of bytes, more than [`MAX_TRACE_LENGTH`].
    #[error("trace has {0} bytes, more than {MAX_TRACE_LENGTH}")]
    TooLong(usize),
    /// The byte at this offset does not conform to the grammar of RFC 8586.
    #[error("byte {0} of the trace does not conform to RFC 8586")]
    InvalidByte(usize),
}

/// Parses a trace. Unknown parameters and an epoch that is not a number are ignored.
pub fn parse(text: &str) -> Result<Vec<Hop>, TraceError> {
    if text.len() > MAX_TRACE_LENGTH {
        return Err(TraceError::TooLong(text.len()));
    }
    let mut parser = Parser { text, offset: 0 };
    let mut hops = Vec::new();
    loop {
        parser.skip_blanks();
        // Empty elements of a list are ignored (RFC 9110, 5.6.1).
        if parser.accept(b',') {
            continue;
        }
        if parser.peek().is_none() {
            return Ok(hops);
        }
        hops.push(parser.hop()?);
        if parser.peek().is_some() && !parser.accept(b',') {
            return Err(parser.error());
        }
    }
}

/// Returns a trace with one more hop. The existing hops are never shortened (RFC 8586, 2).
pub fn append(trace: &str, name: &str, epoch: u64) -> String {
    let mut extended = trace.trim().to_string();
    if !extended.is_empty() {
        extended.push_str(", ");
    }
    let _ = write!(extended, "{name}; {EPOCH_PARAMETER}={epoch}");
    extended
}

fn is_token_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~:[]/".contains(&byte)
}

struct Parser<'a> {
    text: &'a str,
    offset: usize,
}

impl<'a> Parser<'a> {
    fn peek(&self) -> Option<u8> {
        self.text.as_bytes().get(self.offset).copied()
    }

    fn accept(&mut self, byte: u8) -> bool {
        let accepted = self.peek() == Some(byte);
        self.offset += usize::from(accepted);
        accepted
    }

    fn error(&self) -> TraceError {
        TraceError::InvalidByte(self.offset.min(self.text.len()))
    }

    fn skip_blanks(&mut self) {
        while self.peek().is_some_and(|byte| matches!(byte, b' ' | b'\t')) {
            self.offset += 1;
        }
    }

    fn token(&mut self) -> Result<&'a str, TraceError> {
        let start = self.offset;
        while self.peek().is_some_and(is_token_byte) {
            self.offset += 1;
        }
        if self.offset == start {
            return Err(self.error());
        }
        Ok(&self.text[start..self.offset])
    }

    fn hop(&mut self) -> Result<Hop, TraceError> {
        let mut hop = Hop { name: self.token()?.to_string(), epoch: None };
        self.skip_blanks();
        while self.accept(b';') {
            self.skip_blanks();
            self.parameter(&mut hop)?;
            self.skip_blanks();
        }
        Ok(hop)
    }

    fn parameter(&mut self, hop: &mut Hop) -> Result<(), TraceError> {
        let key = self.token()?;
        if !self.accept(b'=') {
            return Ok(());
        }
        if self.accept(b'"') {
            return self.skip_quoted_string();
        }
        let value = self.token()?;
        if key.eq_ignore_ascii_case(EPOCH_PARAMETER) {
            hop.epoch = value.parse().ok();
        }
        Ok(())
    }

    fn skip_quoted_string(&mut self) -> Result<(), TraceError> {
        while let Some(byte) = self.peek().filter(|byte| *byte != b'"') {
            // A backslash escapes the next byte.
            self.offset += if byte == b'\\' { 2 } else { 1 };
        }
        if self.accept(b'"') {
            Ok(())
        } else {
            Err(self.error())
        }
    }
}
