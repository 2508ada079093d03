//! Plain calls as seen by their callers: route, ticket, forwarding and final answer.
//!
//! An outcome tells the caller about all copies of the call with the same ticket, not about one
//! copy. Only the ticket's home, which is the instance that issued it, answers `not_run`, after
//! closing the ticket for good; every other instance answers `unknown`.

use crate::action::Action;
use crate::at_most_once::{CopyDecision, Ticket};
use crate::config::document::Route;
use crate::error_kind::{ErrorKind, Outcome};
use crate::event::{ForwardResult, PlainRequest};
use crate::ids::{RequestId, RouteId};
use crate::node::{FinalAnswer, Node};
use crate::request::PlainCaller;
use crate::route::match_route;
use crate::units::{Bytes, Millis};

/// Retry delay sent to a caller whose call was not run.
const DEFAULT_RETRY_AFTER_MS: Millis = Millis(1_000);
/// Timeout of a call whose route is not in the configuration of this instance.
const UNKNOWN_ROUTE_TIMEOUT_MS: Millis = Millis(10_000);
/// Time that a leaving instance waits for recently issued tickets to be spent.
const UNSPENT_TICKET_WAIT_MS: Millis = Millis(2_000);
/// Size that a recorded answer is counted with in addition to its body.
const ANSWER_OVERHEAD_BYTES: u64 = 128;

impl Node {
    pub(super) fn handle_ticket_request(&mut self, request: RequestId, count: usize) {
        if !self.is_ready() {
            let kind = if self.is_leaving { ErrorKind::ShuttingDown } else { ErrorKind::NotReady };
            self.answer_with_error(request, kind, Some(DEFAULT_RETRY_AFTER_MS));
            return;
        }
        let issued_ms = self.now.monotonic_ms;
        let mut tickets = Vec::new();
        for _ in 0..count {
            let ticket = Ticket {
                home: self.members.own_holder(),
                data_centre: self.members.own_data_centre().clone(),
                run_nonce: self.seal_key.run_nonce(),
                serial: self.tickets.issue(issued_ms),
                issued_ms,
            };
            tickets.push(ticket.seal(&self.seal_key));
        }
        self.actions.push(Action::AnswerTickets(request, tickets));
    }

    pub(super) fn handle_plain_request(&mut self, plain_request: PlainRequest) {
        let ticket =
            plain_request.ticket.as_ref().and_then(|text| Ticket::unseal(text, &self.seal_key));
        match ticket {
            Some(ticket) if self.is_ticket_home(&ticket) => {
                self.spend_ticket(&plain_request, &ticket)
            }
            Some(ticket) => self.forward_to_ticket_home(&plain_request, ticket),
            None => self.start_without_ticket(&plain_request),
        }
    }

    pub(super) fn handle_forward_result(&mut self, request: RequestId, result: ForwardResult) {
        let final_answer = match result {
            ForwardResult::Answered(answer) => Ok(answer),
            ForwardResult::Failed(kind) => Err(kind),
            ForwardResult::Lost => Err(ErrorKind::HomeUnreachable),
        };
        self.answer_plain_caller(request, final_answer);
    }

    pub(super) fn handle_plain_caller_gone(&mut self, request: RequestId) {
        if self.plain_callers.remove(&request).is_none() {
            return;
        }
        self.log("plain_caller_gone", Some(request), Vec::new());
        self.drop_idempotent_call(request);
    }

    /// Answers callers whose deadline has passed, drops expired tickets and hedges slow calls.
    pub(super) fn advance_plain_calls(&mut self) {
        self.tickets.expire(self.now.monotonic_ms);
        let is_expired = |caller: &PlainCaller| self.now.monotonic_ms >= caller.deadline_ms;
        let expired = self.plain_callers.iter().filter(|(_, caller)| is_expired(caller));
        let expired: Vec<_> = expired.map(|(id, caller)| (*id, caller.is_forwarded)).collect();
        for (request, is_forwarded) in expired {
            let kind =
                if is_forwarded { ErrorKind::HomeUnreachable } else { ErrorKind::PlainTimeout };
            self.answer_plain_caller(request, Err(kind));
            self.drop_idempotent_call(request);
        }
        self.hedge_plain_calls();
        self.prune_plain_server_health();
    }

    /// Whether no plain call is in flight and no unspent ticket is recent.
    pub(super) fn has_no_plain_work(&self) -> bool {
        let is_idle = self.plain_flows.is_empty() && self.plain_callers.is_empty();
        is_idle && !self.tickets.has_recent_unspent(self.now.monotonic_ms, UNSPENT_TICKET_WAIT_MS)
    }

    fn start_without_ticket(&mut self, plain_request: &PlainRequest) {
        let request = plain_request.request;
        let kind = match self.match_plain_route(plain_request) {
            Ok((route_id, route)) if route.idempotent => {
                self.register_plain_caller(request, route.timeout_ms, false);
                self.start_plain_call(request, route_id, &route, None);
                return;
            }
            Ok(_) if plain_request.ticket.is_none() => ErrorKind::TicketRequired,
            Ok(_) => ErrorKind::BadTicket,
            Err(kind) => kind,
        };
        let retry_after_ms = kind.answer().has_retry_after.then_some(DEFAULT_RETRY_AFTER_MS);
        self.answer_with_error(request, kind, retry_after_ms);
    }

    fn is_ticket_home(&self, ticket: &Ticket) -> bool {
        let is_own_run = ticket.run_nonce == self.seal_key.run_nonce();
        is_own_run && ticket.home == self.members.own_holder()
    }

