//! Which prompt prefixes engines are believed to hold.
//!
//! Cache events come late and with gaps, so each finished prefill is the better witness: it tells
//! how much of its prompt was cached, and that all of it is now. A belief ages, and one that a
//! prefill contradicts is dropped.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::ServerId;
use crate::units::{Millis, Tokens};

/// Age at which a belief no longer counts.
const BELIEF_LIFE_MS: Millis = Millis(30_000);
/// Most beliefs kept.
const MAX_BELIEFS: usize = 8_192;

/// Beliefs about the caches of engines.
#[derive(Clone, Debug, Default)]
pub struct PrefixBeliefs {
    learned_ms: BTreeMap<ServerId, BTreeMap<u64, Millis>>,
    by_age: BTreeSet<(Millis, u64, ServerId)>,
}

impl PrefixBeliefs {
    /// Prompt tokens that an engine is believed to have cached.
    pub fn cached_tokens(
        &self,
        now_ms: Millis,
        server: &ServerId,
        hashes: &[u64],
        prompt_tokens: Tokens,
    ) -> Tokens {
        let Some(learned_ms) = self.learned_ms.get(server) else {
            return Tokens::ZERO;
        };
        let is_held = |hash: &u64| {
            learned_ms.get(hash).is_some_and(|learned_ms| now_ms - *learned_ms < BELIEF_LIFE_MS)
        };
        let held = hashes.partition_point(is_held);
        Tokens(prompt_tokens.0 * held as u64 / hashes.len().max(1) as u64)
    }

    /// Takes what a finished prefill told: all of its prompt is cached now.
    pub fn learn(&mut self, now_ms: Millis, server: &ServerId, hashes: &[u64]) {
        for hash in hashes {
            let learned_ms = self.learned_ms.entry(server.clone()).or_default();
            if let Some(before_ms) = learned_ms.insert(*hash, now_ms) {
                self.by_age.remove(&(before_ms, *hash, server.clone()));
            }
            self.by_age.insert((now_ms, *hash, server.clone()));
        }
        while self.by_age.len() > MAX_BELIEFS {
            if let Some((_, hash, server)) = self.by_age.pop_first() {
                self.drop_belief(&server, hash);
            }
        }
    }

    /// Forgets what an engine was believed to hold of a prompt, as when it failed.
    pub fn forget(&mut self, server: &ServerId, hashes: &[u64]) {
        for hash in hashes {
            if let Some(before_ms) = self.drop_belief(server, *hash) {
                self.by_age.remove(&(before_ms, *hash, server.clone()));
            }
        }
    }

    fn drop_belief(&mut self, server: &ServerId, hash: u64) -> Option<Millis> {
        let learned_ms = self.learned_ms.get_mut(server)?;
        let before_ms = learned_ms.remove(&hash);
        if learned_ms.is_empty() {
            self.learned_ms.remove(server);
        }
        before_ms
    }
}
