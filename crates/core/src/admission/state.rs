//! Everything that admission and choice remember on one instance.

use std::collections::{BTreeMap, BTreeSet};

use crate::admission::{Mechanisms, PrefillSlots, RetryBudget, Usage};
use crate::estimate::{Estimates, Suspects};
use crate::ids::{RequestId, ServerId};
use crate::route::{Pools, PrefixBeliefs};
use crate::units::Millis;

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
    pub suspects: Suspects,
    /// Prefixes that engines are believed to hold.
    pub beliefs: PrefixBeliefs,
    /// Engines of each model, by role and place.
    pub pools: Pools,
    /// When prefill engines are expected to take more work.
    pub free_at_ms: BTreeMap<ServerId, Millis>,
    /// The owner's account of prefill engines.
    pub slots: PrefillSlots,
    /// Time in which this instance would have served all that waits.
    pub backlog_ms: Millis,
    /// Retries that may still be made.
    pub retries: RetryBudget,
    /// Work of each workspace.
    pub usage: Usage,
}
