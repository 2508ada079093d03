//! The table of tickets at the instance that issued them: each ticket runs one call at most, and
//! memory is bounded.

use std::collections::BTreeSet;

use quickcheck::{Gen, QuickCheck};
use turmericrail_core::at_most_once::{
    CopyDecision, TICKET_LIFETIME_MS, TicketLimits, TicketTable,
};
use turmericrail_core::ids::RequestId;
use turmericrail_core::units::{Bytes, Millis};

const LIMITS: TicketLimits = TicketLimits { max_records: 8, max_answer_bytes: Bytes(100) };
const START_MS: Millis = Millis(1_000);

fn admit(table: &mut TicketTable<u64>, now_ms: Millis, serial: u64) -> CopyDecision<u64> {
    table.admit(now_ms, serial, START_MS, 7, RequestId(serial))
}

/// Issues, spends, answers and expires tickets in the order of `steps`; returns whether each ticket
/// ran once at most and the table kept its limits.
fn runs_at_most_once(steps: Vec<(u8, u8)>) -> bool {
    let mut table = TicketTable::new(LIMITS);
    let (mut now_ms, mut issued, mut running) = (START_MS, 0, BTreeSet::new());
    let mut executed = BTreeSet::new();
    for (step, value) in steps {
        match step % 4 {
            0 => issued = table.issue(now_ms),
            1 => {
                let serial = u64::from(value) % (issued + 2);
                if admit(&mut table, now_ms, serial) == CopyDecision::Run {
                    let is_issued = (1..=issued).contains(&serial);
                    if !is_issued || !executed.insert(serial) {
                        return false;
                    }
                    running.insert(serial);
                }
            }
            2 => {
                let Some(serial) = running.pop_first() else {
                    continue;
                };
                table.record_answer(serial, serial, Bytes(u64::from(value)));
            }
            _ => {
                now_ms = now_ms + Millis(u64::from(value) * 2_000);
                table.expire(now_ms);
            }
        }
        let has_room = table.len() <= LIMITS.max_records + running.len();
        if !has_room || table.answer_bytes() > LIMITS.max_answer_bytes {
            return false;
        }
    }
    true
}

#[test]
fn ticket_runs_at_most_one_call() {
    let generator = Gen::from_size_and_seed(400, 11);
    let mut check = QuickCheck::new().rng(generator).tests(2_000);
    check.quickcheck(runs_at_most_once as fn(Vec<(u8, u8)>) -> bool);
}

#[test]
fn oldest_answer_is_dropped_at_limit() {
    let mut table = TicketTable::new(LIMITS);
    let (first, second) = (table.issue(START_MS), table.issue(START_MS));
    for serial in [first, second] {
        assert_eq!(admit(&mut table, START_MS, serial), CopyDecision::Run);
        table.record_answer(serial, serial, Bytes(60));
    }
    assert_eq!(admit(&mut table, START_MS, first), CopyDecision::Forgotten);
    assert_eq!(admit(&mut table, START_MS, second), CopyDecision::Replay(second));
}

#[test]
fn oldest_record_is_dropped_at_limit() {
    let mut table = TicketTable::new(LIMITS);
    let unspent = table.issue(START_MS);
    let serials: Vec<_> = (0..=LIMITS.max_records).map(|_| table.issue(START_MS)).collect();
    for serial in &serials {
        assert_eq!(admit(&mut table, START_MS, *serial), CopyDecision::Run);
        table.record_answer(*serial, 0, Bytes(1));
    }
    assert_eq!(table.len(), LIMITS.max_records);
    assert_eq!(admit(&mut table, START_MS, serials[0]), CopyDecision::Forgotten);
    assert_eq!(admit(&mut table, START_MS, unspent), CopyDecision::Forgotten);
}

#[test]
fn ticket_expires_after_lifetime() {
    let mut table: TicketTable<u64> = TicketTable::new(LIMITS);
    let (spent, unspent) = (table.issue(START_MS), table.issue(START_MS));
    assert_eq!(admit(&mut table, START_MS, spent), CopyDecision::Run);
    let end_ms = START_MS + TICKET_LIFETIME_MS;
    table.expire(end_ms);
    assert_eq!(admit(&mut table, end_ms, spent), CopyDecision::Wait);
    assert_eq!(admit(&mut table, end_ms, unspent), CopyDecision::Forgotten);
    table.record_answer(spent, 0, Bytes(1));
    table.expire(end_ms);
    assert!(table.is_empty());
    assert_eq!(admit(&mut table, end_ms, spent), CopyDecision::Forgotten);
}

#[test]
fn other_call_with_spent_ticket_is_mismatch() {
    let mut table: TicketTable<u64> = TicketTable::new(LIMITS);
    let serial = table.issue(START_MS);
    assert_eq!(admit(&mut table, START_MS, serial), CopyDecision::Run);
    let other = table.admit(START_MS, serial, START_MS, 8, RequestId(9));
    assert_eq!(other, CopyDecision::Mismatch);
}
