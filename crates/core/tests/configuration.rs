//! Distribution of configuration versions among several instances in seeded simulations. Each
//! simulation also asserts that the version in force at an instance never decreases.

mod fleet;

use fastrand::Rng;
use fleet::{Faults, Fleet};
use serde_json::json;
use turmericrail_core::event::Event;
use turmericrail_core::ids::ConfigVersion;

/// Time within which an accepted version must be in force at every instance.
const IN_FORCE_WITHIN_MS: u64 = 8_000;
/// Time in which a fleet becomes ready after its start.
const SETTLE_MS: u64 = 6_000;

fn settled_fleet(seed: u64) -> Fleet {
    let mut fleet = Fleet::new(seed, &[3, 3, 3], 4);
    fleet.start_all();
    fleet.run_for(SETTLE_MS);
    fleet
}

fn queue_limit_patch(value: u64) -> serde_json::Value {
    json!({"limits": {"queue_limit_requests": value}})
}

#[test]
fn frequent_changes() {
    for seed in 1..=5 {
        let mut fleet = settled_fleet(seed);
        let faults = Faults {
            loss_percent: 5,
            duplicate_percent: 5,
            max_delay_ms: 100,
            ..Faults::default()
        };
        fleet.faults = faults;
        let mut accepted = Vec::new();
        for round in 0..20 {
            accepted.push((fleet.now_ms, fleet.accept_patch(queue_limit_patch(100 + round))));
            fleet.run_for(2_000);
            let due_changes =
                accepted.iter().filter(|(at_ms, _)| at_ms + IN_FORCE_WITHIN_MS <= fleet.now_ms);
            let due_version = due_changes.map(|(_, version)| *version).max().unwrap_or(0);
            let outdated =
                (0..9).filter(|index| fleet.status(*index).unwrap().config_version.0 < due_version);
            assert_eq!(outdated.count(), 0, "seed {seed} round {round}");
        }
    }
}

#[test]
fn few_service_calls() {
    let mut fleet = settled_fleet(1);
    let calls_before = fleet.service.call_count;
    fleet.run_for(20_000);
    let calls = fleet.service.call_count - calls_before;
    assert!(calls <= 2 * 3 * 6, "two watchers per data centre made {calls} calls in 20 s");
}

#[test]
fn watchers_replaced() {
    for seed in 1..=5 {
        let mut fleet = settled_fleet(seed);
        let watchers: Vec<_> = (0..9)
            .filter(|index| {
                fleet.members[*index].node.as_ref().unwrap().watch_config_after().is_some()
            })
            .collect();
        assert_eq!(watchers.len(), 6);
        watchers.iter().for_each(|index| fleet.kill(*index));
        fleet.run_for(1_000);
        let version = fleet.accept_patch(queue_limit_patch(7));
        let took_ms = fleet.run_until(IN_FORCE_WITHIN_MS, |fleet| fleet.all_have_version(version));
        assert!(took_ms.is_some(), "seed {seed}");
    }
}

#[test]
fn service_cut_off() {
    for seed in 1..=5 {
        let mut fleet = settled_fleet(seed);
        fleet.service.cut_off_data_centres.insert("dc1".to_owned());
        fleet.run_for(30_000);
        let version = fleet.accept_patch(queue_limit_patch(7));
        let took_ms = fleet.run_until(IN_FORCE_WITHIN_MS, |fleet| fleet.all_have_version(version));
        assert!(took_ms.is_some(), "seed {seed}");
    }
}

#[test]
fn stale_service() {
    for seed in 1..=5 {
        let mut fleet = settled_fleet(seed);
        let newest =
            (0..5).map(|value| fleet.accept_patch(queue_limit_patch(value + 1))).max().unwrap();
        assert!(
            fleet.run_until(IN_FORCE_WITHIN_MS, |fleet| fleet.all_have_version(newest)).is_some()
        );
        fleet.service.max_served_version = Some(2);
        for index in 0..9 {
            fleet.kill(index);
            fleet.start(index);
            for _ in 0..40 {
                fleet.run_for(100);
                let status = fleet.status(index).unwrap();
                assert!(!status.is_ready || status.config_version.0 == newest, "seed {seed}");
            }
            assert!(fleet.status(index).unwrap().is_ready, "seed {seed}");
        }
        fleet.service.max_served_version = None;
        let version = fleet.accept_patch(queue_limit_patch(77));
        let took_ms = fleet.run_until(IN_FORCE_WITHIN_MS, |fleet| fleet.all_have_version(version));
        assert!(
            took_ms.is_some(),
            "the watch continues after the highest known version, seed {seed}"
        );
    }
}

