//! Limit on retries over a sliding window, which the instances observe together without exchanging
//! counts.
//!
//! The limit on the sum over all instances is a ratio of the calls in the window plus a constant
//! slack. Each instance applies the ratio to its own calls and uses an equal share of the slack.

use std::collections::VecDeque;

use crate::units::Millis;

/// Number of intervals into which the window is divided for counting.
const BUCKET_COUNT: u64 = 20;

/// Parameters of the limit on retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBounds {
    /// Retries allowed per call in the window.
    pub ratio: f64,
    /// Further retries per window, over all instances together.
    pub slack: u64,
    /// Length of the sliding window.
    pub window_ms: Millis,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    start_ms: Millis,
    call_count: u64,
    retry_count: u64,
}

/// Calls and retries to one service in the window, as sent by this instance.
#[derive(Clone, Debug, Default)]
pub struct RetryWindow {
    buckets: VecDeque<Bucket>,
}

impl RetryWindow {
    /// Counts a call from a caller.
    pub fn record_call(&mut self, now_ms: Millis, bounds: &RetryBounds) {
        self.bucket(now_ms, bounds).call_count += 1;
    }

    /// Counts a retry if the limit allows one; returns whether it did.
    pub fn try_record_retry(
        &mut self,
        now_ms: Millis,
        bounds: &RetryBounds,
        instance_count: usize,
    ) -> bool {
        if !self.allows_retry(now_ms, bounds, instance_count) {
            return false;
        }
        self.bucket(now_ms, bounds).retry_count += 1;
        true
    }

    /// Whether the limit allows another retry.
    pub fn allows_retry(
        &self,
        now_ms: Millis,
        bounds: &RetryBounds,
        instance_count: usize,
    ) -> bool {
        let is_in_window = |bucket: &&Bucket| now_ms < bucket.start_ms + bounds.window_ms;
        let in_window = self.buckets.iter().filter(is_in_window);
        let call_count: u64 = in_window.map(|bucket| bucket.call_count).sum();
        let oldest_ms = oldest_bucket_ms(now_ms, bounds);
        let is_counted = |bucket: &&Bucket| bucket.start_ms >= oldest_ms;
        let counted = self.buckets.iter().filter(is_counted);
        let retry_count: u64 = counted.map(|bucket| bucket.retry_count).sum();
        let own_slack = bounds.slack as f64 / instance_count.max(1) as f64;
        (retry_count + 1) as f64 <= bounds.ratio * call_count as f64 + own_slack
    }

    fn bucket(&mut self, now_ms: Millis, bounds: &RetryBounds) -> &mut Bucket {
        let bucket_ms = bucket_length_ms(bounds);
        let oldest_ms = oldest_bucket_ms(now_ms, bounds);
        while self.buckets.front().is_some_and(|bucket| bucket.start_ms < oldest_ms) {
            self.buckets.pop_front();
        }
        let is_current = |bucket: &Bucket| now_ms < bucket.start_ms + bucket_ms;
        if !self.buckets.back().is_some_and(is_current) {
            self.buckets.push_back(Bucket { start_ms: now_ms, call_count: 0, retry_count: 0 });
        }
        self.buckets.back_mut().expect("a bucket was just pushed")
    }
}

fn bucket_length_ms(bounds: &RetryBounds) -> Millis {
    Millis((bounds.window_ms.0 / BUCKET_COUNT).max(1))
}

/// Start of the oldest interval whose retries count: one interval before the window, so that any
/// span of its length is covered.
fn oldest_bucket_ms(now_ms: Millis, bounds: &RetryBounds) -> Millis {
    now_ms.saturating_sub(bounds.window_ms + bucket_length_ms(bounds))
}
