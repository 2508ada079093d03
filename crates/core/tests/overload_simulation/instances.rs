//! Instances that place their own calls by asking the engines.

use std::collections::BTreeMap;

use turmericrail_core::forward::{
    ReservationPressure, ServiceOverload, ServiceRanks, Standing, Urgency, headroom_tokens,
};
use turmericrail_core::ids::{ServerId, TenantId};
use turmericrail_core::units::{Millis, Tokens};

use super::load::{KINDS, TENANTS, TIMEOUT_MS};
use super::{
    ANSWER_MS, CAPACITY, Call, Engines, Load, Numbers, OUTPUT, Outcome, PROMPT, STEP_MS, arrivals,
};

/// How instances treat calls that find no room.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// All calls alike, as where a service has one rank.
    Uniform,
    /// By urgency.
    Ranked,
    /// By urgency, with no regard to tenants in excess.
    RankedWithoutTenants,
}

/// `Retry-After` of a call that can't be answered before its deadline.
const MAX_RETRY_AFTER_MS: u64 = 5_000;
/// Engines asked in a step of a round.
const MAX_ENGINES: usize = 4;

struct Waiting {
    call: Call,
    next_ms: u64,
    is_first_round: bool,
    counted: Option<Urgency>,
}

#[derive(Default)]
struct Instance {
    scarcity: ReservationPressure,
    overload: ServiceOverload,
}

struct Play {
    policy: Policy,
    ranks: ServiceRanks,
    tenants: Vec<TenantId>,
    engines: Engines,
    instances: Vec<Instance>,
    numbers: Numbers,
    outcome: Outcome,
}

pub fn play_instances(load: &Load, policy: Policy) -> Outcome {
    let mut outcome = Outcome::default();
    let calls = arrivals(load, &mut outcome);
    let mut play = Play {
        policy,
        ranks: KINDS.iter().map(|kind| kind.rank).collect(),
        tenants: (0..TENANTS).map(|it| format!("tenant-{it}").parse().unwrap()).collect(),
        engines: Engines::new(load.engines),
        instances: (0..load.instances).map(|_| Instance::default()).collect(),
        numbers: Numbers(load.seed ^ 99),
        outcome,
    };
    let mut due: BTreeMap<u64, Vec<Waiting>> = BTreeMap::new();
    for call in calls {
        let waiting =
            Waiting { call, next_ms: call.arrived_ms, is_first_round: true, counted: None };
        due.entry(call.arrived_ms).or_default().push(waiting);
    }
    while let Some((now_ms, batch)) = due.pop_first() {
        play.engines.advance(now_ms);
        if load.lost_engines > 0 && now_ms >= (load.burst_from_ms + load.burst_to_ms) / 2 {
            play.engines.lose(load.lost_engines);
        }
        for waiting in batch {
            let Some(next) = play.step(waiting, now_ms) else {
                continue;
            };
            let step_ms = next.next_ms.max(now_ms + STEP_MS).next_multiple_of(STEP_MS);
            due.entry(step_ms).or_default().push(next);
        }
    }
    play.outcome
}

impl Play {
    fn step(&mut self, mut waiting: Waiting, now_ms: u64) -> Option<Waiting> {
        let call = waiting.call;
        if let Some(urgency) = waiting.counted.take() {
            self.instances[call.instance].overload.remove_waiting(urgency);
        }
        match self.policy {
            Policy::Uniform => self.uniform_step(waiting, now_ms),
            Policy::Ranked | Policy::RankedWithoutTenants => self.ranked_step(waiting, now_ms),
        }
    }

    fn uniform_step(&mut self, mut waiting: Waiting, now_ms: u64) -> Option<Waiting> {
        let call = waiting.call;
        let (now, instance) = (Millis(now_ms), call.instance);
        let is_late = !call.is_in_time(now_ms);
        if !(is_late && self.instances[instance].scarcity.is_scarce(now)) {
            let engine = self.ask(now_ms, &[2, 1, 0], MAX_ENGINES, |_| 0);
            if std::mem::take(&mut waiting.is_first_round) {
                self.instances[instance].scarcity.record(now, engine.is_some());
            }
            if let Some(engine) = engine {
                self.place(&call, engine, now_ms);
                return None;
            }
        }
        let longest_ms = call.kind().target_ms.min(remaining_timeout_ms(&call) / 3);
        if now_ms - call.arrived_ms > longest_ms {
            return self.refuse(call, now_ms, 4_000);
        }
        let mean_ms = if is_late { 400.0 } else { 60.0 };
        waiting.next_ms = now_ms + (mean_ms * (0.5 + self.numbers.part())) as u64;
        Some(waiting)
    }

