//! Real gateways that know of each other, with faults of links and processes between them (`docs/design/fleet.md`); in full
//! by `larchway-lab trial fleet`.
use larchway_lab::faults::plan::Plan;
use larchway_lab::stand::ensemble::command;
use larchway_lab::trial::tier::{dead, shares, World, FILE};
use serde_json::Value;
use std::collections::BTreeMap;

/// Looks at all that run and do not stand still, and what must hold at each look, until what is wanted holds; within a minute.
fn until(
    world: &World,
    what: &str,
    still: &[usize],
    holds: impl Fn(&BTreeMap<usize, Value>),
    wanted: impl Fn(&BTreeMap<usize, Value>) -> bool,
) {
    let end = world.gone() + 60_000;
    loop {
        let told = world.all_told(still);
        assert!(shares(&told) <= 1.0 + 1e-6, "{what}: shares sum to {}", shares(&told));
        holds(&told);
        if wanted(&told) {
            return;
        }
        assert!(world.gone() < end, "{what}: not within a minute: {told:?}");
        std::thread::sleep(std::time::Duration::from_millis(50));
    }
}

#[test]
fn six_gateways_bear_losses_and_pauses_find_dead_ones_and_share_what_they_left() {
    std::env::set_var("LARCHWAY_LAB", env!("CARGO_BIN_EXE_larchway-lab"));
    let mut world = World::start("six", 6, Some(FILE), 4).expect("starts");
    let held = |told: &BTreeMap<usize, Value>, number: usize| {
        told.len() == number && told.values().all(|t| t["lease"]["held"] == true)
    };
    let nobody = |told: &BTreeMap<usize, Value>| {
        assert!(told.values().all(|t| dead(t).is_empty()), "taken for dead: {told:?}");
    };
    until(&world, "all have a lease", &[], nobody, |told| held(told, 6) && shares(told) > 0.999);
    // Losses, and one link cut one way, with one that stands still for less than is borne: nobody is taken for dead.
    let plan = r#"{"seed":4,"members":6,"for_ms":6000,"faults":[
        {"at_ms":0,"for_ms":6000,"what":"loss","from":"all","to":"all","share":0.2},
        {"at_ms":0,"for_ms":6000,"what":"cut","from":[0],"to":[1]}]}"#;
    world.relay.plan(Plan::read(plan).expect("a plan"));
    let paused = world.gateways[2].as_ref().expect("runs");
    paused.signal("STOP").expect("stops");
    std::thread::sleep(std::time::Duration::from_millis(1000));
    paused.signal("CONT").expect("goes on");
    let start = world.gone();
    until(&world, "losses", &[], nobody, |_| world.gone() > start + 5500);
    // Three of six are killed at once. The rest find that out, and use what they left when it is safe, never before.
    world.kill(&[3, 4, 5]);
    let known = |told: &BTreeMap<usize, Value>| told.values().all(|t| dead(t) == [3, 4, 5]);
    let grown = |told: &BTreeMap<usize, Value>| told.len() == 3 && shares(told) > 0.74;
    until(&world, "three are gone", &[], |_| {}, |told| known(told) && grown(told));
    // They come back: known alive everywhere, and all have their own shares again.
    world.back(&[3, 4, 5]).expect("start");
    let alive = |told: &BTreeMap<usize, Value>| told.values().all(|t| dead(t).is_empty());
    until(&world, "three are back", &[], |_| {}, |told| alive(told) && held(told, 6) && shares(told) > 0.999);
    assert!(world.relay.longest() <= 256 && world.relay.passed() > 100);
}

/// L1 to L3 where it is the ensemble that fails: sessions ended under gateways that live, a node taken away by hand, a server
/// that lies behind, all servers silent, and a gateway that stands still for longer than its session lives.
#[test]
fn shares_of_four_gateways_never_sum_to_more_than_one_whatever_the_ensemble_does() {
    std::env::set_var("LARCHWAY_LAB", env!("CARGO_BIN_EXE_larchway-lab"));
    let mut world = World::start("four", 4, Some(FILE), 9).expect("starts");
    let held = |told: &BTreeMap<usize, Value>, number: usize| {
        told.len() == number && told.values().all(|t| t["lease"]["held"] == true)
    };
    let sum = |told: &BTreeMap<usize, Value>, of: f64| (shares(told) - of).abs() < 0.01;
    let orders = |world: &World, lines: &[&str]| {
        for line in lines {
            command(&world.keepers, line).expect(line);
        }
    };
    let lost = |told: &BTreeMap<usize, Value>| told.values().any(|t| t["lease"]["held"] == false);
    until(&world, "all have a lease", &[], |_| {}, |told| held(told, 4) && sum(told, 1.0));
    for faults in [&["expire /larchway/g0", "expire /larchway/g2"][..], &["take /larchway/g1"]] {
        orders(&world, faults);
        until(&world, "a node is gone", &[], |_| {}, lost);
        until(&world, "all have a lease again", &[], |_| {}, |told| held(told, 4) && sum(told, 1.0));
    }
    orders(&world, &["lag 0 3", "lag 1 3"]);
    world.kill(&[3]);
    until(&world, "one is gone", &[], |_| {}, |told| held(told, 3) && sum(told, 0.875));
    orders(&world, &["stall 0 on", "stall 1 on", "stall 2 on"]);
    until(&world, "the ensemble is silent", &[], |_| {}, |told| sum(told, 0.375));
    orders(&world, &["stall 0 off", "stall 1 off", "stall 2 off"]);
    until(&world, "it speaks again", &[], |_| {}, |told| held(told, 3) && sum(told, 0.875));
    // One stands still until its session is over and the others have its share; it wakes with the floor.
    let paused = world.gateways[2].as_ref().expect("runs");
    paused.signal("STOP").expect("stops");
    until(&world, "one stands still", &[2], |_| {}, |told| held(told, 2) && sum(told, 0.75));
    paused.signal("CONT").expect("goes on");
    until(&world, "it is back", &[], |_| {}, |told| held(told, 3) && sum(told, 0.875));
}
