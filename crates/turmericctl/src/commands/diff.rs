//! Differences between two JSON documents.

use std::collections::BTreeSet;
use std::fmt;

use serde::Serialize;
use serde_json::Value;
use turmericrail_core::config::KeyPath;

/// An added, removed or changed value; displayed as one line.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Difference {
    /// Keys from the root of the document to the value.
    pub path: String,
    /// Old value; none if the value was added.
    pub before: Option<Value>,
    /// New value; none if the value was removed.
    pub after: Option<Value>,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.before, &self.after) {
            (None, Some(after)) => write!(f, "+ {}: {after}", self.path),
            (Some(before), None) => write!(f, "- {}: {before}", self.path),
            (before, after) => {
                let value_or_null = |value: &Option<Value>| value.clone().unwrap_or_default();
                write!(f, "~ {}: {} -> {}", self.path, value_or_null(before), value_or_null(after))
            }
        }
    }
}

/// Differences between two documents, in the order of their keys.
pub fn differences(before: &Value, after: &Value) -> Vec<Difference> {
    let mut found = Vec::new();
    collect_differences(&KeyPath::default(), Some(before), Some(after), &mut found);
    found
}

fn collect_differences(
    path: &KeyPath,
    before: Option<&Value>,
    after: Option<&Value>,
    found: &mut Vec<Difference>,
) {
    if before == after {
        return;
    }
    let fields = (before.and_then(Value::as_object), after.and_then(Value::as_object));
    if let (Some(old), Some(new)) = fields {
        let keys: BTreeSet<_> = old.keys().chain(new.keys()).collect();
        for key in keys {
            collect_differences(&path.join(key), old.get(key), new.get(key), found);
        }
        return;
    }
    let path = path.to_string();
    found.push(Difference { path, before: before.cloned(), after: after.cloned() });
}
