//! Paths of keys into a document.

use std::fmt;

/// Where a value stands in a document: the keys from the top, joined by dots in text.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct KeyPath(pub Vec<String>);

impl KeyPath {
    /// A path of one key.
    pub fn new(key: impl fmt::Display) -> Self {
        Self(vec![key.to_string()])
    }

    /// The path one key further down.
    pub fn join(&self, key: impl fmt::Display) -> Self {
        let mut keys = self.0.clone();
        keys.push(key.to_string());
        Self(keys)
    }
}

impl fmt::Display for KeyPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0.join("."))
    }
}
