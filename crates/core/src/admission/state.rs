//! State of admission and server selection on one instance.

use std::collections::{BTreeMap, BTreeSet};

use crate::admission::{Mechanisms, PrefillQueue, SeatGrantRate, TransferSchedule, WorkspaceUsage};
use crate::estimate::{EjectedServers, Estimates};
use crate::ids::{RequestId, ServerId};
use crate::request::RetryBudget;
use crate::route::{Pools, PrefixCacheIndex};
use crate::units::Millis;

/// Work ahead at a prefill engine.
#[derive(Clone, Copy, Debug)]
pub struct KnownBacklog {
    /// When this was learned.
    pub learned_ms: Millis,
    /// When the engine will have done the work.
    pub until_ms: Millis,
}

/// State of admission and server selection.
#[derive(Clone, Debug, Default)]
#[expect(missing_docs, reason = "the names say it")]
pub struct AdmissionState {
    pub mechanisms: Mechanisms,
    /// Requests that wait for their prefill.
    pub waiting_requests: BTreeSet<RequestId>,
    /// Learned speeds of engines and links.
    pub estimates: Estimates,
    /// Servers that failed lately; some are ejected.
    pub ejected_servers: EjectedServers,
    /// Prompt prefixes that engines probably have cached.
    pub prefix_cache_index: PrefixCacheIndex,
    /// Engines of each model, by role and data centre.
    pub pools: Pools,
    /// Work ahead at prefill engines, as their owners reported it or as this instance's own
    /// requests imply.
    pub backlogs: BTreeMap<ServerId, KnownBacklog>,
    /// KV transfers of this instance's own requests.
    pub transfers: TransferSchedule,
    /// Rate at which this instance was granted decode seats.
    pub seat_grant_rate: SeatGrantRate,
    /// Queues of the prefill engines that this instance owns.
    pub queues: BTreeMap<ServerId, PrefillQueue>,
    /// Backlog behind which the last request was rejected; the basis of `retry-after`.
    pub last_refused_backlog_ms: Millis,
    /// Budget for retries of model requests; plain calls have their own.
    pub retry_budget: RetryBudget,
    /// Recent prefill work of each workspace.
    pub usage: WorkspaceUsage,
}
