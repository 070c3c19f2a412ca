//! New processes at the addresses of others that have gone.
use crate::scenario::{edited_settings, entry, usual_with, Setup};
use std::net::TcpListener;

/// Guards against a request that is sent to the store which has taken over the address of another one: an attempt that waited
/// for its connection to come up was written to it although its store had been listed at another address meanwhile.
#[test]
fn an_attempt_that_waits_for_a_connection_follows_its_store_to_another_address() {
    let edits = [("\"connectTimeoutMs\":400", "\"connectTimeoutMs\":8000")];
    let mut s = usual_with(Setup {
        dead: &["a2"],
        held: &["a1"],
        settings: edited_settings(&edits),
        ..Setup::default()
    });
    let other = TcpListener::bind("127.0.0.1:0").expect("binds");
    let former = s.var("a1").parse().expect("an address");
    let moved = entry("a1", other.local_addr().expect("an address"), "standard", "up");
    let successor = entry("a9", former, "parent", "up");
    s.run("c1 > serve 1 $ask call=aa\nstore dialled a1");
    s.run(&format!(
        "bulletin > {{\"no\":2,\"roster\":{{\"seq\":2,\"whole\":false,\"hosts\":[{moved},{successor}]}}}}
         bulletin text : still here\\n\\n
         wait 100
         store admit a1
         // A connection that is still being established comes up within these 3 s: the kernel tries again 1 and 3 s after the first.
         wait 3200
         never PULL aa"
    ));
    other.set_nonblocking(true).expect("sets");
    other.accept().expect("the store was called at its new address");
}
