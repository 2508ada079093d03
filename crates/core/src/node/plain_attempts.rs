//! Plain calls as seen by their servers: selection, attempts and hedging.
//!
//! A call with a ticket is sent to another server only if nothing of it was written to a server
//! before. An idempotent call is retried after a loss, and hedged with a second attempt after half
//! of its timeout; the first complete answer counts.

use std::cmp::Reverse;

use crate::action::{Action, PlainCall};
use crate::config::document::Route;
use crate::error_kind::ErrorKind;
use crate::event::{PlainAnswer, PlainResult};
use crate::ids::{RequestId, RouteId, ServerId};
use crate::membership::rendezvous;
use crate::node::plain_calls::is_not_run;
use crate::node::{FinalAnswer, Node};
use crate::request::PlainFlow;
use crate::route::HealthChange;
use crate::units::Millis;

const MAX_PLAIN_ATTEMPTS: usize = 3;

impl Node {
    pub(super) fn start_plain_call(
        &mut self,
        request: RequestId,
        route_id: RouteId,
        route: &Route,
        serial: Option<u64>,
    ) {
        let now_ms = self.now.monotonic_ms;
        let flow = PlainFlow {
            route: route_id,
            serial,
            deadline_ms: now_ms + route.timeout_ms,
            hedge_ms: now_ms + Millis(route.timeout_ms.0 / 2),
            tried: Default::default(),
            running: Default::default(),
            may_have_run: false,
        };
        self.plain_flows.insert(request, flow);
        let retry_percent =
            self.config.in_force().map_or(0, |configuration| configuration.limits.retry_percent);
        self.plain_retry_budget.record_first_attempt(retry_percent);
        if !self.start_plain_attempt(request, "first") {
            self.finish_plain_call(request, Err(ErrorKind::NoServer));
        }
    }

    pub(super) fn handle_plain_result(
        &mut self,
        request: RequestId,
        server: ServerId,
        result: PlainResult,
    ) {
        let is_answered = matches!(result, PlainResult::Answered(_));
        self.record_attempt_end(&server, is_answered);
        let Some(flow) = self.plain_flows.get_mut(&request) else {
            return;
        };
        if !flow.running.remove(&server) {
            return;
        }
        flow.may_have_run |= result != PlainResult::NotSent;
        match result {
            PlainResult::Answered(answer) => self.finish_plain_call(request, Ok(answer)),
            PlainResult::NotSent => self.handle_attempt_failed(request, &server, "not_sent"),
            PlainResult::Lost => self.handle_attempt_failed(request, &server, "lost"),
        }
    }

    /// Drops the health of servers that were removed from the configuration, once their calls have
    /// ended.
    pub(super) fn prune_plain_server_health(&mut self) {
        let Some(configuration) = self.config.in_force() else {
            return;
        };
        if self.plain_health_pruned_version == configuration.version {
            return;
        }
        self.plain_health_pruned_version = configuration.version;
        self.plain_server_health.retain(|server, health| {
            configuration.servers.contains_key(server) || health.in_flight_calls() > 0
        });
    }

    fn record_attempt_end(&mut self, server: &ServerId, is_answered: bool) {
        let health = self.plain_server_health.get_mut(server).expect("a server that was called");
        let server = ("server", server.to_string());
        match health.record_call_end(self.now.monotonic_ms, is_answered) {
            HealthChange::None => {}
            HealthChange::Ejected(for_ms) => {
                let fields = vec![server, ("for_ms", for_ms.0.to_string())];
                self.log("eject_server", None, fields);
            }
            HealthChange::Readmitted => self.log("readmit_server", None, vec![server]),
        }
    }

    /// Starts a second attempt of idempotent calls that are slow.
    pub(super) fn hedge_plain_calls(&mut self) {
        let is_due = |flow: &PlainFlow| {
            flow.serial.is_none()
                && flow.running.len() == 1
                && self.now.monotonic_ms >= flow.hedge_ms
                && flow.tried.len() < MAX_PLAIN_ATTEMPTS
        };
        let due = self.plain_flows.iter().filter(|(_, flow)| is_due(flow));
        let due: Vec<_> = due.map(|(request, _)| *request).collect();
        for request in due {
            let has_server = self.next_plain_call(request).is_some();
            if has_server && self.plain_retry_budget.try_spend() {
                self.start_plain_attempt(request, "hedge");
            }
            if let Some(flow) = self.plain_flows.get_mut(&request) {
                flow.hedge_ms = flow.deadline_ms;
            }
        }
    }