    fn ranked_step(&mut self, mut waiting: Waiting, now_ms: u64) -> Option<Waiting> {
        let call = waiting.call;
        let (now, rank) = (Millis(now_ms), call.kind().rank);
        let standing = match (call.is_retry, call.is_in_time(now_ms)) {
            (true, _) => Standing::Returning,
            (_, true) => Standing::InTime,
            (_, false) => Standing::Late,
        };
        let instance = &mut self.instances[call.instance];
        let left_ms = Millis((call.first_ms + TIMEOUT_MS).saturating_sub(now_ms));
        if instance.overload.is_out_of_time(left_ms) {
            return self.refuse(call, now_ms, MAX_RETRY_AFTER_MS);
        }
        let tenant = &self.tenants[call.tenant as usize];
        if waiting.is_first_round && !call.is_retry {
            instance.overload.tenant_rates().record(now, tenant);
        }
        let is_in_excess = self.policy != Policy::RankedWithoutTenants
            && instance.overload.tenant_rates().is_in_excess(now, tenant);
        let urgency = Urgency::new(&self.ranks, rank, standing, is_in_excess);
        let is_scarce = instance.scarcity.is_scarce(now);
        let steps: &[u64] = if is_scarce { &[0] } else { &[2, 1, 0] };
        let engines = if is_scarce { urgency.engines_per_round() } else { MAX_ENGINES };
        let typical = Tokens(PROMPT + OUTPUT);
        let headroom = |id: &_| match is_scarce {
            true => headroom_tokens(urgency, id, typical, Tokens(CAPACITY)).0,
            false => 0,
        };
        let engine = self.ask(now_ms, steps, engines, headroom);
        let instance = &mut self.instances[call.instance];
        if std::mem::take(&mut waiting.is_first_round) {
            instance.overload.record_first_attempt(now, rank, engine.is_some());
            if engine.is_some() || standing == Standing::InTime {
                instance.scarcity.record(now, engine.is_some());
            }
        }
        if let Some(engine) = engine {
            instance.overload.record_placement(now);
            instance.overload.record_answer(Millis(ANSWER_MS));
            self.place(&call, engine, now_ms);
            return None;
        }
        self.wait_ranked(waiting, now_ms, urgency)
    }

    fn wait_ranked(
        &mut self,
        mut waiting: Waiting,
        now_ms: u64,
        urgency: Urgency,
    ) -> Option<Waiting> {
        let call = waiting.call;
        let (now, rank) = (Millis(now_ms), call.kind().rank);
        let instance = &mut self.instances[call.instance];
        let timeout_ms = Millis(remaining_timeout_ms(&call));
        let longest_ms = instance.overload.longest_wait_ms(timeout_ms);
        let waited_ms = Millis(now_ms - call.arrived_ms);
        let remaining_ms = longest_ms.saturating_sub(waited_ms);
        if waited_ms > longest_ms || instance.overload.is_hopeless(now, urgency, remaining_ms) {
            let retry_after_ms = instance.overload.retry_after_ms(now, urgency).0;
            return self.refuse(call, now_ms, retry_after_ms);
        }
        let target = Millis(call.kind().target_ms);
        let mean_ms = instance.overload.retry_interval_ms(now, rank, urgency, target).0 as f64;
        instance.overload.add_waiting(urgency);
        waiting.counted = Some(urgency);
        waiting.next_ms = now_ms + (mean_ms * (0.5 + self.numbers.part())) as u64;
        Some(waiting)
    }

    /// Asks engines in random order; each step asks for room for further calls.
    fn ask(
        &mut self,
        now_ms: u64,
        further_calls: &[u64],
        max_engines: usize,
        headroom: impl Fn(&ServerId) -> u64,
    ) -> Option<usize> {
        for calls in further_calls {
            let mut asked = Vec::new();
            while asked.len() < max_engines.min(self.engines.count()) {
                let engine = self.numbers.below(self.engines.count() as u64) as usize;
                if asked.contains(&engine) {
                    continue;
                }
                asked.push(engine);
                if self.engines.is_lost(engine) {
                    continue;
                }
                self.outcome.asks += 1;
                let growth = if *calls == 0 { OUTPUT } else { 0 };
                let needed = (PROMPT + OUTPUT) * (1 + calls) + growth;
                let needed = needed + headroom(self.engines.id(engine));
                if self.engines.free_tokens(engine, now_ms) >= needed {
                    return Some(engine);
                }
            }
        }
        None
    }

    fn place(&mut self, call: &Call, engine: usize, now_ms: u64) {
        self.engines.place(engine, now_ms);
        self.outcome.place(call, now_ms);
    }

    /// Refuses a call; its caller comes back once, unless that is too late.
    fn refuse(&mut self, call: Call, now_ms: u64, retry_after_ms: u64) -> Option<Waiting> {
        self.outcome.refusals[call.kind] += 1;
        let arrived_ms = now_ms + retry_after_ms;
        if call.is_retry {
            self.outcome.refused_twice[call.kind] += 1;
            return None;
        }
        if arrived_ms >= call.first_ms + TIMEOUT_MS {
            return None;
        }
        let call = Call { is_retry: true, arrived_ms, ..call };
        Some(Waiting { call, next_ms: arrived_ms, is_first_round: true, counted: None })
    }
}

fn remaining_timeout_ms(call: &Call) -> u64 {
    (call.first_ms + TIMEOUT_MS).saturating_sub(call.arrived_ms)
}
