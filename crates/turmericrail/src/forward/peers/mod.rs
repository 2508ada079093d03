//! What instances tell each other.

pub mod loss_notices;
pub mod relay;
pub mod relay_limits;
pub mod relay_members;
pub mod relay_notices;
pub mod relay_speeds;
pub mod stream_versions;
