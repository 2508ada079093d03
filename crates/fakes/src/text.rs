//! The answer that every fake engine gives to a prompt: a fixed function of prompt and index.

use turmericrail_core::membership::rendezvous::stable_hash;

/// Token `index` of the answer to `prompt`.
pub fn token(prompt: &str, index: u64) -> String {
    format!("w{:04x} ", stable_hash(&format!("{index}/{prompt}")) & 0xffff)
}

/// The whole answer to `prompt`.
pub fn answer(prompt: &str, count: u64) -> String {
    (0..count).map(|index| token(prompt, index)).collect()
}

/// Prompt tokens as the fakes count them.
pub fn prompt_tokens(prompt: &str) -> u64 {
    (prompt.len() as u64).div_ceil(4).max(1)
}
