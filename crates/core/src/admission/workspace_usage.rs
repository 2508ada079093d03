//! Recent prefill work of each workspace, so that one workspace can't starve the others.

use std::collections::BTreeMap;

use crate::decay::remaining_fraction;
use crate::ids::WorkspaceId;
use crate::units::Millis;

/// Half-life of past work.
const HALF_LIFE_MS: f64 = 10_000.0;
/// Work below which a workspace is dropped.
const MIN_WORK_MS: f64 = 0.1;
/// Work counted for each request, so that a workspace that only waits counts in the average.
const WORK_PER_REQUEST_MS: Millis = Millis(1);

/// Prefill work of each workspace, with exponential decay.
#[derive(Clone, Debug, Default)]
pub struct WorkspaceUsage {
    work_ms: BTreeMap<WorkspaceId, f64>,
    decayed_at_ms: Millis,
}

impl WorkspaceUsage {
    /// Counts a request of a workspace.
    pub fn record_request(&mut self, now_ms: Millis, workspace: &WorkspaceId) {
        self.record_work(now_ms, workspace, WORK_PER_REQUEST_MS);
    }

    /// Counts work started for a workspace.
    pub fn record_work(&mut self, now_ms: Millis, workspace: &WorkspaceId, work_ms: Millis) {
        self.decay_to(now_ms);
        *self.work_ms.entry(workspace.clone()).or_default() += work_ms.0 as f64;
    }

    /// Work of a workspace as a multiple of the average over active workspaces, at least one.
    pub fn relative_usage(&self, workspace: &WorkspaceId) -> f64 {
        let total: f64 = self.work_ms.values().sum();
        let average = total / self.work_ms.len().max(1) as f64;
        let own = self.work_ms.get(workspace).copied().unwrap_or(0.0);
        if average > 0.0 { (own / average).max(1.0) } else { 1.0 }
    }

    fn decay_to(&mut self, now_ms: Millis) {
        let remaining = remaining_fraction(now_ms - self.decayed_at_ms, HALF_LIFE_MS);
        self.decayed_at_ms = now_ms;
        for work_ms in self.work_ms.values_mut() {
            *work_ms *= remaining;
        }
        self.work_ms.retain(|_, work_ms| *work_ms > MIN_WORK_MS);
    }
}
