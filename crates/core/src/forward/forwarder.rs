//! What a forwarder knows: the configuration in force, the servers, their load and their health.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::service_pace::ServicePace;
use super::{
    CallEnd, Choice, FailureScore, Patience, Pressure, Prompt, Registry, ReportedLoad, RetryBounds,
    RetryWindow, RouteTable, ServerEntry, ServerLoad, ServerNews, ServerRun,
};
use crate::ids::{DataCentreId, RouteId, ServiceId};
use crate::units::{Millis, Tokens};

/// Bounds on the size of a call relative to the mean.
const RELATIVE_SIZE: (f64, f64) = (0.5, 3.0);
/// Weight of a new call in the mean size.
const SIZE_WEIGHT: f64 = 0.05;

/// What a forwarder is told at its start.
#[derive(Clone, Debug)]
pub struct ForwarderSettings {
    /// Where this instance stands.
    pub data_centre: DataCentreId,
    /// Bound on calls sent again.
    pub retry_bounds: RetryBounds,
    /// Instances that share the bound until others are known.
    pub assumed_instances: usize,
    /// Whether engines may be ordered to change their role.
    pub gives_orders: bool,
}

/// Where calls go: the configuration in force, the servers that are registered and their load.
pub struct Forwarder {
    pub(super) settings: ForwarderSettings,
    pub(super) table: Option<Arc<RouteTable>>,
    pub(super) registry: Registry,
    pub(super) loads: BTreeMap<ServerRun, ServerLoad>,
    paces: BTreeMap<ServiceId, ServicePace>,
    windows: BTreeMap<ServiceId, RetryWindow>,
    pressures: BTreeMap<ServiceId, Pressure>,
    patience: BTreeMap<RouteId, Patience>,
    mean_kv_tokens: BTreeMap<ServiceId, f64>,
    pub(super) data_centre_failures: BTreeMap<DataCentreId, FailureScore>,
    instances: usize,
    /// Revision of the registry for which spare engines are marked.
    pub(super) spare_revision: Option<u64>,
}

impl Forwarder {
    /// A forwarder that knows no configuration and no servers.
    pub fn new(settings: ForwarderSettings) -> Self {
        Self {
            instances: settings.assumed_instances,
            settings,
            table: None,
            registry: Registry::default(),
            loads: BTreeMap::new(),
            paces: BTreeMap::new(),
            windows: BTreeMap::new(),
            pressures: BTreeMap::new(),
            patience: BTreeMap::new(),
            mean_kv_tokens: BTreeMap::new(),
            data_centre_failures: BTreeMap::new(),
            spare_revision: None,
        }
    }

    /// The configuration in force.
    pub fn table(&self) -> Option<&Arc<RouteTable>> {
        self.table.as_ref()
    }

    /// Puts a configuration in force, unless it is not newer than the present one.
    pub fn take_table(&mut self, table: RouteTable) -> bool {
        let is_newer = self.table.as_ref().is_none_or(|known| known.version() < table.version());
        if is_newer {
            self.table = Some(Arc::new(table));
        }
        is_newer
    }

    /// The servers that are registered.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Takes a change of the registry; tells whether it was new.
    pub fn take_news(&mut self, now_ms: Millis, news: ServerNews) -> bool {
        self.registry.take(now_ms, news)
    }

    /// Notes that the registry can be read again after it could not.
    pub fn note_registry_return(&mut self, now_ms: Millis) {
        self.registry.note_return(now_ms);
    }

    /// Sets the bound on calls sent again.
    pub fn set_retry_bounds(&mut self, bounds: RetryBounds) {
        self.settings.retry_bounds = bounds;
    }

    /// Sets the number of instances that share the bound on calls sent again.
    pub fn set_instances(&mut self, instances: usize) {
        self.instances = instances.max(self.settings.assumed_instances);
    }

    /// Forgets what is old.
    pub fn expire(&mut self, now_ms: Millis) {
        self.registry.expire(now_ms);
        let registry = &self.registry;
        self.loads.retain(|run, load| {
            let is_current = |entry: &ServerEntry| entry.started_ms == run.started_ms;
            load.calls() > 0 || registry.entry(now_ms, &run.server).is_some_and(is_current)
        });
        self.windows.retain(|service, _| {
            self.table.as_ref().is_some_and(|table| table.service(service).is_some())
        });
        self.patience
            .retain(|route, _| self.table.as_ref().is_some_and(|table| table.has_route(route)));
        if self.settings.gives_orders {
            self.mark_spare_engines(now_ms);
        }
    }

    /// Notes whether a new call found a place at the engines of a service.
    pub fn note_place(&mut self, now_ms: Millis, service: &ServiceId, has_place: bool) {
        self.pressures.entry(service.clone()).or_default().note(now_ms, has_place);
    }

