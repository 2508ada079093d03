//! How many members an instance tells others.
//!
//! After a start of many instances all of them call the few seeds. Those that call while a seed has
//! just told many are told a few members, with which they go on.

use crate::units::Millis;

/// Members that one message tells at the most.
const MAX_PER_MESSAGE: usize = 40;
/// Members that each message may tell, whatever was told before.
const MIN_PER_MESSAGE: usize = 4;
/// With 60 bytes each, two thirds of what an instance may send for control.
const MEMBERS_PER_S: u64 = 56;
/// Time for which an allowance that isn't used is kept.
const MAX_SAVED_MS: u64 = 2_000;

/// An allowance of members that grows with time.
#[derive(Clone, Copy, Debug, Default)]
pub struct ToldMembers {
    /// Time up to which the allowance is used.
    used_until_ms: Millis,
}

impl ToldMembers {
    /// Number of members that a message may tell now.
    pub fn allowed(&self, now_ms: Millis) -> usize {
        let saved_ms = now_ms.saturating_sub(self.used_until_ms).0.min(MAX_SAVED_MS);
        let saved = (saved_ms * MEMBERS_PER_S / 1_000) as usize;
        saved.clamp(MIN_PER_MESSAGE, MAX_PER_MESSAGE)
    }

    /// Whether more members can be told than a message always may.
    pub fn is_free(&self, now_ms: Millis) -> bool {
        self.allowed(now_ms) > MIN_PER_MESSAGE
    }

    /// Counts members that were told.
    pub fn record(&mut self, now_ms: Millis, count: usize) {
        let begin_ms = self.used_until_ms.max(now_ms.saturating_sub(Millis(MAX_SAVED_MS)));
        self.used_until_ms = begin_ms + Millis(count as u64 * 1_000 / MEMBERS_PER_S);
    }
}
