//! Idle prefill engines become decode engines while places are scarce, and never too many.

mod forward_support;

use forward_support::{forwarder, number, service_id};
use turmericrail_core::config::ServerRole::{Decode, Prefill};
use turmericrail_core::forward::{ReportedLoad, should_shift};
use turmericrail_core::units::Millis;

#[test]
fn both_signals() {
    assert!(should_shift(49, 91, Some(0.6), true));
    assert!(!should_shift(49, 91, Some(0.6), false));
    assert!(!should_shift(49, 91, Some(4.0), true));
    assert!(!should_shift(49, 91, None, true));
}

#[test]
fn lower_bound() {
    let mut prefill = 49;
    while should_shift(prefill, 140 - prefill, Some(0.0), true) {
        prefill -= 1;
    }
    assert_eq!(prefill, 34);
    assert!(!should_shift(1, 1, Some(0.0), true));
}

#[test]
fn scarce_places() {
    // Every new call finds the engines full while prefills end on empty engines.
    let servers: Vec<_> = ["dc-a", "dc-a", "dc-a", "dc-b"]
        .map(|data_centre| (Prefill, data_centre))
        .into_iter()
        .chain([(Decode, "dc-a"), (Decode, "dc-b")])
        .collect();
    let mut forwarder = forwarder(&servers);
    let service = service_id();
    let now_ms = Millis(1_000);
    assert!(forwarder.engine_to_shift(now_ms, &service, &[]).is_none());
    for _ in 0..10 {
        forwarder.note_place(now_ms, &service, false);
        forwarder.note_prefill_load(&service, ReportedLoad { running: 0, waiting: 0, slots: 64 });
    }
    let first = forwarder.engine_to_shift(now_ms, &service, &[]).unwrap();
    assert!(number(&first) <= 3, "the data centre with most prefill engines gives one");
    let skipped = [first.run];
    let second = forwarder.engine_to_shift(now_ms, &service, &skipped).unwrap();
    assert_ne!(second.run, skipped[0]);
    assert!(forwarder.engine_to_shift(Millis(60_000), &service, &[]).is_none());
}
