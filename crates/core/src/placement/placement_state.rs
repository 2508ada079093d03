//! What an instance stores for placement: orders to its own engines and the demand for weights at
//! them, and weights that other engines lack.

use std::collections::BTreeMap;

use crate::ids::ServerId;
use crate::placement::lacking_weights::LackingWeights;
use crate::placement::order_scheduler::OrderScheduler;
use crate::placement::stream_weights::StreamWeights;
use crate::placement::weight_demand::WeightDemand;
use crate::units::{BytesPerSecond, Millis};

/// State of an instance for the placement of weights and roles.
#[derive(Clone, Debug, Default)]
pub struct PlacementState {
    /// Orders to the engines that this instance owns.
    pub orders: OrderScheduler,
    /// Weights that engines lack, according to their owners.
    pub lacking: LackingWeights,
    /// Demand for weights at owned engines whose memory for weights is configured.
    pub demand: BTreeMap<ServerId, WeightDemand>,
    /// Weights used by the streams of owned engines, recorded where the memory for weights is
    /// configured.
    pub streams: BTreeMap<ServerId, StreamWeights>,
    /// Rate of the weight store for the whole deployment; zero until it is known.
    pub weight_rate_bytes_per_second: BytesPerSecond,
    /// When orders are next considered.
    pub next_check_ms: Millis,
}
