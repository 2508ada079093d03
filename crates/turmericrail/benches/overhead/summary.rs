//! Figures of one way and their ratio to the other.

use std::time::Duration;

use crate::streams::Times;

/// The times of many answers.
#[derive(Debug, Default)]
pub struct Summary {
    first: Vec<Duration>,
    gaps: Vec<Duration>,
}

impl Summary {
    /// Adds the times of one phase.
    pub fn add(&mut self, times: Vec<Times>) {
        for time in times {
            self.first.push(time.first);
            self.gaps.extend(time.gaps);
        }
        self.first.sort();
        self.gaps.sort();
    }

    /// The heading of the table.
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

    /// One row of the table.
    pub fn row(streams: u64, direct: &Self, routed: &Self) -> String {
        let (first, routed_first) = (middle_ms(&direct.first), middle_ms(&routed.first));
        let late_ms = late_ms(&routed.first) - late_ms(&direct.first);
        let (gap, routed_gap) = (mean_ms(&direct.gaps), mean_ms(&routed.gaps));
        format!(
            "{streams:>7}  {:>10} {first:>8.2} {routed_first:>8.2} {:>9.2} {late_ms:>9.2}  {:>10} \
             {gap:>8.2} {routed_gap:>8.2} {:>8.2}%",
            "median",
            routed_first - first,
            "mean",
            (routed_gap / gap - 1.0) * 100.0
        )
    }
}

fn middle_ms(sorted: &[Duration]) -> f64 {
    sorted[sorted.len() / 2].as_secs_f64() * 1e3
}

fn late_ms(sorted: &[Duration]) -> f64 {
    sorted[sorted.len() * 95 / 100].as_secs_f64() * 1e3
}

fn mean_ms(times: &[Duration]) -> f64 {
    times.iter().sum::<Duration>().as_secs_f64() * 1e3 / times.len() as f64
}
