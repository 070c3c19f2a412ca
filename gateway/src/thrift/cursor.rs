//! A reader of the values of the binary protocol.
use super::error::ProtocolError;
use super::protocol::value_type;

/// Minimum size in bytes of an entry of a string map: the length fields of its key and its value.
const MIN_MAP_ENTRY_BYTES: usize = 8;

/// Reads values from the start of a frame's content. Every length is checked against the remaining bytes.
pub(super) struct Cursor<'a> {
    input: &'a [u8],
}

impl<'a> Cursor<'a> {
    pub(super) fn new(input: &'a [u8]) -> Self {
        Cursor { input }
    }

    /// Whether the content is read completely.
    pub(super) fn is_at_end(&self) -> bool {
        self.input.is_empty()
    }

    fn take(&mut self, length: usize) -> Result<&'a [u8], ProtocolError> {
        let (head, rest) = self.input.split_at_checked(length).ok_or(ProtocolError::LengthBeyondFrame)?;
        self.input = rest;
        Ok(head)
    }

    fn byte(&mut self) -> Result<u8, ProtocolError> {
        Ok(self.take(1)?[0])
    }

    fn i16(&mut self) -> Result<i16, ProtocolError> {
        let bytes = self.take(2)?;
        Ok(i16::from_be_bytes([bytes[0], bytes[1]]))
    }

    pub(super) fn i32(&mut self) -> Result<i32, ProtocolError> {
        let bytes = self.take(4)?;
        Ok(i32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]))
    }

    fn length(&mut self) -> Result<usize, ProtocolError> {
        usize::try_from(self.i32()?).map_err(|_| ProtocolError::NegativeLength)
    }

    pub(super) fn bytes(&mut self) -> Result<&'a [u8], ProtocolError> {
        let length = self.length()?;
        self.take(length)
    }

    pub(super) fn text(&mut self) -> Result<&'a str, ProtocolError> {
        std::str::from_utf8(self.bytes()?).map_err(|_| ProtocolError::NotUtf8)
    }

    /// Reads the header of a struct's next field: its type and number; none at the end of the struct.
    pub(super) fn field(&mut self) -> Result<Option<(u8, i16)>, ProtocolError> {
        match self.byte()? {
            value_type::STOP => Ok(None),
            kind => Ok(Some((kind, self.i16()?))),
        }
    }

    /// Reads a map from strings to strings.
    pub(super) fn string_map(&mut self) -> Result<Vec<(&'a str, &'a str)>, ProtocolError> {
        let (key, value) = (self.byte()?, self.byte()?);
        let length = self.length()?;
        if length > 0 && (key, value) != (value_type::STRING, value_type::STRING) {
            return Err(ProtocolError::MapNotOfStrings);
        }
        // Checked before memory is allocated for the entries.
        if length > self.input.len() / MIN_MAP_ENTRY_BYTES {
            return Err(ProtocolError::MapBeyondFrame);
        }
        (0..length).map(|_| Ok((self.text()?, self.text()?))).collect()
    }

    /// Skips a value of this type; `depth`: the maximum nesting depth.
    pub(super) fn skip(&mut self, kind: u8, depth: u8) -> Result<(), ProtocolError> {
        if depth == 0 {
            return Err(ProtocolError::NestedTooDeep);
        }
        match kind {
            value_type::BOOL | value_type::BYTE => self.take(1).map(drop),
            value_type::I16 => self.take(2).map(drop),
            value_type::I32 => self.take(4).map(drop),
            value_type::DOUBLE | value_type::I64 => self.take(8).map(drop),
            value_type::STRING => self.bytes().map(drop),
            value_type::STRUCT => self.skip_fields(depth - 1),
            value_type::MAP => {
                let (key, value) = (self.byte()?, self.byte()?);
                for _ in 0..self.length()? {
                    self.skip(key, depth - 1)?;
                    self.skip(value, depth - 1)?;
                }
                Ok(())
            }
            value_type::SET | value_type::LIST => {
                let item = self.byte()?;
                for _ in 0..self.length()? {
                    self.skip(item, depth - 1)?;
                }
                Ok(())
            }
            other => Err(ProtocolError::UnknownType(other)),
        }
    }

    /// Skips the fields of a struct up to its end.
    pub(super) fn skip_fields(&mut self, depth: u8) -> Result<(), ProtocolError> {
        while let Some((kind, _)) = self.field()? {
            self.skip(kind, depth)?;
        }
        Ok(())
    }
}
