//! The state from which servers are chosen: configuration, registered servers, their load and their
//! health.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::{
    BrokenCalls, CallEnd, CallLimits, CallSends, CallerRetryDetector, ChosenServer, FailureScore,
    LeavingRuns, ModelCallSize, Quarantine, ReportedLoad, ReservationPressure, RetryBounds,
    RetryWindow, RouteTable, SeenRuns, SendPermit, ServerEntry, ServerLoad, ServerRegistry,
    ServerRun, ServerUpdate, ServiceOverload, StreamVersions, VersionHistory,
};
use crate::forward::reach::{HandoverTargets, ServiceReach};
use crate::forward::servers::reliability::Reliability;
use crate::forward::servers::service_latency::ServiceLatency;
use crate::ids::{DataCentreId, RouteId, ServiceId};
use crate::units::{Millis, Tokens};

/// Least and greatest relative size of a call; others are clamped.
const RELATIVE_SIZE_RANGE: (f64, f64) = (0.5, 3.0);
/// Weight of a new sample in the moving mean of call sizes.
const SIZE_SAMPLE_WEIGHT: f64 = 0.05;

/// Start-up settings of a [`Forwarder`].
#[derive(Clone, Debug)]
pub struct ForwarderSettings {
    /// Data centre of this instance; its servers are preferred.
    pub data_centre: DataCentreId,
    /// Limits on retries, shared by all instances.
    pub retry_bounds: RetryBounds,
    /// Time at which this instance started.
    pub started_ms: Millis,
    /// Number of instances that is assumed until the real one is known, and the least among which
    /// the limit on retries is divided.
    pub assumed_instance_count: usize,
    /// Whether engines may be ordered to change their role.
    pub gives_orders: bool,
}

/// Chooses servers for calls and records the outcomes of the calls for later choices.
pub struct Forwarder {
    pub(super) settings: ForwarderSettings,
    pub(super) table: Option<Arc<RouteTable>>,
    pub(super) registry: ServerRegistry,
    pub(super) loads: BTreeMap<ServerRun, ServerLoad>,
    pub(super) service_latencies: BTreeMap<ServiceId, ServiceLatency>,
    service_reliabilities: BTreeMap<ServiceId, Reliability>,
    retry_windows: BTreeMap<ServiceId, RetryWindow>,
    reservation_pressures: BTreeMap<ServiceId, ReservationPressure>,
    overloads: BTreeMap<ServiceId, ServiceOverload>,
    caller_retry_detectors: BTreeMap<RouteId, CallerRetryDetector>,
    mean_kv_tokens: BTreeMap<ServiceId, f64>,
    pub(super) data_centre_failures: BTreeMap<DataCentreId, FailureScore>,
    pub(super) leaving_runs: LeavingRuns,
    pub(super) call_limits: CallLimits,
    quarantine: Quarantine,
    broken_calls: BrokenCalls,
    pub(super) reaches: BTreeMap<ServiceId, ServiceReach>,
    pub(super) handover_targets: HandoverTargets,
    pub(super) stream_versions: StreamVersions,
    pub(super) seen_runs: SeenRuns,
    pub(super) version_histories: BTreeMap<ServiceId, VersionHistory>,
    /// When the versions of the registered servers were last recorded.
    pub(super) versions_recorded_ms: Option<Millis>,
    /// Services whose servers all had one version when that was looked at last.
    pub(super) single_version_services: BTreeSet<ServiceId>,
    /// Longest time that a stream lasts, by any configuration so far.
    pub(super) longest_stream_ms: Millis,
    pub(super) instance_count: usize,
    /// Registry revision for which the conversion candidates are marked.
    pub(super) conversion_candidates_revision: Option<u64>,
}

