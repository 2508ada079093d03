//! What ties a cursor to the request whose answer it continues.

use std::fmt;

use crate::ids::ModelVersion;

/// The request and the model version of an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestBinding {
    /// The version that serves the request.
    pub version: ModelVersion,
    /// Hash of the request.
    pub fingerprint: u64,
}

impl fmt::Display for RequestBinding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:016x}", self.version, self.fingerprint)
    }
}
