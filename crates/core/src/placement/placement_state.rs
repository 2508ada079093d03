//! What a node keeps to place models and roles.

use std::collections::BTreeMap;

use crate::ids::ServerId;
use crate::placement::lacking_weights::LackingWeights;
use crate::placement::order_scheduler::OrderScheduler;
use crate::placement::stream_weights::StreamWeights;
use crate::placement::weight_demand::WeightDemand;
use crate::units::{BytesPerSecond, Millis};

/// What a node keeps to place models and roles.
#[derive(Clone, Debug, Default)]
pub struct PlacementState {
    /// Orders to the engines that the node owns.
    pub orders: OrderScheduler,
    /// What engines lack, as their owners told.
    pub lacking: LackingWeights,
    /// Demand for weights at owned engines whose memory for weights is configured.
    pub demand: BTreeMap<ServerId, WeightDemand>,
    /// Weights used by the streams of these engines.
    pub streams: BTreeMap<ServerId, StreamWeights>,
    /// Rate of the weight store for the whole deployment; zero until it is known.
    pub weight_rate_bytes_per_second: BytesPerSecond,
    /// When to look for orders next.
    pub next_check_ms: Millis,
}
