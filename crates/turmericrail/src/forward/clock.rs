//! Monotonic time that also advances while the machine is suspended, and the random spread of waits.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};
use turmericrail_core::units::Millis;

/// Time since boot, including time in suspension.
pub fn now_ms() -> Millis {
    let now = clock_gettime(ClockId::Boottime);
    Millis(now.tv_sec as u64 * 1_000 + now.tv_nsec as u64 / 1_000_000)
}

/// An interval lengthened or shortened at random by up to a quarter, so that instances don't act in
/// step.
pub fn spread(interval: Duration) -> Duration {
    interval.mul_f64(0.75 + fastrand::f64() / 2.0)
}
