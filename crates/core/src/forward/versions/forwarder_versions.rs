//! What a forwarder knows of the software versions of servers and of the streams begun there.

use std::net::SocketAddr;

use crate::config::ServerRole;
use crate::forward::{
    Forwarder, RouteKind, SeenRun, SeenRuns, ServerRun, SoftwareVersion, StreamVersions,
    VersionHistory,
};
use crate::ids::ServiceId;
use crate::membership::rendezvous;
use crate::units::Millis;

/// Time after its route's timeout for which a stream may be taken up again.
const RESUMPTION_MARGIN_MS: Millis = Millis(2_000);
/// Time between two looks at the registered versions after which some may have been missed; they are
/// a second apart unless the process was paused.
const MAX_RECORD_INTERVAL_MS: Millis = Millis(2_500);
/// Shortest time for which a version counts that no server has any more.
const MIN_VERSION_WINDOW_MS: Millis = Millis(16_000);

impl Forwarder {
    /// The streams that are known with their versions.
    pub fn stream_versions(&mut self) -> &mut StreamVersions {
        &mut self.stream_versions
    }

    /// The runs of streams that engines have reported.
    pub fn seen_runs(&mut self) -> &mut SeenRuns {
        &mut self.seen_runs
    }

    /// The version at which a stream began, by what this and other instances have seen of its run.
    pub fn seen_version(&self, now_ms: Millis, runs: &[SeenRun]) -> Option<SoftwareVersion> {
        SeenRuns::version(now_ms, &self.registry, runs).cloned()
    }

    /// Some of the engines that may run streams and state a version: `count` of them that another
    /// instance, with another `number`, is unlikely to select too.
    pub fn select_stream_engines(
        &self,
        now_ms: Millis,
        number: u64,
        count: usize,
    ) -> Vec<(ServerRun, SocketAddr, SoftwareVersion)> {
        let mut engines = Vec::new();
        for (server, entry) in self.registry.servers(now_ms) {
            let Some(version) = entry.version.clone().filter(|_| entry.role == ServerRole::Decode)
            else {
                continue;
            };
            let run = ServerRun { server: server.clone(), started_ms: entry.started_ms };
            engines.push((run, entry.address, version));
        }
        engines.sort_by_cached_key(|(run, ..)| {
            rendezvous::stable_hash(&format!("{number} {}", run.server))
        });
        engines.truncate(count);
        engines
    }

    /// Records the versions of the registered servers; returns whether a service that had one
    /// version has several now.
    pub fn record_versions(&mut self, now_ms: Millis) -> bool {
        let window_ms = self.version_window_ms();
        if self.may_lack_versions(now_ms) {
            self.record_version_gap(now_ms);
        }
        self.versions_recorded_ms = Some(now_ms);
        for (_, entry) in self.registry.servers(now_ms) {
            let history = self
                .version_histories
                .entry(entry.service.clone())
                .or_insert_with(|| VersionHistory::new(now_ms));
            history.record(now_ms, entry.version.as_ref());
        }
        self.version_histories.values_mut().for_each(|history| history.expire(now_ms, window_ms));
        self.stream_versions.expire(now_ms);
        self.seen_runs.expire(now_ms);
        let is_single =
            |history: &VersionHistory| history.only_version(now_ms, window_ms).is_some();
        let single = self.version_histories.iter().filter(|(_, history)| is_single(history));
        let single = single.map(|(service, _)| service.clone()).collect();
        let before = std::mem::replace(&mut self.single_version_services, single);
        !before.is_subset(&self.single_version_services)
    }

    /// Records that versions may have come and gone without being seen here: the registry could not
    /// be read, or the process was paused.
    pub fn record_version_gap(&mut self, now_ms: Millis) {
        self.version_histories.values_mut().for_each(|history| history.record_gap(now_ms));
    }

    /// Whether the registered versions were last looked at so long ago that some may have been missed:
    /// the process was paused, and what it does next may be anything.
    fn may_lack_versions(&self, now_ms: Millis) -> bool {
        let last_ms = self.versions_recorded_ms;
        last_ms.is_some_and(|last_ms| now_ms > last_ms + MAX_RECORD_INTERVAL_MS)
    }

    /// Whether a server of a service has this version, whether it takes calls or not.
    pub fn is_version_served(
        &self,
        now_ms: Millis,
        service: &ServiceId,
        version: Option<&SoftwareVersion>,
    ) -> bool {
        let mut servers = self.registry.servers(now_ms).filter(|(_, it)| it.service == *service);
        servers.any(|(_, entry)| entry.version.is_some() && entry.version.as_ref() == version)
    }

    /// The versions of a service as far as this instance has seen them.
    pub fn version_history(&self, now_ms: Millis, service: &ServiceId) -> VersionHistory {
        let history = self.version_histories.get(service).cloned();
        let mut history = history.unwrap_or_else(|| VersionHistory::new(now_ms));
        if self.may_lack_versions(now_ms) {
            history.record_gap(now_ms);
        }
        history
    }

    /// The version at which all streams of a service have begun, as far as this instance knows.
    pub fn only_version(&self, now_ms: Millis, service: &ServiceId) -> Option<&SoftwareVersion> {
        if self.may_lack_versions(now_ms) {
            return None;
        }
        self.version_histories.get(service)?.only_version(now_ms, self.version_window_ms())
    }

    /// Time for which a version counts that no server has any more: longer than any stream lasts.
    pub fn version_window_ms(&self) -> Millis {
        self.longest_stream_ms.max(MIN_VERSION_WINDOW_MS)
    }

    /// Takes the longest stream from a new configuration; streams begun under an older one go on.
    pub(in crate::forward) fn record_longest_stream(&mut self) {
        let Some(table) = &self.table else {
            return;
        };
        let streams = table.routes().filter(|route| matches!(route.kind, RouteKind::Stream { .. }));
        let longest_ms = streams.map(|route| route.timeout_ms + RESUMPTION_MARGIN_MS).max();
        self.longest_stream_ms = self.longest_stream_ms.max(longest_ms.unwrap_or_default());
    }
}
