//! Server-sent events: their lines (HTML living standard, section 9.2).
use super::error::StreamError;
use super::{StreamItem, MAX_EVENT_BYTES};

/// Parses the lines of server-sent events.
#[derive(Debug, Default)]
pub(super) struct EventParser {
    /// The line that is not complete yet.
    line: Vec<u8>,
    /// The data of the event that is not complete yet.
    data: String,
}

impl EventParser {
    /// Appends the events and comments that are complete with this text.
    ///
    /// # Errors
    ///
    /// Fails if an event or line is too long.
    pub(super) fn parse(&mut self, mut text: &[u8], items: &mut Vec<StreamItem>) -> Result<(), StreamError> {
        while let Some(end) = text.iter().position(|byte| *byte == b'\n') {
            if self.line.is_empty() {
                self.parse_line(&text[..end], items);
            } else {
                self.line.extend_from_slice(&text[..end]);
                let line = std::mem::take(&mut self.line);
                self.parse_line(&line, items);
            }
            text = &text[end + 1..];
            self.check_length()?;
        }
        self.line.extend_from_slice(text);
        self.check_length()
    }

    fn check_length(&self) -> Result<(), StreamError> {
        match self.line.len().max(self.data.len()) > MAX_EVENT_BYTES {
            true => Err(StreamError::EventTooLong),
            false => Ok(()),
        }
    }

    fn parse_line(&mut self, line: &[u8], items: &mut Vec<StreamItem>) {
        let line = String::from_utf8_lossy(line);
        let line = line.trim_end_matches('\r');
        if line.is_empty() {
            if !self.data.is_empty() {
                items.push(StreamItem::Event(std::mem::take(&mut self.data)));
            }
        } else if let Some(comment) = line.strip_prefix(':') {
            items.push(StreamItem::Comment(comment.to_string()));
        } else if let Some(data) = line.strip_prefix("data:") {
            if !self.data.is_empty() {
                self.data.push('\n');
            }
            self.data.push_str(data.strip_prefix(' ').unwrap_or(data));
        }
    }
}
