//! Hashes of the prefixes of a prompt, by which engines are told that may have them cached.
//!
//! The prompt is cut into blocks of one size. Each hash covers all blocks up to its own and the
//! model, as an engine that serves several models caches a text for each of them.

use turmericrail_core::ids::ModelId;
use xxhash_rust::xxh3::Xxh3;

/// Bytes of prompt between two prefix hashes.
pub const PREFIX_BLOCK_BYTES: usize = 1_024;
/// Most prefix hashes of one prompt.
pub const MAX_PREFIX_HASHES: usize = 256;

/// The hash of each whole block and all before it, shortest prefix first.
pub fn prefix_hashes(model: &ModelId, prompt: &str) -> Vec<u64> {
    let mut hasher = Xxh3::new();
    hasher.update(model.as_str().as_bytes());
    let blocks = prompt.as_bytes().chunks_exact(PREFIX_BLOCK_BYTES).take(MAX_PREFIX_HASHES);
    let mut hashes = Vec::new();
    for block in blocks {
        hasher.update(block);
        hashes.push(hasher.digest());
    }
    hashes
}
