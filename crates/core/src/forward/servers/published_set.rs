//! Items that the platform publishes and that instances also pass on to each other.
//!
//! Items arrive from the platform and from other instances in any order; the highest revision of
//! each item wins. Removals are kept, so that an instance that is behind can be sent every change
//! since the revision it knows.

use std::collections::{BTreeMap, BTreeSet};

/// One item, or its removal.
#[derive(Clone, Debug, Eq, PartialEq)]
#[expect(missing_docs, reason = "the names say it")]
pub struct PublishedItem {
    pub key: String,
    /// Revision of the last change to the item.
    pub revision: u64,
    /// `None` if the item was removed.
    pub value: Option<Vec<u8>>,
}

/// The items under one key prefix.
#[derive(Clone, Debug, Default)]
pub struct PublishedSet {
    items: BTreeMap<String, PublishedItem>,
    revision: u64,
}

impl PublishedSet {
    /// The revision up to which all changes are known.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The highest revision of a known change. It is below [`Self::revision`] if other keys of the
    /// platform changed later.
    pub fn last_change(&self) -> u64 {
        self.items.values().map(|item| item.revision).max().unwrap_or_default()
    }

    /// Applies the changes up to a revision; returns those that were new.
    pub fn apply(&mut self, revision: u64, items: Vec<PublishedItem>) -> Vec<PublishedItem> {
        let mut applied = Vec::new();
        for item in items {
            let known = self.items.get(&item.key);
            if known.is_some_and(|known| known.revision >= item.revision) {
                continue;
            }
            self.items.insert(item.key.clone(), item.clone());
            applied.push(item);
        }
        self.revision = self.revision.max(revision);
        applied
    }

    /// Applies a listing of all items, read at `revision` or later. Known items that are not in it
    /// count as removed, unless they changed at `revision` or later. Returns the changes that were
    /// new.
    pub fn apply_snapshot(
        &mut self,
        revision: u64,
        mut items: Vec<PublishedItem>,
    ) -> Vec<PublishedItem> {
        let listed_keys: BTreeSet<_> = items.iter().map(|item| item.key.clone()).collect();
        for known in self.items.values() {
            let is_removed = known.value.is_some() && known.revision < revision;
            if is_removed && !listed_keys.contains(&known.key) {
                items.push(PublishedItem { key: known.key.clone(), revision, value: None });
            }
        }
        self.apply(revision, items)
    }

    /// The last change of each item that changed after a revision.
    pub fn changes_since(&self, revision: u64) -> Vec<PublishedItem> {
        self.items.values().filter(|item| item.revision > revision).cloned().collect()
    }
}
