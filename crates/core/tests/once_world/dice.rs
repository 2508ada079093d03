//! Choices from one seed.

use quickcheck::Gen;

/// Source of every choice of a run.
pub struct Dice {
    generator: Gen,
    per_mille: Vec<u64>,
}

impl Dice {
    pub fn new(seed: u64) -> Self {
        Self { generator: Gen::from_size_and_seed(100, seed), per_mille: (0..1_000).collect() }
    }

    /// A number from zero to 999.
    pub fn roll(&mut self) -> u64 {
        *self.generator.choose(&self.per_mille).unwrap()
    }

    /// Whether an event of this probability happens.
    pub fn happens(&mut self, per_mille: u64) -> bool {
        self.roll() < per_mille
    }

    /// A number below `bound`, which is at most 1000.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.roll() * bound / 1_000
    }
}
