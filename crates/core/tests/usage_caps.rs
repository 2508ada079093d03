//! Usage caps in whole fleets: what is admitted and refused while messages are lost and instances
//! fail.

mod forward_support;
mod usage_simulation;

use usage_simulation::{Fleet, Plan};

const RATES_PER_S: [f64; 2] = [47_000.0, 363_000.0];
const FLEETS: [usize; 2] = [71, 320];
const LOADS: [f64; 4] = [0.9, 1.1, 4.0, 7.5];

/// Plays a plan with every size of fleet and tenant at every load, and checks the bound.
fn check(name: &str, seed: u64, change: impl Fn(Plan) -> Plan) {
    let mut failures = Vec::new();
    for instances in FLEETS {
        for rate_per_s in RATES_PER_S {
            for load in LOADS {
                let plan = change(Plan::calm(instances, rate_per_s, load));
                let outcome = Fleet::play(plan, seed);
                let worst = outcome.worst_window(rate_per_s);
                let refused = outcome.refused_share();
                println!(
                    "{name} instances={instances} rate={rate_per_s} load={load} worst={worst:.3} \
                     refused={refused:.4} requests={} messages={} alone={} starts={} slow={:.4}",
                    outcome.decisions.len(),
                    outcome.messages,
                    outcome.alone,
                    outcome.starts,
                    outcome.slow_share(20),
                );
                if worst > 1.0 || (load < 1.0 && refused >= 0.01) {
                    failures.push((instances, rate_per_s, load, worst, refused));
                }
            }
        }
    }
    assert!(failures.is_empty(), "{name}: {failures:?}");
}

/// Guards against caps that are exceeded, or requests below them that are refused, in a sound
/// fleet.
#[test]
fn sound_fleets() {
    check("sound", 1, |plan| plan);
}

/// Guards against usage that is counted twice or not at all when messages are lost or repeated.
#[test]
fn faulty_messages() {
    check("faulty", 2, |plan| Plan { lost_permille: 20, repeated_permille: 20, ..plan });
}

/// Guards against two coordinators that each grant the whole cap while a data centre is cut off.
#[test]
fn cut_off() {
    check("cut_off", 3, |plan| Plan { partition_ms: (10_000, 25_000), ..plan });
}

/// Guards against full buckets after all instances were killed.
#[test]
fn all_killed() {
    check("all_killed", 4, |plan| Plan { kill_all_ms: Some(15_000), ..plan });
}

/// Guards against usage that is forgotten with each coordinator that is killed.
#[test]
fn killed_coordinators() {
    check("killed", 5, |plan| Plan { kill_first_every_ms: Some(6_000), ..plan });
}

/// Guards against a bucket that fills while its process is paused and others stand in.
#[test]
fn paused_coordinators() {
    check("paused", 6, |plan| Plan { pause_first_every_ms: Some(7_000), ..plan });
}

/// Guards against requests that are admitted unseen when a tenant far below its cap exceeds it at
/// once, also while its coordinator is lost.
#[test]
fn sudden_load() {
    check("sudden", 7, |plan| Plan { load_before: 0.55, load_from_ms: 12_000, ..plan });
    check("sudden_cut_off", 8, |plan| Plan {
        load_before: 0.55,
        load_from_ms: 12_000,
        partition_ms: (11_900, 25_000),
        ..plan
    });
    check("sudden_kills", 9, |plan| Plan {
        load_before: 0.55,
        load_from_ms: 12_000,
        kill_first_every_ms: Some(4_000),
        lost_permille: 20,
        ..plan
    });
}

/// Guards against faults that are harmless alone and exceed the cap together.
#[test]
fn several_faults() {
    check("several", 10, |plan| Plan {
        lost_permille: 20,
        repeated_permille: 20,
        partition_ms: (16_000, 24_000),
        kill_all_ms: Some(8_000),
        pause_first_every_ms: Some(13_000),
        ..plan
    });
}
