//! What each engine should hold and do, and the orders that lead there.
//!
//! The desired state is a pure function of the configuration version and the hour, so that two
//! owners never contradict each other. Orders carry a fencing number one above the engine's own.
//! Where the engine refuses old numbers, it is itself the arbiter between two owners and role
//! changes and unloads are ordered. Where it ignores them, nothing is ever ordered but to load what
//! the configuration lists for it: such an order can be repeated or late and does no harm.

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
