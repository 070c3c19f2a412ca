//! The platform's front as a client sees it: framed calls of `serve` in Thrift's strict binary protocol.

/// Version 1 and the type of a message that is a call.
const CALL_HEADER: [u8; 4] = [0x80, 1, 0, 1];
/// The type of a message that is an exception.
const EXCEPTION: u8 = 3;
/// The header of field 1: a map of strings to strings.
const FIELDS_HEADER: [u8; 5] = [13, 0, 1, 11, 11];
/// Field 2, an empty string, and the end of the struct.
const EMPTY_BODY: [u8; 8] = [11, 0, 2, 0, 0, 0, 0, 0];
/// The field of an answer that says that the request has failed.
const FAILED_FIELD: i16 = 2;

/// What an answer says of its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Outcome {
    Served,
    Rejected,
    Failed,
}

/// An answer: the number of its request, and the outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Answer {
    pub(super) sequence: i32,
    pub(super) outcome: Outcome,
}

/// A field of a request.
#[derive(Debug, Clone)]
pub(super) struct Field {
    pub(super) name: &'static str,
    pub(super) value: String,
}

/// The frame of a call with these fields.
pub(super) fn encode_call(sequence: i32, fields: &[Field]) -> Vec<u8> {
    let mut message = CALL_HEADER.to_vec();
    encode_string(&mut message, "serve");
    message.extend_from_slice(&sequence.to_be_bytes());
    message.extend_from_slice(&FIELDS_HEADER);
    message.extend_from_slice(&(fields.len() as u32).to_be_bytes());
    for Field { name, value } in fields {
        encode_string(&mut message, name);
        encode_string(&mut message, value);
    }
    message.extend_from_slice(&EMPTY_BODY);
    let mut frame = (message.len() as u32).to_be_bytes().to_vec();
    frame.append(&mut message);
    frame
}

fn encode_string(out: &mut Vec<u8>, text: &str) {
    out.extend_from_slice(&(text.len() as u32).to_be_bytes());
    out.extend_from_slice(text.as_bytes());
}

/// Removes the first frame from a connection's input, if it is complete.
pub(super) fn take_frame(input: &mut Vec<u8>) -> Option<Vec<u8>> {
    let header = input.first_chunk::<4>()?;
    let end = 4 + u32::from_be_bytes(*header) as usize;
    let frame = input.get(4..end)?.to_vec();
    input.drain(..end);
    Some(frame)
}

/// The answer in a frame; none if the frame is malformed. The id of its first field is 0 for served, 1 rejected, 2
/// failed.
pub(super) fn decode_answer(frame: &[u8]) -> Option<Answer> {
    let message_type = *frame.get(3)?;
    let name_length = u32::from_be_bytes(frame.get(4..8)?.try_into().ok()?) as usize;
    let name_end = 8 + name_length;
    let sequence = i32::from_be_bytes(frame.get(name_end..name_end + 4)?.try_into().ok()?);
    let field = match message_type {
        EXCEPTION => FAILED_FIELD,
        _ => i16::from_be_bytes(frame.get(name_end + 5..name_end + 7)?.try_into().ok()?),
    };
    let outcome = match field {
        0 => Outcome::Served,
        1 => Outcome::Rejected,
        _ => Outcome::Failed,
    };
    Some(Answer { sequence, outcome })
}
