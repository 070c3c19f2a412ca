use super::*;

#[test]
fn a_complete_request_is_decoded_with_its_body() {
    let text = b"POST /sign?a=1 HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nokGET";
    let Ok(Decoded::Complete(request, used)) = decode_request(text) else { panic!("not complete") };
    assert_eq!(
        (request.path, request.query, request.body, used),
        ("/sign", "a=1", &b"ok"[..], text.len() - 3)
    );
    assert!(request.keep_alive);
    assert_eq!(decode_request(&text[..text.len() - 5]), Ok(Decoded::Partial { expects_continue: false }));
    assert_eq!(decode_request(b"GET / HT"), Ok(Decoded::Partial { expects_continue: false }));
}

#[test]
fn a_request_with_ambiguous_framing_is_rejected() {
    let status = |rest: &str| {
        let text = format!("GET / HTTP/1.1\r\n{rest}\r\n");
        decode_request(text.as_bytes()).err().map_or(200, HttpError::status)
    };
    assert_eq!(status("Host: x\r\nContent-Length: 1\r\nContent-Length: 2\r\n"), 400);
    assert_eq!(status("Host: x\r\nContent-Length: +1\r\n"), 400);
    assert_eq!(status("Host: x\r\nTransfer-Encoding: chunked\r\n"), 411);
    assert_eq!(status("Host: x\r\nHost: y\r\n"), 400);
    assert_eq!(status(""), 400);
    assert_eq!(status("Host: x\r\nContent-Length: 99999999\r\n"), 413);
    assert_eq!(status(&format!("Host: x\r\nX: {}\r\n", "y".repeat(20_000))), 431);
    assert_eq!(decode_request(&[b'a'; 20_000]).map_err(HttpError::status), Err(431));
    assert_eq!(decode_request(b"GET / HTTP/3.0\r\n\r\n").map_err(HttpError::status), Err(505));
}
