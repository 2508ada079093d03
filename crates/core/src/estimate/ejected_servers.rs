//! Servers ejected after failed calls of this instance. The ejection time doubles with each
//! consecutive failure; the server is used again once it is over.

use std::collections::BTreeMap;

use crate::ids::ServerId;
use crate::units::Millis;

const FIRST_EJECTION_MS: u64 = 1_000;
const MAX_EJECTION_MS: u64 = 30_000;

#[derive(Clone, Copy, Debug)]
struct Ejection {
    consecutive_failures: u32,
    until_ms: Millis,
}

/// Servers that are ejected or failed recently.
#[derive(Clone, Debug, Default)]
pub struct EjectedServers {
    by_server: BTreeMap<ServerId, Ejection>,
}

impl EjectedServers {
    /// Records a failure; failures during an ejection do not prolong it.
    pub fn record_failure(&mut self, now_ms: Millis, server: &ServerId) {
        let new = Ejection { consecutive_failures: 0, until_ms: Millis::ZERO };
        let ejection = self.by_server.entry(server.clone()).or_insert(new);
        if ejection.until_ms > now_ms {
            return;
        }
        let ejection_ms = FIRST_EJECTION_MS << ejection.consecutive_failures.min(16);
        ejection.consecutive_failures += 1;
        ejection.until_ms = now_ms + Millis(ejection_ms.min(MAX_EJECTION_MS));
    }

    /// Records a success, which resets the failure count.
    pub fn record_success(&mut self, server: &ServerId) {
        self.by_server.remove(server);
    }

    /// Whether the server is currently ejected.
    pub fn is_ejected(&self, now_ms: Millis, server: &ServerId) -> bool {
        self.by_server.get(server).is_some_and(|ejection| ejection.until_ms > now_ms)
    }
}
