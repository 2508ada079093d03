//! Reordering of the tokens of one answer.
//!
//! Each token event has an index. The buffer releases tokens in index order without a gap, holds
//! early ones, drops duplicates, and reports the answer as complete only when every token before
//! its end has been released.

use std::collections::BTreeMap;

/// Limit on early tokens held for one answer; further ones are dropped.
const MAX_EARLY_TOKENS: usize = 4096;

/// Puts the token events of one answer in order.
#[derive(Clone, Debug, Default)]
pub struct TokenReorderBuffer {
    next_index: u64,
    end_index: Option<u64>,
    early_tokens: BTreeMap<u64, String>,
}

impl TokenReorderBuffer {
    /// Creates a buffer whose first token has index `next_index`, as for a resumed answer.
    pub fn starting_at(next_index: u64) -> Self {
        Self { next_index, ..Self::default() }
    }

    /// Index of the next token to release.
    pub fn next_index(&self) -> u64 {
        self.next_index
    }

    /// Whether every token before the end has been released.
    pub fn is_complete(&self) -> bool {
        self.end_index == Some(self.next_index)
    }

    /// Adds a token event and returns the tokens that can be released now.
    pub fn push(&mut self, index: u64, text: String) -> Vec<(u64, String)> {
        let is_past_end = self.end_index.is_some_and(|end| index >= end);
        if index < self.next_index || is_past_end {
            return Vec::new();
        }
        if index != self.next_index && self.early_tokens.len() >= MAX_EARLY_TOKENS {
            return Vec::new();
        }
        self.early_tokens.entry(index).or_insert(text);
        let mut ready = Vec::new();
        while let Some(text) = self.early_tokens.remove(&self.next_index) {
            ready.push((self.next_index, text));
            self.next_index += 1;
        }
        ready
    }

    /// Sets the number of tokens of the whole answer. Returns false where a token at or after
    /// `count` was already released.
    pub fn finish(&mut self, count: u64) -> bool {
        let is_consistent = count >= self.next_index;
        if is_consistent {
            self.end_index.get_or_insert(count);
        }
        is_consistent
    }
}
