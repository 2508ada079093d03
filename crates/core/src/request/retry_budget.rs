//! A bound on retries as a ratio of first tries.

/// Cost of one retry; a first try earns the configured percentage of it.
const RETRY_COST: u64 = 100;
/// Most that is saved up: a burst of ten retries.
const MAX_SAVED: u64 = 10 * RETRY_COST;

/// What first tries have earned and retries have not spent yet.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    saved: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { saved: MAX_SAVED }
    }
}

impl RetryBudget {
    /// Counts a first try.
    pub fn record_first_try(&mut self, retry_percent: u64) {
        self.saved = self.saved.saturating_add(retry_percent).min(MAX_SAVED);
    }

    /// Takes one retry out of the budget, if it holds one.
    pub fn try_spend(&mut self) -> bool {
        let Some(rest) = self.saved.checked_sub(RETRY_COST) else {
            return false;
        };
        self.saved = rest;
        true
    }
}
