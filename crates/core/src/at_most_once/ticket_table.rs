//! Records of the tickets that one run of an instance issued and that were spent.
//!
//! A ticket is recorded as spent before the first byte of its call is sent, and never becomes
//! spendable again: if the call can't be sent, that error is recorded as the answer. Copies that
//! arrive while the call runs wait for its answer; later ones get the recorded answer.
//!
//! Unspent tickets take no memory. Records of spent ones are bounded in count and bytes. When a
//! record is dropped, serials up to its own can no longer be spent, whatever the clock says, so
//! that a dropped ticket can't run again.

use std::collections::{BTreeMap, VecDeque};

use crate::ids::RequestId;
use crate::units::{Bytes, Millis};

/// Time for which a ticket can be spent and its answer is kept.
pub const TICKET_LIFETIME_MS: Millis = Millis(600_000);

/// Bounds on the records of spent tickets.
#[derive(Clone, Copy, Debug)]
pub struct TicketLimits {
    /// Exceeded only if the calls of all recorded tickets are running.
    pub max_records: usize,
    /// Total size of the recorded answers.
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
    /// The ticket expired, or its record or answer was dropped: whether the call ran is not known.
    Forgotten,
    /// The ticket was spent by another call.
    Mismatch,
}

#[derive(Clone, Debug)]
enum TicketState<A> {
    /// The call is running; these requests wait for its answer.
    Running(Vec<RequestId>),
    /// The recorded answer and its size.
    Answered(A, Bytes),
    AnswerEvicted,
}

#[derive(Clone, Debug)]
struct Record<A> {
    issued_ms: Millis,
    /// Hash of the call that spent the ticket.
    fingerprint: u64,
    state: TicketState<A>,
}

/// Tickets issued by one run of an instance; `A` is the type of an answer.
#[derive(Clone, Debug)]
pub struct TicketTable<A> {
    limits: TicketLimits,
    next_serial: u64,
    last_issued_ms: Option<Millis>,
    spent_count: u64,
    /// Serials up to this one can't be spent.
    highest_dropped_serial: u64,
    /// Spent tickets by serial.
    records: BTreeMap<u64, Record<A>>,
    /// Serials of answered tickets, oldest answer first.
    answer_order: VecDeque<u64>,
    answer_bytes: Bytes,
}

impl<A: Clone> Default for TicketTable<A> {
    fn default() -> Self {
        Self::new(TicketLimits::default())
    }
}

impl<A: Clone> TicketTable<A> {
    /// A table without tickets.
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

    /// Issues a ticket and returns its serial number.
    pub fn issue(&mut self, now_ms: Millis) -> u64 {
        let serial = self.next_serial;
        self.next_serial += 1;
        self.last_issued_ms = Some(now_ms);
        serial
    }

    /// Decides on one copy of the call of a ticket; the first copy spends the ticket.
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

    /// Records the answer of a running ticket and returns the requests that wait for it.
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

    /// Drops records of tickets past their lifetime, except those still running.
    pub fn expire(&mut self, now_ms: Millis) {
        let is_expired = |record: &Record<A>| now_ms - record.issued_ms >= TICKET_LIFETIME_MS;
        let expired = self.records.iter().take_while(|(_, record)| is_expired(record));
        let serials: Vec<_> = expired.map(|(serial, _)| *serial).collect();
        for serial in serials {
            self.remove(serial);
        }
    }

    /// Whether a ticket that was issued in the last `within_ms` may still be unspent.
    pub fn has_recent_unspent(&self, now_ms: Millis, within_ms: Millis) -> bool {
        let has_unspent = self.next_serial - 1 > self.spent_count;
        has_unspent && self.last_issued_ms.is_some_and(|issued_ms| now_ms - issued_ms < within_ms)
    }

    /// Number of spent tickets on record.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no spent ticket is on record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Total size of the recorded answers.
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

    /// Drops leading serials without a record, so that the queue does not outgrow the records.
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
