//! Backend servers that are leaving, according to the platform's list as any instance read it.
//!
//! A server is dropped only if a list was read recently and no list has named the server for some
//! time, so the set is kept while no instance can read the list.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::ServerId;
use crate::membership::heartbeat::LeavingDigest;
use crate::units::Millis;

/// A server that no platform list has named for this long is no longer counted as leaving.
const UNLISTED_TIMEOUT_MS: Millis = Millis(15_000);
/// Servers are dropped only while the newest list is younger than this.
const MAX_LIST_AGE_MS: Millis = Millis(5_000);
const MAX_LEAVING_PER_HEARTBEAT: usize = 16;

/// Leaving servers and when the list last named each.
#[derive(Clone, Debug, Default)]
pub struct LeavingServers {
    last_named_ms: BTreeMap<ServerId, Millis>,
    list_last_read_ms: Option<Millis>,
}

impl LeavingServers {
    /// Records the leaving servers of a list that this instance read.
    pub fn record_platform_list(
        &mut self,
        now_ms: Millis,
        servers: impl IntoIterator<Item = ServerId>,
    ) {
        self.list_last_read_ms = Some(now_ms);
        self.last_named_ms.extend(servers.into_iter().map(|server| (server, now_ms)));
    }

    /// Merges the leaving servers that a peer's heartbeat names and the age of the newest list that
    /// the peer knows of.
    pub fn merge_digests(
        &mut self,
        now_ms: Millis,
        list_age_ms: Option<Millis>,
        digests: Vec<LeavingDigest>,
    ) {
        let last_read_ms = list_age_ms.map(|age_ms| now_ms - age_ms);
        self.list_last_read_ms = self.list_last_read_ms.max(last_read_ms);
        for LeavingDigest { server, age_ms } in digests {
            let last_named_ms = self.last_named_ms.entry(server).or_default();
            *last_named_ms = (*last_named_ms).max(now_ms - age_ms);
        }
    }

    /// Drops servers that the list no longer names.
    pub fn expire(&mut self, now_ms: Millis) {
        let is_list_fresh = self
            .list_last_read_ms
            .is_some_and(|last_read_ms| now_ms - last_read_ms < MAX_LIST_AGE_MS);
        if is_list_fresh {
            self.last_named_ms
                .retain(|_, last_named_ms| now_ms - *last_named_ms < UNLISTED_TIMEOUT_MS);
        }
    }

    /// The servers known to be leaving.
    pub fn servers(&self) -> BTreeSet<ServerId> {
        self.last_named_ms.keys().cloned().collect()
    }

    /// Age of the newest list that any instance is known to have read.
    pub fn list_age_ms(&self, now_ms: Millis) -> Option<Millis> {
        self.list_last_read_ms.map(|last_read_ms| now_ms - last_read_ms)
    }

    /// The entries for a heartbeat; consecutive `round`s cover a set that is too long for one
    /// heartbeat.
    pub fn digests(&self, now_ms: Millis, round: u64) -> Vec<LeavingDigest> {
        let count = self.last_named_ms.len();
        let start = round as usize * MAX_LEAVING_PER_HEARTBEAT % count.max(1);
        let rotated = self
            .last_named_ms
            .iter()
            .cycle()
            .skip(start)
            .take(count.min(MAX_LEAVING_PER_HEARTBEAT));
        rotated
            .map(|(server, last_named_ms)| LeavingDigest {
                server: server.clone(),
                age_ms: now_ms - *last_named_ms,
            })
            .collect()
    }
}
