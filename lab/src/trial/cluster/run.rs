//! The script of the trial: calm, faults of links, pauses, one gateway killed, seven in ten killed, and their return.
use super::figures::Figures;
use super::status::{ClusterStatus, ClusterStatuses};
use super::world::World;
use crate::faults::plan::Plan;
use crate::trial::edge_stores::STORES;
use crate::trial::TrialError;

/// Gateways that are killed at once: those whose number has a last digit under this.
const KILLED_OF_TEN: usize = 7;
/// A gateway says at most so many doubted members.
const MOST_DOUBTED: usize = 64;
/// Share of the quotas that the rest must have taken up.
const TAKEN_UP_SHARE: f64 = 0.9;
const POLL_MS: u64 = 100;
/// Seconds of the script in which service counts.
const FIRST_SECOND: usize = 1;
const LAST_SECOND: usize = 65;

/// Stores that start cold.
#[derive(Default)]
struct ColdStores {
    while_dead: Vec<usize>,
    while_returning: Vec<usize>,
}

/// One variant while it is played. Times of the script in ms.
struct Run {
    world: World,
    figures: Figures,
    seed: u64,
    /// The gateways by number: all, the one that is killed alone, those that are killed at once, and the rest.
    all: Vec<usize>,
    one: usize,
    most: Vec<usize>,
    rest: Vec<usize>,
    cold: ColdStores,
}

/// Plays a variant with this file of the cluster, or without one.
pub(super) fn play_variant(
    name: &'static str,
    file: Option<&'static str>,
    gateways: usize,
    seed: u64,
) -> Result<Figures, TrialError> {
    let world = World::start(name, gateways, file, seed)?;
    let all: Vec<usize> = (0..gateways).collect();
    let (most, rest) = all.iter().copied().partition(|number| number % 10 < KILLED_OF_TEN);
    let one = gateways / 2 + 1;
    let figures = Figures { name, ..Figures::default() };
    let mut run = Run { world, figures, seed, all, one, most, rest, cold: ColdStores::default() };
    run.calm();
    run.link_faults()?;
    run.pauses()?;
    run.one_killed()?;
    run.most_killed()?;
    run.return_of_most()?;
    Ok(run.finish())
}

fn nothing(_: &ClusterStatuses) -> bool {
    false
}

impl Run {
    /// Polls until then and counts the datagrams a second of a gateway, in the mean.
    fn watch_datagrams(&mut self, until_ms: u64) -> f64 {
        let (sent_before, from_ms) = (self.world.relay.sent(), self.world.elapsed_ms());
        self.figures.watch(&self.world, until_ms, &[], &[], nothing);
        let ms = self.world.elapsed_ms() - from_ms;
        let sent: u64 =
            self.world.relay.sent().iter().zip(&sent_before).map(|(now, before)| now - before).sum();
        sent as f64 / self.all.len() as f64 / (ms as f64 / 1000.0)
    }

    /// Until 8 s: all gateways start, and then nothing happens.
    fn calm(&mut self) {
        let others: Vec<usize> = self.all.iter().copied().filter(|number| *number != self.one).collect();
        self.world.start_clients(&others, 39_800);
        self.figures.watch(&self.world, 4000, &self.all, &[], nothing);
        self.figures.datagrams.calm = self.watch_datagrams(8000);
    }

