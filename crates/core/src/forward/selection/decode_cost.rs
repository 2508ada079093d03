//! What the other answers at a decode engine, and its own speed, cost a call.

use super::server_selection::Candidate;
use crate::forward::ModelCallSize;
use crate::forward::servers::service_latency::ServiceLatency;
use crate::units::{Millis, Tokens};

/// Time that each further request in a decode engine's batch adds to the first event and to each
/// gap between tokens.
const BATCHED_REQUEST_MS: f64 = 3.0;
/// Size assumed for requests of other instances, of which only the number is known.
pub const TYPICAL_REQUEST_TOKENS: f64 = 4_000.0;
/// Share of the KV memory that may be in use before an engine counts as full; the rest covers
/// requests that other instances have just sent.
const USABLE_MEMORY_SHARE: f64 = 0.9;
/// Expected wait for memory at a full engine: about the duration of one answer.
const MEMORY_WAIT_MS: f64 = 600.0;
/// Cost of the time for which an answer holds its memory, as a share of that time: what it delays
/// the calls that find the engine full.
const HOLD_COST_SHARE: f64 = 0.1;

/// Time that the other requests on a decode engine add: a share per batched request, and the wait
/// for memory if it is full.
pub fn contention_ms(
    now_ms: Millis,
    candidate: &Candidate<'_>,
    needed_tokens: Tokens,
    kv_tokens: Option<Tokens>,
) -> f64 {
    let other_calls = candidate.load.other_instances_calls(now_ms);
    let batch_requests = f64::from(candidate.load.running_calls()) + other_calls;
    let used_tokens = candidate.load.tokens() as f64
        + other_calls * TYPICAL_REQUEST_TOKENS
        + needed_tokens.0 as f64;
    let usable_tokens =
        kv_tokens.map_or(f64::INFINITY, |tokens| tokens.0 as f64 * USABLE_MEMORY_SHARE);
    let is_full = candidate.load.is_full(now_ms);
    let memory_wait_ms = if is_full || used_tokens > usable_tokens {
        MEMORY_WAIT_MS * (used_tokens / usable_tokens).max(1.0)
    } else {
        0.0
    };
    batch_requests * BATCHED_REQUEST_MS + memory_wait_ms
}

/// Cost of the engine's speed while it generates the answer: the time for which the answer holds
/// memory, and the time by which its events come later than the gap target allows. Zero for engines
/// that state no speed.
pub fn generation_cost_ms(
    now_ms: Millis,
    candidate: &Candidate<'_>,
    size: ModelCallSize,
    latency: &ServiceLatency,
    gap_target_ms: Option<Millis>,
) -> f64 {
    let Some(gap_ms) = latency.event_gap_ms else {
        return 0.0;
    };
    let events = size.output_tokens().0 as f64 * latency.events_per_token;
    let Some(ratio) = candidate.load.speed().time_ratio(now_ms, events * gap_ms) else {
        return 0.0;
    };
    let late_gap_ms =
        gap_target_ms.map_or(0.0, |target_ms| (gap_ms * ratio - target_ms.0 as f64).max(0.0));
    events * (gap_ms * ratio * HOLD_COST_SHARE + late_gap_ms)
}
