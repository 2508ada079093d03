//! Plain calls: bookings with tickets, whose copies go to several instances, and idempotent reads.
//!
//! Executions are counted per booking, over all its tickets, since the caller of a booking requests
//! a new ticket after `not_run`.

use std::collections::{BTreeMap, BTreeSet};

use turmericrail_core::action::PlainCall;
use turmericrail_core::error_kind::{ErrorKind, Outcome};
use turmericrail_core::event::{Event, ForwardResult, PlainAnswer, PlainRequest, PlainResult};
use turmericrail_core::ids::{RequestId, ServerId};

use super::callers::Run;
use super::platform::{PLAIN_SERVERS, address};
use super::simulation::{DATA_CENTRES, Delivery, Simulation};

/// Limit on the tickets that the caller of one booking requests.
const MAX_TICKETS: usize = 3;
/// Delays with which copies of a call are sent.
const COPY_DELAYS_MS: [u64; 8] = [1, 1, 200, 900, 2_500, 6_000, 12_000, 20_000];
/// Time after which a forwarded call without a reply is reported as lost.
const FORWARD_TIMEOUT_MS: u64 = 3_000;
/// Probability of losing the connection, drawn once before and once after the execution.
const CONNECTION_LOSS_PERCENT: u64 = 4;

/// A request at one run of an instance.
pub type RequestKey = (Run, RequestId);

/// Who waits for the answer to a plain request.
#[derive(Clone, Debug)]
pub enum Requester {
    /// A caller that requests a ticket for a booking.
    Ticket { booking: u64 },
    /// A caller that sent a copy of a booking's call.
    Booker { ticket: String },
    /// An instance that forwarded a copy.
    Peer { origin: RequestKey, ticket: String },
    /// A caller of an idempotent read.
    Reader,
}

/// State of one booking.
#[derive(Clone, Debug, Default)]
pub struct Booking {
    pub tickets: Vec<String>,
    /// Number of executions for each ticket.
    pub executions: BTreeMap<String, u64>,
    /// Tickets whose calls were answered `not_run`.
    pub not_run: BTreeSet<String>,
    /// Whether the caller received the answer of the service.
    pub is_completed: bool,
}

/// Plain calls of an episode.
#[derive(Default)]
pub struct PlainCalls {
    pub bookings: Vec<Booking>,
    /// Index in `bookings` for each ticket.
    pub booking_by_ticket: BTreeMap<String, u64>,
    pub requesters: BTreeMap<RequestKey, Requester>,
    /// Number of reads that were answered.
    pub reads: u64,
    /// Time at which a crashed server is up again.
    pub down_until_ms: BTreeMap<ServerId, u64>,
}

impl Simulation {
    /// Begins a booking by requesting a ticket.
    pub fn start_booking(&mut self, instance: u64) {
        self.plain_calls.bookings.push(Booking::default());
        let booking = self.plain_calls.bookings.len() as u64 - 1;
        self.request_ticket(booking, instance);
    }

    /// Sends an idempotent read to an instance.
    pub fn read_stock(&mut self, instance: u64) {
        let Some((run, request)) = self.plain_request_key(instance) else {
            return;
        };
        self.plain_calls.requesters.insert((run, request), Requester::Reader);
        let event = self.plain_request_event(request, None, false);
        self.deliver_event(run, event);
    }

    /// Passes a copy of a booking's call to an instance; it is lost if the instance is down.
    pub fn handle_booking_copy(&mut self, instance: u64, ticket: String) {
        let Some((run, request)) = self.plain_request_key(instance) else {
            return;
        };
        let event = self.plain_request_event(request, Some(&ticket), false);
        self.plain_calls.requesters.insert((run, request), Requester::Booker { ticket });
        self.deliver_event(run, event);
    }

    /// Passes a forwarded copy to the instance that issued the ticket.
    pub fn handle_forwarded_call(&mut self, to: usize, origin: RequestKey, ticket: String) {
        if !self.is_connected(origin.0.0, to) {
            return;
        }
        let Some((run, request)) = self.next_request_key(to) else {
            return;
        };
        let event = self.plain_request_event(request, Some(&ticket), true);
        self.plain_calls.requesters.insert((run, request), Requester::Peer { origin, ticket });
        self.deliver_event(run, event);
    }

