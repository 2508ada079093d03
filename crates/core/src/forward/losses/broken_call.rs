//! A call to a server that got no answer.

use crate::ids::ServiceId;
use crate::request::RequestFingerprint;
use crate::units::Millis;

/// Time for which a broken call waits for a sign of its server's end; longer than an entry of a
/// server that has ended takes to expire.
pub const BROKEN_TTL_MS: Millis = Millis(6_000);
/// Time after which the end of a server no longer explains a call that was given up before.
const ABANDONED_TTL_MS: Millis = Millis(1_500);

/// How a call came to get no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BrokenKind {
    /// Its connection broke.
    Broken,
    /// This instance gave it up while the server was running it.
    Abandoned,
}

/// A call that got no answer.
#[derive(Clone, Debug, Eq, PartialEq)]
#[expect(missing_docs, reason = "the names say it")]
pub struct BrokenCall {
    pub service: ServiceId,
    pub request: RequestFingerprint,
    pub kind: BrokenKind,
    /// Whether the server had been writing the answer for a while.
    pub is_late: bool,
    pub at_ms: Millis,
}

impl BrokenCall {
    /// Whether an end of the server no longer explains it.
    pub fn is_expired(&self, now_ms: Millis) -> bool {
        let ttl_ms = match self.kind {
            BrokenKind::Broken => BROKEN_TTL_MS,
            BrokenKind::Abandoned => ABANDONED_TTL_MS,
        };
        now_ms >= self.at_ms + ttl_ms
    }
}
