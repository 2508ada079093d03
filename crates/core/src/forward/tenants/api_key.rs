//! Keys that callers prove their tenant with.

use std::borrow::Borrow;
use std::fmt;

/// Secret text of an API key; never printed.
#[derive(Clone, Eq, Ord, PartialEq, PartialOrd)]
pub struct ApiKey(String);

impl ApiKey {
    /// Wraps the text of a key.
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("[redacted]")
    }
}

impl Borrow<str> for ApiKey {
    fn borrow(&self) -> &str {
        &self.0
    }
}
