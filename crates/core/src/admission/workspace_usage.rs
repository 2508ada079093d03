//! How much prefill work each workspace had lately, so that one can't starve the rest.

use std::collections::BTreeMap;

use crate::decay::remaining_fraction;
use crate::ids::WorkspaceId;
use crate::units::Millis;

/// Time in which the count of past work halves.
const HALF_LIFE_MS: f64 = 10_000.0;
/// Work below which a workspace is forgotten.
const FORGOTTEN_MS: f64 = 0.1;
/// Work that a workspace counts with when it asks, so that it is among those compared.
const ASKED_MS: Millis = Millis(1);

/// Work granted to each workspace, fading with time.
#[derive(Clone, Debug, Default)]
pub struct WorkspaceUsage {
    work_ms: BTreeMap<WorkspaceId, f64>,
    faded_ms: Millis,
}

impl WorkspaceUsage {
    /// Takes note that a workspace asks for work.
    pub fn ask(&mut self, now_ms: Millis, workspace: &WorkspaceId) {
        self.add(now_ms, workspace, ASKED_MS);
    }

    /// Takes note of work begun for a workspace.
    pub fn add(&mut self, now_ms: Millis, workspace: &WorkspaceId, work_ms: Millis) {
        self.fade(now_ms);
        *self.work_ms.entry(workspace.clone()).or_default() += work_ms.0 as f64;
    }

    /// Work of a workspace as a multiple of the average of those at work, at least one.
    pub fn relative_usage(&self, workspace: &WorkspaceId) -> f64 {
        let total: f64 = self.work_ms.values().sum();
        let average = total / self.work_ms.len().max(1) as f64;
        let own = self.work_ms.get(workspace).copied().unwrap_or(0.0);
        if average > 0.0 { (own / average).max(1.0) } else { 1.0 }
    }

    fn fade(&mut self, now_ms: Millis) {
        let kept = remaining_fraction(now_ms - self.faded_ms, HALF_LIFE_MS);
        self.faded_ms = now_ms;
        for work_ms in self.work_ms.values_mut() {
            *work_ms *= kept;
        }
        self.work_ms.retain(|_, work_ms| *work_ms > FORGOTTEN_MS);
    }
}
