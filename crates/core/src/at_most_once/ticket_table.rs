//! The home's account of the tickets it issued.
//!
//! A ticket is recorded as spent before the first byte of its call is written, and no record ever
//! becomes spendable again: a call that could not be sent closes its ticket with that answer.
//! Copies that arrive while the call runs wait for its answer; later ones get the recorded answer.
//!
//! Unspent tickets take no memory. Records of spent ones are bounded in count and bytes. A record
//! that is dropped raises a floor: serials at or below it can't be spent, whatever the clock
//! says.

use std::collections::{BTreeMap, VecDeque};

use crate::ids::RequestId;
use crate::units::{Bytes, Millis};

/// Time that a ticket can be spent and an answer is kept.
pub const TICKET_LIFETIME_MS: Millis = Millis(600_000);

/// Bounds on what is kept of spent tickets.
#[derive(Clone, Copy, Debug)]
pub struct TicketLimits {
    /// Most records.
    pub max_records: usize,
    /// Most bytes of recorded answers.
    pub max_answer_bytes: Bytes,
}

impl Default for TicketLimits {
    fn default() -> Self {
        Self { max_records: 50_000, max_answer_bytes: Bytes(32 << 20) }
    }
}

/// What to do with a copy of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CopyDecision<A> {
    /// Run it: this is the first copy.
    Run,
    /// Wait: the first copy is running.
    Wait,
    /// Give this recorded answer.
    Replay(A),
    /// The ticket's record or answer is no longer kept: what happened is not known.
    Forgotten,
    /// The ticket was spent by another call.
    Mismatch,
}

#[derive(Clone, Debug)]
enum TicketState<A> {
    Running(Vec<RequestId>),
    Answered(A, Bytes),
    AnswerEvicted,
}

#[derive(Clone, Debug)]
struct Record<A> {
    issued_ms: Millis,
    fingerprint: u64,
    state: TicketState<A>,
}

/// Tickets issued by one run.
#[derive(Clone, Debug)]
pub struct TicketTable<A> {
    limits: TicketLimits,
    next_serial: u64,
    last_issued_ms: Option<Millis>,
    spent_count: u64,
    highest_dropped_serial: u64,
    records: BTreeMap<u64, Record<A>>,
    answer_order: VecDeque<u64>,
    answer_bytes: Bytes,
}

impl<A: Clone> Default for TicketTable<A> {
    fn default() -> Self {
        Self::new(TicketLimits::default())
    }
}

impl<A: Clone> TicketTable<A> {
    /// An empty book.
    pub fn new(limits: TicketLimits) -> Self {
        Self {
            limits,
            next_serial: 1,
            last_issued_ms: None,
            spent_count: 0,
            highest_dropped_serial: 0,
            records: BTreeMap::new(),
            answer_order: VecDeque::new(),
            answer_bytes: Bytes::ZERO,
        }
    }

    /// Issues the next serial number.
    pub fn issue(&mut self, now_ms: Millis) -> u64 {
        let serial = self.next_serial;
        self.next_serial += 1;
        self.last_issued_ms = Some(now_ms);
        serial
    }

    /// Admits one copy of the call of a ticket.
    pub fn admit(
        &mut self,
        now_ms: Millis,
        serial: u64,
        issued_ms: Millis,
        fingerprint: u64,
        request: RequestId,
    ) -> CopyDecision<A> {
        if let Some(record) = self.records.get_mut(&serial) {
            return record.admit_duplicate(fingerprint, request);
        }
        let is_spendable_serial = serial > self.highest_dropped_serial && serial < self.next_serial;
        if !is_spendable_serial || now_ms - issued_ms >= TICKET_LIFETIME_MS {
            return CopyDecision::Forgotten;
        }
        let state = TicketState::Running(vec![request]);
        self.records.insert(serial, Record { issued_ms, fingerprint, state });
        self.spent_count += 1;
        self.evict_records();
        CopyDecision::Run
    }

