//! Membership: which instances are alive, and which of them owns a backend server.
//!
//! Instances exchange heartbeats (`gossip`) and merge what they receive (`merge`) into a
//! [`MemberView`].

pub mod digest;
pub mod gossip;
pub mod heartbeat;
pub mod leaving;
pub mod listed;
mod member_state;
pub mod merge;
pub mod rendezvous;
pub mod summary;
pub mod view;

pub use digest::{MemberBeat, MemberDigest};
pub use heartbeat::{Heartbeat, LeavingDigest, LoadDigest, Members, MembersRequest, ServerLoad};
pub use leaving::LeavingServers;
pub use listed::{ListedInstance, ListedState};
pub use merge::{INCARNATION_RANDOM_BITS, IncarnationConflict};
pub use summary::{Summary, SummaryHead};
pub use view::MemberView;
