//! A service of decode engines whose memory limits how many answers run, and instances that ask the
//! engines for room and know nothing of each other.
//!
//! Time advances in steps. A call of an engine takes no time; the steps between rounds do.
#![allow(dead_code)]

mod central;
mod engines;
mod instances;
mod load;

pub use central::{Order, play_central};
pub use engines::Engines;
pub use instances::{Policy, play_instances};
pub use load::{Call, Load, Outcome, arrivals};

/// Length of a step of time.
pub const STEP_MS: u64 = 10;
/// Time from the placement of a call to its first event.
pub const FIRST_EVENT_MS: u64 = 250;
/// Time from the placement of a call to the end of its answer.
pub const ANSWER_MS: u64 = 3_200;
/// Tokens of every prompt.
pub const PROMPT: u64 = 5_200;
/// Tokens of every answer.
pub const OUTPUT: u64 = 600;
/// Memory of an engine.
pub const CAPACITY: u64 = 45_322;
/// Free memory that an engine must have for a call and its growth.
pub const NEEDED: u64 = PROMPT + 2 * OUTPUT;

/// Deterministic numbers that look random.
#[derive(Clone)]
pub struct Numbers(pub u64);

impl Numbers {
    /// The next number below a bound.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963);
        (self.0 >> 33) % bound
    }

    /// The next number from zero to one.
    pub fn part(&mut self) -> f64 {
        self.below(1 << 24) as f64 / (1u64 << 24) as f64
    }
}
