//! Choice of backend servers.

pub mod health;
pub mod path;
pub mod rank;

pub use health::{HealthChange, ServerHealth};
pub use path::match_route;
pub use rank::{Candidate, best_decode, best_prefill};
