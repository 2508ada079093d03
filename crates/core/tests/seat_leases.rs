//! Leases on the seats of one engine: grants, adoption, ends and checks.

use turmericrail_core::ids::{Incarnation, StreamId};
use turmericrail_core::leases::lease_table::{FIRST_CHECK_MS, LEASE_MS};
use turmericrail_core::leases::{EngineCapacity, LeaseTable};
use turmericrail_core::report::{HeldStream, Holder, LoadReport};
use turmericrail_core::units::{KvPieces, Millis, Streams};

const NOW_MS: Millis = Millis(1_000);

fn holder(incarnation: u64) -> Holder {
    Holder { instance: "i1".parse().unwrap(), incarnation: Incarnation(incarnation) }
}

fn stream(number: u64) -> StreamId {
    format!("s{number}").parse().unwrap()
}

fn ledger() -> LeaseTable {
    LeaseTable::new(EngineCapacity { streams: Streams(2), pieces: KvPieces(10) })
}

fn report(held_by: u64) -> LoadReport {
    let held = HeldStream { holder: holder(held_by), kv_pieces: KvPieces(4) };
    LoadReport { held: [(stream(1), held)].into(), ..LoadReport::default() }
}

#[test]
fn limits_kept() {
    let mut ledger = ledger();
    assert!(ledger.grant(NOW_MS, &stream(1), &holder(1), KvPieces(8)));
    assert!(!ledger.grant(NOW_MS, &stream(2), &holder(1), KvPieces(3)));
    assert!(ledger.grant(NOW_MS, &stream(2), &holder(1), KvPieces(2)));
    assert!(!ledger.grant(NOW_MS, &stream(3), &holder(1), KvPieces(0)));
    assert!(ledger.grant(NOW_MS, &stream(1), &holder(1), KvPieces(8)), "repeated request");
    assert!(!ledger.grant(NOW_MS, &stream(1), &holder(2), KvPieces(8)), "another holder");
}

#[test]
fn dead_holder() {
    let mut ledger = ledger();
    ledger.reconcile(NOW_MS, &report(1));
    let end_ms = NOW_MS + LEASE_MS;
    assert!(ledger.expire(end_ms - Millis(1), |_| false).is_empty());
    assert_eq!(ledger.expire(end_ms, |_| false), vec![(stream(1), holder(1))]);
}

#[test]
fn holder_moved() {
    let mut ledger = ledger();
    ledger.reconcile(NOW_MS, &report(1));
    ledger.reconcile(NOW_MS, &report(2));
    let is_second = |found: &Holder| *found == holder(2);
    assert!(ledger.expire(NOW_MS + LEASE_MS, is_second).is_empty());
    assert_eq!(ledger.leases()[&stream(1)].holder, holder(2));
}

#[test]
fn live_holder_checked() {
    let mut ledger = ledger();
    ledger.grant(NOW_MS, &stream(1), &holder(1), KvPieces(1));
    assert!(ledger.due_lease_checks(NOW_MS + FIRST_CHECK_MS - Millis(1)).is_empty());
    assert_eq!(ledger.due_lease_checks(NOW_MS + FIRST_CHECK_MS), vec![(stream(1), holder(1))]);
    assert!(ledger.due_lease_checks(NOW_MS + FIRST_CHECK_MS).is_empty());
}
