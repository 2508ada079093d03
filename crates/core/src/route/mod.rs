//! Choice of backend servers.

pub mod path;
pub mod rank;

pub use path::match_route;
pub use rank::{Candidate, best_decode, best_prefill};
