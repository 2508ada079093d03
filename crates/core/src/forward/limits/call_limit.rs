//! An instance's share of a limit that a server names for the calls of all instances together.
//!
//! Instances don't count each other's calls. Each calls the server only in slots of its own, which
//! recur with a period that all instances compute alike, from a random start and with a random
//! deviation, so that a change of the limit doesn't align them. A slot that isn't used soon is
//! lost, so that instances that were idle don't call the server all at once.

use crate::membership::rendezvous::stable_hash;
use crate::units::{CallRate, Millis};

/// Part of the limit that is used; the number of slots of all instances in a few seconds varies
/// about its mean.
const USED_SHARE: f64 = 0.7;
/// Time for which a slot can be used.
const SLOT_LIFETIME_MS: Millis = Millis(1_000);
/// Least and greatest time between two slots, as parts of the period.
const SPACING_RANGE: (f64, f64) = (0.5, 1.5);

/// The slots in which this instance may call a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallLimit {
    rate: CallRate,
    period_ms: f64,
    next_slot_ms: f64,
    /// Draws the spacing of the slots.
    random: u64,
}

impl CallLimit {
    /// A limit that was named at `now_ms`; its first slot is at a random part of the period.
    pub fn new(now_ms: Millis, rate: CallRate, instance_count: usize, random: u64) -> Self {
        let period_ms = period_ms(rate, instance_count);
        let next_slot_ms = now_ms.0 as f64 + fraction(random) * period_ms;
        Self { rate, period_ms, next_slot_ms, random }
    }

    /// The limit that the server names.
    pub fn rate(&self) -> CallRate {
        self.rate
    }

    /// Applies a changed limit or number of instances. The wait for the next slot changes in
    /// proportion.
    pub fn update(&mut self, now_ms: Millis, rate: CallRate, instance_count: usize) {
        let now_ms = now_ms.0 as f64;
        let period_ms = period_ms(rate, instance_count);
        let wait_ms = self.next_slot_ms - now_ms;
        if wait_ms > 0.0 {
            self.next_slot_ms = now_ms + wait_ms * period_ms / self.period_ms;
        }
        (self.rate, self.period_ms) = (rate, period_ms);
    }

    /// Time until the next slot; zero if one is open.
    pub fn next_slot_in_ms(&self, now_ms: Millis) -> Millis {
        let wait_ms = self.usable_slot_ms(now_ms) - now_ms.0 as f64;
        Millis(wait_ms.max(0.0).ceil() as u64)
    }

    /// Uses a slot if one is open; returns whether it was.
    pub fn try_take(&mut self, now_ms: Millis) -> bool {
        let slot_ms = self.usable_slot_ms(now_ms);
        if slot_ms > now_ms.0 as f64 {
            return false;
        }
        self.random = stable_hash(&self.random.to_string());
        let (least, greatest) = SPACING_RANGE;
        let spacing = least + fraction(self.random) * (greatest - least);
        self.next_slot_ms = slot_ms + spacing * self.period_ms;
        true
    }

    /// The first slot that isn't lost yet.
    fn usable_slot_ms(&self, now_ms: Millis) -> f64 {
        let lost_before_ms = now_ms.saturating_sub(SLOT_LIFETIME_MS).0 as f64;
        let lost_slots = ((lost_before_ms - self.next_slot_ms) / self.period_ms).ceil().max(0.0);
        self.next_slot_ms + lost_slots * self.period_ms
    }
}

/// A random number as a fraction of its range.
fn fraction(random: u64) -> f64 {
    random as f64 / u64::MAX as f64
}

fn period_ms(rate: CallRate, instance_count: usize) -> f64 {
    instance_count.max(1) as f64 * 1_000.0 / (rate.calls_per_second() * USED_SHARE)
}
