//! Hashes of prompt prefixes: equal for prompts that share whole blocks, and different for other
//! models and adapters.

use turmericrail::caller_edge::prefixes::{MAX_PREFIX_HASHES, PREFIX_BLOCK_BYTES, prefix_hashes};
use turmericrail_core::ids::ModelId;

fn model(name: &str) -> ModelId {
    name.parse().unwrap()
}

/// A prompt of some whole blocks and a tail.
fn prompt(blocks: usize, tail: &str) -> String {
    let mut prompt =
        "die-line note: 350 g board, two creases. ".repeat(blocks * PREFIX_BLOCK_BYTES);
    prompt.truncate(blocks * PREFIX_BLOCK_BYTES);
    prompt.push_str(tail);
    prompt
}

#[test]
fn shared_blocks() {
    let one = prefix_hashes(&model("quote"), None, &prompt(3, &"a".repeat(PREFIX_BLOCK_BYTES)));
    let other = prefix_hashes(&model("quote"), None, &prompt(3, &"b".repeat(PREFIX_BLOCK_BYTES)));
    assert_eq!(one.len(), 4);
    assert_eq!(one[..3], other[..3]);
    assert_ne!(one[3], other[3]);
}

#[test]
fn partial_block() {
    let hashes = prefix_hashes(&model("quote"), None, &prompt(2, "a short tail"));
    assert_eq!(hashes, prefix_hashes(&model("quote"), None, &prompt(2, "")));
    assert!(prefix_hashes(&model("quote"), None, "short").is_empty());
}

#[test]
fn models_differ() {
    let one = prefix_hashes(&model("quote"), None, &prompt(1, ""));
    assert_ne!(one, prefix_hashes(&model("review"), None, &prompt(1, "")));
    let adapter = "kaolack".parse().unwrap();
    assert_ne!(one, prefix_hashes(&model("quote"), Some(&adapter), &prompt(1, "")));
}

#[test]
fn max_hash_count() {
    let hashes =
        prefix_hashes(&model("quote"), None, &prompt(MAX_PREFIX_HASHES - 1, &"a".repeat(9_999)));
    assert_eq!(hashes.len(), MAX_PREFIX_HASHES);
}
