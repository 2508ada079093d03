//! What one instance has seen of a service's load: which calls wait, and how fast calls find room.

use std::collections::BTreeMap;

use super::{Standing, TenantRates, Urgency};
use crate::decay::DecayingValue;
use crate::forward::ReservationPressure;
use crate::units::Millis;

/// Half-life of the count of placed calls: about the length of a burst, and several calls even at a
/// small instance.
const PLACEMENT_HALF_LIFE_MS: f64 = 3_000.0;
/// Half-life of the count of calls by rank: long enough that a small instance sees several calls of
/// each rank.
const ARRIVAL_HALF_LIFE_MS: f64 = 20_000.0;
/// Calls from which the shares of the ranks are taken.
const MIN_ARRIVALS: f64 = 12.0;
/// Fewest placed calls from which a rate is derived.
const MIN_PLACEMENTS: f64 = 2.0;
/// Weight of a new sample in the moving mean of answer times.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Part of the timeout that is kept for the answer until answers were measured.
const INITIAL_ANSWER_SHARE: f64 = 0.67;
/// Time kept for an answer, as a multiple of the mean time of answers.
const ANSWER_TIME_FACTOR: f64 = 1.5;
/// Part of the mean time of answers that must be left when a call is placed.
const MIN_ANSWER_SHARE: f64 = 0.9;
/// Mean time between rounds of the most urgent calls. Several engines become free in this time.
const RETRY_INTERVAL_MS: f64 = 40.0;
/// Time that each level of urgency adds.
const LEVEL_INTERVAL_MS: f64 = 120.0;
/// Longest mean time between rounds of a call that can be in time, as a part of its target, so that
/// it gets several rounds.
const MAX_INTERVAL_TARGET_SHARE: f64 = 0.25;
/// Further time between rounds of a call that can't be in time.
const LATE_INTERVAL_MS: f64 = 300.0;
/// Wait as a multiple of the longest one from which a call is refused before it has waited; the
/// rate of one instance is a coarse estimate.
const HOPELESS_WAIT_FACTOR: f64 = 1.5;
/// Shortest retry delay given to a caller.
const MIN_RETRY_AFTER_MS: f64 = 500.0;
/// Longest retry delay given to a caller; most bursts are over by then.
const MAX_RETRY_AFTER_MS: f64 = 5_000.0;

/// Load of a service as seen by this instance.
#[derive(Clone, Debug, Default)]
pub struct ServiceOverload {
    pressures: BTreeMap<u8, ReservationPressure>,
    arrivals: BTreeMap<u8, DecayingValue>,
    /// Urgencies of the waiting calls.
    waiting: Vec<Urgency>,
    placements: DecayingValue,
    answer_ms: Option<f64>,
    tenant_rates: TenantRates,
}

impl ServiceOverload {
    /// Records the first reservation attempt of a new call.
    pub fn record_first_attempt(&mut self, now_ms: Millis, rank: u8, is_reserved: bool) {
        self.pressures.entry(rank).or_default().record(now_ms, is_reserved);
        let arrivals = self.arrivals.entry(rank).or_default();
        let count = arrivals.value(now_ms, ARRIVAL_HALF_LIFE_MS);
        arrivals.set(now_ms, count + 1.0);
    }

    /// Number of the `count` ranks that are ahead of this one, each counted by its share of the
    /// recent calls: room need not be kept for ranks that hardly any call has.
    pub fn position(&self, now_ms: Millis, count: usize, rank: u8) -> f64 {
        let sum = |arrivals: &mut dyn Iterator<Item = &DecayingValue>| -> f64 {
            arrivals.map(|arrivals| arrivals.value(now_ms, ARRIVAL_HALF_LIFE_MS)).sum()
        };
        let total = sum(&mut self.arrivals.values());
        if total < MIN_ARRIVALS {
            return f64::from(rank);
        }
        let ahead = sum(&mut self.arrivals.range(..rank).map(|(_, arrivals)| arrivals));
        count as f64 * ahead / total
    }

    /// Share of the new calls of a rank or of more urgent ones that lately found no room.
    pub fn pressure(&self, now_ms: Millis, rank: u8) -> f64 {
        let pressures = self.pressures.range(..=rank);
        pressures.map(|(_, pressure)| pressure.share(now_ms)).fold(0.0, f64::max)
    }

    /// Records that a call found room.
    pub fn record_placement(&mut self, now_ms: Millis) {
        let count = self.placements.value(now_ms, PLACEMENT_HALF_LIFE_MS);
        self.placements.set(now_ms, count + 1.0);
    }

