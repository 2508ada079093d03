//! Random order, by a random number that comes in.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The items in an order that depends on a random number.
pub fn shuffled<T>(items: Vec<T>, random: u64) -> Vec<T> {
    let mut keyed: Vec<_> = items.into_iter().enumerate().collect();
    keyed.sort_by_key(|(index, _)| xxh3_64_with_seed(&index.to_le_bytes(), random));
    keyed.into_iter().map(|(_, item)| item).collect()
}
