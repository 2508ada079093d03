//! Software versions of servers, and those at which streams began.

mod forwarder_versions;
mod seen_run;
mod seen_runs;
mod software_version;
mod stream_version;
mod stream_versions;
mod version_history;

pub use seen_run::SeenRun;
pub use seen_runs::SeenRuns;
pub use software_version::SoftwareVersion;
pub use stream_version::{StreamKey, StreamVersion};
pub use stream_versions::StreamVersions;
pub use version_history::VersionHistory;
