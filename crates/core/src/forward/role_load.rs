//! How many prefill engines should become decode engines.
//!
//! A request holds decode memory for its whole answer, but a prefill engine only while its prompt
//! is read. Where decode memory is nearly used up while prefill engines mostly have one request or
//! none, prompts would be read as soon by fewer engines, and the others can hold answers. Engines
//! only change in this direction: where prefill becomes short, decode engines read prompts
//! themselves.

/// Part of the decode memory in use from which on places are about to run out: bursts double the
/// load.
const SCARCE_MEMORY_SHARE: f64 = 0.5;
/// Most requests at a prefill engine, in the mean: one that is read and now and then one that
/// waits for it.
const MAX_PREFILL_REQUESTS: f64 = 1.5;
/// Least part of the engines that keeps reading prompts: twice what usual prompts and answers
/// need, since bursts double the load.
const MIN_PREFILL_ENGINE_SHARE: f64 = 0.2;
/// Part of the engines that is ordered to change in one round, so that the effect can be seen.
const MAX_ROUND_SHARE: f64 = 0.1;

/// Load of the engines of a service by role.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoleLoad {
    /// Engines that read prompts.
    pub prefill_engines: usize,
    /// All engines, those that change their role too.
    pub engines: usize,
    /// Mean number of requests at an engine that reads prompts.
    pub prefill_requests: f64,
    /// Part of the decode memory that is in use.
    pub decode_fill: f64,
}

impl RoleLoad {
    /// Most engines that may ever leave prefill, whatever the load is.
    pub fn max_convertible_engines(prefill_engines: usize, engines: usize) -> usize {
        let min_prefill = (engines as f64 * MIN_PREFILL_ENGINE_SHARE).ceil().max(1.0) as usize;
        prefill_engines.saturating_sub(min_prefill)
    }

    /// Prefill engines that should become decode engines now.
    pub fn engines_to_convert(&self) -> usize {
        if self.decode_fill < SCARCE_MEMORY_SHARE {
            return 0;
        }
        let requests = self.prefill_requests * self.prefill_engines as f64;
        let needed = (requests / MAX_PREFILL_REQUESTS).ceil() as usize;
        let convertible = Self::max_convertible_engines(self.prefill_engines, self.engines);
        let max_per_round = (self.engines as f64 * MAX_ROUND_SHARE).ceil() as usize;
        self.prefill_engines.saturating_sub(needed).min(convertible).min(max_per_round)
    }
}
