//! Free memory that an engine must have beyond a request while its service is scarce.
//!
//! The headroom keeps room for more urgent requests that arrive next (trunk reservation). Room is
//! used by whole requests: a fraction of a request's memory would keep as much room as a whole one,
//! or none. The headroom is therefore a number of whole typical requests that differs by one among
//! the engines, so that the mean over all engines is what the urgency calls for. Which engines keep
//! more follows from their ids, so that all instances agree.

use xxhash_rust::xxh3::xxh3_64;

use super::Urgency;
use crate::ids::ServerId;
use crate::units::Tokens;

/// Mean headroom for the least urgent requests, in typical requests.
const MAX_HEADROOM_CALLS: f64 = 2.5;
/// Greatest part of an engine's memory that is kept as headroom, so that engines with memory for a
/// few requests only serve all ranks.
const MAX_MEMORY_SHARE: f64 = 0.34;

/// Headroom for a request at an engine with `kv_tokens` of memory.
pub fn headroom_tokens(
    urgency: Urgency,
    engine: &ServerId,
    typical_tokens: Tokens,
    kv_tokens: Tokens,
) -> Tokens {
    let mean_calls = MAX_HEADROOM_CALLS * urgency.share();
    let further = u64::from(engine_part(engine) < mean_calls.fract());
    let calls = mean_calls as u64 + further;
    let max_tokens = (kv_tokens.0 as f64 * MAX_MEMORY_SHARE) as u64;
    let max_calls = max_tokens / typical_tokens.0.max(1);
    Tokens(calls.min(max_calls) * typical_tokens.0)
}

/// Number from zero to one that is evenly distributed over the engines.
fn engine_part(engine: &ServerId) -> f64 {
    (xxh3_64(engine.as_str().as_bytes()) >> 11) as f64 / (1u64 << 53) as f64
}