    /// Forwards a call to the instance whose address has this port.
    pub fn forward_plain_call(&mut self, key: RequestKey, port: u16) {
        let ticket = match self.plain_calls.requesters.get(&key) {
            Some(Requester::Booker { ticket }) => ticket.clone(),
            requester => panic!("a call of {requester:?} was forwarded"),
        };
        let to = (0..self.instances.len()).find(|index| address(*index).port() == port);
        let to = to.expect("the address of an instance");
        let delay_ms = 1 + self.random.below(5);
        self.schedule(delay_ms, Delivery::Forward(to, key, ticket));
        let lost = Event::ForwardResult(key.1, ForwardResult::Lost);
        self.schedule(FORWARD_TIMEOUT_MS, Delivery::Event(key.0, lost));
    }

    /// Sends a call to a server unless the run has ended.
    pub fn send_plain_call(&mut self, run: Run, call: PlainCall) {
        let instance = &self.instances[run.0];
        if instance.node.is_none() || instance.incarnation != run.1 {
            return;
        }
        let server = call.target.server.clone();
        let timeout_ms = call.timeout_ms.0;
        let lost = Event::PlainResult(call.request, server.clone(), PlainResult::Lost);
        if !self.can_reach_plain(run.0, &server) {
            self.deliver_event(run, Event::PlainResult(call.request, server, PlainResult::NotSent));
        } else if self.random.chance_percent(CONNECTION_LOSS_PERCENT) {
            self.schedule(timeout_ms, Delivery::Event(run, lost));
        } else {
            let delay_ms = 1 + self.random.below(60);
            self.schedule(delay_ms, Delivery::ExecutePlain(run, call.request, server, timeout_ms));
        }
    }

    /// Executes a call at its server, also if the run that sent it has ended.
    pub fn execute_plain_call(
        &mut self,
        run: Run,
        request: RequestId,
        server: ServerId,
        timeout_ms: u64,
    ) {
        let lost = Event::PlainResult(request, server.clone(), PlainResult::Lost);
        if self.now_ms < self.plain_calls.down_until_ms.get(&server).copied().unwrap_or(0) {
            self.deliver_event(run, lost);
            return;
        }
        let ticket = match self.plain_calls.requesters.get(&(run, request)) {
            Some(Requester::Booker { ticket } | Requester::Peer { ticket, .. }) => {
                Some(ticket.clone())
            }
            _ => None,
        };
        if let Some(ticket) = &ticket {
            self.record_execution(ticket);
        }
        let body = self.answer_body(ticket.as_deref());
        if self.random.chance_percent(CONNECTION_LOSS_PERCENT)
            || !self.can_reach_plain(run.0, &server)
        {
            self.schedule(timeout_ms, Delivery::Event(run, lost));
            return;
        }
        let answer = PlainAnswer { status: 200, content_type: "text/plain".to_owned(), body };
        self.deliver_event(run, Event::PlainResult(request, server, PlainResult::Answered(answer)));
    }

    /// Handles the final answer of a run to a plain request.
    pub fn handle_plain_answer(&mut self, key: RequestKey, end: Result<PlainAnswer, ErrorKind>) {
        let outcome =
            end.as_ref().map_or_else(|kind| kind.answer().outcome, |_| Outcome::Completed);
        match self.plain_calls.requesters.get(&key).cloned() {
            Some(Requester::Booker { ticket }) => {
                if let Ok(answer) = &end {
                    let own = self.answer_body(Some(&ticket));
                    assert_eq!(answer.body, own, "a caller got the answer of another booking");
                }
                self.record_booking_answer(&ticket, outcome);
            }
            Some(Requester::Peer { origin, .. }) => self.reply_to_forwarder(key, origin, end),
            Some(Requester::Reader) => self.plain_calls.reads += u64::from(end.is_ok()),
            Some(Requester::Ticket { .. }) | None => {}
        }
    }

    /// Sends copies of a booking's call, with the tickets just received, to random instances.
    pub fn send_booking_copies(&mut self, key: RequestKey, tickets: Vec<String>) {
        let Some(Requester::Ticket { booking }) = self.plain_calls.requesters.get(&key).cloned()
        else {
            return;
        };
        for ticket in tickets {
            self.plain_calls.booking_by_ticket.insert(ticket.clone(), booking);
            self.plain_calls.bookings[booking as usize].tickets.push(ticket.clone());
            for _ in 0..1 + self.random.below(4) {
                let delay_ms = COPY_DELAYS_MS[self.random.below(8) as usize];
                let instance = self.random.below(64);
                self.schedule(delay_ms, Delivery::BookingCopy(instance, ticket.clone()));
            }
        }
    }

