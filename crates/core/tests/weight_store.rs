//! The weight store's rate is kept by all owners together, cut off from each other or not.
//!
//! Engines never report a load as done, so that every owner goes on at the rate it counts on.

mod fleet;

use fleet::Fleet;
use serde_json::json;
use turmericrail_core::event::Event;
use turmericrail_core::units::BytesPerSecond;

/// Rate of the store in bytes a second.
const RATE: u64 = 120_000;
/// Size of the one version.
const WEIGHTS_BYTES: u64 = 200_000;
/// Time for which orders are counted.
const COUNTED_MS: u64 = 300_000;
/// Time in which views settle.
const SETTLE_MS: u64 = 12_000;

fn started(seed: u64) -> Fleet {
    let mut fleet = Fleet::new(seed, &[3, 3, 3], 4);
    let servers = fleet.service.document["servers"].as_object().unwrap();
    let servers: Vec<_> = servers.keys().cloned().collect();
    let version = json!({"servers": servers, "weights_bytes": WEIGHTS_BYTES});
    fleet.service.document["models"] =
        json!({"quote": {"default_version": "v1", "versions": {"v1": version}}});
    fleet.start_all();
    fleet.run_for(SETTLE_MS);
    tell_rate(&mut fleet);
    fleet
}

fn tell_rate(fleet: &mut Fleet) {
    for index in fleet.running() {
        fleet.handle_event(index, Event::WeightRate(BytesPerSecond(RATE)));
    }
}

/// What is ordered from now on, as a share of the store's rate. Each owner may begin a load at
/// either end of the time.
fn ordered_ratio(fleet: &mut Fleet) -> f64 {
    fleet.run_for(SETTLE_MS);
    fleet.orders.clear();
    fleet.run_for(COUNTED_MS);
    let owners = fleet.running().len() as u64;
    let loads = (fleet.orders.len() as u64).saturating_sub(owners);
    let ordered_bytes = loads * WEIGHTS_BYTES;
    ordered_bytes as f64 * 1_000.0 / COUNTED_MS as f64 / RATE as f64
}

#[test]
fn rate_kept() {
    for seed in 1..=3 {
        let mut fleet = started(seed);
        let whole = ordered_ratio(&mut fleet);
        fleet.faults.cut_off.insert("dc0".to_owned());
        let cut_off = ordered_ratio(&mut fleet);
        fleet.faults.cut_off.clear();
        for index in 3..6 {
            fleet.kill(index);
        }
        let lost = ordered_ratio(&mut fleet);
        for index in 3..6 {
            fleet.start(index);
        }
        fleet.run_for(SETTLE_MS);
        tell_rate(&mut fleet);
        let returned = ordered_ratio(&mut fleet);
        println!(
            "seed={seed} whole={whole:.2} cut_off={cut_off:.2} lost={lost:.2} returned={returned:.2}"
        );
        assert!(whole > 0.7 && returned > 0.7, "the rate is hardly used, seed {seed}");
        for (case, ratio) in
            [("whole", whole), ("cut_off", cut_off), ("lost", lost), ("returned", returned)]
        {
            assert!(ratio <= 1.0, "{ratio:.2} of the rate, {case}, seed {seed}");
        }
    }
}
