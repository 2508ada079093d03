//! Caps on what tenants use over all instances together.
//!
//! For each tenant one member, its coordinator, keeps a [`UsageBucket`]. The others ask it before
//! they admit a request, or report what they admitted where the tenant was far below its cap at the
//! last reply. [`CoordinatorOrder`] names the member; [`SuspectMembers`] tells which ones aren't
//! reached, so that the next one stands in. [`UsageCaps`] holds the state of one instance in both
//! roles: as [`UsageView`] for its own requests, and as [`UsageCoordinator`].
//!
//! What was admitted without a reply is reported later and may make a bucket's level negative, so
//! that it is repaid.

mod coordinator_order;
mod counted_messages;
mod suspect_members;
mod usage_bucket;
mod usage_caps;
mod usage_coordinator;
mod usage_messages;
mod usage_reports;
mod usage_terms;
mod usage_view;

pub use coordinator_order::CoordinatorOrder;
pub use suspect_members::SuspectMembers;
pub use usage_bucket::UsageBucket;
pub use usage_caps::UsageCaps;
pub use usage_coordinator::UsageCoordinator;
pub use usage_messages::{MessageId, UsageLevels, UsageReply, UsageRequest, UsageStep};
pub use usage_reports::UsageReports;
pub use usage_terms::UsageTerms;
pub use usage_view::{UsageDecision, UsageView};

use crate::units::Millis;

/// Silence after which a data centre counts as cut off. Members call for requests of the tenant and
/// exchange each 3 s.
const SILENCE_MS: Millis = Millis(4_000);