    /// Records the answer, with its size, and returns the requests that wait for it.
    pub fn record_answer(&mut self, serial: u64, answer: A, size_bytes: Bytes) -> Vec<RequestId> {
        let record = self.records.get_mut(&serial).expect("a running ticket is on record");
        let state = std::mem::replace(&mut record.state, TicketState::Answered(answer, size_bytes));
        let TicketState::Running(waiting_requests) = state else {
            panic!("a ticket was answered that was not running");
        };
        self.answer_order.push_back(serial);
        self.answer_bytes = self.answer_bytes + size_bytes;
        self.evict_answers();
        waiting_requests
    }

    /// Drops records past their life, except those still running.
    pub fn expire(&mut self, now_ms: Millis) {
        let is_expired = |record: &Record<A>| now_ms - record.issued_ms >= TICKET_LIFETIME_MS;
        let expired = self.records.iter().take_while(|(_, record)| is_expired(record));
        let serials: Vec<_> = expired.map(|(serial, _)| *serial).collect();
        for serial in serials {
            self.remove(serial);
        }
    }

    /// Whether a ticket that was issued within `within_ms` may still be unspent.
    pub fn has_recent_unspent(&self, now_ms: Millis, within_ms: Millis) -> bool {
        let has_unspent = self.next_serial - 1 > self.spent_count;
        has_unspent && self.last_issued_ms.is_some_and(|issued_ms| now_ms - issued_ms < within_ms)
    }

    /// Spent tickets on record.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no spent ticket is on record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Bytes of recorded answers.
    pub fn answer_bytes(&self) -> Bytes {
        self.answer_bytes
    }

    fn remove(&mut self, serial: u64) {
        let Some(record) = self.records.get(&serial) else {
            return;
        };
        match record.state {
            TicketState::Running(_) => return,
            TicketState::Answered(_, size_bytes) => {
                self.answer_bytes = self.answer_bytes - size_bytes;
            }
            TicketState::AnswerEvicted => {}
        }
        self.records.remove(&serial);
        self.highest_dropped_serial = self.highest_dropped_serial.max(serial);
    }

    fn evict_records(&mut self) {
        while self.records.len() > self.limits.max_records {
            let is_finished = |record: &Record<A>| !matches!(record.state, TicketState::Running(_));
            let oldest = self.records.iter().find(|(_, record)| is_finished(record));
            let Some(serial) = oldest.map(|(serial, _)| *serial) else {
                return;
            };
            self.remove(serial);
        }
    }

    fn evict_answers(&mut self) {
        while self.answer_bytes > self.limits.max_answer_bytes {
            let Some(serial) = self.answer_order.pop_front() else {
                return;
            };
            let Some(record) = self.records.get_mut(&serial) else {
                continue;
            };
            if let TicketState::Answered(_, size_bytes) = record.state {
                self.answer_bytes = self.answer_bytes - size_bytes;
                record.state = TicketState::AnswerEvicted;
            }
        }
        self.trim_answer_order();
    }

    /// Keeps the order of answers from outgrowing the records.
    fn trim_answer_order(&mut self) {
        while let Some(serial) = self.answer_order.front() {
            if self.records.contains_key(serial) {
                return;
            }
            self.answer_order.pop_front();
        }
    }
}

impl<A: Clone> Record<A> {
    fn admit_duplicate(&mut self, fingerprint: u64, request: RequestId) -> CopyDecision<A> {
        if fingerprint != self.fingerprint {
            return CopyDecision::Mismatch;
        }
        match &mut self.state {
            TicketState::Running(waiting_requests) => {
                waiting_requests.push(request);
                CopyDecision::Wait
            }
            TicketState::Answered(answer, _) => CopyDecision::Replay(answer.clone()),
            TicketState::AnswerEvicted => CopyDecision::Forgotten,
        }
    }
}
