//! Leases on the seats of one engine: grants, adoption from reports, expiry and checks.

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

fn lease_table() -> LeaseTable {
    LeaseTable::new(EngineCapacity { streams: Streams(2), pieces: KvPieces(10) })
}

fn report(incarnation: u64) -> LoadReport {
    let held = HeldStream { holder: holder(incarnation), kv_pieces: KvPieces(4) };
    LoadReport { held: [(stream(1), held)].into(), ..LoadReport::default() }
}

#[test]
fn capacity_kept() {
    let mut table = lease_table();
    assert!(table.grant(NOW_MS, &stream(1), &holder(1), KvPieces(8)));
    assert!(!table.grant(NOW_MS, &stream(2), &holder(1), KvPieces(3)));
    assert!(table.grant(NOW_MS, &stream(2), &holder(1), KvPieces(2)));
    assert!(!table.grant(NOW_MS, &stream(3), &holder(1), KvPieces(0)));
    assert!(table.grant(NOW_MS, &stream(1), &holder(1), KvPieces(8)), "repeated request");
    assert!(!table.grant(NOW_MS, &stream(1), &holder(2), KvPieces(8)), "another holder");
}

#[test]
fn expired_lease() {
    let mut table = lease_table();
    table.reconcile(NOW_MS, &report(1));
    let end_ms = NOW_MS + LEASE_MS;
    assert!(table.expire(end_ms - Millis(1), |_| false).is_empty());
    assert_eq!(table.expire(end_ms, |_| false), vec![(stream(1), holder(1))]);
}

#[test]
fn report_changes_holder() {
    let mut table = lease_table();
    table.reconcile(NOW_MS, &report(1));
    table.reconcile(NOW_MS, &report(2));
    let is_second_holder = |found: &Holder| *found == holder(2);
    assert!(table.expire(NOW_MS + LEASE_MS, is_second_holder).is_empty());
    assert_eq!(table.leases()[&stream(1)].holder, holder(2));
}

#[test]
fn live_holder_checked() {
    let mut table = lease_table();
    table.grant(NOW_MS, &stream(1), &holder(1), KvPieces(1));
    assert!(table.take_due_lease_checks(NOW_MS + FIRST_CHECK_MS - Millis(1)).is_empty());
    assert_eq!(table.take_due_lease_checks(NOW_MS + FIRST_CHECK_MS), vec![(stream(1), holder(1))]);
    assert!(table.take_due_lease_checks(NOW_MS + FIRST_CHECK_MS).is_empty());
}
