//! Runs of servers that said in an answer that they are leaving.
//!
//! A server may say so before its registry entry does, and while the registry can't be read. A run
//! that is leaving never comes back; a new run under the same id is not meant.

use std::collections::BTreeMap;

use crate::forward::{ServerRegistry, ServerRun};
use crate::units::Millis;

/// Time for which a run without a registry entry is remembered; longer than its entry can be
/// missing by mistake.
const UNREGISTERED_TTL_MS: Millis = Millis(60_000);

/// The runs that are leaving.
#[derive(Clone, Debug, Default)]
pub struct LeavingRuns {
    /// When each was told last.
    last_told_ms: BTreeMap<ServerRun, Millis>,
}

impl LeavingRuns {
    /// Adds a run; returns whether it is new.
    pub fn record(&mut self, now_ms: Millis, run: &ServerRun) -> bool {
        self.last_told_ms.insert(run.clone(), now_ms).is_none()
    }

    /// Whether a run is leaving.
    pub fn contains(&self, run: &ServerRun) -> bool {
        self.last_told_ms.contains_key(run)
    }

    /// The runs, to be passed on to other instances.
    pub fn iter(&self) -> impl Iterator<Item = &ServerRun> {
        self.last_told_ms.keys()
    }

    /// Drops the runs that have been gone from the registry for long.
    pub fn expire(&mut self, now_ms: Millis, registry: &ServerRegistry) {
        self.last_told_ms.retain(|run, told_ms| {
            let entry = registry.entry(now_ms, &run.server);
            let is_registered = entry.is_some_and(|entry| entry.started_ms == run.started_ms);
            is_registered || now_ms < *told_ms + UNREGISTERED_TTL_MS
        });
    }
}
