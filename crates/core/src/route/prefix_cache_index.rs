//! Index of the prompt prefixes that engines probably hold in their KV cache.
//!
//! It is built from finished prefills, since cache events of engines arrive late and with gaps:
//! after a prefill its whole prompt is cached. Entries expire, and those of a prompt are removed
//! when they prove wrong, as after a failed prefill.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::ServerId;
use crate::units::{Millis, Tokens};

/// Age from which on a prefix is assumed to have been evicted by the engine.
const ENTRY_LIFETIME_MS: Millis = Millis(30_000);
/// Limit on the entries of all engines together; the oldest are removed.
const MAX_ENTRIES: usize = 8_192;

/// Prompt prefixes that engines probably have cached, by hash.
#[derive(Clone, Debug, Default)]
pub struct PrefixCacheIndex {
    prefilled_at_ms: BTreeMap<ServerId, BTreeMap<u64, Millis>>,
    by_age: BTreeSet<(Millis, u64, ServerId)>,
}

impl PrefixCacheIndex {
    /// Estimated number of prompt tokens that the engine has cached. `hashes` are those of the
    /// prompt prefixes, shortest first.
    pub fn cached_tokens(
        &self,
        now_ms: Millis,
        server: &ServerId,
        hashes: &[u64],
        prompt_tokens: Tokens,
    ) -> Tokens {
        let Some(prefilled_at_ms) = self.prefilled_at_ms.get(server) else {
            return Tokens::ZERO;
        };
        let is_cached = |hash: &u64| {
            prefilled_at_ms
                .get(hash)
                .is_some_and(|prefilled_at_ms| now_ms - *prefilled_at_ms < ENTRY_LIFETIME_MS)
        };
        let cached_count = hashes.partition_point(is_cached);
        Tokens(prompt_tokens.0 * cached_count as u64 / hashes.len().max(1) as u64)
    }

    /// Records a finished prefill: all prefixes of its prompt are cached now.
    pub fn record_prefill(&mut self, now_ms: Millis, server: &ServerId, hashes: &[u64]) {
        for hash in hashes {
            let prefilled_at_ms = self.prefilled_at_ms.entry(server.clone()).or_default();
            if let Some(previous_ms) = prefilled_at_ms.insert(*hash, now_ms) {
                self.by_age.remove(&(previous_ms, *hash, server.clone()));
            }
            self.by_age.insert((now_ms, *hash, server.clone()));
        }
        while self.by_age.len() > MAX_ENTRIES {
            if let Some((_, hash, server)) = self.by_age.pop_first() {
                self.remove_entry(&server, hash);
            }
        }
    }

    /// Removes the prefixes of a prompt, for instance after the engine failed.
    pub fn remove(&mut self, server: &ServerId, hashes: &[u64]) {
        for hash in hashes {
            if let Some(previous_ms) = self.remove_entry(server, *hash) {
                self.by_age.remove(&(previous_ms, *hash, server.clone()));
            }
        }
    }

    fn remove_entry(&mut self, server: &ServerId, hash: u64) -> Option<Millis> {
        let prefilled_at_ms = self.prefilled_at_ms.get_mut(server)?;
        let previous_ms = prefilled_at_ms.remove(&hash);
        if prefilled_at_ms.is_empty() {
            self.prefilled_at_ms.remove(server);
        }
        previous_ms
    }
}