#[test]
fn start_without_service() {
    for seed in 1..=5 {
        let mut fleet = settled_fleet(seed);
        fleet.service.is_down = true;
        fleet.kill(4);
        fleet.start(4);
        let is_ready = |fleet: &Fleet| fleet.status(4).unwrap().is_ready;
        assert!(fleet.run_until(IN_FORCE_WITHIN_MS, is_ready).is_some(), "seed {seed}");
    }
}

#[test]
fn rejected_version() {
    let mut fleet = settled_fleet(1);
    let invalid = fleet.accept_patch(json!({"limits": {"queue_limit_requests": "many"}}));
    fleet.run_for(IN_FORCE_WITHIN_MS);
    for index in 0..9 {
        let status = fleet.status(index).unwrap();
        assert_eq!(status.config_version, ConfigVersion(1));
        assert_eq!(status.config_rejected.unwrap().0, ConfigVersion(invalid));
    }
    let still_invalid = fleet.accept_patch(json!({"limits": {"retry_percent": 30}}));
    fleet.run_for(IN_FORCE_WITHIN_MS);
    assert_eq!(fleet.status(0).unwrap().config_rejected.unwrap().0, ConfigVersion(still_invalid));
    let valid = fleet.accept_patch(queue_limit_patch(9));
    assert!(fleet.run_until(IN_FORCE_WITHIN_MS, |fleet| fleet.all_have_version(valid)).is_some());
    assert!(fleet.status(0).unwrap().config_rejected.is_none());
}

#[test]
fn last_valid_version() {
    let mut fleet = settled_fleet(1);
    let valid = fleet.accept_patch(queue_limit_patch(9));
    fleet.accept_patch(json!({"limits": {"queue_limit_requests": "many"}}));
    fleet.run_for(IN_FORCE_WITHIN_MS);
    assert!(
        fleet.all_have_version(valid),
        "the last valid version before an invalid one is in force"
    );
}

#[test]
fn changes_under_faults() {
    for seed in 1..=20 {
        let mut rng = Rng::with_seed(seed);
        let mut fleet = settled_fleet(seed);
        for round in 0..30 {
            fleet.faults = Faults {
                loss_percent: rng.u64(..30),
                duplicate_percent: rng.u64(..30),
                max_delay_ms: rng.u64(2..800),
                ..Faults::default()
            };
            fleet.service.is_down = rng.u64(..4) == 0;
            fleet.service.max_served_version =
                (rng.u64(..4) == 0).then(|| 1 + rng.u64(..fleet.service.version()));
            if rng.u64(..3) == 0 {
                fleet.faults.cut_off_data_centres.insert(format!("dc{}", rng.u64(..3)));
            }
            if rng.u64(..3) == 0 {
                fleet.service.cut_off_data_centres.insert(format!("dc{}", rng.u64(..3)));
            }
            if rng.u64(..3) == 0 {
                let index = rng.usize(..9);
                fleet.kill(index);
                fleet.run_for(rng.u64(..500));
                fleet.start(index);
            }
            let paused = rng.usize(..9);
            fleet.members[paused].is_paused = rng.bool();
            fleet.accept_patch(match rng.u64(..6) {
                0 => json!({"limits": {"queue_limit_requests": "many"}}),
                _ => queue_limit_patch(round),
            });
            fleet.run_for(rng.u64(200..3_000));
            fleet.members[paused].is_paused = false;
            fleet.service.cut_off_data_centres.clear();
        }
        fleet.faults = Faults { max_delay_ms: 2, ..Faults::default() };
        (fleet.service.is_down, fleet.service.max_served_version) = (false, None);
        let version = fleet.accept_patch(queue_limit_patch(7));
        let took_ms = fleet.run_until(IN_FORCE_WITHIN_MS, |fleet| fleet.all_have_version(version));
        assert!(took_ms.is_some(), "seed {seed}");
    }
}

#[test]
fn large_document() {
    let mut fleet = Fleet::new(1, &[2], 9_000);
    let size = fleet.service.document.to_string().len();
    assert!((600_000..1_100_000).contains(&size), "{size} bytes");
    fleet.start_all();
    assert!(fleet.run_until(IN_FORCE_WITHIN_MS, |fleet| fleet.all_have_version(1)).is_some());
    let version = fleet.accept_patch(queue_limit_patch(3));
    assert!(fleet.run_until(IN_FORCE_WITHIN_MS, |fleet| fleet.all_have_version(version)).is_some());
    fleet.handle_event(0, Event::Tick);
}
