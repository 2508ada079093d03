//! Decides how many prefill engines should become decode engines.
//!
//! A request holds decode memory for its whole answer, but occupies a prefill engine only while its
//! prompt is processed. If decode memory is nearly used up while prefill engines have at most about
//! one request each, fewer engines could process the prompts as fast, and the others could generate
//! answers. Engines are only converted in this direction: if prefill capacity runs short, decode
//! engines process prompts themselves.

/// Share of decode memory in use from which on engines are converted: bursts double the load, so
/// that memory would run out.
const SCARCE_MEMORY_SHARE: f64 = 0.5;
/// Mean number of requests that a prefill engine may have after a conversion: one in progress and
/// occasionally one waiting.
const MAX_PREFILL_REQUESTS: f64 = 1.5;
/// Share of the engines that always remain prefill engines: twice what typical prompts and answers
/// need, since bursts double the load.
const MIN_PREFILL_ENGINE_SHARE: f64 = 0.2;
/// Greatest share of the engines that is converted in one round, so that the effect shows before
/// the next.
const MAX_ROUND_SHARE: f64 = 0.1;

/// Load of the engines of a service by role.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoleLoad {
    /// Number of prefill engines.
    pub prefill_engine_count: usize,
    /// Number of engines of both roles, including those that are changing.
    pub engine_count: usize,
    /// Mean number of requests per prefill engine.
    pub mean_prefill_requests: f64,
    /// Share of decode memory in use, from 0 to 1.
    pub decode_fill: f64,
}

impl RoleLoad {
    /// Number of prefill engines that may be converted to decode engines, whatever the load.
    pub fn max_convertible_engines(prefill_engine_count: usize, engine_count: usize) -> usize {
        let min_prefill = (engine_count as f64 * MIN_PREFILL_ENGINE_SHARE).ceil().max(1.0) as usize;
        prefill_engine_count.saturating_sub(min_prefill)
    }

    /// The same among the engines of one orderer. Parts of a few engines need not keep one each.
    pub fn max_convertible_in_part(prefill_engine_count: usize, engine_count: usize) -> usize {
        prefill_engine_count
            .saturating_sub((engine_count as f64 * MIN_PREFILL_ENGINE_SHARE) as usize)
    }

    /// Number of prefill engines that should become decode engines now.
    pub fn engines_to_convert(&self) -> usize {
        if self.decode_fill < SCARCE_MEMORY_SHARE {
            return 0;
        }
        let requests = self.mean_prefill_requests * self.prefill_engine_count as f64;
        let needed_count = (requests / MAX_PREFILL_REQUESTS).ceil() as usize;
        let convertible =
            Self::max_convertible_engines(self.prefill_engine_count, self.engine_count);
        let max_per_round = (self.engine_count as f64 * MAX_ROUND_SHARE).ceil() as usize;
        self.prefill_engine_count.saturating_sub(needed_count).min(convertible).min(max_per_round)
    }
}
