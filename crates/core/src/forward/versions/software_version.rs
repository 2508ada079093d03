//! The version of a server's software, which isn't that of its weights.

use std::fmt;
use std::str::FromStr;

use crate::ids::IdError;

/// Longest text of a version.
const MAX_BYTES: usize = 128;

/// Version of the software of a server: any text without control characters, compared as it is.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct SoftwareVersion(String);

impl SoftwareVersion {
    /// The text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for SoftwareVersion {
    type Err = IdError;

    fn from_str(value: &str) -> Result<Self, IdError> {
        let is_valid = !value.is_empty() && value.len() <= MAX_BYTES;
        if is_valid && !value.chars().any(char::is_control) {
            return Ok(Self(value.to_owned()));
        }
        let value = value.chars().take(MAX_BYTES).collect();
        Err(IdError { kind: "software version", value })
    }
}
