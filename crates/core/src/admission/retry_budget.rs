//! The budget of retries: a share of the first tries, so that retries never multiply an overload.

/// Parts of a retry that a first try earns for each percent.
const PARTS_PER_RETRY: u64 = 100;
/// Most retries saved up.
const MAX_SAVED_RETRIES: u64 = 10;

/// Retries that may still be made.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    parts: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { parts: MAX_SAVED_RETRIES * PARTS_PER_RETRY }
    }
}

impl RetryBudget {
    /// A first try was made; it earns `percent` of a retry.
    pub fn earn(&mut self, percent: u64) {
        self.parts = (self.parts + percent).min(MAX_SAVED_RETRIES * PARTS_PER_RETRY);
    }

    /// Takes a retry out of the budget; false where there is none.
    pub fn spend(&mut self) -> bool {
        let is_allowed = self.parts >= PARTS_PER_RETRY;
        if is_allowed {
            self.parts -= PARTS_PER_RETRY;
        }
        is_allowed
    }
}
