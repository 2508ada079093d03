//! Randomised episodes of several nodes, fake engines, plain servers and callers that communicate
//! through an in-memory queue while single and combined faults are injected. All random choices
//! come from one seed.
//!
//! The core asserts its own invariants. An episode checks what only an observer can see: the tokens
//! that each caller receives, that each request gets one final answer, that each booking is executed
//! at most once, and that no stream, lease or request is left at the end.

mod actions;
mod callers;
mod connections;
mod engines;
mod plain_calls;
mod platform;
mod random;
mod readers;
mod simulation;
mod step;

use std::collections::BTreeMap;
use std::fmt;
use std::panic::{AssertUnwindSafe, catch_unwind};

use callers::{Caller, CallerState};
use random::Random;
use simulation::Simulation;
use step::{Step, random_steps};

pub const EPISODE_STEPS: usize = 1_500;
/// Upper limit of the random time that passes with each step.
const MAX_STEP_DURATION_MS: u64 = 80;
/// Time without faults after the last step, in which all requests end.
const SETTLE_MS: u64 = 60_000;

/// Results of one or more episodes.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Callers of model requests.
    pub callers: u64,
    /// Answers received up to their last token.
    pub full_answers: u64,
    pub broken_connections: u64,
    /// Callers that closed their connection before the end.
    pub left_callers: u64,
    /// Final answers that were errors, by kind.
    pub errors: BTreeMap<String, u64>,
    pub bookings: u64,
    /// Bookings whose caller received the answer of the service.
    pub completed: u64,
    /// Idempotent plain calls that were answered.
    pub reads: u64,
    /// Repeated attempts of requests, by reason.
    pub retries: BTreeMap<String, u64>,
}

/// A violated invariant.
#[derive(Clone, Debug)]
pub struct Violation {
    /// Message of the failed assertion.
    pub problem: String,
    /// Steps that remain after shrinking, each with its index in the episode.
    pub steps: Vec<String>,
}

impl Tally {
    pub fn add(&mut self, other: Tally) {
        self.callers += other.callers;
        self.full_answers += other.full_answers;
        self.broken_connections += other.broken_connections;
        self.left_callers += other.left_callers;
        self.bookings += other.bookings;
        self.completed += other.completed;
        self.reads += other.reads;
        for (kind, count) in other.errors {
            *self.errors.entry(kind).or_default() += count;
        }
        for (reason, count) in other.retries {
            *self.retries.entry(reason).or_default() += count;
        }
    }
}

impl fmt::Display for Tally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            callers, full_answers, broken_connections, left_callers, errors, retries, ..
        } = self;
        write!(
            f,
            "callers={callers} whole={full_answers} left={left_callers} returns={broken_connections}"
        )?;
        let Self { bookings, completed, reads, .. } = self;
        write!(f, " bookings={bookings} completed={completed} reads={reads}")?;
        errors.iter().try_for_each(|(kind, count)| write!(f, " {kind}={count}"))?;
        retries.iter().try_for_each(|(reason, count)| write!(f, " retry_{reason}={count}"))
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "problem={:?}", self.problem)?;
        self.steps.iter().try_for_each(|step| write!(f, "\n  {step}"))
    }
}

/// Runs an episode; if it fails, shrinks it by replacing steps with [`Step::Wait`].
pub fn run_episode(seed: u64, count: usize) -> Result<Tally, Violation> {
    let steps = random_steps(&mut Random::new(seed), count);
    let hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(|_| {}));
    let result = run_steps(seed, &steps).map_err(|problem| shrink(seed, steps, problem));
    std::panic::set_hook(hook);
    result
}

