//! Backend servers that are leaving, as read in the platform's list by any instance.
//!
//! A server stays in the set while no list is read anywhere, and is dropped only when a list was
//! read lately and none has named the server for some time.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::ServerId;
use crate::membership::heartbeat::LeavingDigest;
use crate::units::Millis;

/// Time without a list that names a server, after which it is dropped.
const DROP_AFTER_MS: Millis = Millis(15_000);
/// Age of the newest reading of the list up to which a server may be dropped.
const MAX_LIST_AGE_MS: Millis = Millis(5_000);
/// Most servers in a heartbeat.
const MAX_LEAVING_PER_HEARTBEAT: usize = 16;

/// Leaving servers and when the list last named each.
#[derive(Clone, Debug, Default)]
pub struct LeavingServers {
    last_named_ms: BTreeMap<ServerId, Millis>,
    list_last_read_ms: Option<Millis>,
}

impl LeavingServers {
    /// Takes the platform's list.
    pub fn record_platform_list(
        &mut self,
        now_ms: Millis,
        servers: impl IntoIterator<Item = ServerId>,
    ) {
        self.list_last_read_ms = Some(now_ms);
        self.last_named_ms.extend(servers.into_iter().map(|server| (server, now_ms)));
    }

    /// Takes what a peer knows.
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
            self.last_named_ms.retain(|_, last_named_ms| now_ms - *last_named_ms < DROP_AFTER_MS);
        }
    }

    /// The servers.
    pub fn servers(&self) -> BTreeSet<ServerId> {
        self.last_named_ms.keys().cloned().collect()
    }

    /// Age of the newest reading of the list.
    pub fn list_age_ms(&self, now_ms: Millis) -> Option<Millis> {
        self.list_last_read_ms.map(|last_read_ms| now_ms - last_read_ms)
    }

    /// What a heartbeat carries; `round` moves the window over a long set.
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
