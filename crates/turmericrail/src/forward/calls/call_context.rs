//! What the modules that serve a request know of it, and what they record about it.

use std::sync::{Arc, Mutex, MutexGuard};

use turmericrail_core::error_kind::ErrorKind;
use turmericrail_core::forward::{
    CallSends, EngineLimits, RequestTraits, Route, RouteTable, SendPermit, ServerRun, ServiceRanks,
    SoftwareVersion, Standing, Tenant, Urgency, headroom_tokens,
};
use turmericrail_core::ids::{PromptPartId, ServiceId};
use turmericrail_core::request::RequestFingerprint;
use turmericrail_core::units::{Millis, Tokens};

use super::begun_version::BegunVersion;
use crate::forward::callers::buffer_budget::BufferShare;
use crate::forward::callers::dispatch::Refusal;
use crate::forward::callers::request::Request;
use crate::forward::clock;
use crate::forward::peers::usage_grant::UsageGrant;
use crate::forward::shared::Shared;

/// A request with the route and service chosen for it.
pub struct CallContext<'a> {
    pub shared: &'a Arc<Shared>,
    pub request: &'a Request,
    pub request_id: &'a str,
    /// The configuration in force when the request arrived.
    pub table: &'a RouteTable,
    pub route: &'a Route,
    pub service: &'a ServiceId,
    /// The tenant that holds the caller's API key; `None` if there are no tenants, or on a public
    /// route.
    pub tenant: Option<&'a Tenant>,
    /// What the request and its repeats have in common.
    pub fingerprint: RequestFingerprint,
    /// Monotonic time by which the request must be answered.
    pub deadline_ms: Millis,
    /// Whether the call may be sent although it is quarantined.
    pub is_trial: bool,
    /// The software version at which the answer has begun.
    pub begun_version: Mutex<BegunVersion>,
    /// What was sent for the call so far; see [`CallContext::sends`].
    pub sends: Mutex<CallSends>,
    /// The admission under the tenant's usage cap.
    pub usage: UsageGrant,
}

