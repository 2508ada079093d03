//! Compressed values of items, each compressed once for all instances that it goes to.

use std::collections::BTreeMap;
use std::sync::Mutex;

use turmericrail_core::forward::PublishedItem;
use turmericrail_wire::relay::Item;
use turmericrail_wire::relayed_item;

/// Most items whose compressed value is kept. Only configurations are long enough.
const MAX_KEPT_VALUES: usize = 4;

/// The compressed value of the latest revision of each long item.
#[derive(Default)]
pub struct DeflatedValues {
    by_key: Mutex<BTreeMap<String, (u64, Vec<u8>)>>,
}

impl DeflatedValues {
    /// An item for another instance, compressed if that instance accepts it.
    pub fn encode(&self, item: PublishedItem, accepts_deflated: bool) -> Item {
        let deflated_value = if accepts_deflated { self.deflate(&item) } else { None };
        relayed_item::encode_item(item, deflated_value)
    }

    fn deflate(&self, item: &PublishedItem) -> Option<Vec<u8>> {
        let mut by_key = self.by_key.lock().unwrap_or_else(|_| std::process::abort());
        if let Some((_, value)) = by_key.get(&item.key).filter(|(it, _)| *it == item.revision) {
            return Some(value.clone());
        }
        let deflated_value = relayed_item::deflate_value(item)?;
        if by_key.len() >= MAX_KEPT_VALUES {
            by_key.clear();
        }
        by_key.insert(item.key.clone(), (item.revision, deflated_value.clone()));
        Some(deflated_value)
    }
}