fn shrink(seed: u64, steps: Vec<Step>, problem: String) -> Violation {
    let mut steps = steps;
    let mut size = steps.len().div_ceil(2);
    while size > 0 {
        let mut from = 0;
        while from < steps.len() {
            let until = (from + size).min(steps.len());
            let mut fewer = steps.clone();
            fewer[from..until].fill(Step::Wait);
            if fewer != steps && run_steps(seed, &fewer).is_err() {
                steps = fewer;
            }
            from = until;
        }
        size /= 2;
    }
    let problem = run_steps(seed, &steps).err().unwrap_or(problem);
    let kept = steps.iter().enumerate().filter(|(_, step)| **step != Step::Wait);
    Violation { problem, steps: kept.map(|(at, step)| format!("{at}: {step:?}")).collect() }
}

fn run_steps(seed: u64, steps: &[Step]) -> Result<Tally, String> {
    let result = catch_unwind(AssertUnwindSafe(|| {
        let mut simulation = Simulation::new(seed);
        simulation.run_for(3_000);
        for step in steps {
            simulation.apply_step(*step);
            let step_ms = simulation.random.below(MAX_STEP_DURATION_MS);
            simulation.run_for(step_ms.next_multiple_of(simulation::CLOCK_STEP_MS));
        }
        simulation.end_faults();
        simulation.run_for(SETTLE_MS);
        simulation.check_final_state()
    }));
    result.map_err(|panic| {
        let text = panic.downcast_ref::<String>().cloned();
        text.or_else(|| panic.downcast_ref::<&str>().map(|text| (*text).to_owned()))
            .unwrap_or_default()
    })
}

impl Simulation {
    fn apply_step(&mut self, step: Step) {
        let now_ms = self.now_ms;
        let instance_count = self.instances.len() as u64;
        match step {
            Step::Wait => {}
            Step::Ask { instance, tokens } => {
                let resends_request = self.random.chance_percent(70);
                self.callers.push(Caller::new(tokens, resends_request));
                self.connect_caller(self.callers.len() - 1, instance);
            }
            Step::Book { instance } => self.start_booking(instance),
            Step::ReadStock { instance } => self.read_stock(instance),
            Step::CrashPlain { server, down_ms } => {
                let (id, _) =
                    platform::PLAIN_SERVERS[server as usize % platform::PLAIN_SERVERS.len()];
                let server = id.parse().expect("a valid id");
                self.plain_calls.down_until_ms.insert(server, now_ms + down_ms);
            }
            Step::Leave { caller } if !self.callers.is_empty() => {
                self.disconnect_caller(caller as usize % self.callers.len());
            }
            Step::Leave { .. } => {}
            Step::Crash { instance, down_ms } => {
                self.crash((instance % instance_count) as usize, down_ms);
            }
            Step::CrashDataCentre { instance, down_ms } => {
                let first = if instance.is_multiple_of(2) { 0..3 } else { 3..5 };
                first.for_each(|index| self.crash(index, down_ms));
            }
            Step::Pause { instance, pause_ms } => {
                self.instances[(instance % instance_count) as usize].paused_until_ms =
                    now_ms + pause_ms;
            }
            Step::SetClock { instance, wall_ms } => {
                self.instances[(instance % instance_count) as usize].wall_offset_ms = wall_ms;
            }
            Step::Isolate { instance, for_ms } => {
                self.instances[(instance % instance_count) as usize].isolated_until_ms =
                    now_ms + for_ms;
            }
            Step::Disturb { loss_percent, copy_percent, delay_ms, for_ms } => {
                self.network.loss_percent = loss_percent;
                self.network.duplicate_percent = copy_percent;
                self.network.max_extra_delay_ms = delay_ms;
                self.network.disturbed_until_ms = now_ms + for_ms;
            }
            Step::Part { for_ms } => self.network.partitioned_until_ms = now_ms + for_ms,
            Step::Configure => self.platform.version += 1,
            Step::ServiceDown { for_ms } => self.platform.down_until_ms = now_ms + for_ms,
            Step::ServiceStale { for_ms } => {
                self.platform.stale_until_ms = now_ms + for_ms;
                self.platform.stale_version = self.platform.version.saturating_sub(2).max(1);
            }
            step => self.apply_engine_step(step),
        }
    }

