//! The server's side of the wire to stores.
use super::messages::{string_at, Request, Response, Status, GET_COMMAND};
use super::respond::respond;
use super::state::State;
use crate::clock::now;
use larchway_gateway::resp;
use std::io::{Read, Write};
use std::net::TcpStream;

/// Bytes of each object.
const BODY: [u8; 500] = [b'x'; 500];
/// Bytes read at once.
const BUFFER_LENGTH: usize = 16 * 1024;

/// Answers the requests of a connection until it ends or the server is dead.
pub(super) fn serve(mut stream: TcpStream, state: &State) {
    let _ = stream.set_nodelay(true);
    let (mut input, mut buffer) = (Vec::new(), vec![0; BUFFER_LENGTH]);
    while let Ok(read) = stream.read(&mut buffer) {
        if read == 0 || state.is_dead() {
            return;
        }
        input.extend_from_slice(&buffer[..read]);
        while let Ok(Some(resp::Array { strings, length })) = resp::decode_array(&input) {
            let command = string_at(&strings, 0).to_string();
            let (id, fields) = (string_at(&strings, 1).to_string(), string_at(&strings, 2).to_string());
            input.drain(..length);
            if command != GET_COMMAND {
                continue;
            }
            let response = respond(state, &Request::parse(&id, &fields));
            if state.is_dead() || write_response(&mut stream, &id, response).is_err() {
                return;
            }
        }
    }
}

fn write_response(stream: &mut TcpStream, id: &str, response: Response) -> std::io::Result<()> {
    let body: &[u8] = if response.status == Status::Ok { &BODY } else { b"" };
    let fields = format!("entity=t1,issued={},remark={}", now() / 1000, response.remark);
    let mut out = Vec::new();
    let status = response.status.as_wire().as_bytes();
    resp::encode_array(&mut out, &[id.as_bytes(), status, fields.as_bytes(), body]);
    stream.write_all(&out)
}
