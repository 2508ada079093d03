//! Paths of keys in a document.

use std::fmt;

/// Path of a value in a document: the keys from the root, joined by dots in text.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct KeyPath(pub Vec<String>);

impl KeyPath {
    /// Creates a path of one key.
    pub fn new(key: impl fmt::Display) -> Self {
        Self(vec![key.to_string()])
    }

    /// The path extended by one key.
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
