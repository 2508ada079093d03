//! Text that fake engines generate: each token is a fixed function of the prompt and its index.

use turmericrail_core::membership::rendezvous::stable_hash;

/// Token `index` of the answer to `prompt`.
pub fn token(prompt: &str, index: u64) -> String {
    format!("w{:04x} ", stable_hash(&format!("{index}/{prompt}")) & 0xffff)
}

/// First `count` tokens of the answer to `prompt`.
pub fn answer(prompt: &str, count: u64) -> String {
    (0..count).map(|index| token(prompt, index)).collect()
}

/// Number of prompt tokens as the fakes count them: one per four bytes.
pub fn prompt_tokens(prompt: &str) -> u64 {
    (prompt.len() as u64).div_ceil(4).max(1)
}
