//! Plain calls seen from their callers: route, ticket, forward, final answer.
//!
//! An outcome speaks of the ticket, not of the copy that carried it. Only the ticket's home says
//! `not_run`, after it has closed the ticket for good; everybody else says `unknown`.

use crate::action::Action;
use crate::config::document::Route;
use crate::error_kind::{ErrorKind, Outcome};
use crate::event::{ForwardResult, PlainRequest};
use crate::ids::{RequestId, RouteId};
use crate::node::{Node, PlainEnd};
use crate::once::{Admission, Ticket};
use crate::request::PlainCaller;
use crate::route::match_route;
use crate::units::{Bytes, Millis};

/// Wait told to callers whose call was not run.
const RETRY_AFTER_MS: Millis = Millis(1_000);
/// Longest wait for the home of a ticket where the route is not known here.
const FORWARD_TIMEOUT_MS: Millis = Millis(10_000);
/// Time that a leaving instance waits for tickets it has just issued.
const LINGER_MS: Millis = Millis(2_000);
/// Memory of a recorded answer apart from its body.
const RECORD_BYTES: u64 = 128;

impl Node {
    pub(super) fn take_ticket_request(&mut self, request: RequestId, count: usize) {
        if !self.is_ready() {
            let kind = if self.is_leaving { ErrorKind::ShuttingDown } else { ErrorKind::NotReady };
            self.answer_error(request, kind, Some(RETRY_AFTER_MS));
            return;
        }
        let issued_ms = self.now.monotonic_ms;
        let mut tickets = Vec::new();
        for _ in 0..count {
            let ticket = Ticket {
                home: self.members.own_holder(),
                data_centre: self.members.own_data_centre().clone(),
                run_nonce: self.seal.run_nonce(),
                serial: self.tickets.issue(issued_ms),
                issued_ms,
            };
            tickets.push(ticket.seal(&self.seal));
        }
        self.actions.push(Action::AnswerTickets(request, tickets));
    }

    pub(super) fn take_plain_request(&mut self, asked: PlainRequest) {
        let ticket = asked.ticket.as_ref().and_then(|text| Ticket::unseal(text, &self.seal));
        match ticket {
            Some(ticket) if self.is_home(&ticket) => self.spend(&asked, &ticket),
            Some(ticket) => self.forward(&asked, ticket),
            None => self.start_without_ticket(&asked),
        }
    }

    pub(super) fn take_forward_result(&mut self, request: RequestId, result: ForwardResult) {
        let end = match result {
            ForwardResult::Answered(answer) => Ok(answer),
            ForwardResult::Failed(kind) => Err(kind),
            ForwardResult::Lost => Err(ErrorKind::HomeUnreachable),
        };
        self.answer_plain(request, end);
    }

    pub(super) fn take_plain_caller_gone(&mut self, request: RequestId) {
        if self.plain_callers.remove(&request).is_none() {
            return;
        }
        self.log("plain_caller_gone", Some(request), Vec::new());
        self.drop_idempotent(request);
    }

    /// Gives final answers at their deadlines and forgets old tickets.
    pub(super) fn advance_plain(&mut self) {
        self.tickets.expire(self.now.monotonic_ms);
        let is_over = |caller: &PlainCaller| self.now.monotonic_ms >= caller.deadline_ms;
        let over = self.plain_callers.iter().filter(|(_, caller)| is_over(caller));
        let over: Vec<_> = over.map(|(id, caller)| (*id, caller.is_forwarded)).collect();
        for (request, is_forwarded) in over {
            let kind =
                if is_forwarded { ErrorKind::HomeUnreachable } else { ErrorKind::PlainTimeout };
            self.answer_plain(request, Err(kind));
            self.drop_idempotent(request);
        }
        self.hedge_plain();
        self.prune_plain_health();
    }

    /// Whether no plain call is under way and no ticket was issued just now.
    pub(super) fn is_plain_idle(&self) -> bool {
        let is_idle = self.plain_flows.is_empty() && self.plain_callers.is_empty();
        is_idle && !self.tickets.has_recent_unspent(self.now.monotonic_ms, LINGER_MS)
    }

    fn start_without_ticket(&mut self, asked: &PlainRequest) {
        let request = asked.request;
        let kind = match self.plain_route(asked) {
            Ok((id, route)) if route.idempotent => {
                self.wait_plain(request, route.timeout_ms, false);
                self.start_plain(request, id, &route, None);
                return;
            }
            Ok(_) if asked.ticket.is_none() => ErrorKind::TicketRequired,
            Ok(_) => ErrorKind::BadTicket,
            Err(kind) => kind,
        };
        let retry_after_ms = kind.answer().has_retry_after.then_some(RETRY_AFTER_MS);
        self.answer_error(request, kind, retry_after_ms);
    }

    fn is_home(&self, ticket: &Ticket) -> bool {
        let is_own_run = ticket.run_nonce == self.seal.run_nonce();
        is_own_run && ticket.home == self.members.own_holder()
    }

