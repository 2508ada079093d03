//! gRPC client and server for messages between instances.

pub mod client;
pub mod server;

/// Size limit of a message, which leaves room for a forwarded plain call or its answer.
const MAX_MESSAGE_BYTES: usize = 20 << 20;
