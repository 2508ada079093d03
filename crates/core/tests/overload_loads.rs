//! Loads above the capacity of a service: what the answers are worth that instances place by
//! themselves, compared with one queue that knows every engine, with first come, first served, and
//! with strict priority by rank.

mod overload_simulation;

use overload_simulation::{Load, Order, Outcome, Policy, play_central, play_instances};

/// Least share of the value that a queue with complete information earns.
const MIN_VALUE_SHARE: f64 = 0.95;
/// Greatest difference by which a rank may be served less often than a less urgent one.
const MAX_SERVED_DIFFERENCE: f64 = 0.05;

const USUAL: Load = Load {
    burst: [1.0; 3],
    burst_from_ms: 8_000,
    burst_to_ms: 12_500,
    end_ms: 24_000,
    engines: 44,
    lost_engines: 0,
    instances: 71,
    scale: 1.0,
    bursting_tenant: None,
    seed: 7,
};

/// What the policies make of one load.
struct Comparison {
    bound: Outcome,
    uniform: Outcome,
    ranked: Outcome,
}

fn compare(name: &str, load: &Load) -> Comparison {
    let bound = play_central(load, Order::Value);
    let arrival = play_central(load, Order::Arrival);
    let rank = play_central(load, Order::Rank);
    let uniform = play_instances(load, Policy::Uniform);
    let ranked = play_instances(load, Policy::Ranked);
    let policies = [
        ("one queue by value", &bound),
        ("one queue by arrival", &arrival),
        ("one queue by rank", &rank),
        ("instances, one rank", &uniform),
        ("instances by rank", &ranked),
    ];
    for (policy, outcome) in policies {
        println!(
            "{name}: {policy}: {:.3} of the value, in time {:?} late {:?} of {:?}, refusals {:?} twice {:?} cut {:?}, asks {}",
            outcome.value / bound.value,
            outcome.in_time,
            outcome.late,
            outcome.calls,
            outcome.refusals,
            outcome.refused_twice,
            outcome.cut,
            outcome.asks
        );
    }
    Comparison { bound, uniform, ranked }
}

impl Comparison {
    fn share(&self) -> f64 {
        self.ranked.value / self.bound.value
    }

    /// Checks the value, and that no rank is served less often than a less urgent one.
    fn check(&self) {
        assert!(self.share() >= MIN_VALUE_SHARE, "{:.3} of the value", self.share());
        for (rank, less_urgent) in [(0, 1), (1, 2), (0, 2)] {
            let difference = self.ranked.served(less_urgent) - self.ranked.served(rank);
            assert!(difference <= MAX_SERVED_DIFFERENCE, "{rank} {less_urgent}: {difference:.3}");
        }
    }
}

/// Guards against calls that wait or are refused while there is room.
#[test]
fn usual_load() {
    let comparison = compare("usual", &USUAL);
    assert_eq!(comparison.ranked.value, comparison.bound.value);
    assert_eq!(comparison.ranked, comparison.uniform, "ranks change nothing while there is room");
}

/// Guards against urgent calls that are late or refused because others came first.
#[test]
fn mixed_bursts() {
    for factor in [1.7, 2.2] {
        let load = Load { burst: [factor; 3], ..USUAL };
        let comparison = compare(&format!("burst of {factor}"), &load);
        comparison.check();
        assert!(comparison.ranked.value > comparison.uniform.value);
    }
}

/// Guards against the same under a load of three times the capacity.
#[test]
fn extreme_burst() {
    let comparison = compare("burst of 4", &Load { burst: [4.0; 3], ..USUAL });
    comparison.check();
    assert!(comparison.ranked.value > comparison.uniform.value);
}

/// Guards against a lowest rank that is lost, or that costs others, when it alone is in excess.
#[test]
fn lowest_rank_excess() {
    for factor in [2.5, 5.0] {
        let load = Load { burst: [1.0, 1.0, factor], burst_to_ms: 16_000, ..USUAL };
        let comparison = compare(&format!("rank 2 times {factor}"), &load);
        comparison.check();
        let [first, second, _] = comparison.ranked.in_time;
        let calls = comparison.ranked.calls;
        assert!(first as f64 >= 0.98 * calls[0] as f64, "{first} of {}", calls[0]);
        assert!(second as f64 >= 0.9 * calls[1] as f64, "{second} of {}", calls[1]);
    }
}

/// Guards against engines that fail in a burst and take the urgent calls with them.
#[test]
fn engines_lost() {
    let load = Load { burst: [1.7; 3], lost_engines: 9, ..USUAL };
    compare("9 of 44 engines lost", &load).check();
}

/// Guards against decisions that hold for one size of fleet only.
#[test]
fn fleet_sizes() {
    for (instances, scale, engines) in [(3, 1.0, 44), (71, 1.0, 44), (320, 4.0, 176)] {
        let load = Load { burst: [2.2; 3], instances, scale, engines, ..USUAL };
        compare(&format!("{instances} instances"), &load).check();
    }
}

/// Guards against room that is kept for urgent calls when the load stays above the capacity.
#[test]
fn lasting_load() {
    for scale in [1.25, 1.5] {
        compare(&format!("load of {scale}"), &Load { scale, end_ms: 40_000, ..USUAL }).check();
    }
}

/// Guards against tenants whose calls are late because another one sends many times as many.
#[test]
fn tenant_excess() {
    for (instances, factor) in [(71, 7.5), (71, 5.0), (3, 7.5)] {
        let load = Load {
            bursting_tenant: Some(factor),
            burst_from_ms: 14_000,
            burst_to_ms: 20_500,
            end_ms: 30_000,
            instances,
            ..USUAL
        };
        let comparison = compare(&format!("one tenant times {factor}"), &load);
        comparison.check();
        let share = |outcome: &Outcome| {
            let (calls, in_time) = outcome.quiet_tenants;
            in_time as f64 / calls as f64
        };
        let without = share(&play_instances(&load, Policy::RankedWithoutTenants));
        let with = share(&comparison.ranked);
        println!("in time of the other tenants: {without:.3} -> {with:.3}");
        assert!(with > without, "{with:.3}");
    }
}
