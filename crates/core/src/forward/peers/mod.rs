//! The other instances, and what they tell each other.

mod forwarder_notices;
mod member_list;
mod members;

pub use member_list::MemberList;
pub use members::{Member, Members, Watcher};
