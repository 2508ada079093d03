//! The upper bound of goodput in one case.
//!
//! No policy completes more requests within their targets than the relaxed problem in which
//! engines may be divided at will, the shared part of every prompt is cached, and nothing is known
//! of order. A decode step takes `base + stream * batch`, and a batch is at most 20 streams and
//! 2,000 KV pieces, so every answer costs at least its tokens times `stream + base / 20`, and at
//! least its tokens times `stream + base * pieces / 2000`, of engine time. Each of the three
//! resources gives a constraint, and each convex combination of the constraints is one too; for
//! one constraint the cheapest requests first are the best choice. Requests that arrive in a
//! window must be prefilled before the window's end plus the longest target, so the sum over
//! windows is a bound for each width, and the least value over all widths and combinations is
//! taken. Engines that are dead or cut off count as far as they work; cut-off sides are added.

use crate::workload::{ARRIVALS_MS, Asked, Deployment, WARM_UP_MS};

const WIDTHS_MS: [u64; 5] = [20_000, 30_000, 60_000, 90_000, ARRIVALS_MS];
const STEPS: usize = 10;

/// Most requests that can be completed within their targets.
pub fn upper_bound(
    asked: &[Asked],
    deployment: &Deployment,
    prefill_engines: f64,
    decode_engines: f64,
) -> f64 {
    let counted: Vec<_> = asked.iter().filter(|asked| is_feasible(asked)).collect();
    let patience_ms = deployment.kinds.iter().map(|kind| kind.first_token_ms).max().unwrap_or(0);
    let mut bound = counted.len() as f64;
    for width_ms in WIDTHS_MS {
        for first in 0..=STEPS {
            for second in 0..=STEPS - first {
                let third = STEPS - first - second;
                let weights = [first, second, third].map(|share| share as f64 / STEPS as f64);
                let cost = |asked: &Asked| {
                    weights[0] * asked.prefill_ms() / prefill_engines
                        + weights[1] * asked.decode_ms_by_streams() / decode_engines
                        + weights[2] * asked.decode_ms_by_pieces() / decode_engines
                };
                // Answers may go on after the window, by at most the longest one.
                let tail_ms = if first == STEPS { 0.0 } else { longest_answer_ms(&counted) };
                let budget_ms = (width_ms + patience_ms) as f64 + (1.0 - weights[0]) * tail_ms;
                bound = bound.min(sum_of_windows(&counted, width_ms, budget_ms, cost));
            }
        }
    }
    bound
}

fn sum_of_windows(
    asked: &[&Asked],
    width_ms: u64,
    budget_ms: f64,
    cost: impl Fn(&Asked) -> f64,
) -> f64 {
    let mut sum = 0.0;
    let mut from_ms = WARM_UP_MS;
    while from_ms < WARM_UP_MS + ARRIVALS_MS {
        let window = from_ms..from_ms + width_ms;
        let inside = asked.iter().filter(|asked| window.contains(&asked.arrives_ms));
        let mut costs: Vec<_> = inside.map(|asked| cost(asked)).collect();
        costs.sort_by(f64::total_cmp);
        let mut left_ms = budget_ms;
        for cost in costs {
            if cost > left_ms {
                sum += left_ms / cost;
                break;
            }
            left_ms -= cost;
            sum += 1.0;
        }
        from_ms += width_ms;
    }
    sum
}

fn longest_answer_ms(asked: &[&Asked]) -> f64 {
    let longest = asked.iter().map(|asked| asked.answer_tokens * asked.kind.per_token_ms).max();
    longest.unwrap_or(0) as f64
}

fn is_feasible(asked: &Asked) -> bool {
    asked.gone_after_ms.is_none() && asked.prefill_ms() < asked.kind.first_token_ms as f64
}
