//! Randomised episodes with faults, which check the invariants of the core as a whole.

mod soak_simulation;

use soak_simulation::{EPISODE_STEPS, Tally, run_episode};

/// Kept few for a short run; the `soak` example makes longer ones.
const EPISODE_SEEDS: std::ops::Range<u64> = 1..9;

#[test]
fn fixed_seeds() {
    let mut total = Tally::default();
    for seed in EPISODE_SEEDS {
        match run_episode(seed, EPISODE_STEPS) {
            Ok(tally) => total.add(tally),
            Err(violation) => panic!("seed={seed} {violation}"),
        }
    }
    assert!(total.full_answers > total.callers / 2, "too few answers were complete: {total}");
}
