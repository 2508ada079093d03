//! Errors of splitting a stream into events.

use thiserror::Error;

/// Why an event is refused.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum EventError {
    /// The event exceeds the size limit.
    #[error("an event is too long")]
    TooLong,
    /// The event has no id, or none above that of the event before.
    #[error("an event doesn't follow the one before")]
    OutOfOrder,
}
