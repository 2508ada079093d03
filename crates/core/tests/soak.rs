//! Randomised episodes with faults keep every invariant.

mod soak_world;

use soak_world::{EPISODE_STEPS, Tally, run_episode};

/// Seeds of the episodes run here; longer runs are made with the `soak` example.
const SEEDS: std::ops::Range<u64> = 1..9;

#[test]
fn fixed_seeds() {
    let mut total = Tally::default();
    for seed in SEEDS {
        match run_episode(seed, EPISODE_STEPS) {
            Ok(tally) => total.add(tally),
            Err(violation) => panic!("seed={seed} {violation}"),
        }
    }
    assert!(total.whole > total.callers / 2, "too few whole answers: {total}");
}
