//! Choices from one seed.

use quickcheck::Gen;

/// Numbers that a single choice is made from.
const NUMBERS: usize = 1_000;

/// A source of choices: the same seed gives the same ones.
pub struct Draw {
    choices: Gen,
    numbers: Vec<u64>,
}

impl Draw {
    /// Choices from a seed.
    pub fn new(seed: u64) -> Self {
        Self {
            choices: Gen::from_size_and_seed(NUMBERS, seed),
            numbers: (0..NUMBERS as u64).collect(),
        }
    }

    /// A number below `limit`, which is at most a million.
    pub fn below(&mut self, limit: u64) -> u64 {
        let mut digit = || *self.choices.choose(&self.numbers).expect("there are numbers");
        (digit() * NUMBERS as u64 + digit()) % limit.max(1)
    }

    /// Whether something of this likelihood happens.
    pub fn happens(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }
}