    /// Whether a caller who waits for so long has most likely asked before.
    pub fn is_returning(&mut self, now_ms: Millis, route: &RouteId, patience_ms: Millis) -> bool {
        self.patience.entry(route.clone()).or_default().is_returning(now_ms, patience_ms)
    }

    /// Whether places at the engines of a service are scarce.
    pub fn is_scarce(&self, now_ms: Millis, service: &ServiceId) -> bool {
        self.pressures.get(service).is_some_and(|pressure| pressure.is_scarce(now_ms))
    }

    /// How much memory a call needs, relative to the mean of the calls so far.
    pub fn relative_size(&mut self, service: &ServiceId, prompt: Prompt) -> f64 {
        let tokens = prompt.kv_tokens().0.max(1) as f64;
        let mean = self.mean_kv_tokens.entry(service.clone()).or_insert(tokens);
        *mean += SIZE_WEIGHT * (tokens - *mean);
        let (least, most) = RELATIVE_SIZE;
        (tokens / *mean).clamp(least, most)
    }

    /// Counts a caller's call to a service.
    pub fn note_call(&mut self, now_ms: Millis, service: &ServiceId) {
        let bounds = self.settings.retry_bounds;
        self.windows.entry(service.clone()).or_default().note_call(now_ms, &bounds);
    }

    /// Counts a call sent again, if the bound leaves room for it.
    pub fn take_repeat(&mut self, now_ms: Millis, service: &ServiceId) -> bool {
        let bounds = self.settings.retry_bounds;
        let window = self.windows.entry(service.clone()).or_default();
        window.take_repeat(now_ms, &bounds, self.instances)
    }

    /// Counts a call that was sent without asking the bound first.
    pub fn note_repeat(&mut self, now_ms: Millis, service: &ServiceId) {
        let bounds = self.settings.retry_bounds;
        self.windows.entry(service.clone()).or_default().note_repeat(now_ms, &bounds);
    }

    /// Counts a call that starts.
    pub fn start(&mut self, choice: &Choice) {
        self.loads.entry(choice.run.clone()).or_default().start(choice.tokens);
    }

    /// Counts a call that ended.
    pub fn end(&mut self, now_ms: Millis, choice: &Choice, end: CallEnd) {
        self.loads.entry(choice.run.clone()).or_default().end(now_ms, choice.tokens, end);
        let failures = self.data_centre_failures.entry(choice.data_centre.clone()).or_default();
        match end {
            CallEnd::Answered => failures.answer(now_ms),
            CallEnd::Unreached | CallEnd::Silent => failures.fail(now_ms, 1.0),
            _ => {}
        }
    }

    /// Takes a server's own word on its load.
    pub fn report(&mut self, now_ms: Millis, run: &ServerRun, reported: ReportedLoad) {
        self.loads.entry(run.clone()).or_default().report(now_ms, reported);
    }

    /// Notes that a server had no room for a call.
    pub fn note_full(&mut self, now_ms: Millis, choice: &Choice) {
        self.loads.entry(choice.run.clone()).or_default().note_full(now_ms);
    }

    /// Notes that an engine refused a prefill.
    pub fn note_prefill_refused(&mut self, now_ms: Millis, run: &ServerRun) {
        self.loads.entry(run.clone()).or_default().note_prefill_refused(now_ms);
    }

    /// Notes that an engine did not keep a KV cache that it had made.
    pub fn note_kv_lost(&mut self, now_ms: Millis, run: &ServerRun) {
        self.loads.entry(run.clone()).or_default().fail(now_ms);
    }

    /// Takes the time to the answer of a plain call.
    pub fn note_answer(&mut self, now_ms: Millis, choice: &Choice, measured_ms: Millis) {
        self.paces.entry(choice.service.clone()).or_default().note_answer(measured_ms);
        self.note_pace(now_ms, choice, measured_ms);
    }

    /// Takes the time to the first event at a decode engine that did not read the prompt.
    pub fn note_first_event(&mut self, now_ms: Millis, choice: &Choice, measured_ms: Millis) {
        self.paces.entry(choice.service.clone()).or_default().note_first_event(measured_ms);
        self.note_pace(now_ms, choice, measured_ms);
    }

    /// Takes the time of a prefill.
    pub fn note_prefill(&mut self, now_ms: Millis, choice: &Choice, measured_ms: Millis) {
        let load = self.loads.get(&choice.run).copied().unwrap_or_default();
        let queued = Tokens(load.tokens().max(choice.tokens.0));
        self.paces.entry(choice.service.clone()).or_default().note_prefill(measured_ms, queued);
        self.note_pace(now_ms, choice, measured_ms);
    }

    fn note_pace(&mut self, now_ms: Millis, choice: &Choice, measured_ms: Millis) {
        let load = self.loads.entry(choice.run.clone()).or_default();
        load.note_pace(now_ms, measured_ms, choice.normal_ms);
    }

    pub(super) fn pace(&self, service: &ServiceId) -> ServicePace {
        self.paces.get(service).copied().unwrap_or_default()
    }
}
