//! Choice of backend servers.

pub mod beliefs;
pub mod health;
pub mod path;
pub mod pools;
pub mod rank;

pub use beliefs::PrefixBeliefs;
pub use health::{HealthChange, ServerHealth};
pub use path::match_route;
pub use pools::{Pool, Pools};
pub use rank::{Choice, least};
