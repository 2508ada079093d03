//! Limit on retries over a sliding window, kept by all instances without sharing a count.
//!
//! The limit on the sum over all instances is a ratio of the calls in the window plus a constant
//! slack. Each instance applies the ratio to its own calls and uses an equal share of the slack.

use std::collections::VecDeque;

use crate::units::Millis;

/// Number of buckets that the window is counted in.
const BUCKETS: u64 = 20;

/// The limit on retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBounds {
    /// Retries per call.
    pub ratio: f64,
    /// Further retries per window, over all instances together.
    pub slack: u64,
    /// Length of the sliding window.
    pub window_ms: Millis,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    start_ms: Millis,
    calls: u64,
    retries: u64,
}

/// Calls and retries to one service in the window, as sent by this instance.
#[derive(Clone, Debug, Default)]
pub struct RetryWindow {
    buckets: VecDeque<Bucket>,
}

impl RetryWindow {
    /// Counts a call from a caller.
    pub fn record_call(&mut self, now_ms: Millis, bounds: &RetryBounds) {
        self.bucket(now_ms, bounds).calls += 1;
    }

    /// Counts a retry without checking the limit.
    pub fn record_retry(&mut self, now_ms: Millis, bounds: &RetryBounds) {
        self.bucket(now_ms, bounds).retries += 1;
    }

    /// Counts a retry if the limit allows one; returns whether it did.
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
        // One bucket more than the window, so that any span of its length is covered.
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
