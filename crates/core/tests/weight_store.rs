//! All owners together keep to the rate of the weight store, also while cut off from each other.
//!
//! Engines never report a load as done, so each owner keeps ordering loads at its share of the rate.

mod fleet;

use fleet::Fleet;
use serde_json::json;
use turmericrail_core::event::Event;
use turmericrail_core::units::BytesPerSecond;

const RATE_BYTES_PER_SECOND: u64 = 120_000;
const WEIGHTS_BYTES: u64 = 200_000;
const MEASURED_MS: u64 = 300_000;
/// Time in which the instances agree on their membership after a start or a change.
const SETTLE_MS: u64 = 12_000;

fn started_fleet(seed: u64) -> Fleet {
    let mut fleet = Fleet::new(seed, &[3, 3, 3], 4);
    let servers = fleet.service.document["servers"].as_object().unwrap();
    let servers: Vec<_> = servers.keys().cloned().collect();
    let version = json!({"servers": servers, "weights_bytes": WEIGHTS_BYTES});
    fleet.service.document["models"] =
        json!({"quote": {"default_version": "v1", "versions": {"v1": version}}});
    fleet.start_all();
    fleet.run_for(SETTLE_MS);
    announce_rate(&mut fleet);
    fleet
}

fn announce_rate(fleet: &mut Fleet) {
    for index in fleet.running() {
        fleet.handle_event(index, Event::WeightRate(BytesPerSecond(RATE_BYTES_PER_SECOND)));
    }
}

/// Bytes ordered from now on, as a share of the store's rate. One load per owner is left out of the
/// count, since a load may start at either end of the measured time.
fn ordered_ratio(fleet: &mut Fleet) -> f64 {
    fleet.run_for(SETTLE_MS);
    fleet.orders.clear();
    fleet.run_for(MEASURED_MS);
    let owners = fleet.running().len() as u64;
    let loads = (fleet.orders.len() as u64).saturating_sub(owners);
    let ordered_bytes = loads * WEIGHTS_BYTES;
    ordered_bytes as f64 * 1_000.0 / MEASURED_MS as f64 / RATE_BYTES_PER_SECOND as f64
}

#[test]
fn rate_kept() {
    for seed in 1..=3 {
        let mut fleet = started_fleet(seed);
        let whole = ordered_ratio(&mut fleet);
        fleet.faults.cut_off_data_centres.insert("dc0".to_owned());
        let cut_off = ordered_ratio(&mut fleet);
        fleet.faults.cut_off_data_centres.clear();
        for index in 3..6 {
            fleet.kill(index);
        }
        let lost = ordered_ratio(&mut fleet);
        for index in 3..6 {
            fleet.start(index);
        }
        fleet.run_for(SETTLE_MS);
        announce_rate(&mut fleet);
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
