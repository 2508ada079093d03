//! Items that the platform published, as they were read, to be handed on to other instances.
//!
//! Items come from the platform itself and from other instances. The higher revision of an item
//! counts, and removals are kept, so that whoever knows less can be told everything that changed
//! since the revision it knows.

use std::collections::{BTreeMap, BTreeSet};

/// One item, or the removal of one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PublishedItem {
    /// The key.
    pub key: String,
    /// Revision of its last change.
    pub revision: u64,
    /// The value; nothing where it was removed.
    pub value: Option<Vec<u8>>,
}

/// A set of items whose keys begin alike.
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

    /// Takes changes up to a revision; returns those that were new.
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

    /// Takes the whole set as it stood at a revision or later; items that it lacks were removed.
    pub fn apply_snapshot(
        &mut self,
        revision: u64,
        mut items: Vec<PublishedItem>,
    ) -> Vec<PublishedItem> {
        let listed: BTreeSet<_> = items.iter().map(|item| item.key.clone()).collect();
        for known in self.items.values() {
            let is_removed = known.value.is_some() && known.revision < revision;
            if is_removed && !listed.contains(&known.key) {
                items.push(PublishedItem { key: known.key.clone(), revision, value: None });
            }
        }
        self.apply(revision, items)
    }

    /// Every change after a revision.
    pub fn changes_since(&self, revision: u64) -> Vec<PublishedItem> {
        self.items.values().filter(|item| item.revision > revision).cloned().collect()
    }
}