    /// Spends a ticket issued by this run. The ticket is looked up before the route is required,
    /// since the route may have been removed after the call was answered.
    fn spend_ticket(&mut self, plain_request: &PlainRequest, ticket: &Ticket) {
        let request = plain_request.request;
        let route = self.match_plain_route(plain_request);
        let timeout_ms =
            route.as_ref().map_or(UNKNOWN_ROUTE_TIMEOUT_MS, |(_, route)| route.timeout_ms);
        self.register_plain_caller(request, timeout_ms, false);
        let (serial, issued_ms) = (ticket.serial, ticket.issued_ms);
        let now_ms = self.now.monotonic_ms;
        let fingerprint = plain_request.fingerprint;
        let admission = self.tickets.admit(now_ms, serial, issued_ms, fingerprint, request);
        self.log_ticket_admission(request, serial, &admission);
        match (admission, route) {
            (CopyDecision::Run, Ok((route_id, route))) => {
                self.start_plain_call(request, route_id, &route, Some(serial));
            }
            (CopyDecision::Run, Err(kind)) => self.close_ticket(serial, Err(kind)),
            (CopyDecision::Wait, _) => {}
            (CopyDecision::Replay(final_answer), _) => {
                self.answer_plain_caller(request, final_answer)
            }
            (CopyDecision::Forgotten, _) => {
                self.answer_plain_caller(request, Err(ErrorKind::HomeUnreachable));
            }
            (CopyDecision::Mismatch, _) => {
                self.answer_plain_caller(request, Err(ErrorKind::TicketMismatch))
            }
        }
    }

    /// Forwards a call to the run that issued its ticket, whether or not the route is known here.
    fn forward_to_ticket_home(&mut self, plain_request: &PlainRequest, ticket: Ticket) {
        let request = plain_request.request;
        let timeout_ms = self
            .match_plain_route(plain_request)
            .map_or(UNKNOWN_ROUTE_TIMEOUT_MS, |(_, route)| route.timeout_ms);
        self.register_plain_caller(request, timeout_ms, true);
        let address = self.members.peers().get(&ticket.home.instance).copied();
        let can_forward = !plain_request.is_forwarded && !self.members.is_replaced(&ticket.home);
        let Some(address) = address.filter(|_| can_forward) else {
            self.answer_plain_caller(request, Err(ErrorKind::HomeUnreachable));
            return;
        };
        let home = ticket.home;
        self.log("forward_plain", Some(request), vec![("home", home.instance.to_string())]);
        self.actions.push(Action::Forward { request, home, address, timeout_ms });
    }

    fn match_plain_route(
        &self,
        plain_request: &PlainRequest,
    ) -> Result<(RouteId, Route), ErrorKind> {
        let configuration = self.config.in_force().ok_or(ErrorKind::NotReady)?;
        let matched = match_route(configuration, &plain_request.method, &plain_request.path);
        let (route_id, route) = matched.ok_or(ErrorKind::UnknownRoute)?;
        Ok((route_id.clone(), route.clone()))
    }

    fn register_plain_caller(
        &mut self,
        request: RequestId,
        timeout_ms: Millis,
        is_forwarded: bool,
    ) {
        let deadline_ms = self.now.monotonic_ms + timeout_ms;
        let previous =
            self.plain_callers.insert(request, PlainCaller { deadline_ms, is_forwarded });
        assert!(previous.is_none(), "a request number was used twice");
    }

    /// Records the final answer of a ticket and sends it to all waiting copies of the call.
    pub(super) fn close_ticket(&mut self, serial: u64, final_answer: FinalAnswer) {
        let body_bytes = final_answer.as_ref().map_or(0, |answer| answer.body.len() as u64);
        let size_bytes = Bytes(body_bytes + ANSWER_OVERHEAD_BYTES);
        for request in self.tickets.record_answer(serial, final_answer.clone(), size_bytes) {
            self.answer_plain_caller(request, final_answer.clone());
        }
    }

    /// Sends a caller its final answer, unless it already got one.
    pub(super) fn answer_plain_caller(&mut self, request: RequestId, final_answer: FinalAnswer) {
        if self.plain_callers.remove(&request).is_none() {
            return;
        }
        match final_answer {
            Ok(answer) => {
                let fields = vec![("status", answer.status.to_string())];
                self.log("plain_answered", Some(request), fields);
                self.actions.push(Action::AnswerPlain(request, answer));
            }
            Err(kind) => {
                let retry_after_ms =
                    kind.answer().has_retry_after.then_some(DEFAULT_RETRY_AFTER_MS);
                self.answer_with_error(request, kind, retry_after_ms);
            }
        }
    }

    fn log_ticket_admission(
        &mut self,
        request: RequestId,
        serial: u64,
        admission: &CopyDecision<FinalAnswer>,
    ) {
        let decision = match admission {
            CopyDecision::Run => "run",
            CopyDecision::Wait => "wait",
            CopyDecision::Replay(_) => "replay",
            CopyDecision::Forgotten => "forgotten",
            CopyDecision::Mismatch => "mismatch",
        };
        let fields = vec![("serial", serial.to_string()), ("decision", decision.to_owned())];
        self.log("spend_ticket", Some(request), fields);
    }
}

/// Whether an answer tells the caller that the call was not and will not be executed.
pub(super) fn is_not_run(final_answer: &FinalAnswer) -> bool {
    final_answer.as_ref().is_err_and(|kind| kind.answer().outcome == Outcome::NotRun)
}