impl CallContext<'_> {
    /// Rank among the requests of the service, by the tenant's priority before the route's; zero is
    /// the most urgent.
    pub fn rank(&self) -> u8 {
        let ranks = self.table.ranks(self.service);
        ranks.map_or(0, |ranks| ranks.rank(self.route, self.tenant))
    }

    /// Whether requests of different ranks compete for the service.
    pub fn has_ranks(&self) -> bool {
        self.table.has_ranks(self.service)
    }

    /// Urgency of the request among those that compete for the service.
    pub fn urgency(&self, standing: Standing) -> Urgency {
        let count = self.table.ranks(self.service).map_or(1, ServiceRanks::count);
        let (now_ms, rank) = (clock::now_ms(), self.rank());
        let mut forwarder = self.shared.forwarder();
        let overload = forwarder.overload(self.service);
        let position = overload.position(now_ms, count, rank);
        let rates = overload.tenant_rates();
        let is_in_excess =
            self.tenant.is_some_and(|tenant| rates.is_in_excess(now_ms, &tenant.name));
        Urgency::at(count, position, standing, is_in_excess)
    }

    /// Free memory that an engine must have beyond the request while the service is scarce.
    pub fn headroom(&self, urgency: Urgency, engine: &ServerRun) -> Tokens {
        let typical_tokens = self.shared.forwarder().typical_tokens(self.service);
        let kv_tokens = self.engine_limits().map_or(Tokens::ZERO, |engine| engine.kv_tokens);
        headroom_tokens(urgency, &engine.server, typical_tokens, kv_tokens)
    }

    /// Counts the request in the rates of its tenant.
    pub fn record_tenant(&self) {
        if let Some(tenant) = self.tenant {
            let mut forwarder = self.shared.forwarder();
            let rates = forwarder.overload(self.service).tenant_rates();
            rates.record(clock::now_ms(), &tenant.name);
        }
    }

    /// Limits of the engines of the service; `None` if it serves plain calls.
    pub fn engine_limits(&self) -> Option<EngineLimits> {
        self.table.service(self.service).and_then(|service| service.engine)
    }

    /// Time for which a prefill engine keeps a KV cache.
    pub fn handle_ttl_ms(&self) -> Millis {
        self.engine_limits().map_or(Millis::ZERO, |engine| engine.handle_ttl_ms)
    }

    /// Records in the metrics that the request found room.
    pub fn record_placement(&self, urgency: Urgency) {
        let rank = self.rank().to_string();
        let standing = urgency.standing().as_str();
        self.shared.metrics.placements.with_label_values(&[&rank, standing]).inc();
    }

    /// Time until the deadline.
    pub fn remaining_ms(&self) -> Millis {
        self.deadline_ms.saturating_sub(clock::now_ms())
    }

    /// Time from the arrival to the deadline.
    pub fn caller_timeout_ms(&self) -> Millis {
        self.deadline_ms.saturating_sub(self.request.arrived_ms)
    }

    /// Time since the arrival.
    pub fn elapsed_ms(&self) -> Millis {
        clock::now_ms().saturating_sub(self.request.arrived_ms)
    }

    /// Parts of the prompt that other requests may share; none in a plain call.
    pub fn shared_parts(&self) -> &[PromptPartId] {
        if self.is_model_call() { &self.request.metadata.shared_parts } else { &[] }
    }

    /// Records that an engine has written an event of the answer.
    pub fn record_begun(&self, version: Option<&SoftwareVersion>) {
        let mut begun = self.begun_version.lock().unwrap_or_else(|_| std::process::abort());
        if !matches!(*begun, BegunVersion::At(_)) {
            *begun = BegunVersion::At(version.cloned());
        }
    }

    /// Records that the call is sent to an engine of a version.
    pub fn record_sent_to(&self, version: &SoftwareVersion) {
        let mut begun = self.begun_version.lock().unwrap_or_else(|_| std::process::abort());
        if matches!(*begun, BegunVersion::None) {
            *begun = BegunVersion::SentTo(version.clone());
        }
    }

    /// Records that an engine did not run the call that was sent to it.
    pub fn record_not_run(&self, before: BegunVersion) {
        *self.begun_version.lock().unwrap_or_else(|_| std::process::abort()) = before;
    }

    /// The software version at which the answer has begun.
    pub fn begun_version(&self) -> BegunVersion {
        self.begun_version.lock().unwrap_or_else(|_| std::process::abort()).clone()
    }

    /// The traits for which the call may be quarantined.
    pub fn traits(&self) -> RequestTraits<'_> {
        let (service, request) = (self.service, self.fingerprint);
        RequestTraits { service, request, parts: self.shared_parts() }
    }

    /// Whether servers aren't sent the call at present.
    fn is_quarantined(&self) -> bool {
        let traits = self.traits();
        !self.is_trial && self.shared.forwarder().quarantine().is_quarantined(&traits)
    }

    /// Whether servers that ran the call were lost, and the call may be why.
    fn is_suspect(&self, calls_sent: u32) -> bool {
        let traits = self.traits();
        let is_suspect = calls_sent > 0 && self.shared.forwarder().quarantine().is_suspect(&traits);
        if is_suspect {
            self.log_send_again("suspect");
        }
        is_suspect
    }

    /// The refusal of a call that is quarantined; `None` if it isn't.
    pub fn quarantine_refusal(&self) -> Option<Refusal> {
        if self.is_trial {
            return None;
        }
        let traits = self.traits();
        let (now_ms, random) = (clock::now_ms(), fastrand::u64(..));
        let admission = self.shared.forwarder().quarantine().check(now_ms, &traits, random);
        Refusal::of_admission(admission)
    }

    /// Permits the call to be run by one more server, within the route's attempts and the bound on
    /// retries.
    pub fn permit_run(&self, calls_sent: u32) -> Option<SendPermit> {
        if !self.has_attempts_left(calls_sent) || self.is_suspect(calls_sent) {
            return None;
        }
        self.permit_send()
    }

    /// Whether the call may be run by one more server now, so that it is worth looking for one.
    pub fn may_run(&self, calls_sent: u32) -> bool {
        if !self.has_attempts_left(calls_sent) || self.is_suspect(calls_sent) {
            return false;
        }
        let may_send = self.may_send();
        if !may_send {
            self.record_denied_retry();
        }
        may_send
    }

    fn has_attempts_left(&self, calls_sent: u32) -> bool {
        let is_left = calls_sent < self.route.max_attempts;
        if !is_left {
            self.log_send_again("no_attempts_left");
        }
        is_left
    }

    /// Permits one more request to be sent to a server, within the bound on retries and unless the
    /// call is quarantined.
    pub fn permit_send(&self) -> Option<SendPermit> {
        if self.is_quarantined() {
            self.log_send_again("quarantined");
            return None;
        }
        let mut sends = self.sends();
        let needs_retry = sends.needs_retry();
        let permit = self.shared.forwarder().permit_send(clock::now_ms(), self.service, &mut sends);
        drop(sends);
        if permit.is_none() {
            self.record_denied_retry();
        } else if needs_retry {
            self.log_send_again("allowed");
        }
        permit
    }

    fn record_denied_retry(&self) {
        if self.sends().record_denied_retry() {
            self.shared.metrics.retries_refused.inc();
            self.log_send_again("bound_reached");
        }
    }

    /// Whether one more request may be sent to a server now, within the bound on retries.
    pub fn may_send(&self) -> bool {
        !self.sends().needs_retry()
            || self.shared.forwarder().allows_retry(clock::now_ms(), self.service)
    }

    /// Locks the record of what was sent; never while the forwarder is locked.
    pub fn sends(&self) -> MutexGuard<'_, CallSends> {
        self.sends.lock().unwrap_or_else(|_| std::process::abort())
    }

    fn log_send_again(&self, outcome: &str) {
        spdlog::info!(
            "event=send_again request={} service={} max_attempts={} outcome={outcome}",
            self.request_id,
            self.service,
            self.route.max_attempts
        );
    }

    /// The refusal of a call that no server takes. If servers only want no calls for a while, the
    /// caller is told when the first of them takes calls again.
    pub fn no_server_refusal(&self) -> Refusal {
        let retry_after_ms = self.shared.forwarder().reopens_in_ms(clock::now_ms(), self.service);
        Refusal { kind: ErrorKind::NoServer, retry_after_ms }
    }

    /// Fails if no server of the service is reached, so that waiting for room is in vain.
    pub fn check_reach(&self) -> Result<(), Refusal> {
        let is_cut_off = self.shared.forwarder().is_still_cut_off(self.service);
        if is_cut_off { Err(self.no_server_refusal()) } else { Ok(()) }
    }

    /// The share of an answer to the caller, of which nothing is held yet.
    pub fn answer_share(&self) -> BufferShare {
        self.shared.pool.answer_budget.share(&self.request.connection)
    }

    /// Records the duration of a step in the metrics.
    pub fn observe_step(&self, step: &str, elapsed_ms: Millis) {
        let steps = &self.shared.metrics.step_seconds;
        steps.with_label_values(&[step]).observe(elapsed_ms.0 as f64 / 1_000.0);
    }

    /// Records the time to the answer, or to its first event, in the metrics.
    pub fn observe_answer(&self) {
        let answers = &self.shared.metrics.answer_seconds;
        let kind = self.route.kind.as_str();
        answers.with_label_values(&[kind]).observe(self.elapsed_ms().0 as f64 / 1_000.0);
    }

    /// Whether the service is served by model engines.
    pub fn is_model_call(&self) -> bool {
        self.table.service(self.service).is_some_and(|service| service.engine.is_some())
    }
}
