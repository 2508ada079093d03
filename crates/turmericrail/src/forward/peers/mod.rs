//! What instances tell each other.

mod deflated_values;
pub mod loss_notices;
pub mod peer_listener;
pub mod relay;
pub mod relay_exchange;
pub mod relay_leaving;
pub mod relay_limits;
pub mod relay_members;
pub mod relay_notices;
pub mod relay_speeds;
pub mod run_notices;
pub mod run_search;
pub mod stream_versions;
pub mod usage;
pub mod usage_calls;
pub mod usage_grant;
pub mod usage_messages;
pub mod usage_reports;
