//! Differences between two JSON documents, one value a line.

use std::collections::BTreeSet;
use std::fmt;

use serde::Serialize;
use serde_json::Value;
use turmericrail_core::config::KeyPath;

/// One changed value.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Difference {
    /// Where it stands.
    pub path: String,
    /// The value before, where there was one.
    pub before: Option<Value>,
    /// The value after, where there is one.
    pub after: Option<Value>,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.before, &self.after) {
            (None, Some(after)) => write!(f, "+ {}: {after}", self.path),
            (Some(before), None) => write!(f, "- {}: {before}", self.path),
            (before, after) => {
                let shown = |value: &Option<Value>| value.clone().unwrap_or_default();
                write!(f, "~ {}: {} -> {}", self.path, shown(before), shown(after))
            }
        }
    }
}

/// What differs between two documents, in the order of their keys.
pub fn differences(before: &Value, after: &Value) -> Vec<Difference> {
    let mut found = Vec::new();
    compare(&KeyPath::default(), Some(before), Some(after), &mut found);
    found
}

fn compare(
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
            compare(&path.join(key), old.get(key), new.get(key), found);
        }
        return;
    }
    let path = path.to_string();
    found.push(Difference { path, before: before.cloned(), after: after.cloned() });
}
