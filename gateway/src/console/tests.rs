use super::*;

fn put(path: &str, body: &str) -> String {
    format!("PUT {path} HTTP/1.1\r\nHost: a\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

#[test]
fn a_call_is_read_only_when_it_is_whole_and_each_fault_is_named() {
    let down = put("/ops/stores/down", r#"{"who":"s-1f"}"#);
    for cut in 0..down.len() {
        assert_eq!(call(&down.as_bytes()[..cut], false), Ok(None), "{cut}");
        if cut > 0 {
            let told = call(&down.as_bytes()[..cut], true);
            assert!(told.is_err_and(|r| r.status == 400 && r.text.contains("cut short")), "{cut}");
        }
    }
    let who = "s-1f".to_string();
    assert_eq!(call(down.as_bytes(), false), Ok(Some(Call::Store { who: who.clone(), down: true })));
    let up = put("/ops/stores/up?x=1", r#"{"why":"done","who":"s-1f"}"#);
    assert_eq!(call(up.as_bytes(), false), Ok(Some(Call::Store { who, down: false })));
    let get = |path: &str| call(format!("GET {path} HTTP/1.1\r\nHost: a\r\n\r\n").as_bytes(), false);
    assert_eq!(get("/ops/readiness"), Ok(Some(Call::Readiness)));
    assert_eq!(get("/ops/stats"), Ok(Some(Call::Stats)));
    assert_eq!(get("/ops/copies"), Ok(Some(Call::Copies)));
    assert_eq!(get("/ops/events"), Ok(Some(Call::Events)));
    assert_eq!(get("/ops/spread"), Ok(Some(Call::Spread)));
    assert_eq!(get("/ops/fleet"), Ok(Some(Call::Fleet)));
    let long = "x".repeat(HEAD);
    let many = "A: b\r\n".repeat(40);
    let path = "/ops/stores/down";
    for (text, status, named) in [
        ("GET /ops/other HTTP/1.1\r\n\r\n".to_string(), 404, "/ops/other"),
        ("POST /ops/stats HTTP/1.1\r\n\r\n".to_string(), 405, "takes GET"),
        (format!("GET {path} HTTP/1.1\r\n\r\n"), 405, "takes PUT"),
        (format!("PUT {path} HTTP/1.1\r\n\r\n"), 411, "Content-Length"),
        (format!("PUT {path} HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"), 411, "Transfer"),
        (format!("PUT {path} HTTP/1.1\r\nContent-Length: -1\r\n\r\n"), 400, "Content-Length"),
        (format!("PUT {path} HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n"), 400, "twice"),
        (format!("PUT {path} HTTP/1.1\r\nContent-Length: 99999\r\n\r\n"), 413, "body"),
        (format!("PUT {path} HTTP/1.1\r\nContent-Length: 3\r\n\r\n{{}}more"), 400, "goes on"),
        (put(path, ""), 400, "JSON"),
        (put(path, "who=s-1"), 400, "JSON"),
        (put(path, "{\"who\":\"s-1\""), 400, "JSON"),
        (put(path, "[\"who\"]"), 400, "object"),
        (put(path, "{}"), 400, "who is missing"),
        (put(path, "{\"who\":7}"), 400, "who must be a string"),
        (put(path, "{\"who\":null}"), 400, "who must be a string"),
        (format!("GET /ops/stats HTTP/1.1\r\nA: {long}\r\n\r\n"), 431, "head"),
        (format!("GET /ops/stats HTTP/1.1\r\nA: {long}"), 431, "head"),
        (format!("GET /ops/stats HTTP/1.1\r\n{many}\r\n"), 431, "header"),
        ("GET /ops/stats HTTP/1.1\r\n\r\nGET ".to_string(), 400, "more than one"),
        ("\x00\x01\x02".to_string(), 400, "head"),
    ] {
        match call(text.as_bytes(), false) {
            Err(reply) => {
                assert!(reply.status == status && reply.text.contains(named), "{text:?}: {reply:?}");
                assert_eq!(reply.allow.is_some(), status == 405);
            }
            other => panic!("{text:?}: {other:?}"),
        }
    }
}

#[test]
fn a_method_that_is_wrong_is_told_the_right_one() {
    let told = call(b"DELETE /ops/stores/up HTTP/1.1\r\n\r\n", false).expect_err("no call").write();
    assert!(String::from_utf8_lossy(&told).contains("\r\nAllow: PUT\r\n"));
}
