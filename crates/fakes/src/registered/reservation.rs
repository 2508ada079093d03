//! Reservations that fake engines grant.

use std::sync::atomic::{AtomicU64, Ordering};

static GRANTED: AtomicU64 = AtomicU64::new(0);

/// Body of an answer that grants a reservation. Each has an id of its own, by which late copies of
/// an answer are told.
pub fn granted_reservation() -> String {
    format!(r#"{{"hold":"h{}"}}"#, GRANTED.fetch_add(1, Ordering::Relaxed))
}