impl Forwarder {
    /// A forwarder without a configuration or servers.
    pub fn new(settings: ForwarderSettings) -> Self {
        Self {
            instance_count: settings.assumed_instance_count,
            settings,
            table: None,
            registry: ServerRegistry::default(),
            loads: BTreeMap::new(),
            service_latencies: BTreeMap::new(),
            service_reliabilities: BTreeMap::new(),
            retry_windows: BTreeMap::new(),
            reservation_pressures: BTreeMap::new(),
            overloads: BTreeMap::new(),
            caller_retry_detectors: BTreeMap::new(),
            mean_kv_tokens: BTreeMap::new(),
            data_centre_failures: BTreeMap::new(),
            leaving_runs: LeavingRuns::default(),
            call_limits: CallLimits::default(),
            quarantine: Quarantine::default(),
            broken_calls: BrokenCalls::default(),
            reaches: BTreeMap::new(),
            handover_targets: HandoverTargets::default(),
            stream_versions: StreamVersions::default(),
            seen_runs: SeenRuns::default(),
            version_histories: BTreeMap::new(),
            versions_recorded_ms: None,
            single_version_services: BTreeSet::new(),
            longest_stream_ms: Millis::ZERO,
            conversion_candidates_revision: None,
        }
    }

    /// The current configuration; `None` until the first one arrives.
    pub fn table(&self) -> Option<&Arc<RouteTable>> {
        self.table.as_ref()
    }

    /// Installs a configuration if its version is newer; returns whether it was.
    pub fn apply_table(&mut self, table: RouteTable) -> bool {
        let is_newer = self.table.as_ref().is_none_or(|known| known.version() < table.version());
        if is_newer {
            self.table = Some(Arc::new(table));
            self.record_longest_stream();
        }
        is_newer
    }

    /// The servers that registered with the platform.
    pub fn registry(&self) -> &ServerRegistry {
        &self.registry
    }

    /// Applies a change of the registry; returns whether it was new.
    pub fn apply_server_update(&mut self, now_ms: Millis, update: ServerUpdate) -> bool {
        let registered =
            update.entry.as_ref().map(|entry| (entry.service.clone(), entry.version.clone()));
        let is_new = self.registry.apply(now_ms, update);
        if let Some((service, version)) = registered.filter(|_| is_new) {
            let new = || VersionHistory::new(now_ms);
            let history = self.version_histories.entry(service).or_insert_with(new);
            history.record(now_ms, version.as_ref());
        }
        is_new
    }

    /// Records that the registry can be read again after an outage.
    pub fn record_registry_reconnection(&mut self, now_ms: Millis) {
        self.registry.record_reconnection(now_ms);
        self.record_version_gap(now_ms);
    }

    /// Records that the registry was restored from an older copy.
    pub fn record_registry_restore(&mut self, now_ms: Millis) {
        self.registry.record_restore(now_ms);
        self.record_version_gap(now_ms);
    }

    /// The requests to which servers were lost.
    pub fn quarantine(&mut self) -> &mut Quarantine {
        &mut self.quarantine
    }

    /// The calls whose servers may have ended.
    pub fn broken_calls(&mut self) -> &mut BrokenCalls {
        &mut self.broken_calls
    }

    /// Replaces the limits on retries, for instance after new settings.
    pub fn set_retry_bounds(&mut self, bounds: RetryBounds) {
        self.settings.retry_bounds = bounds;
    }

    /// Sets the number of instances that share the limits. For the limit on retries it is never
    /// below `assumed_instance_count`.
    pub fn set_instance_count(&mut self, now_ms: Millis, instance_count: usize) {
        self.instance_count = instance_count;
        self.call_limits.set_instance_count(now_ms, instance_count);
    }

