//! The software versions that the servers of a service have had lately.

use std::collections::BTreeMap;

use crate::forward::SoftwareVersion;
use crate::units::Millis;

/// Versions of a service, and since when this instance knows of all.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VersionHistory {
    /// Monotonic time since which no version was missed.
    pub known_since_ms: Millis,
    /// When each version was registered last.
    pub last_seen_ms: BTreeMap<SoftwareVersion, Millis>,
    /// When a server without a version was registered last.
    pub unstated_seen_ms: Option<Millis>,
}

impl VersionHistory {
    /// A history that begins now.
    pub fn new(now_ms: Millis) -> Self {
        Self { known_since_ms: now_ms, last_seen_ms: BTreeMap::new(), unstated_seen_ms: None }
    }

    /// Records that a server with this version is registered.
    pub fn record(&mut self, now_ms: Millis, version: Option<&SoftwareVersion>) {
        match version {
            Some(version) => {
                self.last_seen_ms.insert(version.clone(), now_ms);
            }
            None => self.unstated_seen_ms = Some(now_ms),
        }
    }

    /// Merges what another instance has seen until now.
    pub fn merge(&mut self, other: &Self) {
        self.known_since_ms = self.known_since_ms.min(other.known_since_ms);
        for (version, seen_ms) in &other.last_seen_ms {
            let known_ms = self.last_seen_ms.entry(version.clone()).or_insert(*seen_ms);
            *known_ms = (*known_ms).max(*seen_ms);
        }
        self.unstated_seen_ms = self.unstated_seen_ms.max(other.unstated_seen_ms);
    }

    /// The version that every stream has begun at which lasts for `window_ms` at the most; `None` if
    /// there may be several, or one that was missed.
    pub fn only_version(&self, now_ms: Millis, window_ms: Millis) -> Option<&SoftwareVersion> {
        let is_recent = |seen_ms: Millis| now_ms < seen_ms + window_ms;
        let is_complete = now_ms >= self.known_since_ms + window_ms;
        if !is_complete || self.unstated_seen_ms.is_some_and(is_recent) {
            return None;
        }
        let mut recent = self.last_seen_ms.iter().filter(|(_, seen_ms)| is_recent(**seen_ms));
        let only = recent.next().map(|(version, _)| version);
        if recent.next().is_some() { None } else { only }
    }

    /// Records that versions may have come and gone unseen until now.
    pub fn record_gap(&mut self, now_ms: Millis) {
        self.known_since_ms = now_ms;
    }

    /// Drops versions that were not seen within `window_ms`.
    pub fn expire(&mut self, now_ms: Millis, window_ms: Millis) {
        self.last_seen_ms.retain(|_, seen_ms| now_ms < *seen_ms + window_ms);
    }
}
