//! Servers whose updates arrive late, twice and in any order.

mod forward_support;

use forward_support::{server_entry, server_update};
use turmericrail_core::config::ServerRole;
use turmericrail_core::forward::{ServerRegistry, ServerState};
use turmericrail_core::units::Millis;

fn server_count(registry: &ServerRegistry, now_ms: u64) -> usize {
    registry.servers(Millis(now_ms)).count()
}

#[test]
fn late_updates_are_ignored() {
    let mut registry = ServerRegistry::default();
    let ready = server_entry(1, ServerRole::Plain, "dc-a");
    let mut draining = ready.clone();
    draining.state = ServerState::Draining;
    assert!(registry.apply(Millis(0), server_update(1, 5, Some(draining))));
    assert!(!registry.apply(Millis(0), server_update(1, 4, Some(ready.clone()))));
    let server = "s1".parse().unwrap();
    let state = registry.entry(Millis(0), &server).map(|entry| entry.state);
    assert_eq!(state, Some(ServerState::Draining));
    assert!(registry.apply(Millis(0), server_update(1, 6, None)));
    assert!(!registry.apply(Millis(0), server_update(1, 5, Some(ready))));
    assert_eq!(server_count(&registry, 0), 0);
}

#[test]
fn removed_entry_is_dropped() {
    let mut registry = ServerRegistry::default();
    registry
        .apply(Millis(0), server_update(1, 1, Some(server_entry(1, ServerRole::Plain, "dc-a"))));
    registry
        .apply(Millis(0), server_update(2, 2, Some(server_entry(2, ServerRole::Plain, "dc-a"))));
    registry.apply(Millis(0), server_update(1, 3, None));
    assert_eq!(server_count(&registry, 0), 1);
}

#[test]
fn entries_expired_in_outage_stay_for_grace_period() {
    let mut registry = ServerRegistry::default();
    for number in 1..=3 {
        let entry = server_entry(number, ServerRole::Plain, "dc-a");
        registry.apply(Millis(0), server_update(number, u64::from(number), Some(entry)));
    }
    let mut draining = server_entry(3, ServerRole::Plain, "dc-a");
    draining.state = ServerState::Draining;
    registry.apply(Millis(0), server_update(3, 4, Some(draining)));
    registry.record_reconnection(Millis(10_000));
    for number in 1..=3 {
        registry.apply(Millis(10_100), server_update(number, 10 + u64::from(number), None));
    }
    // Servers that were ready may register again within the grace period; one that was draining is
    // gone.
    assert_eq!(server_count(&registry, 10_200), 2);
    registry.apply(
        Millis(10_900),
        server_update(1, 20, Some(server_entry(1, ServerRole::Plain, "dc-a"))),
    );
    assert_eq!(server_count(&registry, 11_400), 2);
    assert_eq!(server_count(&registry, 11_600), 1);
}

#[test]
fn removal_after_grace_period_is_immediate() {
    let mut registry = ServerRegistry::default();
    registry
        .apply(Millis(0), server_update(1, 1, Some(server_entry(1, ServerRole::Plain, "dc-a"))));
    registry.record_reconnection(Millis(1_000));
    registry.apply(Millis(5_000), server_update(1, 2, None));
    assert_eq!(server_count(&registry, 5_000), 0);
}
