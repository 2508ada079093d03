//! Servers ejected after failed calls of this instance. The ejection time doubles with each
//! consecutive failure; once it is over, the server is used again.

use std::collections::BTreeMap;

use crate::ids::ServerId;
use crate::units::Millis;

const FIRST_EJECTION_MS: u64 = 1_000;
const MAX_EJECTION_MS: u64 = 30_000;

#[derive(Clone, Copy, Debug)]
struct FailureRecord {
    consecutive_failures: u32,
    ejected_until_ms: Millis,
}

/// Failures of each server since its last success, and when its ejection ends.
#[derive(Clone, Debug, Default)]
pub struct EjectedServers {
    by_server: BTreeMap<ServerId, FailureRecord>,
}

impl EjectedServers {
    /// Records a failure; failures during an ejection do not prolong it.
    pub fn record_failure(&mut self, now_ms: Millis, server: &ServerId) {
        let new = FailureRecord { consecutive_failures: 0, ejected_until_ms: Millis::ZERO };
        let record = self.by_server.entry(server.clone()).or_insert(new);
        if record.ejected_until_ms > now_ms {
            return;
        }
        let ejection_ms = FIRST_EJECTION_MS << record.consecutive_failures.min(16);
        record.consecutive_failures += 1;
        record.ejected_until_ms = now_ms + Millis(ejection_ms.min(MAX_EJECTION_MS));
    }

    /// Records a success, which resets the failure count.
    pub fn record_success(&mut self, server: &ServerId) {
        self.by_server.remove(server);
    }

    /// Whether the server gets no requests at the moment.
    pub fn is_ejected(&self, now_ms: Millis, server: &ServerId) -> bool {
        self.by_server.get(server).is_some_and(|record| record.ejected_until_ms > now_ms)
    }
}
