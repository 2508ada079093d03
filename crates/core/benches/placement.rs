//! Roles fixed, by schedule and by demand, where demand swings between long prompts and long
//! answers: `cargo bench -p turmericrail-core --bench placement`.
//!
//! The schedule knows the swing of `regular`; `shifted` swings half an hour later than it expects,
//! `irregular` at moments of its own.

#[path = "placement/demand.rs"]
mod demand;
#[path = "placement/world.rs"]
mod world;

use world::{Mix, Policy, run};

/// Seed of every case.
const SEEDS: [u64; 3] = [1, 2, 3];
/// Time of one half of the regular swing.
const HALF_MS: u64 = 3_600_000;
/// Lengths of the irregular swing, in minutes, in turns.
const IRREGULAR_MIN: [u64; 10] = [25, 70, 15, 45, 20, 60, 35, 10, 50, 30];

/// The mix of each moment.
type MixAt = fn(u64) -> Mix;

const LONG_PROMPTS: Mix = Mix { prompt_tokens: 3_000.0, answer_tokens: 150.0 };
const LONG_ANSWERS: Mix = Mix { prompt_tokens: 800.0, answer_tokens: 600.0 };

fn regular(now_ms: u64) -> Mix {
    if (now_ms / HALF_MS).is_multiple_of(2) { LONG_PROMPTS } else { LONG_ANSWERS }
}

fn irregular(now_ms: u64) -> Mix {
    let mut end_min = 0;
    for (turn, length_min) in IRREGULAR_MIN.iter().enumerate() {
        end_min += length_min;
        if now_ms < end_min * 60_000 {
            return if turn % 2 == 0 { LONG_PROMPTS } else { LONG_ANSWERS };
        }
    }
    LONG_PROMPTS
}

fn main() {
    let swings: [(&str, MixAt); 4] = [
        ("steady", |_| LONG_PROMPTS),
        ("regular", regular),
        ("shifted", |now_ms| regular(now_ms + HALF_MS / 2)),
        ("irregular", irregular),
    ];
    for (fleet, count, long_prompts, long_answers) in
        [("association", 9, 7, 2), ("lantern-forge", 12, 10, 3)]
    {
        let middle = (long_prompts + long_answers) / 2;
        let schedule = move |now_ms: u64| {
            if (now_ms / HALF_MS).is_multiple_of(2) { long_prompts } else { long_answers }
        };
        let policies = [
            ("fixed", Policy::Fixed(middle)),
            ("schedule", Policy::Schedule(Box::new(schedule))),
            ("demand", Policy::Demand(middle)),
        ];
        for (swing, mix_at) in swings {
            for load in [0.7, 0.9] {
                for (policy, how) in &policies {
                    report(fleet, count, swing, mix_at, load, policy, how);
                }
            }
        }
    }
}

fn report(
    fleet: &str,
    count: usize,
    swing: &str,
    mix_at: MixAt,
    load: f64,
    policy: &str,
    how: &Policy,
) {
    let outcomes: Vec<_> = SEEDS.iter().map(|seed| run(*seed, count, load, mix_at, how)).collect();
    let goodput = outcomes.iter().map(|outcome| outcome.goodput_ratio).sum::<f64>();
    let changes = outcomes.iter().map(|outcome| outcome.changes_per_hour).sum::<f64>();
    let seeds = SEEDS.len() as f64;
    println!(
        "case={fleet}/{swing}/{load} policy={policy} goodput_ratio={:.3} role_changes_per_hour={:.1}",
        goodput / seeds,
        changes / seeds
    );
}
