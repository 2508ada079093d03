//! Seeded random choices.

use quickcheck::Gen;

/// Source of all random choices of a run; the same seed gives the same run.
pub struct Random {
    generator: Gen,
    per_mille_values: Vec<u64>,
}

impl Random {
    pub fn new(seed: u64) -> Self {
        Self {
            generator: Gen::from_size_and_seed(100, seed),
            per_mille_values: (0..1_000).collect(),
        }
    }

    /// A number from 0 to 999.
    pub fn next_per_mille(&mut self) -> u64 {
        *self.generator.choose(&self.per_mille_values).unwrap()
    }

    /// True with this probability.
    pub fn chance_per_mille(&mut self, per_mille: u64) -> bool {
        self.next_per_mille() < per_mille
    }

    /// A number below `bound`, which may be at most 1000.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.next_per_mille() * bound / 1_000
    }
}
