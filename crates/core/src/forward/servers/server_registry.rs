//! The registered backend servers known to this instance.
//!
//! Updates arrive from the platform and from other instances in any order; the highest revision of
//! each server wins. A removal is kept as a tombstone for a while, so that a late update does not
//! bring a server back. If the platform was unreachable, entries may have expired only because
//! their servers could not renew them; they stay in use for a short grace period, in which a live
//! server registers again. A platform that was restored from an older copy also lists servers that
//! have left since; a run that was seen leaving stays so, and one that was seen removed is used
//! again only if its entry outlasts the time in which an abandoned one expires.

use std::collections::BTreeMap;

use crate::forward::{ServerEntry, ServerState, ServerUpdate};
use crate::ids::ServerId;
use crate::units::Millis;

/// Time for which a tombstone is kept; longer than any update can be delayed.
const TOMBSTONE_TTL_MS: Millis = Millis(60_000);
/// Grace period after the platform's return: live servers register again within two seconds, and
/// the period is below the shortest limit on sending work to removed servers.
const RECONNECT_GRACE_MS: Millis = Millis(1_500);
/// Time in which an entry that nobody renews expires, with a margin.
const ABANDONED_ENTRY_TTL_MS: Millis = Millis(5_000);
/// Time after a restore in which updates may come from the older copy.
const RESTORE_PERIOD_MS: Millis = Millis(2_000);

#[derive(Clone, Debug)]
struct KnownServer {
    revision: u64,
    entry: Option<ServerEntry>,
    /// When the removal takes effect; may lie in the future during the grace period.
    removed_at_ms: Option<Millis>,
    /// Until when the entry is not used, because it may be that of a server that has left.
    held_back_until_ms: Millis,
}

impl KnownServer {
    fn is_removed(&self, now_ms: Millis) -> bool {
        now_ms < self.held_back_until_ms || self.removed_at_ms.is_some_and(|at_ms| now_ms >= at_ms)
    }
}

/// The registered backend servers.
#[derive(Clone, Debug, Default)]
pub struct ServerRegistry {
    known_servers: BTreeMap<ServerId, KnownServer>,
    revision: u64,
    grace_until_ms: Millis,
    restored_until_ms: Millis,
}

impl ServerRegistry {
    /// Applies one update; returns whether it was new.
    pub fn apply(&mut self, now_ms: Millis, update: ServerUpdate) -> bool {
        self.revision = self.revision.max(update.revision);
        let known = self.known_servers.get(&update.server);
        if known.is_some_and(|known| known.revision >= update.revision) {
            return false;
        }
        let was_ready = known
            .and_then(|known| known.entry.as_ref())
            .is_some_and(|entry| entry.state == ServerState::Ready);
        let was_removed = known.is_some_and(|known| known.is_removed(now_ms));
        let last_entry = self.known_servers.remove(&update.server).and_then(|known| known.entry);
        let known = match update.entry {
            Some(mut entry) => {
                let last_of_run = last_entry.filter(|last| last.started_ms == entry.started_ms);
                if last_of_run.as_ref().is_some_and(|last| last.state == ServerState::Draining) {
                    entry.state = ServerState::Draining;
                }
                let is_doubtful =
                    was_removed && last_of_run.is_some() && now_ms < self.restored_until_ms;
                let held_back_until_ms =
                    if is_doubtful { now_ms + ABANDONED_ENTRY_TTL_MS } else { Millis::ZERO };
                KnownServer {
                    revision: update.revision,
                    entry: Some(entry),
                    removed_at_ms: None,
                    held_back_until_ms,
                }
            }
            None => {
                let is_in_grace = was_ready && now_ms < self.grace_until_ms;
                let removed_at_ms = if is_in_grace { self.grace_until_ms } else { now_ms };
                KnownServer {
                    revision: update.revision,
                    entry: last_entry,
                    removed_at_ms: Some(removed_at_ms),
                    held_back_until_ms: Millis::ZERO,
                }
            }
        };
        self.known_servers.insert(update.server, known);
        true
    }

    /// Records that the platform answers again after an outage; starts the grace period.
    pub fn record_reconnection(&mut self, now_ms: Millis) {
        self.grace_until_ms = now_ms + RECONNECT_GRACE_MS;
    }

    /// Records that the platform was restored from an older copy. Entries that are missing from it
    /// get the grace period too.
    pub fn record_restore(&mut self, now_ms: Millis) {
        self.restored_until_ms = now_ms + RESTORE_PERIOD_MS;
        self.record_reconnection(now_ms);
    }

    /// Drops the tombstones that are no longer needed.
    pub fn expire(&mut self, now_ms: Millis) {
        let is_kept = |known: &KnownServer| {
            known.removed_at_ms.is_none_or(|at| now_ms < at + TOMBSTONE_TTL_MS)
        };
        self.known_servers.retain(|_, known| is_kept(known));
    }

    /// The registered servers, including draining ones.
    pub fn servers(&self, now_ms: Millis) -> impl Iterator<Item = (&ServerId, &ServerEntry)> {
        let registered =
            self.known_servers.iter().filter(move |(_, known)| !known.is_removed(now_ms));
        registered.filter_map(|(server, known)| known.entry.as_ref().map(|entry| (server, entry)))
    }

    /// The entry of a server; `None` if it is not registered.
    pub fn entry(&self, now_ms: Millis, server: &ServerId) -> Option<&ServerEntry> {
        let known = self.known_servers.get(server)?;
        if known.is_removed(now_ms) { None } else { known.entry.as_ref() }
    }

    /// The highest revision seen.
    pub fn revision(&self) -> u64 {
        self.revision
    }
}
