//! How many engines of a service should read prompts and how many should generate.
//!
//! A prompt takes an engine's time, an answer takes an engine's memory. The shares are those at
//! which both run out at the same load, with room for prompts to arrive unevenly, since a prompt
//! that waits delays the first event while a busy decode engine only takes no more.

/// How much more prefill capacity is kept than the mean load needs.
const PREFILL_HEADROOM: f64 = 1.5;
/// Least part of all engines that a change is made for; smaller differences come and go.
const MIN_CHANGE_PART: f64 = 0.08;

/// What one request takes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestWork {
    /// Time of a prefill engine.
    pub prefill_ms: f64,
    /// Time of a decode engine, divided by the answers that it generates at once.
    pub decode_ms: f64,
}

/// Engines that should change from prefill to decode, or with a minus the other way.
pub fn surplus_prefill(prefill: usize, decode: usize, work: RequestWork) -> i64 {
    let total = prefill + decode;
    let needed_ms = work.prefill_ms * PREFILL_HEADROOM;
    let share = needed_ms / (needed_ms + work.decode_ms);
    if total < 2 || !share.is_finite() {
        return 0;
    }
    let wanted = ((share * total as f64).ceil() as usize).clamp(1, total - 1);
    let surplus = prefill as i64 - wanted as i64;
    let least = (total as f64 * MIN_CHANGE_PART).ceil() as i64;
    if surplus.abs() < least { 0 } else { surplus }
}
