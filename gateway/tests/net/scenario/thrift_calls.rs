//! Encoding of calls of the platform's front: Thrift, framed transport, strict binary protocol.

/// The type of a message that is answered.
pub const CALL: u8 = 1;
/// The type of a message that is not answered.
pub const ONEWAY: u8 = 4;

fn write_string(out: &mut Vec<u8>, text: &[u8]) {
    out.extend_from_slice(&(text.len() as u32).to_be_bytes());
    out.extend_from_slice(text);
}

/// A call in its frame. `arguments`: its encoded fields, without the end of the struct.
pub fn call_frame(message_type: u8, method: &str, sequence: i32, arguments: &[u8]) -> Vec<u8> {
    let mut content = vec![0x80, 1, 0, message_type];
    write_string(&mut content, method.as_bytes());
    content.extend_from_slice(&sequence.to_be_bytes());
    content.extend_from_slice(arguments);
    content.push(0);
    let mut frame = (content.len() as u32).to_be_bytes().to_vec();
    frame.append(&mut content);
    frame
}

/// The fields of a request, as the first field of a call's arguments.
pub fn request_fields(fields: &[(String, String)]) -> Vec<u8> {
    let mut out = vec![13, 0, 1, 11, 11];
    out.extend_from_slice(&(fields.len() as u32).to_be_bytes());
    for (name, value) in fields {
        write_string(&mut out, name.as_bytes());
        write_string(&mut out, value.as_bytes());
    }
    out
}

/// The body of a request, as the second field of a call's arguments.
pub fn request_body(body: &[u8]) -> Vec<u8> {
    let mut out = vec![11, 0, 2];
    write_string(&mut out, body);
    out
}
