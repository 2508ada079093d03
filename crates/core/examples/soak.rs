//! Long randomised fault tests of the core: `cargo run --release --example soak -- --seed N --steps N`.
//!
//! The steps are split into episodes, each with its own seed derived from `--seed`; each episode
//! ends with a check that no stream, lease or request is left. The last line prints the number of
//! steps, the seed and the number of violations.

#[path = "../tests/soak_simulation/mod.rs"]
mod soak_simulation;

use std::process::ExitCode;

use soak_simulation::{EPISODE_STEPS, Tally, run_episode};

/// The run ends after this many violations.
const MAX_VIOLATIONS: u64 = 3;

fn u64_argument(name: &str, default: u64) -> u64 {
    let mut arguments = std::env::args().skip_while(|argument| argument != name).skip(1);
    arguments.next().and_then(|value| value.parse().ok()).unwrap_or(default)
}

fn main() -> ExitCode {
    let seed = u64_argument("--seed", 1);
    let steps = u64_argument("--steps", 100_000);
    let mut step_count = 0;
    let mut violations = 0;
    let mut total = Tally::default();
    while step_count < steps && violations < MAX_VIOLATIONS {
        let count = (steps - step_count).min(EPISODE_STEPS as u64);
        let episode_seed = seed.wrapping_mul(1_000_003).wrapping_add(step_count);
        step_count += count;
        match run_episode(episode_seed, count as usize) {
            Ok(tally) => total.add(tally),
            Err(violation) => {
                violations += 1;
                println!("episode_seed={episode_seed} steps={count} {violation}");
            }
        }
    }
    println!("{total}");
    println!("steps={step_count} seed={seed} violations={violations}");
    if violations == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
