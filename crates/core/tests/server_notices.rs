//! Servers that say that they are leaving or want no calls for a while.

mod forward_support;

use forward_support::{forwarder, server_entry, server_number, server_update, service_id};
use turmericrail_core::config::ServerRole::Plain;
use turmericrail_core::forward::{Forwarder, ServerEntry, ServerRun};
use turmericrail_core::units::{Millis, WallMillis};

/// Numbers of the servers that calls go to.
fn chosen(forwarder: &Forwarder, now_ms: u64) -> Vec<u16> {
    let choose = |random: u64| {
        let random = random.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        forwarder.choose_plain(Millis(now_ms), &service_id(), true, &[], random)
    };
    let mut numbers: Vec<_> =
        (0..64).filter_map(choose).map(|choice| server_number(&choice)).collect();
    numbers.sort_unstable();
    numbers.dedup();
    numbers
}

fn run_of(number: u16, started_ms: u64) -> ServerRun {
    ServerRun { server: format!("s{number}").parse().unwrap(), started_ms: WallMillis(started_ms) }
}

#[test]
fn leaving_run() {
    // The registry goes on to call it ready, and a later run of the same server is not meant.
    let mut forwarder = forwarder(&[(Plain, "dc-a"), (Plain, "dc-a")]);
    assert!(forwarder.record_leaving(Millis(0), &run_of(1, 1)));
    assert!(!forwarder.record_leaving(Millis(0), &run_of(1, 1)));
    let entry = server_entry(1, Plain, "dc-a");
    forwarder.apply_server_update(Millis(0), server_update(1, 10, Some(entry.clone())));
    forwarder.expire(Millis(90_000));
    assert_eq!(chosen(&forwarder, 90_000), [2]);
    let restarted = ServerEntry { started_ms: WallMillis(2), ..entry };
    forwarder.apply_server_update(Millis(90_000), server_update(1, 11, Some(restarted)));
    assert_eq!(chosen(&forwarder, 90_000), [1, 2]);
    forwarder.expire(Millis(90_000));
    assert_eq!(forwarder.leaving_runs().iter().count(), 0);
}

#[test]
fn told_by_others() {
    // Instances don't remind each other of runs that none of them has registered any more.
    let mut forwarder = forwarder(&[(Plain, "dc-a"), (Plain, "dc-a")]);
    assert!(!forwarder.record_told_leaving(Millis(0), &run_of(1, 7)));
    assert!(forwarder.record_told_leaving(Millis(0), &run_of(1, 1)));
    assert_eq!(chosen(&forwarder, 0), [2]);
}

#[test]
fn closed_server() {
    let mut forwarder = forwarder(&[(Plain, "dc-a"), (Plain, "dc-a")]);
    forwarder.record_closed(Millis(0), &run_of(1, 1), Millis(1_500));
    forwarder.record_closed(Millis(100), &run_of(1, 1), Millis(500));
    assert_eq!(chosen(&forwarder, 1_499), [2], "a shorter time doesn't replace a longer one");
    assert_eq!(chosen(&forwarder, 1_500), [1, 2]);
    let service = service_id();
    assert_eq!(forwarder.reopens_in_ms(Millis(1_000), &service), Some(Millis(500)));
    assert_eq!(forwarder.reopens_in_ms(Millis(1_500), &service), None);
}