    /// Records the time from a placement to the end of the whole answer.
    pub fn record_answer(&mut self, measured_ms: Millis) {
        let measured_ms = measured_ms.0 as f64;
        let mean = self.answer_ms.get_or_insert(measured_ms);
        *mean += SAMPLE_WEIGHT * (measured_ms - *mean);
    }

    /// Whether an answer that begins now would not end in the time that is left.
    pub fn is_out_of_time(&self, remaining_ms: Millis) -> bool {
        let needed_ms = self.answer_ms.map_or(0.0, |answer_ms| answer_ms * MIN_ANSWER_SHARE);
        (remaining_ms.0 as f64) < needed_ms
    }

    /// Rates of the tenants.
    pub fn tenant_rates(&mut self) -> &mut TenantRates {
        &mut self.tenant_rates
    }

    /// Counts a call that begins to wait.
    pub fn add_waiting(&mut self, urgency: Urgency) {
        self.waiting.push(urgency);
    }

    /// Removes a call that was counted with this urgency.
    pub fn remove_waiting(&mut self, urgency: Urgency) {
        if let Some(index) = self.waiting.iter().position(|waiting| *waiting == urgency) {
            self.waiting.swap_remove(index);
        }
    }

    /// Number of waiting calls.
    pub fn waiting_calls(&self) -> usize {
        self.waiting.len()
    }

    /// Time until the waiting calls that are as urgent or more urgent have found room at the recent
    /// rate; `None` if too few calls found room lately.
    pub fn expected_wait_ms(&self, now_ms: Millis, urgency: Urgency) -> Option<Millis> {
        let placed = self.placements.value(now_ms, PLACEMENT_HALF_LIFE_MS);
        if placed < MIN_PLACEMENTS {
            return None;
        }
        let ahead = self.waiting.iter().filter(|waiting| **waiting <= urgency).count();
        let calls_per_ms = placed * std::f64::consts::LN_2 / PLACEMENT_HALF_LIFE_MS;
        Some(Millis((ahead as f64 / calls_per_ms) as u64))
    }

    /// Mean time until a waiting call of this urgency asks engines again.
    pub fn retry_interval_ms(
        &self,
        now_ms: Millis,
        rank: u8,
        urgency: Urgency,
        target_ms: Millis,
    ) -> Millis {
        let more_urgent_pressure =
            rank.checked_sub(1).map_or(0.0, |higher| self.pressure(now_ms, higher));
        let levels = urgency.level() * (1.0 + more_urgent_pressure);
        let interval_ms = RETRY_INTERVAL_MS + LEVEL_INTERVAL_MS * levels;
        if urgency.standing() != Standing::InTime {
            return Millis((interval_ms + LATE_INTERVAL_MS) as u64);
        }
        let longest_ms = target_ms.0 as f64 * MAX_INTERVAL_TARGET_SHARE;
        Millis(interval_ms.min(longest_ms.max(RETRY_INTERVAL_MS)) as u64)
    }

    /// Time after the arrival until which a call may wait so that its whole answer still comes before
    /// its deadline.
    pub fn longest_wait_ms(&self, caller_timeout_ms: Millis) -> Millis {
        let timeout_ms = caller_timeout_ms.0 as f64;
        let kept_ms = match self.answer_ms {
            Some(answer_ms) => answer_ms * ANSWER_TIME_FACTOR,
            None => timeout_ms * INITIAL_ANSWER_SHARE,
        };
        Millis((timeout_ms - kept_ms).max(0.0) as u64)
    }

    /// Whether a call will most likely not find room within its remaining wait.
    pub fn is_hopeless(&self, now_ms: Millis, urgency: Urgency, remaining_wait_ms: Millis) -> bool {
        let expected_ms = self.expected_wait_ms(now_ms, urgency);
        expected_ms.is_some_and(|expected_ms| {
            expected_ms.0 as f64 > remaining_wait_ms.0 as f64 * HOPELESS_WAIT_FACTOR
        })
    }

    /// Time after which a refused caller finds room, by the calls that wait now.
    pub fn retry_after_ms(&self, now_ms: Millis, urgency: Urgency) -> Millis {
        let expected_ms = self.expected_wait_ms(now_ms, urgency);
        let expected_ms = expected_ms.map_or(MAX_RETRY_AFTER_MS, |expected| expected.0 as f64);
        Millis(expected_ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS) as u64)
    }
}
