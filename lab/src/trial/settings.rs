//! The settings of gateways in trials that need no others.

const SETTINGS: &str = r#"{"balancers":3,"familyInfo":{"canJoin":true,"goneEverywhereMs":6000.0,"graceForMs":[0],
 "lifetimeByClassMs":[0],"mayPassBy":true,"neverKept":[false],"noteLevel":"all","oneFlowKbPerS":7800,
 "peersFill":"any","shieldKind":1,"storeKind":2,"upperColdMs":21000,"zoneBalancers":[0,3]},
 "limits":{"cancel":true,"connIdleMs":30000,"connectTimeoutMs":400,"maxAttempts":8,
 "maxRetryAfterMs":1000,"mayDuplicate":true,"retryAfter":true},
 "locality":1,"membershipMode":"push","models":["standard","parent","origin"],
 "services":[{"aimStretch":1.6,"deadlineMs":1000,"effect":"pure","name":"history-files","targetMs":150}],
 "weightKind":"rough","zones":["east","edge"]}"#;

/// The settings, as JSON.
pub fn settings() -> &'static str {
    SETTINGS
}
