//! Placement: which weights and which role each engine should have, and the orders that bring it
//! there.
//!
//! The desired state is a pure function of the configuration version and the time of day, so that
//! two owners never contradict each other. Each order carries a fencing number one above the
//! highest that the engine has accepted.
//!
//! If two instances both act as the owner of an engine that refuses old fencing numbers, the engine
//! accepts only the newer orders, so it may be ordered to change its role and to unload weights. An
//! engine that ignores fencing numbers is only ever ordered to load what the configuration lists
//! for it: such an order does no harm if it is repeated or late.

pub mod desired_state;
pub mod lacking_weights;
pub mod order;
pub mod order_scheduler;
pub mod placement_state;
pub mod stream_weights;
pub mod weight_demand;
pub mod weight_selection;

pub use desired_state::{DesiredState, desired_state};
pub use lacking_weights::LackingWeights;
pub use order::{EngineOrder, OrderKind};
pub use order_scheduler::{EngineConstraints, EngineSnapshot, OrderScheduler};
pub use placement_state::PlacementState;
pub use stream_weights::StreamWeights;
pub use weight_demand::WeightDemand;
pub use weight_selection::select_weights;
