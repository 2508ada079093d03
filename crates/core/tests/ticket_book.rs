//! The home's account of its tickets: one run a ticket, bounded memory.

use std::collections::BTreeSet;

use quickcheck::{Gen, QuickCheck};
use turmericrail_core::at_most_once::{
    CopyDecision, TICKET_LIFETIME_MS, TicketLimits, TicketTable,
};
use turmericrail_core::ids::RequestId;
use turmericrail_core::units::{Bytes, Millis};

const LIMITS: TicketLimits = TicketLimits { max_records: 8, max_answer_bytes: Bytes(100) };
const START_MS: Millis = Millis(1_000);

fn admit(book: &mut TicketTable<u64>, now_ms: Millis, serial: u64) -> CopyDecision<u64> {
    book.admit(now_ms, serial, START_MS, 7, RequestId(serial))
}

/// Issues, spends, answers and expires in the order of `steps`.
fn runs_once(steps: Vec<(u8, u8)>) -> bool {
    let mut book = TicketTable::new(LIMITS);
    let (mut now_ms, mut issued, mut running) = (START_MS, 0, BTreeSet::new());
    let mut run = BTreeSet::new();
    for (step, value) in steps {
        match step % 4 {
            0 => issued = book.issue(now_ms),
            1 => {
                let serial = u64::from(value) % (issued + 2);
                if admit(&mut book, now_ms, serial) == CopyDecision::Run {
                    let is_issued = (1..=issued).contains(&serial);
                    if !is_issued || !run.insert(serial) {
                        return false;
                    }
                    running.insert(serial);
                }
            }
            2 => {
                let Some(serial) = running.pop_first() else {
                    continue;
                };
                book.record_answer(serial, serial, Bytes(u64::from(value)));
            }
            _ => {
                now_ms = now_ms + Millis(u64::from(value) * 2_000);
                book.expire(now_ms);
            }
        }
        let has_room = book.len() <= LIMITS.max_records + running.len();
        if !has_room || book.answer_bytes() > LIMITS.max_answer_bytes {
            return false;
        }
    }
    true
}

#[test]
fn one_run() {
    let generator = Gen::from_size_and_seed(400, 11);
    let mut check = QuickCheck::new().rng(generator).tests(2_000);
    check.quickcheck(runs_once as fn(Vec<(u8, u8)>) -> bool);
}

#[test]
fn dropped_answer() {
    let mut book = TicketTable::new(LIMITS);
    let (first, second) = (book.issue(START_MS), book.issue(START_MS));
    for serial in [first, second] {
        assert_eq!(admit(&mut book, START_MS, serial), CopyDecision::Run);
        book.record_answer(serial, serial, Bytes(60));
    }
    assert_eq!(admit(&mut book, START_MS, first), CopyDecision::Forgotten);
    assert_eq!(admit(&mut book, START_MS, second), CopyDecision::Replay(second));
}

#[test]
fn dropped_record() {
    let mut book = TicketTable::new(LIMITS);
    let unspent = book.issue(START_MS);
    let serials: Vec<_> = (0..=LIMITS.max_records).map(|_| book.issue(START_MS)).collect();
    for serial in &serials {
        assert_eq!(admit(&mut book, START_MS, *serial), CopyDecision::Run);
        book.record_answer(*serial, 0, Bytes(1));
    }
    assert_eq!(book.len(), LIMITS.max_records);
    assert_eq!(admit(&mut book, START_MS, serials[0]), CopyDecision::Forgotten);
    assert_eq!(admit(&mut book, START_MS, unspent), CopyDecision::Forgotten);
}

#[test]
fn ticket_life() {
    let mut book: TicketTable<u64> = TicketTable::new(LIMITS);
    let (spent, unspent) = (book.issue(START_MS), book.issue(START_MS));
    assert_eq!(admit(&mut book, START_MS, spent), CopyDecision::Run);
    let end_ms = START_MS + TICKET_LIFETIME_MS;
    book.expire(end_ms);
    assert_eq!(admit(&mut book, end_ms, spent), CopyDecision::Wait);
    assert_eq!(admit(&mut book, end_ms, unspent), CopyDecision::Forgotten);
    book.record_answer(spent, 0, Bytes(1));
    book.expire(end_ms);
    assert!(book.is_empty());
    assert_eq!(admit(&mut book, end_ms, spent), CopyDecision::Forgotten);
}

#[test]
fn other_call() {
    let mut book: TicketTable<u64> = TicketTable::new(LIMITS);
    let serial = book.issue(START_MS);
    assert_eq!(admit(&mut book, START_MS, serial), CopyDecision::Run);
    let other = book.admit(START_MS, serial, START_MS, 8, RequestId(9));
    assert_eq!(other, CopyDecision::Mismatch);
}
