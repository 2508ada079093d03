//! A bound on calls sent again, over a sliding window, shared by all instances without a count.
//!
//! The bound holds for the sum over all instances: a ratio of the calls of the window and some in
//! addition. Each instance keeps the ratio on its own calls and an equal part of the addition.

use std::collections::VecDeque;

use crate::units::Millis;

/// Parts that the window is counted in.
const BUCKETS: u64 = 20;

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
struct Bucket {
    start_ms: Millis,
    calls: u64,
    retries: u64,
}

/// Calls to one service in the window.
#[derive(Clone, Debug, Default)]
pub struct RetryWindow {
    buckets: VecDeque<Bucket>,
}

impl RetryWindow {
    /// Counts a call of a caller.
    pub fn record_call(&mut self, now_ms: Millis, bounds: &RetryBounds) {
        self.bucket(now_ms, bounds).calls += 1;
    }

    /// Counts a call sent again.
    pub fn record_retry(&mut self, now_ms: Millis, bounds: &RetryBounds) {
        self.bucket(now_ms, bounds).retries += 1;
    }

    /// Counts a call sent again, if the bound leaves room for it.
    pub fn try_record_retry(
        &mut self,
        now_ms: Millis,
        bounds: &RetryBounds,
        instances: usize,
    ) -> bool {
        self.bucket(now_ms, bounds);
        let calls: u64 = self.buckets.iter().map(|bucket| bucket.calls).sum();
        let retries: u64 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let own_slack = bounds.slack as f64 / instances.max(1) as f64;
        if (retries + 1) as f64 > bounds.ratio * calls as f64 + own_slack {
            return false;
        }
        self.record_retry(now_ms, bounds);
        true
    }

    fn bucket(&mut self, now_ms: Millis, bounds: &RetryBounds) -> &mut Bucket {
        let bucket_ms = Millis((bounds.window_ms.0 / BUCKETS).max(1));
        // One step more than the window, so that any span of its length is covered.
        let oldest_ms = now_ms.saturating_sub(bounds.window_ms + bucket_ms);
        while self.buckets.front().is_some_and(|bucket| bucket.start_ms < oldest_ms) {
            self.buckets.pop_front();
        }
        let is_current = |bucket: &Bucket| now_ms < bucket.start_ms + bucket_ms;
        if !self.buckets.back().is_some_and(is_current) {
            self.buckets.push_back(Bucket { start_ms: now_ms, calls: 0, retries: 0 });
        }
        self.buckets.back_mut().expect("a bucket was just pushed")
    }
}