    /// Drops the state of servers, services and routes that no longer exist, and refreshes the
    /// conversion candidates.
    pub fn expire(&mut self, now_ms: Millis) {
        self.registry.expire(now_ms);
        self.leaving_runs.expire(now_ms, &self.registry);
        self.call_limits.expire(now_ms, &self.registry);
        self.expire_reaches(now_ms);
        let registry = &self.registry;
        self.loads.retain(|run, load| {
            let is_current = |entry: &ServerEntry| entry.started_ms == run.started_ms;
            load.running_calls() > 0 || registry.entry(now_ms, &run.server).is_some_and(is_current)
        });
        self.retry_windows.retain(|service, _| {
            self.table.as_ref().is_some_and(|table| table.service(service).is_some())
        });
        self.overloads
            .retain(|service, _| self.table.as_ref().is_some_and(|table| table.has_ranks(service)));
        self.caller_retry_detectors
            .retain(|route, _| self.table.as_ref().is_some_and(|table| table.has_route(route)));
        if self.settings.gives_orders {
            self.mark_conversion_candidates(now_ms);
        }
    }

    /// Records whether a new call got a reservation at its first attempt.
    pub fn record_reservation_result(
        &mut self,
        now_ms: Millis,
        service: &ServiceId,
        is_reserved: bool,
    ) {
        self.reservation_pressures.entry(service.clone()).or_default().record(now_ms, is_reserved);
    }

    /// Whether a call with this timeout is most likely the retry of an earlier one.
    pub fn is_likely_retry(
        &mut self,
        now_ms: Millis,
        route: &RouteId,
        caller_timeout_ms: Millis,
    ) -> bool {
        self.caller_retry_detectors
            .entry(route.clone())
            .or_default()
            .is_likely_retry(now_ms, caller_timeout_ms)
    }

    /// Whether many new calls of a service get no reservation at their first attempt.
    pub fn is_scarce(&self, now_ms: Millis, service: &ServiceId) -> bool {
        self.reservation_pressures.get(service).is_some_and(|pressure| pressure.is_scarce(now_ms))
    }

    /// What this instance has seen of a service's load, by rank.
    pub fn overload(&mut self, service: &ServiceId) -> &mut ServiceOverload {
        self.overloads.entry(service.clone()).or_default()
    }

    /// Mean KV memory of the calls of a service; zero before the first one.
    pub fn typical_tokens(&self, service: &ServiceId) -> Tokens {
        Tokens(self.mean_kv_tokens.get(service).copied().unwrap_or_default() as u64)
    }

    /// Expected time of a prefill at its engine without the queue there.
    pub fn unqueued_prefill_ms(&self, now_ms: Millis, prefill: &ChosenServer) -> Millis {
        let token_ms = self.service_latency(&prefill.service).prompt_token_ms;
        let load = self.loads.get(&prefill.run).copied().unwrap_or_default();
        let baseline_ms = prefill.tokens.0 as f64 * token_ms;
        Millis((baseline_ms * load.time_ratio(now_ms, baseline_ms)) as u64)
    }

    /// KV memory that a call needs, relative to the mean of earlier calls.
    pub fn relative_size(&mut self, service: &ServiceId, size: ModelCallSize) -> f64 {
        let tokens = size.expected_kv_tokens().0.max(1) as f64;
        let mean = self.mean_kv_tokens.entry(service.clone()).or_insert(tokens);
        *mean += SIZE_SAMPLE_WEIGHT * (tokens - *mean);
        let (min, max) = RELATIVE_SIZE_RANGE;
        (tokens / *mean).clamp(min, max)
    }

    /// Counts a call from a caller; the retry limit is a ratio of these.
    pub fn record_call(&mut self, now_ms: Millis, service: &ServiceId) {
        let bounds = self.settings.retry_bounds;
        self.retry_windows.entry(service.clone()).or_default().record_call(now_ms, &bounds);
    }

    /// Permits one more request of a call to be sent, if it is free or the limit on retries allows
    /// it.
    pub fn permit_send(
        &mut self,
        now_ms: Millis,
        service: &ServiceId,
        sends: &mut CallSends,
    ) -> Option<SendPermit> {
        if sends.needs_retry() {
            let bounds = self.retry_bounds_at(now_ms);
            let instance_count = self.sharing_instance_count();
            let window = self.retry_windows.entry(service.clone()).or_default();
            if !window.try_record_retry(now_ms, &bounds, instance_count) {
                return None;
            }
            sends.record_granted_retry();
        }
        Some(sends.record_send())
    }

