//! Processor time of one hollow gateway: what it took in is played again.
use super::world::{Datagram, Taken, BEGIN};
use crate::hollow::usage::thread_processor_us;
use crate::trial::TrialError;
use larchway::MonotonicTime;
use larchway_cluster::tiers::{Input, TieredMembership, Topology};
use larchway_cluster::FleetFile;
use std::sync::Arc;

/// Processor time in µs that one gateway used for what it took in, played again so many times.
pub fn replay_us(
    topology: &Arc<Topology>,
    member: u16,
    seed: u64,
    inputs: &[Taken],
    repeats: u64,
) -> Result<u64, TrialError> {
    let mut spent = 0;
    for _ in 0..repeats {
        let begin = MonotonicTime::from_micros(BEGIN);
        let seed = larchway::mix(seed ^ u64::from(member) << 20);
        let settings = FleetFile::default();
        let Some(mut membership) = TieredMembership::new(begin, settings, topology.clone(), member, seed)
        else {
            continue;
        };
        let before = thread_processor_us()?;
        let mut outputs = Vec::new();
        for Taken { at, datagram } in inputs {
            let now = MonotonicTime::from_micros(*at);
            let input = match datagram {
                None => Input::Tick,
                Some(Datagram { from, kind, body }) => Input::Received { kind: *kind, from: *from, body },
            };
            membership.handle(now, input, &mut outputs);
            outputs.clear();
        }
        spent += thread_processor_us()? - before;
    }
    Ok(spent / repeats.max(1))
}
