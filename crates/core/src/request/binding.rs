//! The binding of a cursor to the request whose answer it resumes.

use std::fmt;

use crate::ids::ModelVersion;

/// The request and the model version of an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestBinding {
    /// Version that generated the answer.
    pub version: ModelVersion,
    /// Hash of the whole request.
    pub fingerprint: u64,
}

impl fmt::Display for RequestBinding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:016x}", self.version, self.fingerprint)
    }
}