    /// Instances that share the limits on retries; never fewer than the settings assume.
    fn sharing_instance_count(&self) -> usize {
        self.instance_count.max(self.settings.assumed_instance_count)
    }

    /// The limits on retries. In the first window after its start an instance has no slack, since
    /// its predecessor may have used it up.
    fn retry_bounds_at(&self, now_ms: Millis) -> RetryBounds {
        let bounds = self.settings.retry_bounds;
        let is_first_window = now_ms < self.settings.started_ms + bounds.window_ms;
        if is_first_window { RetryBounds { slack: 0, ..bounds } } else { bounds }
    }

    /// Adds a call to the load of its server.
    pub fn record_call_start(&mut self, choice: &ChosenServer) {
        self.loads.entry(choice.run.clone()).or_default().record_call_start(choice.tokens);
    }

    /// Removes a call from the load of its server and updates the health of server and data centre.
    pub fn record_call_end(&mut self, now_ms: Millis, choice: &ChosenServer, end: CallEnd) {
        self.loads.entry(choice.run.clone()).or_default().record_call_end(
            now_ms,
            choice.tokens,
            end,
        );
        if let Some(is_answered) = end.is_answered() {
            let reliability = self.service_reliabilities.entry(choice.service.clone()).or_default();
            reliability.record(now_ms, is_answered);
        }
        let failures = self.data_centre_failures.entry(choice.data_centre.clone()).or_default();
        match end {
            CallEnd::Answered => failures.record_answer(now_ms),
            CallEnd::Unreachable | CallEnd::TimedOut => failures.record_failure(now_ms, 1.0),
            _ => {}
        }
    }

    /// Stores the load that a server reported about itself. A report of a run that another one has
    /// followed is ignored.
    pub fn record_reported_load(
        &mut self,
        now_ms: Millis,
        run: &ServerRun,
        reported: ReportedLoad,
    ) {
        let current = self.registry.entry(now_ms, &run.server);
        if current.is_some_and(|entry| run.started_ms < entry.started_ms) {
            return;
        }
        self.loads.entry(run.clone()).or_default().record_report(now_ms, reported);
    }

    /// Records that a server had no room for a call.
    pub fn record_full(&mut self, now_ms: Millis, choice: &ChosenServer) {
        self.loads.entry(choice.run.clone()).or_default().record_full(now_ms);
    }

    /// Records that an engine refused a prefill.
    pub fn record_prefill_refusal(&mut self, now_ms: Millis, run: &ServerRun) {
        self.loads.entry(run.clone()).or_default().record_prefill_refusal(now_ms);
    }

    /// Records that an engine lost a KV cache that it had computed; counts as a failure.
    pub fn record_lost_kv(&mut self, now_ms: Millis, run: &ServerRun) {
        self.loads.entry(run.clone()).or_default().record_failure(now_ms);
    }

    /// Probability that a call to any server of a service fails.
    pub(super) fn failure_probability(&self, now_ms: Millis, service: &ServiceId) -> f64 {
        let reliability = self.service_reliabilities.get(service).copied().unwrap_or_default();
        reliability.failure_probability(now_ms, 0.0)
    }

    /// Whether the limit on retries allows another one.
    pub fn allows_retry(&self, now_ms: Millis, service: &ServiceId) -> bool {
        let bounds = self.retry_bounds_at(now_ms);
        let window = self.retry_windows.get(service);
        window.is_none_or(|window| {
            window.allows_retry(now_ms, &bounds, self.sharing_instance_count())
        })
    }

    pub(super) fn service_latency(&self, service: &ServiceId) -> ServiceLatency {
        self.service_latencies.get(service).copied().unwrap_or_default()
    }
}
