//! A bound on calls sent again, over a sliding window, shared by all instances without a count.
//!
//! The bound holds for the sum over all instances: a ratio of the calls of the window and some in
//! addition. Each instance keeps the ratio on its own calls and an equal part of the addition.

use std::collections::VecDeque;

use crate::units::Millis;

/// Parts that the window is counted in.
const STEPS: u64 = 20;

/// The bound.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBounds {
    /// Calls sent again for each call.
    pub ratio: f64,
    /// Calls sent again in each window in addition, by all instances together.
    pub slack: u64,
    /// Length of the window.
    pub window_ms: Millis,
}

#[derive(Clone, Copy, Debug)]
struct Step {
    start_ms: Millis,
    calls: u64,
    repeats: u64,
}

/// Calls to one service in the window.
#[derive(Clone, Debug, Default)]
pub struct RetryWindow {
    steps: VecDeque<Step>,
}

impl RetryWindow {
    /// Counts a call of a caller.
    pub fn note_call(&mut self, now_ms: Millis, bounds: &RetryBounds) {
        self.step(now_ms, bounds).calls += 1;
    }

    /// Counts a call sent again.
    pub fn note_repeat(&mut self, now_ms: Millis, bounds: &RetryBounds) {
        self.step(now_ms, bounds).repeats += 1;
    }

    /// Counts a call sent again, if the bound leaves room for it.
    pub fn take_repeat(&mut self, now_ms: Millis, bounds: &RetryBounds, instances: usize) -> bool {
        self.step(now_ms, bounds);
        let calls: u64 = self.steps.iter().map(|step| step.calls).sum();
        let repeats: u64 = self.steps.iter().map(|step| step.repeats).sum();
        let own_slack = bounds.slack as f64 / instances.max(1) as f64;
        if (repeats + 1) as f64 > bounds.ratio * calls as f64 + own_slack {
            return false;
        }
        self.note_repeat(now_ms, bounds);
        true
    }

    fn step(&mut self, now_ms: Millis, bounds: &RetryBounds) -> &mut Step {
        let step_ms = Millis((bounds.window_ms.0 / STEPS).max(1));
        // One step more than the window, so that any span of its length is covered.
        let oldest_ms = now_ms.saturating_sub(bounds.window_ms + step_ms);
        while self.steps.front().is_some_and(|step| step.start_ms < oldest_ms) {
            self.steps.pop_front();
        }
        let is_current = |step: &Step| now_ms < step.start_ms + step_ms;
        if !self.steps.back().is_some_and(is_current) {
            self.steps.push_back(Step { start_ms: now_ms, calls: 0, repeats: 0 });
        }
        self.steps.back_mut().expect("a step was just pushed")
    }
}