    /// Spends a ticket that this run issued. The record comes before the route, which may have
    /// been removed since.
    fn spend(&mut self, asked: &PlainRequest, ticket: &Ticket) {
        let request = asked.request;
        let route = self.plain_route(asked);
        let timeout_ms = route.as_ref().map_or(FORWARD_TIMEOUT_MS, |(_, route)| route.timeout_ms);
        self.wait_plain(request, timeout_ms, false);
        let (serial, issued_ms) = (ticket.serial, ticket.issued_ms);
        let now_ms = self.now.monotonic_ms;
        let fingerprint = asked.fingerprint;
        let admission = self.tickets.admit(now_ms, serial, issued_ms, fingerprint, request);
        self.log_admission(request, serial, &admission);
        match (admission, route) {
            (Admission::Run, Ok((id, route))) => {
                self.start_plain(request, id, &route, Some(serial));
            }
            (Admission::Run, Err(kind)) => self.close_ticket(serial, Err(kind)),
            (Admission::Wait, _) => {}
            (Admission::Replay(end), _) => self.answer_plain(request, end),
            (Admission::Forgotten, _) => {
                self.answer_plain(request, Err(ErrorKind::HomeUnreachable));
            }
            (Admission::Mismatch, _) => self.answer_plain(request, Err(ErrorKind::TicketMismatch)),
        }
    }

    /// Forwards a call to the run that issued its ticket, whatever is known here of the route.
    fn forward(&mut self, asked: &PlainRequest, ticket: Ticket) {
        let request = asked.request;
        let timeout_ms =
            self.plain_route(asked).map_or(FORWARD_TIMEOUT_MS, |(_, route)| route.timeout_ms);
        self.wait_plain(request, timeout_ms, true);
        let address = self.members.peers().get(&ticket.home.instance).copied();
        let can_forward = !asked.is_forwarded && !self.members.is_replaced(&ticket.home);
        let Some(address) = address.filter(|_| can_forward) else {
            self.answer_plain(request, Err(ErrorKind::HomeUnreachable));
            return;
        };
        let home = ticket.home;
        self.log("forward_plain", Some(request), vec![("home", home.instance.to_string())]);
        self.actions.push(Action::Forward { request, home, address, timeout_ms });
    }

    fn plain_route(&self, asked: &PlainRequest) -> Result<(RouteId, Route), ErrorKind> {
        let configuration = self.config.in_force().ok_or(ErrorKind::NotReady)?;
        let matched = match_route(configuration, &asked.method, &asked.path);
        let (id, route) = matched.ok_or(ErrorKind::UnknownRoute)?;
        Ok((id.clone(), route.clone()))
    }

    fn wait_plain(&mut self, request: RequestId, timeout_ms: Millis, is_forwarded: bool) {
        let deadline_ms = self.now.monotonic_ms + timeout_ms;
        let known = self.plain_callers.insert(request, PlainCaller { deadline_ms, is_forwarded });
        assert!(known.is_none(), "a request number was used twice");
    }

    /// Records the final answer of a ticket and gives it to all copies that wait.
    pub(super) fn close_ticket(&mut self, serial: u64, end: PlainEnd) {
        let body_bytes = end.as_ref().map_or(0, |answer| answer.body.len() as u64);
        let size_bytes = Bytes(body_bytes + RECORD_BYTES);
        for request in self.tickets.answer(serial, end.clone(), size_bytes) {
            self.answer_plain(request, end.clone());
        }
    }

    /// Gives a caller its final answer, unless it had one already.
    pub(super) fn answer_plain(&mut self, request: RequestId, end: PlainEnd) {
        if self.plain_callers.remove(&request).is_none() {
            return;
        }
        match end {
            Ok(answer) => {
                let fields = vec![("status", answer.status.to_string())];
                self.log("plain_answered", Some(request), fields);
                self.actions.push(Action::AnswerPlain(request, answer));
            }
            Err(kind) => {
                let retry_after_ms = kind.answer().has_retry_after.then_some(RETRY_AFTER_MS);
                self.answer_error(request, kind, retry_after_ms);
            }
        }
    }

    fn log_admission(&mut self, request: RequestId, serial: u64, admission: &Admission<PlainEnd>) {
        let decision = match admission {
            Admission::Run => "run",
            Admission::Wait => "wait",
            Admission::Replay(_) => "replay",
            Admission::Forgotten => "forgotten",
            Admission::Mismatch => "mismatch",
        };
        let fields = vec![("serial", serial.to_string()), ("decision", decision.to_owned())];
        self.log("spend_ticket", Some(request), fields);
    }
}

/// Whether an answer promises that nothing was executed.
pub(super) fn is_not_run(end: &PlainEnd) -> bool {
    end.as_ref().is_err_and(|kind| kind.answer().outcome == Outcome::NotRun)
}
