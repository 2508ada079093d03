//! Which instances are alive, and which of them owns a backend server.

pub mod heartbeat;
pub mod rendezvous;
pub mod view;

pub use heartbeat::{Heartbeat, MemberDigest, ServerLoad};
pub use view::{ListedInstance, ListedState, MemberView};
