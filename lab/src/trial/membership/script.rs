//! The cases of the trial: what is done to stores, to the membership service and to the list, and when.
use super::LIST_DELAY_MS;
use crate::stand::store::Mode;

/// One action of a script; stores are named.
#[derive(Debug, Clone)]
pub(super) enum Action {
    /// The store's machine or process stops, or comes back.
    SetMode(&'static str, Mode),
    /// The service ends the store's session; the store registers again after a pause.
    ExpireSession { store: &'static str, pause_ms: u64 },
    /// The store makes no further call to the service.
    PauseRegistration(&'static str),
    /// The sessions of all caches but some end at once; the stores register again after a pause.
    ExpireAllBut { remaining: usize, pause_ms: u64 },
    /// The store's node changes its health.
    SetNode { store: &'static str, health: &'static str },
    /// The store closes its session in good order.
    CloseSession(&'static str),
    /// The list changes the store's health.
    SetListed { store: &'static str, health: &'static str },
    /// All servers of the service go silent.
    StallService,
    /// They answer again.
    ResumeService,
    /// Changes of a node that nobody watches.
    WriteUnrelated { changes: usize },
    /// A server of the service stays so many changes behind the others.
    SetLag { server: usize, changes: usize },
    /// A server of the service breaks its connections.
    CutConnections { server: usize },
    /// From here on the store has departed, by a source that counts.
    MarkDeparted(&'static str),
    /// It has returned.
    MarkReturned(&'static str),
}

/// An action and when it is due, in ms from the start of the load.
#[derive(Debug, Clone)]
pub(super) struct Step {
    pub due_ms: u64,
    pub action: Action,
}

/// A named script.
pub(super) struct Case {
    pub name: &'static str,
    /// The steps, in the order of their times.
    pub script: Vec<Step>,
}

impl Case {
    fn new(name: &'static str, parts: Vec<Vec<Step>>) -> Self {
        let mut script = parts.concat();
        script.sort_by_key(|step| step.due_ms);
        Case { name, script }
    }

    /// Whether so much of the service fails that the merge must serve better than both other variants.
    pub fn must_beat_others(&self) -> bool {
        self.name.starts_with("mass") || self.name.starts_with("service silent")
    }
}

/// Pause of a store that does not register again within the trial.
const FOR_GOOD_MS: u64 = 60_000;
/// When the stores of the mass expiry with losses go.
const MASS_AT_MS: u64 = 2500;

fn step(due_ms: u64, action: Action) -> Step {
    Step { due_ms, action }
}

fn list_removes(due_ms: u64, store: &'static str) -> Step {
    step(due_ms, Action::SetListed { store, health: "removed" })
}

/// A store's machine vanishes, and its session is ended with it; the list follows with its delay.
fn loss(store: &'static str, due_ms: u64) -> Vec<Step> {
    vec![
        step(due_ms, Action::SetMode(store, Mode::Silent)),
        step(due_ms, Action::ExpireSession { store, pause_ms: FOR_GOOD_MS }),
        step(due_ms, Action::MarkDeparted(store)),
        list_removes(due_ms + LIST_DELAY_MS, store),
    ]
}

fn flaps() -> Vec<Step> {
    let mut steps = Vec::new();
    for due_ms in (2000..12_000).step_by(2000) {
        steps.extend([
            step(due_ms, Action::SetMode("s-a1", Mode::Silent)),
            step(due_ms, Action::ExpireSession { store: "s-a1", pause_ms: 900 }),
            step(due_ms, Action::MarkDeparted("s-a1")),
            step(due_ms + 850, Action::SetMode("s-a1", Mode::Up)),
            step(due_ms + 850, Action::MarkReturned("s-a1")),
        ]);
    }
    steps
}

fn drain_by_node() -> Vec<Step> {
    vec![
        step(3000, Action::SetNode { store: "s-a1", health: "draining" }),
        step(3000, Action::MarkDeparted("s-a1")),
        step(5000, Action::CloseSession("s-a1")),
        step(5000, Action::SetMode("s-a1", Mode::Dead)),
        list_removes(8000, "s-a1"),
    ]
}

fn service_silent() -> Vec<Step> {
    vec![
        step(2500, Action::StallService),
        list_removes(4000, "s-a2"),
        step(4000, Action::MarkDeparted("s-a2")),
        step(4000, Action::SetMode("s-a2", Mode::Silent)),
        step(10_500, Action::ResumeService),
    ]
}

fn mass_expiry(due_ms: u64) -> Step {
    step(due_ms, Action::ExpireAllBut { remaining: 1, pause_ms: 4000 })
}

/// Half of the stores whose sessions end are gone indeed.
fn mass_with_losses() -> Vec<Step> {
    let mut steps = vec![
        step(MASS_AT_MS, Action::SetMode("s-a1", Mode::Silent)),
        step(MASS_AT_MS, Action::SetMode("s-a2", Mode::Dead)),
        step(MASS_AT_MS, Action::SetMode("s-a3", Mode::Silent)),
        step(MASS_AT_MS, Action::PauseRegistration("s-a1")),
        step(MASS_AT_MS, Action::PauseRegistration("s-a2")),
        step(MASS_AT_MS, Action::PauseRegistration("s-a3")),
        step(MASS_AT_MS, Action::SetMode("s-a4", Mode::Dead)),
        step(MASS_AT_MS, Action::PauseRegistration("s-a4")),
        mass_expiry(MASS_AT_MS),
    ];
    let lost = ["s-a1", "s-a2", "s-a3", "s-a4"];
    steps.extend(lost.map(|store| step(MASS_AT_MS, Action::MarkDeparted(store))));
    steps.extend(lost.map(|store| list_removes(MASS_AT_MS + LIST_DELAY_MS, store)));
    steps
}

fn cut_connections(due_ms: u64) -> Vec<Step> {
    [1, 2].map(|server| step(due_ms, Action::CutConnections { server })).to_vec()
}

fn lagging_server() -> Vec<Vec<Step>> {
    let lag = vec![
        step(1000, Action::WriteUnrelated { changes: 60 }),
        step(1200, Action::SetLag { server: 0, changes: 50 }),
    ];
    vec![lag, loss("s-a1", 2000), cut_connections(3000), cut_connections(6000)]
}

fn contradiction() -> Vec<Step> {
    vec![
        // The service is wrong: the store is well, and the list goes on naming it.
        step(2000, Action::ExpireSession { store: "s-a1", pause_ms: FOR_GOOD_MS }),
        step(2000, Action::MarkDeparted("s-a1")),
        step(6300, Action::MarkReturned("s-a1")),
        // The list is right: the store hangs, and its session lives on.
        step(3000, Action::SetMode("s-a2", Mode::Silent)),
        list_removes(5000, "s-a2"),
        step(5000, Action::MarkDeparted("s-a2")),
    ]
}

/// All cases, in the order in which they are played.
pub(super) fn cases() -> Vec<Case> {
    vec![
        Case::new("calm", vec![]),
        Case::new("single expiry", vec![loss("s-a1", 3000)]),
        Case::new("drain by node", vec![drain_by_node()]),
        Case::new("flaps every 2 s", vec![flaps()]),
        Case::new("service silent 8 s", vec![loss("s-a1", 1500), service_silent()]),
        Case::new("mass, boxes healthy", vec![loss("s-a1", 1500), vec![mass_expiry(4000)]]),
        Case::new("mass, half of them gone", vec![mass_with_losses()]),
        Case::new("lagging server", lagging_server()),
        Case::new("list and service contradict", vec![contradiction()]),
    ]
}
