//! Table of the token times, direct and routed.

use std::time::Duration;

use crate::streams::AnswerTimes;

/// The token times of many answers.
#[derive(Debug, Default)]
pub struct Summary {
    first_token: Vec<Duration>,
    gaps: Vec<Duration>,
}

impl Summary {
    pub fn add(&mut self, times: Vec<AnswerTimes>) {
        for time in times {
            self.first_token.push(time.first_token);
            self.gaps.extend(time.gaps);
        }
        self.first_token.sort();
        self.gaps.sort();
    }

    pub fn heading() -> String {
        format!(
            "{:>7}  {:>10} {:>8} {:>8} {:>9} {:>9}  {:>10} {:>8} {:>8} {:>9}",
            "streams",
            "first, ms",
            "direct",
            "routed",
            "added",
            "added p95",
            "tokens, ms",
            "direct",
            "routed",
            "added"
        )
    }

    pub fn row(streams: u64, direct: &Self, routed: &Self) -> String {
        let (direct_first, routed_first) =
            (median_ms(&direct.first_token), median_ms(&routed.first_token));
        let added_p95_ms = p95_ms(&routed.first_token) - p95_ms(&direct.first_token);
        let (direct_gap, routed_gap) = (mean_ms(&direct.gaps), mean_ms(&routed.gaps));
        format!(
            "{streams:>7}  {:>10} {direct_first:>8.2} {routed_first:>8.2} {:>9.2} {added_p95_ms:>9.2}  {:>10} \
             {direct_gap:>8.2} {routed_gap:>8.2} {:>8.2}%",
            "median",
            routed_first - direct_first,
            "mean",
            (routed_gap / direct_gap - 1.0) * 100.0
        )
    }
}

fn median_ms(sorted: &[Duration]) -> f64 {
    sorted[sorted.len() / 2].as_secs_f64() * 1e3
}

fn p95_ms(sorted: &[Duration]) -> f64 {
    sorted[sorted.len() * 95 / 100].as_secs_f64() * 1e3
}

fn mean_ms(times: &[Duration]) -> f64 {
    times.iter().sum::<Duration>().as_secs_f64() * 1e3 / times.len() as f64
}
