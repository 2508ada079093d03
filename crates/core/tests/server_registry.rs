//! Servers whose updates arrive late, twice and in any order.

mod forward_support;

use forward_support::{server_entry, server_update};
use turmericrail_core::config::ServerRole;
use turmericrail_core::forward::{ServerEntry, ServerRegistry, ServerState};
use turmericrail_core::units::{Millis, WallMillis};

fn server_count(registry: &ServerRegistry, now_ms: u64) -> usize {
    registry.servers(Millis(now_ms)).count()
}

#[test]
fn late_updates() {
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
fn restored_registry() {
    // An older copy calls servers ready that were seen leaving or gone. The one that is gone may be
    // used once its entry has outlasted the time in which an abandoned one expires.
    let mut registry = ServerRegistry::default();
    let ready = server_entry(1, ServerRole::Plain, "dc-a");
    let mut draining = ready.clone();
    draining.state = ServerState::Draining;
    registry.apply(Millis(0), server_update(1, 5, Some(draining)));
    registry.apply(Millis(0), server_update(2, 6, Some(ready.clone())));
    registry.apply(Millis(0), server_update(2, 7, None));
    registry.record_restore(Millis(100));
    registry.apply(Millis(200), server_update(1, 11, Some(ready.clone())));
    registry.apply(Millis(200), server_update(2, 12, Some(ready.clone())));
    let (first, second) = ("s1".parse().unwrap(), "s2".parse().unwrap());
    let state = registry.entry(Millis(20_000), &first).map(|entry| entry.state);
    assert_eq!(state, Some(ServerState::Draining));
    assert!(registry.entry(Millis(5_100), &second).is_none());
    assert!(registry.entry(Millis(5_200), &second).is_some());
    let restarted = ServerEntry { started_ms: WallMillis(2), ..ready };
    registry.apply(Millis(300), server_update(1, 13, Some(restarted)));
    let state = registry.entry(Millis(300), &first).map(|entry| entry.state);
    assert_eq!(state, Some(ServerState::Ready), "a new run is not meant");
}

#[test]
fn missing_after_restore() {
    // Entries that are missing from an older copy stay in use until their servers write them again.
    let mut registry = ServerRegistry::default();
    let ready = server_entry(1, ServerRole::Plain, "dc-a");
    registry.apply(Millis(0), server_update(1, 5, Some(ready)));
    registry.record_restore(Millis(100));
    registry.apply(Millis(100), server_update(1, 11, None));
    assert_eq!(server_count(&registry, 1_500), 1);
    assert_eq!(server_count(&registry, 1_600), 0);
}

#[test]
fn removed_entry() {
    let mut registry = ServerRegistry::default();
    registry
        .apply(Millis(0), server_update(1, 1, Some(server_entry(1, ServerRole::Plain, "dc-a"))));
    registry
        .apply(Millis(0), server_update(2, 2, Some(server_entry(2, ServerRole::Plain, "dc-a"))));
    registry.apply(Millis(0), server_update(1, 3, None));
    assert_eq!(server_count(&registry, 0), 1);
}

#[test]
fn expired_in_outage() {
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
fn removal_after_grace() {
    let mut registry = ServerRegistry::default();
    registry
        .apply(Millis(0), server_update(1, 1, Some(server_entry(1, ServerRole::Plain, "dc-a"))));
    registry.record_reconnection(Millis(1_000));
    registry.apply(Millis(5_000), server_update(1, 2, None));
    assert_eq!(server_count(&registry, 5_000), 0);
}
