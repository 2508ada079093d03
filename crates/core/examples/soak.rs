//! Long randomised runs: `cargo run --release --example soak -- --seed N --steps N`.
//!
//! The steps are run as episodes, each with a seed of its own that follows from the first, and a
//! check at its end that nothing is held. The last line tells steps, seed and violations.

#[path = "../tests/soak_simulation/mod.rs"]
mod soak_simulation;

use std::process::ExitCode;

use soak_simulation::{EPISODE_STEPS, Tally, run_episode};

/// Violations after which the run ends.
const MAX_VIOLATIONS: u64 = 3;

fn argument(name: &str, default: u64) -> u64 {
    let mut arguments = std::env::args().skip_while(|argument| argument != name).skip(1);
    arguments.next().and_then(|value| value.parse().ok()).unwrap_or(default)
}

fn main() -> ExitCode {
    let seed = argument("--seed", 1);
    let steps = argument("--steps", 100_000);
    let mut done = 0;
    let mut violations = 0;
    let mut total = Tally::default();
    while done < steps && violations < MAX_VIOLATIONS {
        let count = (steps - done).min(EPISODE_STEPS as u64);
        let episode_seed = seed.wrapping_mul(1_000_003).wrapping_add(done);
        done += count;
        match run_episode(episode_seed, count as usize) {
            Ok(tally) => total.add(tally),
            Err(violation) => {
                violations += 1;
                println!("episode_seed={episode_seed} steps={count} {violation}");
            }
        }
    }
    println!("{total}");
    println!("steps={done} seed={seed} violations={violations}");
    if violations == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