    fn apply_engine_step(&mut self, step: Step) {
        let now_ms = self.now_ms;
        let (Step::CrashEngine { engine: number, .. }
        | Step::MuteReaders { engine: number }
        | Step::FreezeEngine { engine: number, .. }
        | Step::Stall { engine: number, .. }
        | Step::StaleReports { engine: number, .. }
        | Step::LeaveServer { engine: number, .. }) = step
        else {
            return;
        };
        let count = self.engines.len();
        let Some(engine) = self.engines.values_mut().nth(number as usize % count) else {
            return;
        };
        match step {
            Step::CrashEngine { down_ms, .. } => {
                engine.streams.clear();
                engine.ended_streams.clear();
                engine.down_until_ms = now_ms + down_ms;
            }
            Step::MuteReaders { .. } => engine.readers_stalled_until_ms = now_ms + 1,
            Step::FreezeEngine { for_ms, .. } => engine.frozen_until_ms = now_ms + for_ms,
            Step::Stall { for_ms, .. } => engine.transfers_stalled_until_ms = now_ms + for_ms,
            Step::StaleReports { for_ms, .. } => {
                engine.stale_report = Some((now_ms + for_ms, engine.report(now_ms)));
            }
            Step::LeaveServer { for_ms, .. } => engine.leaving_until_ms = now_ms + for_ms,
            _ => {}
        }
    }

    fn end_faults(&mut self) {
        let now_ms = self.now_ms;
        self.network = simulation::Network {
            last_faulty_ms: self.network.last_faulty_ms,
            ..Default::default()
        };
        self.platform.down_until_ms = now_ms;
        self.plain_calls.down_until_ms.clear();
        self.platform.stale_until_ms = now_ms;
        for instance in &mut self.instances {
            instance.paused_until_ms = instance.paused_until_ms.min(now_ms);
            instance.isolated_until_ms = now_ms;
            instance.restart_at_ms = instance.restart_at_ms.min(now_ms);
        }
        for engine in self.engines.values_mut() {
            engine.down_until_ms = engine.down_until_ms.min(now_ms);
            engine.transfers_stalled_until_ms = now_ms;
            engine.frozen_until_ms = now_ms;
            engine.leaving_until_ms = now_ms;
            engine.stale_report = None;
        }
    }

    fn check_final_state(&self) -> Tally {
        for (id, engine) in &self.engines {
            let held: Vec<_> = engine.streams.keys().collect();
            assert!(held.is_empty(), "engine {id} still holds {held:?}");
        }
        for instance in &self.instances {
            let status = instance.node.as_ref().expect("every instance runs").status();
            let own = &status.own.instance;
            assert_eq!(status.flows, 0, "{own} still has requests");
            let leases: usize = status.servers.values().map(|server| server.leases).sum();
            assert_eq!(leases, 0, "{own} still has leases");
            assert_eq!(
                status.config_version.0, self.platform.version,
                "{own} has an old configuration version"
            );
        }
        self.check_plain_calls();
        let is_done = |caller: &&Caller| caller.state == CallerState::Done;
        let waiting = self.callers.iter().filter(|caller| !is_done(caller)).count();
        assert_eq!(waiting, 0, "callers still wait for a final answer");
        Tally {
            callers: self.callers.len() as u64,
            full_answers: self.callers.iter().filter(|caller| caller.is_complete).count() as u64,
            broken_connections: self.callers.iter().map(|caller| caller.broken_connections).sum(),
            left_callers: self.callers.iter().filter(|caller| caller.has_left).count() as u64,
            errors: self.errors.clone(),
            retries: self.retries.clone(),
            bookings: self.plain_calls.bookings.len() as u64,
            completed: self
                .plain_calls
                .bookings
                .iter()
                .filter(|booking| booking.is_completed)
                .count() as u64,
            reads: self.plain_calls.reads,
        }
    }
}