    /// Drops a call whose caller no longer waits, if it is idempotent. A call with a ticket goes
    /// on, since its answer is recorded.
    pub(super) fn drop_idempotent_call(&mut self, request: RequestId) {
        let flow = self.plain_flows.get(&request);
        if flow.is_some_and(|flow| flow.serial.is_none()) {
            self.plain_flows.remove(&request);
        }
    }

    fn handle_attempt_failed(
        &mut self,
        request: RequestId,
        server: &ServerId,
        reason: &'static str,
    ) {
        let fields = vec![("server", server.to_string()), ("reason", reason.to_owned())];
        self.log("plain_try_failed", Some(request), fields);
        let Some(flow) = self.plain_flows.get(&request) else {
            return;
        };
        let has_not_run = !flow.may_have_run;
        let is_in_time =
            self.now.monotonic_ms < flow.deadline_ms && flow.tried.len() < MAX_PLAIN_ATTEMPTS;
        let can_repeat = has_not_run || flow.serial.is_none();
        let is_running = !flow.running.is_empty();
        let has_retry = is_in_time && can_repeat && self.next_plain_call(request).is_some();
        let is_allowed = has_retry && (has_not_run || self.plain_retry_budget.try_spend());
        if (is_allowed && self.start_plain_attempt(request, "retry")) || is_running {
            return;
        }
        let kind = if has_not_run { ErrorKind::NoServer } else { ErrorKind::ServerLost };
        self.finish_plain_call(request, Err(kind));
    }

    /// Sends a call to the best server not yet tried. Returns false if there is none.
    fn start_plain_attempt(&mut self, request: RequestId, reason: &'static str) -> bool {
        let Some(call) = self.next_plain_call(request) else {
            return false;
        };
        let server = call.target.server.clone();
        let flow = self.plain_flows.get_mut(&request).expect("a call is made for a flow");
        let is_first_write = flow.running.is_empty() && !flow.may_have_run;
        assert!(flow.serial.is_none() || is_first_write, "a ticket's call was sent twice");
        flow.tried.insert(server.clone());
        flow.running.insert(server.clone());
        self.plain_server_health.entry(server.clone()).or_default().record_call_start();
        let fields = vec![
            ("server", server.to_string()),
            ("config_version", self.config.version().to_string()),
            ("reason", reason.to_owned()),
        ];
        self.log("choose_plain", Some(request), fields);
        self.actions.push(Action::CallPlain(call));
        true
    }

    fn next_plain_call(&self, request: RequestId) -> Option<PlainCall> {
        let flow = self.plain_flows.get(&request)?;
        let configuration = self.config.in_force()?;
        let route = configuration.routes.get(&flow.route)?;
        let is_idempotent = flow.serial.is_none();
        let is_candidate = |server: &&ServerId| {
            !flow.tried.contains(*server) && !self.leaving_servers.contains(*server)
        };
        let key = request.to_string();
        let server = route.servers.iter().filter(is_candidate).max_by_key(|server| {
            let server_config = configuration.servers.get(*server);
            let is_local = server_config.is_some_and(|server_config| {
                server_config.data_centre == *self.members.own_data_centre()
            });
            let health = self.plain_server_health.get(*server).copied().unwrap_or_default();
            let is_usable = health.is_usable(self.now.monotonic_ms, is_idempotent);
            let hash = rendezvous::stable_hash(&format!("{key}/{server}"));
            let is_busy = health.is_busy();
            let is_trusted = is_idempotent || !health.is_suspect(self.now.monotonic_ms);
            let rank = (is_usable, is_trusted, !is_busy, is_local && !is_busy);
            (rank, Reverse(health.in_flight_calls()), hash)
        })?;
        let timeout_ms = flow.deadline_ms - self.now.monotonic_ms;
        Some(PlainCall { request, target: self.server_endpoint(server)?, timeout_ms })
    }

    fn finish_plain_call(
        &mut self,
        request: RequestId,
        final_answer: Result<PlainAnswer, ErrorKind>,
    ) {
        let Some(flow) = self.plain_flows.remove(&request) else {
            return;
        };
        self.assert_outcome_allowed(&flow, &final_answer);
        match flow.serial {
            Some(serial) => self.close_ticket(serial, final_answer),
            None => self.answer_plain_caller(request, final_answer),
        }
    }

    fn assert_outcome_allowed(&self, flow: &PlainFlow, final_answer: &FinalAnswer) {
        let was_sent = flow.may_have_run || !flow.running.is_empty();
        assert!(!(was_sent && is_not_run(final_answer)), "not_run of a call that may have run");
    }
}
