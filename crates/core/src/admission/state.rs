//! Everything that admission and choice remember on one instance.

use std::collections::{BTreeMap, BTreeSet};

use crate::admission::{LinkBook, Mechanisms, PrefillQueue, SeatPace, Usage};
use crate::estimate::{EjectedServers, Estimates};
use crate::ids::{RequestId, ServerId};
use crate::request::RetryBudget;
use crate::route::{Pools, PrefixCacheIndex};
use crate::units::Millis;

/// Work ahead at a prefill engine and when it was learned.
#[derive(Clone, Copy, Debug)]
pub struct KnownBacklog {
    /// When.
    pub learned_ms: Millis,
    /// When the work is done.
    pub until_ms: Millis,
}

/// The memory of admission and choice.
#[derive(Clone, Debug, Default)]
pub struct AdmissionState {
    /// Which mechanisms are at work.
    pub mechanisms: Mechanisms,
    /// Requests that wait for their prefill.
    pub waiting: BTreeSet<RequestId>,
    /// What engines and links were seen to do.
    pub estimates: Estimates,
    /// Servers out of use.
    pub suspects: EjectedServers,
    /// Prefixes that engines are believed to hold.
    pub beliefs: PrefixCacheIndex,
    /// Engines of each model, by role and place.
    pub pools: Pools,
    /// Work ahead at prefill engines, as this instance was told or asked for itself.
    pub backlogs: BTreeMap<ServerId, KnownBacklog>,
    /// Transfers of this instance's own requests.
    pub transfers: LinkBook,
    /// How fast decode seats came to this instance.
    pub seat_pace: SeatPace,
    /// Queues of the prefill engines that this instance owns.
    pub queues: BTreeMap<ServerId, PrefillQueue>,
    /// Shortest backlog that the last refused request was told of.
    pub backlog_ms: Millis,
    /// Retries that may still be made.
    pub retries: RetryBudget,
    /// Work of each workspace.
    pub usage: Usage,
}
