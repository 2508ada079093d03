//! When a prefill engine should become a decode engine.
//!
//! Only what engines and calls show at the moment counts: new calls find no place at the decode
//! engines while prefill engines have next to nothing to do. Engines are shifted one after the
//! other and only in this direction; where prefill becomes short, decode engines read prompts
//! themselves.

/// Least part of the engines that keeps reading prompts: a prompt takes about a fifth of the engine
/// time that its answer takes, and half of that again for uneven arrivals.
const MIN_PREFILL_PART: f64 = 0.24;
/// Most requests at a prefill engine at the end of a prefill, in the mean, for it to count as idle.
const IDLE_REQUESTS: f64 = 1.5;

/// Whether one more engine should change from prefill to decode.
pub fn should_shift(
    prefill: usize,
    decode: usize,
    prefill_requests: Option<f64>,
    is_scarce: bool,
) -> bool {
    let is_idle = prefill_requests.is_some_and(|requests| requests < IDLE_REQUESTS);
    let least = ((prefill + decode) as f64 * MIN_PREFILL_PART).ceil() as usize;
    is_scarce && is_idle && prefill > least.max(1)
}
