//! Compares fixed, scheduled and demand-driven engine roles while the load alternates between long
//! prompts and long answers.
//!
//! Run it with `cargo bench -p turmericrail-core --bench placement`. The schedule matches the
//! pattern `regular`. The pattern `shifted` is half an hour out of step with the schedule;
//! `irregular` changes at times that the schedule does not know.

#[path = "placement/demand.rs"]
mod demand;
#[path = "placement/simulation.rs"]
mod simulation;

use simulation::{Policy, RequestMix, run};

/// Each case reports the mean over these seeds.
const SEEDS: [u64; 3] = [1, 2, 3];
/// Time between two changes of the regular pattern.
const HALF_PERIOD_MS: u64 = 3_600_000;
/// Times between changes of the irregular pattern, in minutes.
const IRREGULAR_PERIODS_MIN: [u64; 10] = [25, 70, 15, 45, 20, 60, 35, 10, 50, 30];

/// Returns the request mix at a simulated time in milliseconds.
type MixFunction = fn(u64) -> RequestMix;

const LONG_PROMPTS: RequestMix = RequestMix { prompt_tokens: 3_000.0, answer_tokens: 150.0 };
const LONG_ANSWERS: RequestMix = RequestMix { prompt_tokens: 800.0, answer_tokens: 600.0 };

fn regular(now_ms: u64) -> RequestMix {
    if (now_ms / HALF_PERIOD_MS).is_multiple_of(2) { LONG_PROMPTS } else { LONG_ANSWERS }
}

fn irregular(now_ms: u64) -> RequestMix {
    let mut end_min = 0;
    for (index, period_min) in IRREGULAR_PERIODS_MIN.iter().enumerate() {
        end_min += period_min;
        if now_ms < end_min * 60_000 {
            return if index % 2 == 0 { LONG_PROMPTS } else { LONG_ANSWERS };
        }
    }
    LONG_PROMPTS
}

fn main() {
    let patterns: [(&str, MixFunction); 4] = [
        ("steady", |_| LONG_PROMPTS),
        ("regular", regular),
        ("shifted", |now_ms| regular(now_ms + HALF_PERIOD_MS / 2)),
        ("irregular", irregular),
    ];
    for (fleet, engine_count, long_prompts, long_answers) in
        [("association", 9, 7, 2), ("lantern-forge", 12, 10, 3)]
    {
        let mean_prefill_engines = (long_prompts + long_answers) / 2;
        let schedule = move |now_ms: u64| {
            if (now_ms / HALF_PERIOD_MS).is_multiple_of(2) { long_prompts } else { long_answers }
        };
        let policies = [
            ("fixed", Policy::Fixed(mean_prefill_engines)),
            ("schedule", Policy::Schedule(Box::new(schedule))),
            ("demand", Policy::Demand(mean_prefill_engines)),
        ];
        for (pattern, mix_at) in patterns {
            for load in [0.7, 0.9] {
                for (policy_name, policy) in &policies {
                    report(fleet, engine_count, pattern, mix_at, load, policy_name, policy);
                }
            }
        }
    }
}

fn report(
    fleet: &str,
    engine_count: usize,
    pattern: &str,
    mix_at: MixFunction,
    load: f64,
    policy_name: &str,
    policy: &Policy,
) {
    let outcomes: Vec<_> =
        SEEDS.iter().map(|seed| run(*seed, engine_count, load, mix_at, policy)).collect();
    let goodput_ratio_sum = outcomes.iter().map(|outcome| outcome.goodput_ratio).sum::<f64>();
    let changes_per_hour_sum = outcomes.iter().map(|outcome| outcome.changes_per_hour).sum::<f64>();
    let seeds = SEEDS.len() as f64;
    println!(
        "case={fleet}/{pattern}/{load} policy={policy_name} goodput_ratio={:.3} role_changes_per_hour={:.1}",
        goodput_ratio_sum / seeds,
        changes_per_hour_sum / seeds
    );
}
