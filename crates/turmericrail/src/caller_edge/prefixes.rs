//! Hashes of prompt prefixes, used to find engines that may have a prefix in their cache.
//!
//! The prompt is split into blocks of equal size. Each hash covers a block and all before it, and
//! the model and the adapter, since an engine that serves several of them caches the same text for
//! each separately.

use turmericrail_core::ids::{AdapterId, ModelId};
use xxhash_rust::xxh3::Xxh3;

/// Length of a block. A shorter rest of the prompt is not hashed.
pub const PREFIX_BLOCK_BYTES: usize = 1_024;
/// Upper limit of the hashes of one prompt; the rest of a longer prompt is ignored.
pub const MAX_PREFIX_HASHES: usize = 256;

/// Returns the hashes of the prefixes that end with a whole block, shortest prefix first.
pub fn prefix_hashes(model: &ModelId, adapter: Option<&AdapterId>, prompt: &str) -> Vec<u64> {
    let mut hasher = Xxh3::new();
    hasher.update(model.as_str().as_bytes());
    if let Some(adapter) = adapter {
        hasher.update(b"/");
        hasher.update(adapter.as_str().as_bytes());
    }
    let blocks = prompt.as_bytes().chunks_exact(PREFIX_BLOCK_BYTES).take(MAX_PREFIX_HASHES);
    let mut hashes = Vec::new();
    for block in blocks {
        hasher.update(block);
        hashes.push(hasher.digest());
    }
    hashes
}
