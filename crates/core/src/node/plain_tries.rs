//! Plain calls seen from their servers: choice, tries, hedges.
//!
//! The call of a ticket goes on to a next server only while nothing was written to any. An
//! idempotent call is tried again after a loss, and beside a slow try after half of its time; the
//! first whole answer counts.

use std::cmp::Reverse;

use crate::action::{Action, PlainCall};
use crate::config::document::Route;
use crate::error_kind::ErrorKind;
use crate::event::{PlainAnswer, PlainResult};
use crate::ids::{RequestId, RouteId, ServerId};
use crate::membership::rendezvous;
use crate::node::plain_path::is_not_run;
use crate::node::{Node, PlainEnd};
use crate::request::PlainFlow;
use crate::route::HealthChange;
use crate::units::Millis;

/// Most tries of one call.
const MAX_TRIES: usize = 3;

impl Node {
    pub(super) fn start_plain(
        &mut self,
        request: RequestId,
        id: RouteId,
        route: &Route,
        serial: Option<u64>,
    ) {
        let now_ms = self.now.mono_ms;
        let flow = PlainFlow {
            route: id,
            serial,
            deadline_ms: now_ms + route.timeout_ms,
            hedge_ms: now_ms + Millis(route.timeout_ms.0 / 2),
            tried: Default::default(),
            running: Default::default(),
            may_have_run: false,
        };
        self.plain_flows.insert(request, flow);
        let retry_percent = self.config.in_force().map_or(0, |known| known.limits.retry_percent);
        self.plain_budget.earn(retry_percent);
        if !self.try_plain(request, "first") {
            self.end_plain(request, Err(ErrorKind::NoServer));
        }
    }

    pub(super) fn take_plain_result(
        &mut self,
        request: RequestId,
        server: ServerId,
        result: PlainResult,
    ) {
        let is_answered = matches!(result, PlainResult::Answered(_));
        self.end_try(&server, is_answered);
        let Some(flow) = self.plain_flows.get_mut(&request) else {
            return;
        };
        if !flow.running.remove(&server) {
            return;
        }
        flow.may_have_run |= result != PlainResult::NotSent;
        match result {
            PlainResult::Answered(answer) => self.end_plain(request, Ok(answer)),
            PlainResult::NotSent => self.take_try_failed(request, &server, "not_sent"),
            PlainResult::Lost => self.take_try_failed(request, &server, "lost"),
        }
    }

    /// Forgets the health of servers that were removed, once their calls have ended.
    pub(super) fn prune_plain_health(&mut self) {
        let Some(configuration) = self.config.in_force() else {
            return;
        };
        if self.plain_pruned == configuration.version {
            return;
        }
        self.plain_pruned = configuration.version;
        self.plain_health.retain(|server, health| {
            configuration.servers.contains_key(server) || health.in_flight_calls() > 0
        });
    }

    fn end_try(&mut self, server: &ServerId, is_answered: bool) {
        let health = self.plain_health.get_mut(server).expect("a server that was called");
        let server = ("server", server.to_string());
        match health.record_call_end(self.now.mono_ms, is_answered) {
            HealthChange::None => {}
            HealthChange::Ejected(for_ms) => {
                let fields = vec![server, ("for_ms", for_ms.0.to_string())];
                self.log("eject_server", None, fields);
            }
            HealthChange::Readmitted => self.log("readmit_server", None, vec![server]),
        }
    }

    /// Starts a second try of idempotent calls that are slow.
    pub(super) fn hedge_plain(&mut self) {
        let is_due = |flow: &PlainFlow| {
            flow.serial.is_none()
                && flow.running.len() == 1
                && self.now.mono_ms >= flow.hedge_ms
                && flow.tried.len() < MAX_TRIES
        };
        let due = self.plain_flows.iter().filter(|(_, flow)| is_due(flow));
        let due: Vec<_> = due.map(|(request, _)| *request).collect();
        for request in due {
            let has_server = self.plain_call(request).is_some();
            if has_server && self.plain_budget.spend() {
                self.try_plain(request, "hedge");
            }
            if let Some(flow) = self.plain_flows.get_mut(&request) {
                flow.hedge_ms = flow.deadline_ms;
            }
        }
    }

