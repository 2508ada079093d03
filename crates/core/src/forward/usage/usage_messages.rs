//! What instances tell each other about the use of a tenant.

use super::UsageTerms;
use crate::forward::Member;
use crate::ids::{DataCentreId, InstanceId, TenantId};
use crate::units::Millis;

/// Identifies a message of an instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MessageId {
    /// The instance.
    pub instance: InstanceId,
    /// Random number of its process.
    pub run: u64,
    /// Number of the message, from 1.
    pub number: u64,
}

/// A question whether a request may be admitted, or a report of what was admitted already.
#[derive(Clone, Debug, PartialEq)]
pub struct UsageRequest {
    /// The tenant.
    pub tenant: TenantId,
    /// Names the message and the instance that asks or reports.
    pub id: MessageId,
    /// Data centre of the instance.
    pub data_centre: DataCentreId,
    /// The cap as the sender knows it.
    pub terms: UsageTerms,
    /// Units of the request to be admitted; zero in a report.
    pub asked: f64,
    /// Units that were admitted without asking; negative if units are given back.
    pub reported: f64,
    /// Time over which they came together, if earlier reports of them have failed.
    pub reported_span_ms: Millis,
    /// Whether the sender is a coordinator itself, for instances that couldn't reach the receiver.
    pub is_deputy: bool,
    /// Messages that had no reply. What they held is counted elsewhere.
    pub void: Vec<MessageId>,
    /// Level that another coordinator stated last, and its age.
    pub last_level: Option<(f64, Millis)>,
    /// Time since the sender last failed to reach a member that it still avoids.
    pub suspect_age_ms: Option<Millis>,
}

/// The coordinator's reply.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UsageReply {
    /// Whether the request may be admitted.
    pub is_granted: bool,
    /// Time until there is room.
    pub wait_ms: Millis,
    /// Units that may be used at once.
    pub level: f64,
}

/// What a member knows about a tenant's use, for one that becomes its coordinator.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UsageLevels {
    /// Level at the member, if it was the coordinator.
    pub own: Option<f64>,
    /// Level that another coordinator stated last, and its age.
    pub stated: Option<(f64, Millis)>,
}

/// What an instance does about a received [`UsageRequest`].
#[derive(Clone, Debug, PartialEq)]
pub enum UsageStep {
    /// It is the coordinator and replies.
    Reply(UsageReply),
    /// Another member is the coordinator.
    Redirect(Member),
    /// Before it replies it has to ask these members for their levels.
    Start(Vec<Member>),
    /// It can't be the coordinator yet.
    Unable,
}
