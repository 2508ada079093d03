//! When an instance exchanges members with another one.
//!
//! All instances may start at one moment and know a few seeds only. First exchanges are therefore
//! spread over a second, and later ones back off while none succeeds: a seed that is busy answers
//! late, and calls that are repeated early would keep it busy.

use crate::units::Millis;

/// Mean time between exchanges while nothing is to be learned; each costs bandwidth and processor
/// time.
const NORMAL_INTERVAL_MS: Millis = Millis(3_000);
/// Mean time between exchanges while the store doesn't answer. Several must fit into the time
/// within which a new configuration has to be in force.
const STORE_LOST_INTERVAL_MS: Millis = Millis(400);
/// Mean time between exchanges that bring new members.
const LEARNING_INTERVAL_MS: Millis = Millis(700);
/// Mean time until the first exchange, and its upper limit after failures.
const FIRST_INTERVAL_MS: Millis = Millis(400);
const MAX_FIRST_INTERVAL_MS: Millis = Millis(1_600);
/// Exchanges without a new member after which the normal interval follows: the filter of the known
/// members may have hidden the last ones.
const MAX_IDLE_EXCHANGES: u32 = 4;
/// Part of the exchanges that go to seeds, so that groups that lost contact merge again.
const MAX_SEED_SHARE: f64 = 0.125;
/// The same of a seed.
const SEED_TO_SEED_SHARE: f64 = 0.25;
/// Exchanges of that kind that each seed gets in the time in which each instance makes one.
const EXCHANGES_PER_SEED: f64 = 1.0;

/// What the last exchanges of an instance brought.
#[derive(Clone, Copy, Debug, Default)]
pub struct ExchangePace {
    has_exchanged: bool,
    failures: u32,
    /// Exchanges since the last one that brought a new member.
    idle_exchanges: u32,
    /// Whether the last instance knew more members.
    is_behind: bool,
}

impl ExchangePace {
    /// Whether another instance has answered.
    pub fn has_exchanged(&self) -> bool {
        self.has_exchanged
    }

    /// Records an exchange that got no answer.
    pub fn record_failure(&mut self) {
        self.failures = self.failures.saturating_add(1);
    }

    /// The seed to call, if it is the turn of one: any, and before the first exchange the next one
    /// after each failure. `own` is a number of this instance.
    pub fn seed_index(&self, own: usize, random: usize, seeds: usize) -> usize {
        let number = if self.has_exchanged { random } else { own + self.failures as usize };
        number % seeds.max(1)
    }

    /// Records an exchange, with the number of members that were new, and whether the other
    /// instance knew more of them.
    pub fn record_exchange(&mut self, new_members: usize, is_behind: bool) {
        self.has_exchanged = true;
        self.failures = 0;
        self.is_behind = is_behind;
        let idle = self.idle_exchanges.saturating_add(1);
        self.idle_exchanges = if new_members > 0 { 0 } else { idle };
    }

    /// Time until the next exchange; `draw` is a random number from 0 to 1.
    pub fn wait_ms(&self, is_store_lost: bool, draw: f64) -> Millis {
        if !self.has_exchanged {
            let doubled_ms = FIRST_INTERVAL_MS.0 << self.failures.min(8);
            let mean_ms = doubled_ms.min(MAX_FIRST_INTERVAL_MS.0);
            return Millis((mean_ms as f64 * 2.0 * draw) as u64);
        }
        let is_learning = self.is_behind || self.idle_exchanges < MAX_IDLE_EXCHANGES;
        let mean_ms = match (is_store_lost, is_learning) {
            (true, _) => STORE_LOST_INTERVAL_MS,
            (false, true) => LEARNING_INTERVAL_MS,
            (false, false) => NORMAL_INTERVAL_MS,
        };
        Millis((mean_ms.0 as f64 * (0.75 + draw / 2.0)) as u64)
    }

    /// Part of the exchanges that go to seeds. Seeds call each other often, since after a start of
    /// many instances each of them knows others.
    pub fn seed_share(is_seed: bool, seeds: usize, members: usize) -> f64 {
        if is_seed {
            return SEED_TO_SEED_SHARE;
        }
        let share = EXCHANGES_PER_SEED * seeds as f64 / members.max(1) as f64;
        share.min(MAX_SEED_SHARE)
    }
}
