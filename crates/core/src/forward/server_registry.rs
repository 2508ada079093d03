//! The backend servers that are registered, as far as this instance knows.
//!
//! News comes from the platform and from other instances in any order; for each server the highest
//! revision counts. A removal is remembered for a while, so that late news does not bring a server
//! back. Entries that lapsed while the platform could not be reached stay in use for a moment after
//! its return, in which a living server registers anew.

use std::collections::BTreeMap;

use super::{ServerEntry, ServerState, ServerUpdate};
use crate::ids::ServerId;
use crate::units::Millis;

/// Time for which a removal is remembered; longer than any news is on its way.
const TOMBSTONE_TTL_MS: Millis = Millis(60_000);
/// Time after the platform's return for which removed servers stay in use: living ones are back
/// within two seconds, and it stays below the shortest bound on work for removed servers.
const RECONNECT_GRACE_MS: Millis = Millis(1_500);

/// What is known of one server.
#[derive(Clone, Debug)]
struct KnownServer {
    revision: u64,
    entry: Option<ServerEntry>,
    /// When a removal takes effect, or took effect.
    removed_at_ms: Option<Millis>,
}

impl KnownServer {
    fn is_removed(&self, now_ms: Millis) -> bool {
        self.removed_at_ms.is_some_and(|at_ms| now_ms >= at_ms)
    }
}

/// The backend servers that are registered.
#[derive(Clone, Debug, Default)]
pub struct ServerRegistry {
    known: BTreeMap<ServerId, KnownServer>,
    revision: u64,
    grace_until_ms: Millis,
}

impl ServerRegistry {
    /// Takes one change; tells whether it was new.
    pub fn apply(&mut self, now_ms: Millis, update: ServerUpdate) -> bool {
        self.revision = self.revision.max(update.revision);
        let known = self.known.get(&update.server);
        if known.is_some_and(|known| known.revision >= update.revision) {
            return false;
        }
        let was_ready = known
            .and_then(|known| known.entry.as_ref())
            .is_some_and(|entry| entry.state == ServerState::Ready);
        let last_entry = self.known.remove(&update.server).and_then(|known| known.entry);
        let known = match update.entry {
            Some(entry) => {
                KnownServer { revision: update.revision, entry: Some(entry), removed_at_ms: None }
            }
            None => {
                let is_in_grace = was_ready && now_ms < self.grace_until_ms;
                let removed_at_ms = if is_in_grace { self.grace_until_ms } else { now_ms };
                KnownServer {
                    revision: update.revision,
                    entry: last_entry,
                    removed_at_ms: Some(removed_at_ms),
                }
            }
        };
        self.known.insert(update.server, known);
        true
    }

    /// Notes that the platform answers again after it could not be reached.
    pub fn record_reconnection(&mut self, now_ms: Millis) {
        self.grace_until_ms = now_ms + RECONNECT_GRACE_MS;
    }

    /// Forgets removals that are old.
    pub fn expire(&mut self, now_ms: Millis) {
        let is_kept = |known: &KnownServer| {
            known.removed_at_ms.is_none_or(|at| now_ms < at + TOMBSTONE_TTL_MS)
        };
        self.known.retain(|_, known| is_kept(known));
    }

    /// Every server that is registered, those that drain too.
    pub fn servers(&self, now_ms: Millis) -> impl Iterator<Item = (&ServerId, &ServerEntry)> {
        let registered = self.known.iter().filter(move |(_, known)| !known.is_removed(now_ms));
        registered.filter_map(|(server, known)| known.entry.as_ref().map(|entry| (server, entry)))
    }

    /// The entry of a server, where it is registered.
    pub fn entry(&self, now_ms: Millis, server: &ServerId) -> Option<&ServerEntry> {
        let known = self.known.get(server)?;
        if known.is_removed(now_ms) { None } else { known.entry.as_ref() }
    }

    /// The highest revision that was heard of.
    pub fn revision(&self) -> u64 {
        self.revision
    }
}
