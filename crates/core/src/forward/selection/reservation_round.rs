//! One round of reservation requests for a model call, from roomy engines to nearly full ones.
//!
//! An engine grants a reservation from the memory that is free at that moment, but its running
//! answers still grow. If they outgrow the memory, the newest one is preempted and its prompt is
//! processed again. Other instances place answers at the same time, and load reports are older than
//! most answers are long, so the engines themselves are asked: first for more room than the call
//! needs, then for less. The last step still leaves room for growth; if no engine has that, the
//! call has to wait.

use crate::forward::{ModelCallSize, ServerRun};
use crate::units::Tokens;

/// Free memory that each step asks for beyond the call itself, in calls of the same size.
const FURTHER_CALLS: [u64; 2] = [2, 1];

/// The requests of one round.
#[derive(Clone, Debug)]
pub struct ReservationRound {
    /// Free memory that the remaining steps ask for; the last one is the current step.
    remaining_steps: Vec<Tokens>,
    max_engines_per_step: usize,
    refusing_engines: Vec<ServerRun>,
    failed_engines: Vec<ServerRun>,
    /// Engines that refused in the last step.
    full_engines: Vec<ServerRun>,
}

impl ReservationRound {
    /// A round in which each step asks at most so many engines.
    pub fn new(size: ModelCallSize, max_engines_per_step: usize) -> Self {
        let needed = size.expected_kv_tokens();
        let growth = size.output_tokens();
        let mut remaining_steps = vec![needed + growth];
        let roomy_steps = FURTHER_CALLS.iter().rev();
        remaining_steps.extend(roomy_steps.map(|calls| Tokens(needed.0 * (1 + calls))));
        Self {
            remaining_steps,
            max_engines_per_step,
            refusing_engines: Vec::new(),
            failed_engines: Vec::new(),
            full_engines: Vec::new(),
        }
    }

    /// A round with the last step alone, for services in which no engine has much room.
    pub fn without_roomy_steps(size: ModelCallSize, max_engines: usize) -> Self {
        let mut round = Self::new(size, max_engines);
        round.remaining_steps.truncate(1);
        round
    }

    /// Free memory to ask the next engine for; `None` once the round is over.
    pub fn free_tokens(&self) -> Option<Tokens> {
        self.remaining_steps.last().copied()
    }

    /// Whether an engine that refuses now counts as full.
    pub fn is_last_step(&self) -> bool {
        self.remaining_steps.len() == 1
    }

    /// Engines that are not to be asked in this step.
    pub fn excluded_engines(&self) -> Vec<ServerRun> {
        [&self.failed_engines[..], &self.refusing_engines[..]].concat()
    }

    /// Records that an engine has less free memory than was asked for.
    pub fn record_refusal(&mut self, engine: ServerRun) {
        self.refusing_engines.push(engine);
        if self.refusing_engines.len() >= self.max_engines_per_step {
            self.end_step();
        }
    }

    /// Records that an engine gave no usable answer; it isn't asked again.
    pub fn record_failure(&mut self, engine: ServerRun) {
        self.failed_engines.push(engine);
        if self.failed_engines.len() >= self.max_engines_per_step {
            self.remaining_steps.clear();
        }
    }

    /// Goes on to the next step, because there is no engine left to ask.
    pub fn end_step(&mut self) {
        self.remaining_steps.pop();
        self.full_engines = std::mem::take(&mut self.refusing_engines);
    }

    /// Engines that had too little free memory in the last step of a round that is over.
    pub fn full_engines(&self) -> &[ServerRun] {
        &self.full_engines
    }
}