    /// Ends an idempotent call that nobody waits for.
    pub(super) fn drop_idempotent(&mut self, request: RequestId) {
        let flow = self.plain_flows.get(&request);
        if flow.is_some_and(|flow| flow.serial.is_none()) {
            self.plain_flows.remove(&request);
        }
    }

    fn take_try_failed(&mut self, request: RequestId, server: &ServerId, reason: &'static str) {
        let fields = vec![("server", server.to_string()), ("reason", reason.to_owned())];
        self.log("plain_try_failed", Some(request), fields);
        let Some(flow) = self.plain_flows.get(&request) else {
            return;
        };
        let is_unwritten = !flow.may_have_run;
        let is_in_time = self.now.mono_ms < flow.deadline_ms && flow.tried.len() < MAX_TRIES;
        let can_repeat = is_unwritten || flow.serial.is_none();
        let is_running = !flow.running.is_empty();
        let has_retry = is_in_time && can_repeat && self.plain_call(request).is_some();
        let is_allowed = has_retry && (is_unwritten || self.plain_budget.spend());
        if (is_allowed && self.try_plain(request, "retry")) || is_running {
            return;
        }
        let kind = if is_unwritten { ErrorKind::NoServer } else { ErrorKind::ServerLost };
        self.end_plain(request, Err(kind));
    }

    /// Sends a call to the best server that was not tried yet, if there is one.
    fn try_plain(&mut self, request: RequestId, reason: &'static str) -> bool {
        let Some(call) = self.plain_call(request) else {
            return false;
        };
        let server = call.target.server.clone();
        let flow = self.plain_flows.get_mut(&request).expect("a call is made for a flow");
        let is_first_write = flow.running.is_empty() && !flow.may_have_run;
        assert!(flow.serial.is_none() || is_first_write, "a ticket's call was sent twice");
        flow.tried.insert(server.clone());
        flow.running.insert(server.clone());
        self.plain_health.entry(server.clone()).or_default().record_call_start();
        let fields = vec![
            ("server", server.to_string()),
            ("config_version", self.config.version().to_string()),
            ("reason", reason.to_owned()),
        ];
        self.log("choose_plain", Some(request), fields);
        self.actions.push(Action::CallPlain(call));
        true
    }

    fn plain_call(&self, request: RequestId) -> Option<PlainCall> {
        let flow = self.plain_flows.get(&request)?;
        let configuration = self.config.in_force()?;
        let route = configuration.routes.get(&flow.route)?;
        let is_idempotent = flow.serial.is_none();
        let is_open = |server: &&ServerId| {
            !flow.tried.contains(*server) && !self.leaving_servers.contains(*server)
        };
        let key = request.to_string();
        let server = route.servers.iter().filter(is_open).max_by_key(|server| {
            let known = configuration.servers.get(*server);
            let is_near =
                known.is_some_and(|known| known.data_centre == *self.members.own_data_centre());
            let health = self.plain_health.get(*server).copied().unwrap_or_default();
            let is_usable = health.is_usable(self.now.mono_ms, is_idempotent);
            let hash = rendezvous::stable_hash(&format!("{key}/{server}"));
            let is_crowded = health.is_busy();
            let is_trusted = is_idempotent || !health.is_suspect(self.now.mono_ms);
            let rank = (is_usable, is_trusted, !is_crowded, is_near && !is_crowded);
            (rank, Reverse(health.in_flight_calls()), hash)
        })?;
        let timeout_ms = flow.deadline_ms - self.now.mono_ms;
        Some(PlainCall { request, target: self.target(server)?, timeout_ms })
    }

    fn end_plain(&mut self, request: RequestId, end: Result<PlainAnswer, ErrorKind>) {
        let Some(flow) = self.plain_flows.remove(&request) else {
            return;
        };
        self.assert_outcome(&flow, &end);
        match flow.serial {
            Some(serial) => self.close_ticket(serial, end),
            None => self.answer_plain(request, end),
        }
    }

    fn assert_outcome(&self, flow: &PlainFlow, end: &PlainEnd) {
        let was_sent = flow.may_have_run || !flow.running.is_empty();
        assert!(!(was_sent && is_not_run(end)), "not_run of a call that may have run");
    }
}