    /// Asserts that every request to a run that has not ended was answered.
    pub fn check_plain_calls(&self) {
        for (key, requester) in &self.plain_calls.requesters {
            let is_alive = self.instances[key.0.0].incarnation == key.0.1;
            let is_unanswered = is_alive && !self.answered_requests.contains(key);
            assert!(!is_unanswered, "{requester:?} got no answer to {key:?}");
        }
    }

    fn request_ticket(&mut self, booking: u64, instance: u64) {
        if self.plain_calls.bookings[booking as usize].tickets.len() >= MAX_TICKETS {
            return;
        }
        let Some((run, request)) = self.plain_request_key(instance) else {
            return;
        };
        self.plain_calls.requesters.insert((run, request), Requester::Ticket { booking });
        self.deliver_event(run, Event::TicketRequest { request, count: 1 });
    }

    fn record_booking_answer(&mut self, ticket: &str, outcome: Outcome) {
        let number = self.plain_calls.booking_by_ticket[ticket];
        let booking = &mut self.plain_calls.bookings[number as usize];
        let executions = booking.executions.get(ticket).copied().unwrap_or(0);
        match outcome {
            Outcome::Completed => {
                assert_eq!(executions, 1, "a call was answered as completed without an execution");
                booking.is_completed = true;
            }
            Outcome::NotRun => {
                assert_eq!(executions, 0, "a call that was executed was answered not_run");
                if booking.not_run.insert(ticket.to_owned()) {
                    let instance = self.random.below(64);
                    self.request_ticket(number, instance);
                }
            }
            Outcome::Unknown => {}
        }
    }

    fn record_execution(&mut self, ticket: &str) {
        let number = self.plain_calls.booking_by_ticket[ticket];
        let booking = &mut self.plain_calls.bookings[number as usize];
        assert!(!booking.not_run.contains(ticket), "a call was executed after the answer not_run");
        *booking.executions.entry(ticket.to_owned()).or_default() += 1;
        let executions: u64 = booking.executions.values().sum();
        assert_eq!(executions, 1, "booking {number} was executed twice");
    }

    fn reply_to_forwarder(
        &mut self,
        key: RequestKey,
        origin: RequestKey,
        end: Result<PlainAnswer, ErrorKind>,
    ) {
        if !self.is_connected(key.0.0, origin.0.0) {
            return;
        }
        let result = match end {
            Ok(answer) => ForwardResult::Answered(answer),
            Err(kind) => ForwardResult::Failed(kind),
        };
        let delay_ms = 1 + self.random.below(5);
        let event = Event::ForwardResult(origin.1, result);
        self.schedule(delay_ms, Delivery::Event(origin.0, event));
    }

    fn plain_request_key(&mut self, instance: u64) -> Option<RequestKey> {
        let index = instance as usize % self.instances.len();
        self.next_request_key(index)
    }

    fn next_request_key(&mut self, index: usize) -> Option<RequestKey> {
        let instance = &mut self.instances[index];
        instance.node.as_ref()?;
        instance.request_count += 1;
        Some(((index, instance.incarnation), RequestId(instance.request_count)))
    }

    fn plain_request_event(
        &self,
        request: RequestId,
        ticket: Option<&str>,
        is_forwarded: bool,
    ) -> Event {
        let (method, path) = match ticket {
            Some(_) => ("POST", "/slots/7/bookings"),
            None => ("GET", "/stock/7"),
        };
        Event::PlainRequest(PlainRequest {
            request,
            method: method.to_owned(),
            path: path.to_owned(),
            ticket: ticket.map(str::to_owned),
            is_forwarded,
            fingerprint: ticket.map_or(0, |ticket| self.plain_calls.booking_by_ticket[ticket]),
        })
    }

    fn answer_body(&self, ticket: Option<&str>) -> Vec<u8> {
        let booking = ticket.map(|ticket| self.plain_calls.booking_by_ticket[ticket]);
        format!("{booking:?}").into_bytes()
    }

    fn can_reach_plain(&self, instance: usize, server: &ServerId) -> bool {
        let down_until_ms = self.plain_calls.down_until_ms.get(server).copied().unwrap_or(0);
        let data_centre = PLAIN_SERVERS.iter().find(|(id, _)| *id == server.as_str());
        let is_local =
            data_centre.is_some_and(|(_, data_centre)| *data_centre == DATA_CENTRES[instance]);
        let is_partitioned = self.now_ms < self.network.partitioned_until_ms;
        self.now_ms >= down_until_ms && (is_local || !is_partitioned)
    }
}
