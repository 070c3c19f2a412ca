//! How many objects migrate when one parent of four is replaced: by rendezvous hashing, as the gateway places them, and
//! by a ring of 100 points a parent, for comparison.
use larchway_endpoints::endpoint::endpoint_id;
use larchway_hierarchy::migration::rendezvous;
use std::collections::BTreeMap;
use std::time::Instant;

const OBJECTS: u64 = 100_000;
/// Each object is looked up before and after.
const LOOKUPS: f64 = 2.0 * OBJECTS as f64;
const WEIGHT: f64 = 4.0;
const POINTS_OF_PARENT: u64 = 100;
/// Numbers of the parents before and after; the last one is replaced.
const OLD: [usize; 4] = [1, 2, 3, 4];
const NEW: [usize; 4] = [1, 2, 3, 5];

/// Shares of all objects that migrate, and the time of a lookup.
pub(super) struct Placement {
    /// By rendezvous hashing.
    pub migrated: f64,
    /// The least that can: what the replaced parent had.
    pub least_migrated: f64,
    /// By the ring.
    pub ring_migrated: f64,
    pub lookup_ns: f64,
    pub ring_lookup_ns: f64,
    /// Objects that migrate between two parents that stay, by rendezvous hashing.
    pub needless: usize,
}

/// The parents of an object, before and after.
struct Migration {
    from: Option<String>,
    to: Option<String>,
}

/// The name of a parent by its number.
pub(super) fn parent_name(number: usize) -> String {
    format!("s-{number:04x}")
}

fn names(numbers: &[usize]) -> Vec<String> {
    numbers.iter().map(|number| parent_name(*number)).collect()
}

fn place(parents: &[String], object: u64) -> Option<String> {
    rendezvous(object, parents.iter().map(|name| (name.as_str(), WEIGHT))).map(String::from)
}

/// The points of the ring, by their places.
fn ring(parents: &[String]) -> BTreeMap<u64, &String> {
    let points = parents.iter().flat_map(|name| (0..POINTS_OF_PARENT).map(move |point| (name, point)));
    let place = |name: &str, point: u64| larchway::mix(endpoint_id(name) ^ larchway::mix(point + 1));
    points.map(|(name, point)| (place(name, point), name)).collect()
}

fn place_on_ring(ring: &BTreeMap<u64, &String>, object: u64) -> Option<String> {
    let point = ring.range(larchway::mix(object)..).next().or_else(|| ring.iter().next());
    point.map(|(_, name)| (*name).clone())
}

/// Places all objects before and after, in both ways.
pub(super) fn measure() -> Placement {
    let (old, new) = (names(&OLD), names(&NEW));
    let start = Instant::now();
    let migration = |object| Migration { from: place(&old, object), to: place(&new, object) };
    let all: Vec<Migration> = (0..OBJECTS).map(migration).collect();
    let lookup_ns = start.elapsed().as_nanos() as f64 / LOOKUPS;
    let share = |count: usize| count as f64 / OBJECTS as f64;
    let gone = parent_name(OLD[OLD.len() - 1]);
    let of_gone = all.iter().filter(|migration| migration.from.as_ref() == Some(&gone)).count();
    let (old_ring, new_ring) = (ring(&old), ring(&new));
    let start = Instant::now();
    let on_ring = (0..OBJECTS)
        .filter(|object| place_on_ring(&old_ring, *object) != place_on_ring(&new_ring, *object))
        .count();
    let ring_lookup_ns = start.elapsed().as_nanos() as f64 / LOOKUPS;
    Placement {
        migrated: share(all.iter().filter(|migration| migration.from != migration.to).count()),
        least_migrated: share(of_gone),
        ring_migrated: share(on_ring),
        lookup_ns,
        ring_lookup_ns,
        needless: count_needless(&all),
    }
}

/// Rendezvous hashing migrates what the old parent had, and what the new one takes from the others; nothing else.
fn count_needless(all: &[Migration]) -> usize {
    let (gone, come) = (parent_name(OLD[OLD.len() - 1]), parent_name(NEW[NEW.len() - 1]));
    let is_needless = |migration: &&Migration| {
        migration.from != migration.to
            && migration.from.as_ref() != Some(&gone)
            && migration.to.as_ref() != Some(&come)
    };
    all.iter().filter(is_needless).count()
}
