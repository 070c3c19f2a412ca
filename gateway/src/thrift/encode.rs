//! Encoding of replies.
use super::protocol::{message_type, method, value_type, VERSION};

/// Field number of the method's result in a reply.
const RESULT: i16 = 0;
/// Field number of the exception `Busy` in a reply.
const BUSY: i16 = 1;
/// Field number of the exception `Failed` in a reply.
const FAILED: i16 = 2;

/// Bytes of an answer beside its body, in most cases.
const ANSWER_OVERHEAD_BYTES: usize = 128;

/// Writes a message in a frame, whose length is filled in after the content is written.
fn write_message(
    output: &mut Vec<u8>,
    kind: u8,
    name: &str,
    sequence: i32,
    content: impl FnOnce(&mut Vec<u8>),
) {
    let start = output.len();
    output.extend_from_slice(&[0; 4]);
    output.extend_from_slice(&(VERSION << 16 | u32::from(kind)).to_be_bytes());
    write_string(output, name.as_bytes());
    output.extend_from_slice(&sequence.to_be_bytes());
    content(output);
    let length = (output.len() - start - 4) as u32;
    output[start..start + 4].copy_from_slice(&length.to_be_bytes());
}

fn write_string(output: &mut Vec<u8>, bytes: &[u8]) {
    output.extend_from_slice(&(bytes.len() as u32).to_be_bytes());
    output.extend_from_slice(bytes);
}

fn begin_field(output: &mut Vec<u8>, kind: u8, number: i16) {
    output.push(kind);
    output.extend_from_slice(&number.to_be_bytes());
}

fn write_string_map(output: &mut Vec<u8>, number: i16, fields: &[(&str, &str)]) {
    begin_field(output, value_type::MAP, number);
    output.extend_from_slice(&[value_type::STRING, value_type::STRING]);
    output.extend_from_slice(&(fields.len() as u32).to_be_bytes());
    for (name, value) in fields {
        write_string(output, name.as_bytes());
        write_string(output, value.as_bytes());
    }
}

/// The content of an `Answer`, the result of a method.
#[derive(Debug, Clone, Copy)]
pub(super) struct Answer<'a> {
    /// The fields of the answer.
    pub(super) fields: &'a [(&'a str, &'a str)],
    /// The body of the answer.
    pub(super) body: &'a [u8],
    /// Whether the call succeeded.
    pub(super) is_success: bool,
}

/// Writes the reply to a request or a health check.
pub(super) fn write_answer(output: &mut Vec<u8>, name: &str, sequence: i32, answer: Answer<'_>) {
    // Otherwise the fields behind a long body would double the capacity.
    output.reserve(answer.body.len() + ANSWER_OVERHEAD_BYTES);
    write_message(output, message_type::REPLY, name, sequence, |output| {
        begin_field(output, value_type::STRUCT, RESULT);
        begin_field(output, value_type::STRING, 1);
        write_string(output, answer.body);
        write_string_map(output, 2, answer.fields);
        begin_field(output, value_type::BOOL, 3);
        output.extend_from_slice(&[u8::from(answer.is_success), value_type::STOP, value_type::STOP]);
    });
}

/// Writes the reply to a request with an exception that the service's interface declares.
fn write_declared_exception(output: &mut Vec<u8>, sequence: i32, number: i16, fields: &[(&str, &str)]) {
    write_message(output, message_type::REPLY, method::SERVE, sequence, |output| {
        begin_field(output, value_type::STRUCT, number);
        write_string_map(output, 1, fields);
        output.extend_from_slice(&[value_type::STOP, value_type::STOP]);
    });
}

/// Writes a `Busy` exception, with the time in ms after which the client may retry unless that is 0.
pub(super) fn write_busy(output: &mut Vec<u8>, sequence: i32, retry_after_ms: u64) {
    let text = retry_after_ms.to_string();
    let fields = [("pushback", text.as_str())];
    write_declared_exception(output, sequence, BUSY, if retry_after_ms > 0 { &fields } else { &[] });
}

/// Writes a `Failed` exception.
pub(super) fn write_failed(output: &mut Vec<u8>, sequence: i32) {
    write_declared_exception(output, sequence, FAILED, &[]);
}

/// Writes a Thrift application exception of this kind.
pub(super) fn write_exception(output: &mut Vec<u8>, name: &str, sequence: i32, kind: i32, text: &str) {
    write_message(output, message_type::EXCEPTION, name, sequence, |output| {
        begin_field(output, value_type::STRING, 1);
        write_string(output, text.as_bytes());
        begin_field(output, value_type::I32, 2);
        output.extend_from_slice(&kind.to_be_bytes());
        output.push(value_type::STOP);
    });
}
