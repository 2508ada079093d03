//! The lasting speeds of servers, as instances tell them to each other. Six bytes a server, since
//! each exchange holds them all.

use std::collections::BTreeMap;

use turmericrail_core::forward::{LastingSpeed, ServerEntry, ServerRun};
use turmericrail_core::ids::ServerId;
use turmericrail_core::membership::rendezvous::stable_hash;
use turmericrail_wire::relay as wire;

use crate::forward::clock;
use crate::forward::shared::Shared;

/// Steps of the told slowdown per doubling; one is 4 %.
const STEPS_PER_DOUBLING: f64 = 16.0;
/// Step that stands for no slowdown.
const NEUTRAL_STEP: f64 = 128.0;

fn run_hash(run: &ServerRun) -> u32 {
    stable_hash(&format!("{} {}", run.server, run.started_ms.0)) as u32
}

/// The lasting speeds that this instance knows; `None` if there are none.
pub fn list_speeds(shared: &Shared) -> Option<wire::LastingSpeeds> {
    let known = shared.forwarder().lasting_speeds(clock::now_ms());
    let mut told = wire::LastingSpeeds::default();
    for speed in known {
        let step = NEUTRAL_STEP + speed.slowdown.log2() * STEPS_PER_DOUBLING;
        told.runs.push(run_hash(&speed.run));
        told.slowdowns.push(step.round().clamp(0.0, 255.0) as u8);
        told.samples.push(speed.samples);
    }
    (!told.runs.is_empty()).then_some(told)
}

/// Merges the lasting speeds that another instance knows.
pub fn merge_speeds(shared: &Shared, told: Option<&wire::LastingSpeeds>) {
    let Some(told) = told else {
        return;
    };
    let count = told.runs.len();
    if told.slowdowns.len() != count || told.samples.len() != count {
        spdlog::warn!("event=server_speeds_malformed runs={count}");
        return;
    }
    let now_ms = clock::now_ms();
    let mut forwarder = shared.forwarder();
    let run_of = |(server, entry): (&ServerId, &ServerEntry)| {
        let run = ServerRun { server: server.clone(), started_ms: entry.started_ms };
        (run_hash(&run), run)
    };
    let runs: BTreeMap<_, _> = forwarder.registry().servers(now_ms).map(run_of).collect();
    for (index, hash) in told.runs.iter().enumerate() {
        let Some(run) = runs.get(hash) else {
            continue;
        };
        let step = f64::from(told.slowdowns[index]) - NEUTRAL_STEP;
        let slowdown = (step / STEPS_PER_DOUBLING).exp2();
        let samples = told.samples[index];
        let speed = LastingSpeed { run: run.clone(), slowdown, samples };
        forwarder.merge_lasting_speed(now_ms, &speed);
    }
}
