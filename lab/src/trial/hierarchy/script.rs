//! The cases of the trial: what is done to parents, the origin and the list, and when.
use super::MIGRATION_MS;

/// One action of a script; stores are named.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Action {
    /// The new parent starts cold, is listed, and takes the place of the second one.
    Migrate,
    /// A store dies.
    Kill(&'static str),
    /// A store starts anew, cold, and is listed.
    RestartCold(&'static str),
    /// The list changes a store's health.
    SetListed { store: &'static str, health: &'static str },
    /// The origin takes so many times as long as usual.
    SlowOrigin(f64),
    /// A parent is notified of what it fetches from.
    SetUpstream { store: &'static str, upstream: &'static str, epoch: u64 },
}

/// An action and when it is due, in ms from the start of the load.
#[derive(Debug, Clone, Copy)]
pub(super) struct Step {
    pub due_ms: u64,
    pub action: Action,
}

/// A named script.
pub(super) struct Case {
    pub name: &'static str,
    /// Whether a parent fetches from another one at first, so that edits in the wrong order make a loop.
    pub chained: bool,
    pub script: Vec<Step>,
}

impl Case {
    /// A case in which parents are migrated, and more is done besides.
    fn of_migration(name: &'static str, further: &[Step]) -> Self {
        let mut script = vec![step(MIGRATION_MS, Action::Migrate)];
        script.extend(further);
        Case { name, chained: false, script }
    }

    /// Whether the script begins with the migration.
    pub fn migrates(&self) -> bool {
        self.script.first().is_some_and(|first| first.action == Action::Migrate)
    }
}

const fn step(due_ms: u64, action: Action) -> Step {
    Step { due_ms, action }
}

fn slow_origin(times: f64) -> [Step; 2] {
    [step(MIGRATION_MS, Action::SlowOrigin(times)), step(14_000, Action::SlowOrigin(1.0))]
}

/// All cases, in the order in which they are played.
pub(super) fn cases() -> Vec<Case> {
    let removed = Action::SetListed { store: "s-b2", health: "removed" };
    let lost = [step(11_000, Action::Kill("s-b2")), step(11_800, removed)];
    let flaps = [
        step(10_000, Action::Kill("s-b2")),
        step(10_800, Action::RestartCold("s-b2")),
        step(13_000, Action::Kill("s-b2")),
        step(13_800, Action::RestartCold("s-b2")),
    ];
    let upstream = |store, upstream| Action::SetUpstream { store, upstream, epoch: 1 };
    let wrong_order = vec![
        step(MIGRATION_MS, upstream("s-b0", "s-b1")),
        step(MIGRATION_MS + 3000, upstream("s-b1", "s-c0")),
    ];
    vec![
        Case::of_migration("cold hub takes half", &[]),
        Case::of_migration("hub lost in mid-move", &lost),
        Case::of_migration("hub that flaps", &flaps),
        Case::of_migration("origin 3 times slower", &slow_origin(3.0)),
        Case::of_migration("origin 5 times slower", &slow_origin(5.0)),
        Case { name: "edits in the wrong order", chained: true, script: wrong_order },
    ]
}
