use super::*;

#[test]
fn a_request_is_read_whole_with_its_body() {
    let text = b"POST /sign?a=1 HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nokGET";
    let Ok(Input::Whole(request, used)) = request(text) else { panic!("not whole") };
    assert_eq!(
        (request.path, request.query, request.body, used),
        ("/sign", "a=1", &b"ok"[..], text.len() - 3)
    );
    assert!(request.keep_alive);
    assert_eq!(super::request(&text[..text.len() - 5]), Ok(Input::Partial(false)));
    assert_eq!(super::request(b"GET / HT"), Ok(Input::Partial(false)));
}

#[test]
fn what_could_be_read_in_two_ways_is_refused() {
    let status = |rest: &str| {
        let text = format!("GET / HTTP/1.1\r\n{rest}\r\n");
        request(text.as_bytes()).err().map_or(200, |e| e.0)
    };
    assert_eq!(status("Host: x\r\nContent-Length: 1\r\nContent-Length: 2\r\n"), 400);
    assert_eq!(status("Host: x\r\nContent-Length: +1\r\n"), 400);
    assert_eq!(status("Host: x\r\nTransfer-Encoding: chunked\r\n"), 411);
    assert_eq!(status("Host: x\r\nHost: y\r\n"), 400);
    assert_eq!(status(""), 400);
    assert_eq!(status("Host: x\r\nContent-Length: 99999999\r\n"), 413);
    assert_eq!(status(&format!("Host: x\r\nX: {}\r\n", "y".repeat(20_000))), 431);
    assert_eq!(request(&[b'a'; 20_000]).map_err(|e| e.0), Err(431));
    assert_eq!(request(b"GET / HTTP/3.0\r\n\r\n").map_err(|e| e.0), Err(505));
}
