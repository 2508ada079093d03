//! Simulation of several nodes that exchange messages through an in-memory queue, with plain servers
//! that count executions.
//!
//! A caller that receives `not_run` requests a new ticket and books again while copies of its
//! earlier calls may still be under way, so executions are counted per booking, over all its
//! tickets.

mod delivery;
mod faults;
pub mod random;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use delivery::{Delivery, Instance};
pub use faults::FaultMix;
use random::Random;
use serde_json::json;
use turmericrail_core::error_kind::{ErrorKind, Outcome};
use turmericrail_core::event::{Event, PlainRequest};
use turmericrail_core::ids::{ConfigVersion, RequestId};
use turmericrail_core::units::Millis;

const INSTANCE_COUNT: u64 = 5;
const BOOKING_INTERVAL_MS: u64 = 60;
const TICK_INTERVAL_MS: u64 = 50;
/// Time at the end without new bookings and faults, in which the remaining calls end.
const SETTLE_MS: u64 = 40_000;
const ROUTE_TIMEOUT_MS: u64 = 2_000;
/// Limit on the tickets that the caller of one booking requests.
const MAX_TICKETS: usize = 3;

/// A request at one run of an instance: index of the instance, incarnation, request.
pub type RequestKey = (usize, u64, RequestId);

/// Executions and answers of the calls with one ticket.
#[derive(Debug, Default)]
pub struct TicketRecord {
    pub booking: u64,
    pub executions: u64,
    pub outcomes: BTreeSet<&'static str>,
    /// Whether the caller received `not_run` and turned to another ticket.
    pub is_abandoned: bool,
}

/// Who waits for the answer to a request.
#[derive(Clone, Debug)]
pub enum Requester {
    Ticket { booking: u64 },
    Caller { ticket: String },
    Peer { origin: RequestKey, ticket: String },
}

/// Bookings of one run, counted by execution and by the answers that their callers received.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    pub bookings: u64,
    pub executed: u64,
    pub answered_completed: u64,
    pub answered_not_run: u64,
    pub unknown_executed: u64,
    pub unknown_not_executed: u64,
    pub unanswered: u64,
}

pub struct Simulation {
    pub random: Random,
    pub mix: FaultMix,
    pub now_ms: u64,
    instances: Vec<Instance>,
    queue: BTreeMap<(u64, u64), Delivery>,
    next_number: u64,
    requesters: BTreeMap<RequestKey, Requester>,
    answered_requests: BTreeSet<RequestKey>,
    tickets: BTreeMap<String, TicketRecord>,
    bookings: BTreeMap<u64, Vec<String>>,
    is_partitioned: bool,
    config_version: u64,
    documents: Vec<serde_json::Value>,
}

impl Simulation {
    pub fn new(seed: u64, mix: FaultMix) -> Self {
        let mut simulation = Self {
            random: Random::new(seed),
            mix,
            now_ms: 0,
            instances: Vec::new(),
            queue: BTreeMap::new(),
            next_number: 1,
            requesters: BTreeMap::new(),
            answered_requests: BTreeSet::new(),
            tickets: BTreeMap::new(),
            bookings: BTreeMap::new(),
            is_partitioned: false,
            config_version: 1,
            documents: vec![document(1, true, false, 3)],
        };
        for index in 0..INSTANCE_COUNT as usize {
            simulation.instances.push(Instance::new(index));
        }
        for index in 0..INSTANCE_COUNT as usize {
            simulation.start_instance(index);
        }
        simulation
    }

    /// Makes the bookings, lets every call end and counts the results.
    pub fn run(mut self, bookings: u64) -> Tally {
        self.advance(5_000);
        for booking in 0..bookings {
            self.request_ticket(booking);
            self.inject_faults();
            self.advance(BOOKING_INTERVAL_MS);
        }
        self.end_faults();
        self.advance(SETTLE_MS);
        self.tally()
    }

