//! The memory that answers of all calls together may take while they are held.

use std::sync::Arc;

use turmericrail_core::units::Bytes;
use turmericrail_wire::answer_budget::{AnswerBudget, AnswerShare};

use crate::caller_memory::{HeldBytes, HeldConnection};

/// Bytes of each answer that are held with its request, so that a short answer always finds room.
const ALLOWANCE_BYTES: usize = 8 * 1024;

/// A limit on the bytes that are held at once.
#[derive(Debug)]
pub struct BufferBudget {
    budget: AnswerBudget,
}

impl BufferBudget {
    pub fn new(max_bytes: usize) -> Self {
        Self { budget: AnswerBudget::new(max_bytes) }
    }

    /// The share of an answer of which nothing is held yet, to a caller's request.
    pub fn share(&self, connection: &Arc<HeldConnection>) -> BufferShare {
        BufferShare { share: self.budget.share(), held: connection.hold() }
    }
}

/// What one answer holds of the budget; returned when it is dropped.
pub struct BufferShare {
    share: AnswerShare,
    /// The answer in the account of its caller.
    held: HeldBytes,
}

impl BufferShare {
    /// Sets the size of what is held; returns whether the budget and the account allow it.
    pub fn resize(&mut self, bytes: usize) -> bool {
        let held = Bytes(bytes.saturating_sub(ALLOWANCE_BYTES) as u64);
        self.held.resize_at_once(held).is_ok() && self.share.resize(bytes)
    }
}
