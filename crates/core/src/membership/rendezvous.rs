//! Rendezvous hashing: every key has one owner among the members, and when a member leaves, only
//! its own keys move.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::InstanceId;

/// The member that owns `key`; `None` without members.
pub fn owner<'a>(
    key: &str,
    members: impl IntoIterator<Item = &'a InstanceId>,
) -> Option<&'a InstanceId> {
    members.into_iter().max_by_key(|member| (score(key, member), *member))
}

/// The `count` members with the highest scores for `key`, highest first.
pub fn top_members<'a>(
    key: &str,
    members: impl IntoIterator<Item = &'a InstanceId>,
    count: usize,
) -> Vec<&'a InstanceId> {
    let mut ranked: Vec<_> = members.into_iter().collect();
    ranked.sort_by_cached_key(|member| std::cmp::Reverse((score(key, member), *member)));
    ranked.truncate(count);
    ranked
}

/// Hash of a text that is the same in every process.
pub fn stable_hash(text: &str) -> u64 {
    xxh3_64_with_seed(text.as_bytes(), 0)
}

fn score(key: &str, member: &InstanceId) -> u64 {
    xxh3_64_with_seed(member.as_str().as_bytes(), stable_hash(key))
}
