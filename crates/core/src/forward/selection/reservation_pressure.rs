//! Tracks the share of new calls that find no room at the engines of a service.

use crate::decay::DecayingValue;
use crate::units::Millis;

/// Weight of one new call in the moving mean; even a small instance receives several calls a
/// second.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Half-life of the share while no calls arrive.
const HALF_LIFE_MS: f64 = 2_000.0;
/// Share of unsuccessful new calls above which reservations are scarce.
const SCARCE_SHARE: f64 = 0.1;

/// Moving share of new calls that got no reservation at their first attempt.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReservationPressure {
    share: DecayingValue,
}

impl ReservationPressure {
    /// The present share.
    pub fn share(&self, now_ms: Millis) -> f64 {
        self.share.value(now_ms, HALF_LIFE_MS)
    }

    /// Records the first reservation attempt of a new call.
    pub fn record(&mut self, now_ms: Millis, is_reserved: bool) {
        let sample = if is_reserved { 0.0 } else { 1.0 };
        let share = self.share(now_ms);
        self.share.set(now_ms, share + SAMPLE_WEIGHT * (sample - share));
    }

    /// Whether reservations are scarce and should go to calls that can still meet their target.
    pub fn is_scarce(&self, now_ms: Millis) -> bool {
        self.share(now_ms) > SCARCE_SHARE
    }
}
