//! Outcomes of the requests of one case, and the metrics printed for them.

use std::fmt;

use crate::workload::{FLOODING_WORKSPACE, WorkloadRequest};

/// Outcome of one request.
#[derive(Clone, Default)]
pub struct Outcome {
    pub first_token_ms: Option<u64>,
    pub ended_ms: Option<u64>,
    pub tokens: u64,
    pub is_refused: bool,
    pub refused_after_ms: Option<u64>,
    pub retry_after_ms: Option<u64>,
}

/// The metrics of one run.
#[derive(Clone, Copy, Default)]
pub struct Metrics {
    pub goodput: f64,
    pub goodput_ratio: f64,
    pub wasted_prefill_ratio: f64,
    pub ttft_p95_ms: u64,
    pub token_p95_ms: f64,
    pub refused_ratio: f64,
    pub refusal_p50_ms: u64,
    pub others_good_ratio: f64,
}

impl Metrics {
    /// Computes the metrics over all requests whose caller stays to the end. `goodput_ratio` is
    /// relative to `bound`.
    pub fn from_outcomes(
        requests: &[WorkloadRequest],
        outcomes: &[Outcome],
        bound: f64,
        wasted_prefill_ratio: f64,
    ) -> Self {
        let mut first_token_waits_ms = Vec::new();
        let mut token_times_tenth_ms = Vec::new();
        let mut refusal_waits_ms = Vec::new();
        let mut good_requests = 0;
        let mut counted_requests = 0;
        let (mut other_requests, mut good_other_requests) = (0, 0);
        for (request, outcome) in requests.iter().zip(outcomes) {
            if request.caller_leaves_after_ms.is_some() {
                continue;
            }
            counted_requests += 1;
            let is_other = request.workspace != FLOODING_WORKSPACE;
            other_requests += u64::from(is_other);
            refusal_waits_ms.extend(outcome.refused_after_ms);
            let (Some(first_ms), Some(ended_ms)) = (outcome.first_token_ms, outcome.ended_ms)
            else {
                continue;
            };
            let token_gaps = (request.answer_tokens - 1).max(1) as f64;
            let token_ms = (ended_ms - first_ms) as f64 / token_gaps;
            let waited_ms = first_ms - request.arrives_ms;
            first_token_waits_ms.push(waited_ms);
            token_times_tenth_ms.push((token_ms * 10.0) as u64);
            let is_good = waited_ms <= request.caller_kind.first_token_ms
                && token_ms <= request.caller_kind.per_token_ms as f64;
            good_requests += u64::from(is_good);
            good_other_requests += u64::from(is_good && is_other);
        }
        Self {
            goodput: good_requests as f64,
            goodput_ratio: good_requests as f64 / bound,
            wasted_prefill_ratio,
            ttft_p95_ms: percentile(first_token_waits_ms, 95),
            token_p95_ms: percentile(token_times_tenth_ms, 95) as f64 / 10.0,
            refused_ratio: refusal_waits_ms.len() as f64 / counted_requests as f64,
            refusal_p50_ms: percentile(refusal_waits_ms, 50),
            others_good_ratio: good_other_requests as f64 / other_requests.max(1) as f64,
        }
    }
}

impl fmt::Display for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "goodput_ratio={:.3} wasted_prefill_ratio={:.4} ttft_p95_ms={} token_p95_ms={:.1} \
             refused_ratio={:.3} refusal_p50_ms={} \
             others_good_ratio={:.3} goodput_requests={}",
            self.goodput_ratio,
            self.wasted_prefill_ratio,
            self.ttft_p95_ms,
            self.token_p95_ms,
            self.refused_ratio,
            self.refusal_p50_ms,
            self.others_good_ratio,
            self.goodput,
        )
    }
}

fn percentile(mut values: Vec<u64>, percent: usize) -> u64 {
    values.sort_unstable();
    let index = (values.len() * percent).div_ceil(100).saturating_sub(1);
    values.get(index).copied().unwrap_or(0)
}
