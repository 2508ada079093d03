//! Which instances are alive, and which of them owns a backend server.

pub mod digest;
pub mod heartbeat;
pub mod leaving;
pub mod rendezvous;
pub mod spread;
pub mod summary;
pub mod view;

pub use digest::{MemberBeat, MemberDigest};
pub use heartbeat::{Heartbeat, LeavingDigest, LoadDigest, Members, MembersRequest, ServerLoad};
pub use leaving::LeavingServers;
pub use summary::{Summary, SummaryHead};
pub use view::{INCARNATION_RANDOM_BITS, ListedInstance, ListedState, MemberView, OwnNews};
