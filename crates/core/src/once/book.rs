//! The home's account of the tickets it issued.
//!
//! A ticket is marked as spent before the first byte of its call is written and is never unmarked.
//! Copies that arrive while the call runs wait for its answer; later ones get the recorded answer.
//! Answers are kept for a while; after that a spent ticket is answered with `unknown`.

use std::collections::BTreeMap;

use crate::ids::RequestId;
use crate::units::Millis;

/// Time that a ticket can be spent and an answer is kept.
pub const TICKET_LIFE_MS: Millis = Millis(600_000);

/// State of one ticket.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TicketState<A> {
    /// Issued and not spent.
    Open,
    /// Spent; these requests wait for the answer.
    Running(Vec<RequestId>),
    /// Spent and answered.
    Answered(A),
}

/// What to do with a copy of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Admission<A> {
    /// Run it: this is the first copy.
    Run,
    /// Wait: the first copy is running.
    Wait,
    /// Give this recorded answer.
    Replay(A),
    /// The ticket's record is no longer kept: what happened is not known.
    Forgotten,
}

/// Tickets issued by one run.
#[derive(Clone, Debug)]
pub struct TicketBook<A> {
    next_serial: u64,
    records: BTreeMap<u64, (Millis, TicketState<A>)>,
}

impl<A: Clone> Default for TicketBook<A> {
    fn default() -> Self {
        Self { next_serial: 1, records: BTreeMap::new() }
    }
}

impl<A: Clone> TicketBook<A> {
    /// Issues the next serial number.
    pub fn issue(&mut self, now_ms: Millis) -> u64 {
        let serial = self.next_serial;
        self.next_serial += 1;
        self.records.insert(serial, (now_ms, TicketState::Open));
        serial
    }

    /// Admits one copy of the call of a ticket.
    pub fn admit(&mut self, serial: u64, request: RequestId) -> Admission<A> {
        let Some((_, state)) = self.records.get_mut(&serial) else {
            return Admission::Forgotten;
        };
        match state {
            TicketState::Open => {
                *state = TicketState::Running(vec![request]);
                Admission::Run
            }
            TicketState::Running(waiting) => {
                waiting.push(request);
                Admission::Wait
            }
            TicketState::Answered(answer) => Admission::Replay(answer.clone()),
        }
    }

    /// Records the answer and returns the requests that wait for it.
    pub fn answer(&mut self, serial: u64, answer: A) -> Vec<RequestId> {
        let Some((_, state)) = self.records.get_mut(&serial) else {
            return Vec::new();
        };
        match std::mem::replace(state, TicketState::Answered(answer)) {
            TicketState::Running(waiting) => waiting,
            TicketState::Open => panic!("a ticket was answered that was never spent"),
            TicketState::Answered(_) => panic!("a ticket was answered twice"),
        }
    }

    /// Makes a ticket open again whose call was never written to a server, and returns the
    /// requests that wait for it.
    pub fn reopen(&mut self, serial: u64) -> Vec<RequestId> {
        let Some((_, state)) = self.records.get_mut(&serial) else {
            return Vec::new();
        };
        match std::mem::replace(state, TicketState::Open) {
            TicketState::Running(waiting) => waiting,
            TicketState::Open | TicketState::Answered(_) => {
                panic!("reopened a ticket that was not running")
            }
        }
    }

    /// Drops records past their life, except those still running.
    pub fn expire(&mut self, now_ms: Millis) {
        self.records.retain(|_, (issued_ms, state)| {
            matches!(state, TicketState::Running(_)) || now_ms - *issued_ms < TICKET_LIFE_MS
        });
    }

    /// Tickets on record.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no ticket is on record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