    /// Until 16 s: losses; the plan goes on with links cut one way.
    fn link_faults(&mut self) -> Result<(), TrialError> {
        let gateways = self.all.len();
        let plan = Plan::read(&format!(
            r#"{{"seed":{},"members":{gateways},"for_ms":60000,"faults":[
        {{"at_ms":0,"for_ms":8000,"what":"loss","from":"all","to":"all","share":0.3}},
        {{"at_ms":12000,"for_ms":7000,"what":"cut","from":"all","to":[5]}},
        {{"at_ms":12000,"for_ms":7000,"what":"cut","from":{{"from":0,"to":{}}},"to":[{}]}},
        {{"at_ms":12000,"for_ms":7000,"what":"flap","from":"all","to":[3],"period_ms":1000}},
        {{"at_ms":12000,"for_ms":7000,"what":"flap","from":[3],"to":"all","period_ms":1000}}]}}"#,
            self.seed,
            gateways / 2,
            gateways - 1,
        ))?;
        self.world.relay.plan(plan);
        self.figures.datagrams.faulty = self.watch_datagrams(16_000);
        Ok(())
    }

    /// Until 28 s: three gateways are paused for less than is borne.
    fn pauses(&mut self) -> Result<(), TrialError> {
        let paused = [1, 2, self.all.len() - 2];
        self.world.sleep_until(17_000);
        self.world.signal(&paused, "STOP")?;
        self.figures.watch(&self.world, 18_900, &[], &paused, nothing);
        self.world.signal(&paused, "CONT")?;
        self.figures.watch(&self.world, 28_000, &[], &[], nothing);
        Ok(())
    }

    /// Until 40 s: one is killed, and comes back.
    fn one_killed(&mut self) -> Result<(), TrialError> {
        let one = [self.one];
        self.world.kill(&one);
        let killed_ms = self.world.elapsed_ms();
        let all_know =
            |statuses: &ClusterStatuses| statuses.values().all(|status| status.dead_members == one);
        let known = self.figures.watch(&self.world, 34_000, &one, &[], all_know);
        self.figures.one_known = known.map(|ms| ms - killed_ms);
        self.world.restart(&one)?;
        self.figures.watch(&self.world, 39_500, &one, &[], nothing);
        self.world.sleep_until(40_000);
        Ok(())
    }

    /// Until 54 s: seven in ten are killed, their clients go to the rest; half of the stores are replaced by cold ones.
    fn most_killed(&mut self) -> Result<(), TrialError> {
        self.world.kill(&self.most);
        let killed_ms = self.world.elapsed_ms();
        self.world.start_clients(&self.rest, 25_500);
        self.watch_takeover(43_500, killed_ms);
        self.cold.while_dead = self.world.replace_stores(0, STORES / 2)?;
        self.watch_takeover(54_000, killed_ms);
        Ok(())
    }

    /// Polls until the rest knows who is dead, and until it has taken up their quotas.
    fn watch_takeover(&mut self, until_ms: u64, killed_ms: u64) {
        let known = self.most.len().min(MOST_DOUBTED);
        let all_know =
            |statuses: &ClusterStatuses| statuses.values().all(|status| status.dead_members.len() >= known);
        let target = TAKEN_UP_SHARE * (0.5 / self.all.len() as f64 + 0.5 / self.rest.len() as f64);
        let has_taken_up = |status: &ClusterStatus| status.quota.is_some_and(|quota| quota >= target);
        while self.world.elapsed_ms() < until_ms {
            let poll_ms = self.world.elapsed_ms() + POLL_MS;
            let known = self.figures.watch(&self.world, poll_ms, &self.most, &[], all_know);
            self.figures.most_known = self.figures.most_known.or(known.map(|ms| ms - killed_ms));
            let statuses = self.world.statuses(&[]);
            let taken_up = !statuses.is_empty() && statuses.values().all(has_taken_up);
            if self.figures.taken_up.is_none() && taken_up {
                self.figures.taken_up = Some(self.world.elapsed_ms() - killed_ms);
            }
        }
    }

    /// Until 65 s: they come back, and two more stores begin cold.
    fn return_of_most(&mut self) -> Result<(), TrialError> {
        let returned_ms = self.world.elapsed_ms();
        self.world.restart(&self.most)?;
        self.cold.while_returning = self.world.replace_stores(STORES / 2, 2)?;
        let gateways = self.all.len();
        let is_well =
            |status: &ClusterStatus| status.dead_members.is_empty() && status.holds_lease == Some(true);
        let all_well =
            |statuses: &ClusterStatuses| statuses.len() == gateways && statuses.values().all(is_well);
        let returned = self.figures.watch(&self.world, 65_000, &self.most, &[], all_well);
        self.figures.returned = returned.map(|ms| ms - returned_ms);
        Ok(())
    }

    fn finish(mut self) -> Figures {
        let (world, figures) = (&mut self.world, &mut self.figures);
        figures.longest_datagram = world.relay.longest();
        world.clients.join();
        figures.cold_peaks.while_dead = world.peak(&self.cold.while_dead);
        figures.cold_peaks.while_returning = world.peak(&self.cold.while_returning);
        figures.worst = world.clients.worst(FIRST_SECOND, LAST_SECOND);
        figures.service = world.clients.service();
        figures.sender_delay = world.clients.sender_delay();
        self.figures
    }
}
