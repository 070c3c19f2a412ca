//! RESP arrays of bulk strings, and the lists of fields in them.
use super::error::ProtocolError;

/// Maximum length of a string in bytes: enough for a complete object.
pub const MAX_STRING_BYTES: usize = 300_000;
/// Maximum length of an encoded array in bytes: a string of maximum length, and the others short.
const MAX_ARRAY_BYTES: usize = MAX_STRING_BYTES + 8 * 1024;
/// Maximum number of strings in an array.
const MAX_ARRAY_LENGTH: usize = 16;
/// Maximum length in bytes of a line that states a length.
const MAX_LINE_BYTES: usize = 16;
/// The end of each line and each string.
const LINE_END: &[u8] = b"\r\n";

/// An array, as slices of the read buffer.
#[derive(Debug, PartialEq, Eq)]
pub struct Array<'a> {
    /// The strings of the array.
    pub strings: Vec<&'a [u8]>,
    /// The length of the encoded array in bytes.
    pub length: usize,
}

/// Decodes a line `Xnnn\r\n` with the prefix X: its number, and the offset after it; none if it is incomplete.
fn decode_length_line(
    input: &[u8],
    start: usize,
    prefix: u8,
) -> Result<Option<(usize, usize)>, ProtocolError> {
    let rest = &input[start.min(input.len())..];
    match rest.first() {
        None => return Ok(None),
        Some(&byte) if byte != prefix => {
            return Err(ProtocolError::UnexpectedPrefix { found: byte as char, expected: prefix as char });
        }
        Some(_) => {}
    }
    let Some(end) = rest.iter().take(MAX_LINE_BYTES).position(|&byte| byte == b'\n') else {
        return if rest.len() >= MAX_LINE_BYTES { Err(ProtocolError::LengthTooLong) } else { Ok(None) };
    };
    let digits = rest[1..end].strip_suffix(b"\r").ok_or(ProtocolError::LineWithoutEnd)?;
    let digits = std::str::from_utf8(digits).ok().filter(|digits| !digits.starts_with('+'));
    let number = digits.and_then(|digits| digits.parse().ok()).ok_or(ProtocolError::LengthNotNumber)?;
    Ok(Some((number, start + end + 1)))
}

/// Decodes the array at the start of the input; none if it is incomplete.
pub fn decode_array(input: &[u8]) -> Result<Option<Array<'_>>, ProtocolError> {
    let Some((count, mut position)) = decode_length_line(input, 0, b'*')? else { return Ok(None) };
    if !(1..=MAX_ARRAY_LENGTH).contains(&count) {
        return Err(ProtocolError::ArrayLength(count));
    }
    let mut strings = Vec::with_capacity(count);
    for _ in 0..count {
        let Some((length, start)) = decode_length_line(input, position, b'$')? else { return Ok(None) };
        if length > MAX_STRING_BYTES || start + length > MAX_ARRAY_BYTES {
            return Err(ProtocolError::StringTooLong(length));
        }
        let end = start + length;
        if input.len() < end + LINE_END.len() {
            return Ok(None);
        }
        if &input[end..end + LINE_END.len()] != LINE_END {
            return Err(ProtocolError::StringWithoutEnd);
        }
        strings.push(&input[start..end]);
        position = end + LINE_END.len();
    }
    Ok(Some(Array { strings, length: position }))
}

/// Writes an array of bulk strings.
pub fn encode_array(output: &mut Vec<u8>, strings: &[&[u8]]) {
    output.extend_from_slice(format!("*{}\r\n", strings.len()).as_bytes());
    for string in strings {
        output.extend_from_slice(format!("${}\r\n", string.len()).as_bytes());
        output.extend_from_slice(string);
        output.extend_from_slice(LINE_END);
    }
}

/// The value of a field in a list `name=value,name=value`.
pub fn field<'a>(fields: &'a str, name: &str) -> Option<&'a str> {
    fields
        .split(',')
        .find_map(|entry| entry.split_once('=').filter(|(key, _)| *key == name))
        .map(|(_, value)| value)
}
