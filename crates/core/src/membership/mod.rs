//! Which instances are alive, and which of them owns a backend server.

pub mod digest;
mod heard;
pub mod heartbeat;
pub mod learn;
pub mod leaving;
pub mod listed;
pub mod rendezvous;
pub mod spread;
pub mod summary;
pub mod view;

pub use digest::{MemberBeat, MemberDigest};
pub use heartbeat::{Heartbeat, LeavingDigest, LoadDigest, Members, MembersRequest, ServerLoad};
pub use learn::{INCARNATION_RANDOM_BITS, OwnNews};
pub use leaving::LeavingServers;
pub use listed::{ListedInstance, ListedState};
pub use summary::{Summary, SummaryHead};
pub use view::MemberView;
