//! Software versions of servers, and those at which streams began.

mod forwarder_versions;
mod software_version;
mod stream_version;
mod stream_versions;
mod version_history;

pub use software_version::SoftwareVersion;
pub use stream_version::{StreamKey, StreamVersion};
pub use stream_versions::StreamVersions;
pub use version_history::VersionHistory;
