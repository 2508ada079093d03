//! A run of a stream at an engine, as the engine reported it.

use crate::forward::{ServerRun, SoftwareVersion, StreamKey};
use crate::units::Millis;

/// A stream that an engine has listed as running with at least one event. A call goes to engines of
/// one version only from the first one that may have run it, so that the engine's version is that of
/// the stream.
#[derive(Clone, Debug, Eq, PartialEq)]
#[expect(missing_docs, reason = "the names say it")]
pub struct SeenRun {
    pub stream: StreamKey,
    pub engine: ServerRun,
    pub version: SoftwareVersion,
    /// Monotonic time of this instance.
    pub seen_ms: Millis,
}
