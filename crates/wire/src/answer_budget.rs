//! The memory that answers of all calls together may take while they are held.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Bytes that each answer may hold beside the budget, so that a few large ones don't keep out the
/// others.
const FREE_BYTES: usize = 64 * 1024;

/// A limit on the bytes that answers hold at once.
#[derive(Clone, Debug)]
pub struct AnswerBudget {
    max_bytes: usize,
    held_bytes: Arc<AtomicUsize>,
}

impl AnswerBudget {
    /// A budget of which nothing is held.
    pub fn new(max_bytes: usize) -> Self {
        Self { max_bytes, held_bytes: Arc::default() }
    }

    /// The share of an answer of which nothing is held yet.
    pub fn share(&self) -> AnswerShare {
        AnswerShare { budget: self.clone(), counted_bytes: 0 }
    }
}

/// What one answer holds of the budget; returned when it is dropped.
#[derive(Debug)]
pub struct AnswerShare {
    budget: AnswerBudget,
    counted_bytes: usize,
}

impl AnswerShare {
    /// Sets the size of what is held; returns whether the budget allows it.
    pub fn resize(&mut self, bytes: usize) -> bool {
        let AnswerBudget { max_bytes, held_bytes } = &self.budget;
        let counted_bytes = bytes.saturating_sub(FREE_BYTES);
        if counted_bytes <= self.counted_bytes {
            held_bytes.fetch_sub(self.counted_bytes - counted_bytes, Ordering::Relaxed);
            self.counted_bytes = counted_bytes;
            return true;
        }
        let added_bytes = counted_bytes - self.counted_bytes;
        let before = held_bytes.fetch_add(added_bytes, Ordering::Relaxed);
        if before + added_bytes > *max_bytes {
            held_bytes.fetch_sub(added_bytes, Ordering::Relaxed);
            return false;
        }
        self.counted_bytes = counted_bytes;
        true
    }
}

impl Drop for AnswerShare {
    fn drop(&mut self) {
        self.budget.held_bytes.fetch_sub(self.counted_bytes, Ordering::Relaxed);
    }
}
