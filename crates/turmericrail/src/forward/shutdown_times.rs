//! When the steps of a graceful shutdown are due.

use turmericrail_core::units::Millis;

/// Time in which the load balancer notices that the instance isn't ready: two readiness checks, one
/// second apart, and the network delay. Later requests are refused, since their answers might not
/// fit into the grace period.
const BALANCER_NOTICE_MS: Millis = Millis(2_800);
/// Time after that for which late connections are still accepted and their requests refused.
const REFUSAL_PERIOD_MS: Millis = Millis(1_000);
/// Least time from the close of the listener to the last answers, in which connections are closed.
const CLOSE_PERIOD_MS: Millis = Millis(500);
/// Part of the grace period that is kept for the last answers.
const END_MARGIN_MS: Millis = Millis(700);
/// Longest time for these; the rest is kept for the end of the process.
const LAST_ANSWERS_MS: Millis = Millis(300);

/// Times of the steps of a shutdown, counted from the stop signal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ShutdownTimes {
    /// New requests are refused from then on.
    pub refusal_ms: Millis,
    /// The listener and connections without a request are closed.
    pub close_ms: Millis,
    /// Every request is answered at once.
    pub last_answers_ms: Millis,
    /// The process ends.
    pub end_ms: Millis,
}

impl ShutdownTimes {
    /// The times within a grace period. Where it is too short for the usual steps, these are shortened
    /// alike, so that a request that is still accepted can be answered before the process is killed.
    pub fn within(grace_ms: Millis) -> Self {
        let last_answers_ms = grace_ms.saturating_sub(END_MARGIN_MS);
        let usual_close_ms = BALANCER_NOTICE_MS + REFUSAL_PERIOD_MS;
        let close_ms = usual_close_ms.min(last_answers_ms.saturating_sub(CLOSE_PERIOD_MS));
        Self {
            refusal_ms: Millis(BALANCER_NOTICE_MS.0 * close_ms.0 / usual_close_ms.0),
            close_ms,
            last_answers_ms,
            end_ms: (last_answers_ms + LAST_ANSWERS_MS).min(grace_ms),
        }
    }
}