    fn advance(&mut self, span_ms: u64) {
        let end_ms = self.now_ms + span_ms;
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > end_ms {
                break;
            }
            let ((at_ms, _), delivery) = entry.remove_entry();
            self.now_ms = self.now_ms.max(at_ms);
            self.deliver(delivery);
        }
        self.now_ms = end_ms;
    }

    pub(self) fn schedule(&mut self, delay_ms: u64, delivery: Delivery) {
        let number = self.next_number;
        self.next_number += 1;
        self.queue.insert((self.now_ms + delay_ms, number), delivery);
    }

    pub(self) fn next_request_id(&mut self) -> RequestId {
        self.next_number += 1;
        RequestId(self.next_number)
    }

    fn request_ticket(&mut self, booking: u64) {
        if self.bookings.entry(booking).or_default().len() >= MAX_TICKETS {
            return;
        }
        let instance = self.random.below(INSTANCE_COUNT) as usize;
        let request = self.next_request_id();
        let key = (instance, self.instances[instance].incarnation, request);
        self.requesters.insert(key, Requester::Ticket { booking });
        self.schedule(
            1,
            Delivery::ToNode(key.0, key.1, Event::TicketRequest { request, count: 1 }),
        );
    }

    /// Sends copies of a booking's call to random instances, some at the same time.
    fn send_copies(&mut self, booking: u64, ticket: String) {
        self.tickets.insert(ticket.clone(), TicketRecord { booking, ..TicketRecord::default() });
        self.bookings.entry(booking).or_default().push(ticket.clone());
        let copies = 1 + self.random.below(3);
        for _ in 0..copies {
            let delays = [1, 1, 200, 900, 2_500, 6_000];
            let delay_ms = delays[self.random.below(delays.len() as u64) as usize];
            let instance = self.random.below(INSTANCE_COUNT) as usize;
            self.schedule(delay_ms, Delivery::Copy { instance, ticket: ticket.clone() });
        }
    }

    pub(self) fn plain_request(
        &self,
        request: RequestId,
        ticket: &str,
        is_forwarded: bool,
    ) -> PlainRequest {
        PlainRequest {
            request,
            method: "POST".to_owned(),
            path: "/slots/7/bookings".to_owned(),
            ticket: Some(ticket.to_owned()),
            is_forwarded,
            fingerprint: self.tickets[ticket].booking,
        }
    }

    /// Records that a server executed a call and asserts that it was allowed to.
    pub(self) fn record_execution(&mut self, ticket: &str) {
        let record = self.tickets.get_mut(ticket).unwrap();
        record.executions += 1;
        let booking = record.booking;
        assert!(
            !record.outcomes.contains("not_run"),
            "a call was executed after the answer not_run"
        );
        let executions: u64 =
            self.bookings[&booking].iter().map(|ticket| self.tickets[ticket].executions).sum();
        assert_eq!(executions, 1, "booking {booking} was executed twice");
    }

    /// Records a caller's final answer and asserts that it agrees with the executions.
    pub(self) fn record_answer(&mut self, ticket: &str, outcome: Outcome) {
        let record = self.tickets.get_mut(ticket).unwrap();
        record.outcomes.insert(outcome.as_str());
        let booking = record.booking;
        match outcome {
            Outcome::Completed => assert_eq!(
                record.executions, 1,
                "a call was answered as completed without an execution"
            ),
            Outcome::NotRun => {
                assert_eq!(record.executions, 0, "a call that was executed was answered not_run");
                if !std::mem::replace(&mut record.is_abandoned, true) {
                    self.request_ticket(booking);
                }
            }
            Outcome::Unknown => {}
        }
    }

    pub(self) fn handle_final_answer(
        &mut self,
        key: RequestKey,
        outcome: Outcome,
        kind: Option<ErrorKind>,
    ) {
        assert!(self.answered_requests.insert(key), "request {key:?} was answered twice");
        match self.requesters.get(&key).cloned() {
            Some(Requester::Caller { ticket }) => self.record_answer(&ticket, outcome),
            Some(Requester::Peer { origin, .. }) => self.reply_to_forwarder(key, origin, kind),
            Some(Requester::Ticket { .. }) | None => {}
        }
    }

    fn tally(&self) -> Tally {
        let mut tally = Tally::default();
        for tickets in self.bookings.values().filter(|tickets| !tickets.is_empty()) {
            let records = tickets.iter().map(|ticket| &self.tickets[ticket]);
            let executions: u64 = records.clone().map(|record| record.executions).sum();
            let has_outcome =
                |outcome| records.clone().any(|record| record.outcomes.contains(outcome));
            tally.bookings += 1;
            tally.executed += executions;
            match (has_outcome("completed"), has_outcome("unknown"), executions) {
                (true, _, _) => tally.answered_completed += 1,
                (false, true, 0) => tally.unknown_not_executed += 1,
                (false, true, _) => tally.unknown_executed += 1,
                (false, false, _) if has_outcome("not_run") => tally.answered_not_run += 1,
                (false, false, _) => tally.unanswered += 1,
            }
        }
        tally
    }
}

/// A configuration document with one route and `servers` plain servers.
fn document(version: u64, has_route: bool, is_idempotent: bool, servers: u64) -> serde_json::Value {
    let ids: Vec<_> = (1..=servers).map(|number| format!("plain-{number}")).collect();
    let mut servers_by_id = serde_json::Map::new();
    for (number, id) in ids.iter().enumerate() {
        let address = SocketAddr::from(([127, 0, 0, 1], 9_001 + number as u16));
        let data_centre = format!("dc-{}", number % 2);
        servers_by_id.insert(
            id.clone(),
            json!({"data_centre": data_centre, "address": address.to_string(), "role": "plain"}),
        );
    }
    let mut routes = serde_json::Map::new();
    if has_route {
        routes.insert(
            "book".to_owned(),
            json!({
                "method": "POST", "path": "/slots/{slot}/bookings", "idempotent": is_idempotent,
                "timeout_ms": ROUTE_TIMEOUT_MS, "servers": ids,
            }),
        );
    }
    json!({"version": version, "routes": routes, "servers": servers_by_id})
}

fn config_event(documents: &[serde_json::Value], version: u64) -> Event {
    Event::ConfigDocument(ConfigVersion(version), documents[version as usize - 1].clone())
}

fn millis(value_ms: u64) -> Millis {
    Millis(value_ms)
}
