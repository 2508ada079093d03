//! The memory that answers of all calls together may take while they are held.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use turmericrail_core::units::Bytes;

use crate::caller_memory::{HeldBytes, HeldConnection};

/// Bytes that each answer may hold beside the budget, so that a few large ones don't keep out the
/// others.
const FREE_BYTES: usize = 64 * 1024;
/// Bytes of each answer that are held with its request, so that a short answer always finds room.
const ALLOWANCE_BYTES: usize = 8 * 1024;

/// A limit on the bytes that are held at once.
#[derive(Debug)]
pub struct BufferBudget {
    max_bytes: usize,
    held_bytes: Arc<AtomicUsize>,
}

impl BufferBudget {
    pub fn new(max_bytes: usize) -> Self {
        Self { max_bytes, held_bytes: Arc::default() }
    }

    /// The share of an answer of which nothing is held yet, to a caller's request.
    pub fn share(&self, connection: &Arc<HeldConnection>) -> BufferShare {
        BufferShare {
            max_bytes: self.max_bytes,
            held_bytes: Arc::clone(&self.held_bytes),
            counted_bytes: 0,
            held: connection.hold(),
        }
    }
}

/// What one answer holds of the budget; returned when it is dropped.
pub struct BufferShare {
    max_bytes: usize,
    held_bytes: Arc<AtomicUsize>,
    counted_bytes: usize,
    /// The answer in the account of its caller.
    held: HeldBytes,
}

impl BufferShare {
    /// Sets the size of what is held; returns whether the budget and the account allow it.
    pub fn resize(&mut self, bytes: usize) -> bool {
        let held = Bytes(bytes.saturating_sub(ALLOWANCE_BYTES) as u64);
        self.held.resize_at_once(held).is_ok() && self.resize_in_budget(bytes)
    }

    fn resize_in_budget(&mut self, bytes: usize) -> bool {
        let counted_bytes = bytes.saturating_sub(FREE_BYTES);
        if counted_bytes <= self.counted_bytes {
            self.held_bytes.fetch_sub(self.counted_bytes - counted_bytes, Ordering::Relaxed);
            self.counted_bytes = counted_bytes;
            return true;
        }
        let added_bytes = counted_bytes - self.counted_bytes;
        let before = self.held_bytes.fetch_add(added_bytes, Ordering::Relaxed);
        if before + added_bytes > self.max_bytes {
            self.held_bytes.fetch_sub(added_bytes, Ordering::Relaxed);
            return false;
        }
        self.counted_bytes = counted_bytes;
        true
    }
}

impl Drop for BufferShare {
    fn drop(&mut self) {
        self.held_bytes.fetch_sub(self.counted_bytes, Ordering::Relaxed);
    }
}
