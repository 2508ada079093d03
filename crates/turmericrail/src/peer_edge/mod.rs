//! Messages between instances over tonic.

pub mod client;
pub mod server;

/// Longest message: a forwarded call or the answer of a plain service, with some room.
const MAX_MESSAGE_BYTES: usize = 20 << 20;
