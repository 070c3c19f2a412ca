//! Decoding of frames and of the calls in them.
use super::cursor::Cursor;
use super::error::ProtocolError;
use super::protocol::{message_type, method, value_type, VERSION};

/// Maximum size of a frame's content in bytes: enough for a write of 48,000 bytes with its fields.
const MAX_FRAME_BYTES: usize = 128 * 1024;
/// Size in bytes of a frame's header, which holds its length.
const FRAME_HEADER_BYTES: usize = 4;
/// Maximum nesting depth of the value of an unknown field.
const MAX_DEPTH: u8 = 16;

/// A client's call, as slices of the read buffer.
#[derive(Debug, PartialEq)]
pub enum Call<'a> {
    /// A request.
    Serve {
        /// The fields of the request.
        fields: Vec<(&'a str, &'a str)>,
        /// The body of the request.
        body: &'a [u8],
    },
    /// The client cancels the request of this sequence number.
    Cancel(i32),
    /// A query whether the gateway can serve.
    HealthCheck,
    /// A call of an unknown method, by its name.
    Unknown(&'a str),
}

/// A message of a client.
#[derive(Debug, PartialEq)]
pub struct Message<'a> {
    /// The sequence number on the connection.
    pub sequence: i32,
    /// The call.
    pub call: Call<'a>,
}

/// Decodes the frame at the start of the input: its content, and its length with the header; none if it is incomplete.
pub fn decode_frame(input: &[u8]) -> Result<Option<(&[u8], usize)>, ProtocolError> {
    let Some((header, rest)) = input.split_first_chunk::<FRAME_HEADER_BYTES>() else { return Ok(None) };
    let length =
        usize::try_from(i32::from_be_bytes(*header)).ok().filter(|length| *length <= MAX_FRAME_BYTES);
    let length = length.ok_or_else(|| ProtocolError::FrameTooLong(u32::from_be_bytes(*header)))?;
    Ok(rest.get(..length).map(|content| (content, FRAME_HEADER_BYTES + length)))
}

/// Decodes the content of a frame.
pub fn decode_message(content: &[u8]) -> Result<Message<'_>, ProtocolError> {
    let mut cursor = Cursor::new(content);
    let head = cursor.i32()? as u32;
    if head >> 16 != VERSION {
        return Err(ProtocolError::NotStrictBinary(head));
    }
    let kind = head as u8;
    if kind != message_type::CALL && kind != message_type::ONEWAY {
        return Err(ProtocolError::UnexpectedMessageType(kind));
    }
    let name = cursor.text()?;
    let sequence = cursor.i32()?;
    let call = match name {
        method::SERVE => decode_serve(&mut cursor)?,
        method::CANCEL => decode_cancel(&mut cursor)?,
        method::HEALTH_CHECK => {
            cursor.skip_fields(MAX_DEPTH)?;
            Call::HealthCheck
        }
        other => return Ok(Message { sequence, call: Call::Unknown(other) }),
    };
    if !cursor.is_at_end() {
        return Err(ProtocolError::TrailingBytes);
    }
    Ok(Message { sequence, call })
}

fn decode_serve<'a>(cursor: &mut Cursor<'a>) -> Result<Call<'a>, ProtocolError> {
    let mut fields = Vec::new();
    let mut body: &[u8] = &[];
    while let Some((kind, number)) = cursor.field()? {
        match (kind, number) {
            (value_type::MAP, 1) => fields = cursor.string_map()?,
            (value_type::STRING, 2) => body = cursor.bytes()?,
            _ => cursor.skip(kind, MAX_DEPTH)?,
        }
    }
    Ok(Call::Serve { fields, body })
}

fn decode_cancel<'a>(cursor: &mut Cursor<'a>) -> Result<Call<'a>, ProtocolError> {
    let mut cancelled = 0;
    while let Some((kind, number)) = cursor.field()? {
        match (kind, number) {
            (value_type::I32, 1) => cancelled = cursor.i32()?,
            _ => cursor.skip(kind, MAX_DEPTH)?,
        }
    }
    Ok(Call::Cancel(cancelled))
}
