//! The way of a plain call: route, ticket, tries.

use crate::action::{Action, PlainCall};
use crate::config::document::Route;
use crate::error_kind::ErrorKind;
use crate::event::{PlainAnswer, PlainRequest, PlainResult};
use crate::ids::{RequestId, RouteId, ServerId};
use crate::membership::rendezvous;
use crate::node::{Node, PlainEnd};
use crate::once::{Admission, Ticket};
use crate::request::PlainFlow;
use crate::route::match_route;
use crate::units::Millis;

/// Wait told to callers whose call was not run.
const RETRY_AFTER_MS: Millis = Millis(1_000);
/// Most tries of an idempotent call.
const MAX_TRIES: usize = 3;

impl Node {
    pub(super) fn take_ticket_request(&mut self, request: RequestId) {
        if !self.is_ready() {
            self.answer_error(request, ErrorKind::NotReady, Some(RETRY_AFTER_MS));
            return;
        }
        let serial = self.tickets.issue(self.now.mono_ms);
        let ticket = Ticket {
            home: self.members.own_holder(),
            data_centre: self.members.own_data_centre().clone(),
            serial,
        };
        self.actions.push(Action::AnswerTicket(request, ticket.seal(&self.seal)));
    }

    pub(super) fn take_plain_request(&mut self, asked: PlainRequest) {
        let request = asked.request;
        let Some(configuration) = self.config.in_force() else {
            self.answer_error(request, ErrorKind::NotReady, Some(RETRY_AFTER_MS));
            return;
        };
        let Some((id, route)) = match_route(configuration, &asked.method, &asked.path) else {
            self.answer_error(request, ErrorKind::UnknownRoute, None);
            return;
        };
        let (id, route) = (id.clone(), route.clone());
        if route.idempotent {
            self.start_plain(request, id, None);
            return;
        }
        let Some(text) = &asked.ticket else {
            self.answer_error(request, ErrorKind::TicketRequired, None);
            return;
        };
        match Ticket::unseal(text, &self.seal) {
            Some(ticket) => self.spend(&asked, id, &route, ticket),
            None => self.answer_error(request, ErrorKind::BadTicket, None),
        }
    }

    pub(super) fn take_plain_result(
        &mut self,
        request: RequestId,
        server: ServerId,
        result: PlainResult,
    ) {
        let Some(flow) = self.plain_flows.get(&request) else {
            return;
        };
        let can_repeat = flow.serial.is_none() && flow.tried.len() < MAX_TRIES;
        match result {
            PlainResult::Answered(answer) => self.end_plain(request, Ok(answer)),
            PlainResult::NotSent => self.try_plain(request),
            PlainResult::Lost if can_repeat => self.try_plain(request),
            PlainResult::Lost => {
                self.log("plain_lost", Some(request), vec![("server", server.to_string())]);
                self.end_plain(request, Err(ErrorKind::ServerLost));
            }
        }
    }

    /// Spends a ticket at its home, or forwards the call there.
    fn spend(&mut self, asked: &PlainRequest, id: RouteId, route: &Route, ticket: Ticket) {
        let request = asked.request;
        let own = self.members.own_holder();
        if ticket.home != own {
            let address = self.members.peers().get(&ticket.home.instance).copied();
            let can_forward = !asked.is_forwarded && !self.members.is_replaced(&ticket.home);
            let Some(address) = address.filter(|_| can_forward) else {
                self.answer_error(request, ErrorKind::HomeUnreachable, None);
                return;
            };
            let timeout_ms = route.timeout_ms;
            self.actions.push(Action::Forward { request, home: ticket.home, address, timeout_ms });
            return;
        }
        match self.tickets.admit(ticket.serial, request) {
            Admission::Run => self.start_plain(request, id, Some(ticket.serial)),
            Admission::Wait => {}
            Admission::Replay(end) => self.answer_plain(request, end),
            Admission::Forgotten => self.answer_error(request, ErrorKind::HomeUnreachable, None),
        }
    }

    fn start_plain(&mut self, request: RequestId, route: RouteId, serial: Option<u64>) {
        let arrived_ms = self.now.mono_ms;
        let flow = PlainFlow { route, serial, arrived_ms, tried: Default::default() };
        self.plain_flows.insert(request, flow);
        self.try_plain(request);
    }

    fn try_plain(&mut self, request: RequestId) {
        let Some(call) = self.plain_call(request) else {
            self.end_plain(request, Err(ErrorKind::NoServer));
            return;
        };
        let fields = vec![
            ("server", call.target.server.to_string()),
            ("config_version", self.config.version().to_string()),
            ("reason", "rendezvous".to_owned()),
        ];
        self.log("choose_plain", Some(request), fields);
        if let Some(flow) = self.plain_flows.get_mut(&request) {
            flow.tried.insert(call.target.server.clone());
        }
        self.actions.push(Action::CallPlain(call));
    }

    fn plain_call(&self, request: RequestId) -> Option<PlainCall> {
        let flow = self.plain_flows.get(&request)?;
        let configuration = self.config.in_force()?;
        let route = configuration.routes.get(&flow.route)?;
        let usable = |server: &&ServerId| {
            !flow.tried.contains(*server) && !self.leaving_servers.contains(*server)
        };
        let key = request.to_string();
        let server = route.servers.iter().filter(usable).max_by_key(|server| {
            let known = configuration.servers.get(*server);
            let is_near =
                known.is_some_and(|known| known.data_centre == *self.members.own_data_centre());
            (is_near, rendezvous::stable_hash(&format!("{key}/{server}")))
        })?;
        let timeout_ms = route.timeout_ms;
        Some(PlainCall { request, target: self.target(server)?, timeout_ms })
    }

    fn end_plain(&mut self, request: RequestId, end: PlainEnd) {
        let Some(flow) = self.plain_flows.remove(&request) else {
            return;
        };
        let Some(serial) = flow.serial else {
            self.answer_plain(request, end);
            return;
        };
        let is_not_run = matches!(end, Err(ErrorKind::NoServer));
        let waiting = if is_not_run {
            self.tickets.reopen(serial)
        } else {
            self.tickets.answer(serial, end.clone())
        };
        for request in waiting {
            self.answer_plain(request, end.clone());
        }
    }

    fn answer_plain(&mut self, request: RequestId, end: Result<PlainAnswer, ErrorKind>) {
        match end {
            Ok(answer) => {
                self.log(
                    "plain_answered",
                    Some(request),
                    vec![("status", answer.status.to_string())],
                );
                self.actions.push(Action::AnswerPlain(request, answer));
            }
            Err(kind) => {
                let retry_after_ms = kind.answer().has_retry_after.then_some(RETRY_AFTER_MS);
                self.answer_error(request, kind, retry_after_ms);
            }
        }
    }
}
