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
const FRESH_LIST_MS: Millis = Millis(5_000);
/// Most servers in a heartbeat.
const MAX_LEAVING: usize = 16;

/// Leaving servers and when the list last named each.
#[derive(Clone, Debug, Default)]
pub struct LeavingServers {
    named_ms: BTreeMap<ServerId, Millis>,
    list_read_ms: Option<Millis>,
}

impl LeavingServers {
    /// Takes the platform's list.
    pub fn take_list(&mut self, now_ms: Millis, servers: impl IntoIterator<Item = ServerId>) {
        self.list_read_ms = Some(now_ms);
        self.named_ms.extend(servers.into_iter().map(|server| (server, now_ms)));
    }

    /// Takes what a peer knows.
    pub fn take_digests(
        &mut self,
        now_ms: Millis,
        list_age_ms: Option<Millis>,
        digests: Vec<LeavingDigest>,
    ) {
        let read_ms = list_age_ms.map(|age_ms| now_ms - age_ms);
        self.list_read_ms = self.list_read_ms.max(read_ms);
        for LeavingDigest { server, age_ms } in digests {
            let named_ms = self.named_ms.entry(server).or_default();
            *named_ms = (*named_ms).max(now_ms - age_ms);
        }
    }

    /// Drops servers that the list no longer names.
    pub fn expire(&mut self, now_ms: Millis) {
        let is_list_fresh =
            self.list_read_ms.is_some_and(|read_ms| now_ms - read_ms < FRESH_LIST_MS);
        if is_list_fresh {
            self.named_ms.retain(|_, named_ms| now_ms - *named_ms < DROP_AFTER_MS);
        }
    }

    /// The servers.
    pub fn servers(&self) -> BTreeSet<ServerId> {
        self.named_ms.keys().cloned().collect()
    }

    /// Age of the newest reading of the list.
    pub fn list_age_ms(&self, now_ms: Millis) -> Option<Millis> {
        self.list_read_ms.map(|read_ms| now_ms - read_ms)
    }

    /// What a heartbeat carries; `turn` moves the window over a long set.
    pub fn digests(&self, now_ms: Millis, turn: u64) -> Vec<LeavingDigest> {
        let count = self.named_ms.len();
        let start = turn as usize * MAX_LEAVING % count.max(1);
        let turned = self.named_ms.iter().cycle().skip(start).take(count.min(MAX_LEAVING));
        turned
            .map(|(server, named_ms)| LeavingDigest {
                server: server.clone(),
                age_ms: now_ms - *named_ms,
            })
            .collect()
    }
}
