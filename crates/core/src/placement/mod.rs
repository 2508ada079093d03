//! What each engine should hold and do, and the orders that lead there.
//!
//! The desired state is a pure function of the configuration version and the hour, so that two
//! owners never contradict each other. Orders carry a fencing number one above the engine's own.
//! Where the engine refuses old numbers, it is itself the arbiter between two owners and role
//! changes and unloads are ordered. Where it ignores them, nothing is ever ordered but to load what
//! the configuration lists for it: such an order can be repeated or late and does no harm.

pub mod demand;
pub mod desired;
pub mod fit;
pub mod lacking;
pub mod order;
pub mod order_book;
pub mod state;
pub mod streams;

pub use demand::WeightDemand;
pub use desired::{Desired, desired_state};
pub use fit::fit;
pub use lacking::LackingWeights;
pub use order::{EngineOrder, OrderKind};
pub use order_book::{Look, OrderBook, Terms};
pub use state::PlacementState;
pub use streams::StreamWeights;
