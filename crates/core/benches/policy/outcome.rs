//! What became of the requests of one case, and the line that tells it.

use std::fmt;

use crate::workload::{Asked, FLOODING_WORKSPACE};

/// What became of one request.
#[derive(Clone, Default)]
pub struct Outcome {
    pub first_token_ms: Option<u64>,
    pub ended_ms: Option<u64>,
    pub tokens: u64,
    pub is_refused: bool,
    pub refused_after_ms: Option<u64>,
    pub retry_after_ms: Option<u64>,
}

/// The measures of one run.
#[derive(Clone, Copy, Default)]
pub struct Measures {
    pub goodput: f64,
    pub goodput_ratio: f64,
    pub wasted_prefill_ratio: f64,
    pub ttft_p95_ms: u64,
    pub token_p95_ms: f64,
    pub refused_ratio: f64,
    pub refusal_p50_ms: u64,
    pub others_good_ratio: f64,
}

impl Measures {
    /// Adds up the outcomes; goodput is told as a share of `bound`.
    pub fn of(
        asked: &[Asked],
        outcomes: &[Outcome],
        bound: f64,
        wasted_prefill_ratio: f64,
    ) -> Self {
        let mut first = Vec::new();
        let mut tokens = Vec::new();
        let mut refusals = Vec::new();
        let mut good = 0;
        let mut counted = 0;
        let (mut others, mut others_good) = (0, 0);
        for (asked, outcome) in asked.iter().zip(outcomes) {
            if asked.gone_after_ms.is_some() {
                continue;
            }
            counted += 1;
            let is_other = asked.workspace != FLOODING_WORKSPACE;
            others += u64::from(is_other);
            refusals.extend(outcome.refused_after_ms);
            let (Some(first_ms), Some(ended_ms)) = (outcome.first_token_ms, outcome.ended_ms)
            else {
                continue;
            };
            let gaps = (asked.answer_tokens - 1).max(1) as f64;
            let token_ms = (ended_ms - first_ms) as f64 / gaps;
            let waited_ms = first_ms - asked.arrives_ms;
            first.push(waited_ms);
            tokens.push((token_ms * 10.0) as u64);
            let is_good = waited_ms <= asked.kind.first_token_ms
                && token_ms <= asked.kind.per_token_ms as f64;
            good += u64::from(is_good);
            others_good += u64::from(is_good && is_other);
        }
        Self {
            goodput: good as f64,
            goodput_ratio: good as f64 / bound,
            wasted_prefill_ratio,
            ttft_p95_ms: percentile(first, 95),
            token_p95_ms: percentile(tokens, 95) as f64 / 10.0,
            refused_ratio: refusals.len() as f64 / counted as f64,
            refusal_p50_ms: percentile(refusals, 50),
            others_good_ratio: others_good as f64 / others.max(1) as f64,
        }
    }
}

impl fmt::Display for Measures {
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
    let place = (values.len() * percent).div_ceil(100).saturating_sub(1);
    values.get(place).copied().unwrap_or(0)
}
