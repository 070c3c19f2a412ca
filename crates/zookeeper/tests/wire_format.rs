//! Compares the encoding of each record with recorded bytes: the published protocol must not change.
use larchway_zookeeper::proto::*;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn stat() -> Stat {
    Stat {
        czxid: 1,
        mzxid: 2,
        ctime: 3,
        mtime: 4,
        version: 5,
        cversion: 6,
        aversion: 7,
        owner: 8,
        length: 9,
        children: 10,
        pzxid: 11,
    }
}

fn create(mode: Mode, stat: bool) -> Request {
    Request::Create { path: "/a".into(), data: b"d".to_vec(), acl: Acl::open(), mode, stat }
}

fn set_watches(persistent: Option<[Vec<String>; 2]>) -> Request {
    let one_time = [vec!["/d".into()], vec!["/e".into()], vec!["/c".into()]];
    Request::SetWatches { last_zxid_seen: 3, one_time, persistent }
}

fn requests() -> Vec<Request> {
    let path = || "/a".to_string();
    vec![
        create(Mode::Persistent, false),
        create(Mode::EphemeralSequential, true),
        Request::Delete(path(), 2),
        Request::Exists(path(), Watch::OneTime),
        Request::GetData(path(), Watch::None),
        Request::SetData(path(), b"d".to_vec(), -1),
        Request::GetAcl(path()),
        Request::SetAcl(path(), Acl::own(), 4),
        Request::GetChildren(path(), Watch::OneTime),
        Request::GetChildren2(path(), Watch::None),
        Request::Sync(path()),
        Request::Check(path(), 6),
        Request::Multi(vec![Request::Delete(path(), 2), Request::Check(path(), 6)]),
        set_watches(None),
        set_watches(Some([vec!["/p".into()], vec!["/r".into()]])),
        Request::AddWatch(path(), WatchMode::Recursive),
        Request::Auth(Credential { scheme: "digest".into(), secret: b"u:p".to_vec() }),
        Request::Ping,
        Request::Close,
    ]
}

fn responses() -> Vec<Result<Response, Code>> {
    vec![
        Ok(Response::Done),
        Ok(Response::Path("/a".into(), None)),
        Ok(Response::Path("/a".into(), Some(stat()))),
        Ok(Response::Stat(stat())),
        Ok(Response::Data(b"d".to_vec(), stat())),
        Ok(Response::Acl(Acl::open(), stat())),
        Ok(Response::Children(vec!["b".into()], None)),
        Ok(Response::Multi(vec![Ok(Response::Done), Err(Code::BadVersion)])),
        Err(Code::NoNode),
    ]
}

#[test]
fn requests_have_the_bytes_of_the_protocol() {
    let written: Vec<String> = requests().iter().map(|request| hex(&request.framed(7))).collect();
    assert_eq!(written, include_str!("wire_format/requests.txt").lines().collect::<Vec<_>>());
}

#[test]
fn responses_have_the_bytes_of_the_protocol() {
    let reply = |body| Reply { xid: 7, zxid: 9, body }.framed();
    let written: Vec<String> = responses().into_iter().map(|body| hex(&reply(body))).collect();
    assert_eq!(written, include_str!("wire_format/responses.txt").lines().collect::<Vec<_>>());
}

#[test]
fn handshake_and_events_have_the_bytes_of_the_protocol() {
    let connect = Connect { last_zxid_seen: 5, timeout: 3000, session: 9, password: vec![1; 2] };
    let connected = Connected { timeout: 3000, session: 9, password: vec![1; 2] };
    let event = Event { kind: EventKind::ChildrenChanged, state: 3, path: "/a".into() };
    let written = [hex(&connect.framed()), hex(&connected.framed()), hex(&event.framed())];
    assert_eq!(written[..], include_str!("wire_format/handshake.txt").lines().collect::<Vec<_>>());
}
