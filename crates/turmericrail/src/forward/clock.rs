//! Monotonic time that also advances while the machine is suspended.

use rustix::time::{ClockId, clock_gettime};
use turmericrail_core::units::Millis;

/// Time since boot, including time in suspension.
pub fn now_ms() -> Millis {
    let now = clock_gettime(ClockId::Boottime);
    Millis(now.tv_sec as u64 * 1_000 + now.tv_nsec as u64 / 1_000_000)
}
