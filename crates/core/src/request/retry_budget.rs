//! A budget that limits retries to a ratio of first attempts, as a token bucket.

/// Cost of one retry; a first attempt earns the configured percentage of it.
const RETRY_COST_PERCENT: u64 = 100;
/// Limit on the balance: a burst of ten retries.
const MAX_BALANCE_PERCENT: u64 = 10 * RETRY_COST_PERCENT;

/// Balance that each first attempt raises and each retry lowers; it starts at its limit.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    balance_percent: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { balance_percent: MAX_BALANCE_PERCENT }
    }
}

impl RetryBudget {
    /// Adds what a first attempt earns.
    pub fn record_first_attempt(&mut self, retry_percent: u64) {
        self.balance_percent =
            self.balance_percent.saturating_add(retry_percent).min(MAX_BALANCE_PERCENT);
    }

    /// Spends one retry; returns false where the balance is too low.
    pub fn try_spend(&mut self) -> bool {
        let Some(rest) = self.balance_percent.checked_sub(RETRY_COST_PERCENT) else {
            return false;
        };
        self.balance_percent = rest;
        true
    }
}
