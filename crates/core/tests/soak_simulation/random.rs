//! Seeded random choices.

use quickcheck::Gen;

/// Number of values that a single choice is made from.
const CHOICE_COUNT: usize = 1_000;

/// Source of random choices; the same seed gives the same ones.
pub struct Random {
    generator: Gen,
    numbers: Vec<u64>,
}

impl Random {
    pub fn new(seed: u64) -> Self {
        Self {
            generator: Gen::from_size_and_seed(CHOICE_COUNT, seed),
            numbers: (0..CHOICE_COUNT as u64).collect(),
        }
    }

    /// A number below `limit`, which may be at most a million.
    pub fn below(&mut self, limit: u64) -> u64 {
        let mut number = || *self.generator.choose(&self.numbers).expect("there are numbers");
        (number() * CHOICE_COUNT as u64 + number()) % limit.max(1)
    }

    /// True with this probability.
    pub fn chance_percent(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }
}
