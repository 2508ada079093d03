//! Matches calls to routes and selects backend servers for them.

pub mod health;
pub mod path;
pub mod pools;
pub mod prefix_cache_index;
pub mod ranking;

pub use health::{HealthChange, ServerHealth};
pub use path::match_route;
pub use pools::{Pool, Pools};
pub use prefix_cache_index::PrefixCacheIndex;
pub use ranking::{RankedServer, lowest_cost_server};
