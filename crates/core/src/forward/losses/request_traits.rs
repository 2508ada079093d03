//! What of a request servers may be lost to.

use crate::ids::{PromptPartId, ServiceId};
use crate::request::RequestFingerprint;

/// The traits by which a request is quarantined.
#[derive(Clone, Copy, Debug)]
#[expect(missing_docs, reason = "the names say it")]
pub struct RequestTraits<'a> {
    pub service: &'a ServiceId,
    pub request: RequestFingerprint,
    /// Shared parts of the prompt; none in a plain call.
    pub parts: &'a [PromptPartId],
}
