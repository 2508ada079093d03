//! How hard it is to find a place at the engines of a service.

use crate::decay::DecayingValue;
use crate::units::Millis;

/// Weight of one new call in the share; some calls arrive in a second at a small instance.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Time in which the share halves where no calls come.
const HALF_LIFE_MS: f64 = 2_000.0;
/// Share of new calls without a place from which on places are scarce.
const SCARCE_SHARE: f64 = 0.1;

/// Share of new calls that found no place at once.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReservationPressure {
    share: DecayingValue,
}

impl ReservationPressure {
    fn value(&self, now_ms: Millis) -> f64 {
        self.share.value(now_ms, HALF_LIFE_MS)
    }

    /// Counts a new call.
    pub fn record(&mut self, now_ms: Millis, is_reserved: bool) {
        let sample = if is_reserved { 0.0 } else { 1.0 };
        let share = self.value(now_ms);
        self.share.set(now_ms, share + SAMPLE_WEIGHT * (sample - share));
    }

    /// Whether places are scarce: then they go to calls that can still be in time.
    pub fn is_scarce(&self, now_ms: Millis) -> bool {
        self.value(now_ms) > SCARCE_SHARE
    }
}
