//! The software version at which one stream has begun.

use crate::forward::SoftwareVersion;
use crate::request::RequestFingerprint;
use crate::units::Millis;

/// Names a stream by the id of the attempt that brought its first event, whatever its length.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct StreamKey(pub u128);

impl StreamKey {
    /// The key of an attempt.
    pub fn of_attempt(attempt_id: &str) -> Self {
        Self(RequestFingerprint::of(&[attempt_id.as_bytes()]).0)
    }
}

/// The version that a stream was sent to.
#[derive(Clone, Debug, Eq, PartialEq)]
#[expect(missing_docs, reason = "the names say it")]
pub struct StreamVersion {
    pub stream: StreamKey,
    /// The request whose answer it is, of which the caller may make several attempts.
    pub request: RequestFingerprint,
    pub version: SoftwareVersion,
    /// Number of the engine that the stream was sent to, before its first event; a higher one is
    /// later.
    pub attempt: u32,
    /// Monotonic time of this instance.
    pub sent_ms: Millis,
}
