//! What instances tell each other.

pub mod loss_notices;
pub mod relay;
pub mod relay_exchange;
pub mod relay_leaving;
pub mod relay_limits;
pub mod relay_members;
pub mod relay_notices;
pub mod run_notices;
pub mod run_search;
pub mod stream_versions;
