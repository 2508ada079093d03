//! The other instances, and what they tell each other.

mod exchange_pace;
mod follow_plan;
mod forwarder_notices;
mod member_filter;
mod member_list;
mod members;
mod told_members;
mod transfer_budget;

pub use exchange_pace::ExchangePace;
pub use follow_plan::FollowPlan;
pub use member_filter::MemberFilter;
pub use member_list::MemberList;
pub use members::{Member, Members, Watcher};
pub use told_members::ToldMembers;
pub use transfer_budget::TransferBudget;
