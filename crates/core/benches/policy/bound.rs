//! Computes an upper bound of the goodput in one case.
//!
//! No policy completes more requests within their targets than the solution of a relaxed problem:
//! all engines of a role form one machine whose time can be divided among any requests, the shared
//! part of every prompt is cached, and all arrivals are known in advance. A request then needs its
//! prefill time between its arrival and its first-token target, and its decode time between its
//! arrival and the latest end that its per-token target allows. A decode step takes
//! `base + stream * batch`, and a batch has at most 20 streams and 2,000 KV pieces. An answer
//! therefore costs at least its tokens times `stream + base / 20`, and at least its tokens times
//! `stream + base * pieces / 2000`, of engine time; both constraints hold.
//!
//! This is a linear programme. By weak duality, any prices for the time intervals of each resource
//! give a bound: the price of all available time, plus, for each request, the positive part of one
//! minus its cost in the cheapest intervals that it can use. Subgradient steps improve the prices,
//! and the lowest value found is the bound. Dead and slow engines count as far as they work. A data
//! centre that is cut off counts as reachable, which can only raise the bound.

use crate::workload::{
    ARRIVAL_PERIOD_MS, DECODE_STEP_BASE_MS, DECODE_STEP_PER_STREAM_MS, WARM_UP_MS, WorkloadRequest,
};

const INTERVAL_MS: u64 = 500;
const HORIZON_MS: u64 = WARM_UP_MS + ARRIVAL_PERIOD_MS + 40_000;
const INTERVALS: usize = (HORIZON_MS / INTERVAL_MS) as usize;
const SUBGRADIENT_STEPS: usize = 400;
/// Reduction that the first steps aim for, as a fraction of the bound.
const INITIAL_AIM_RATIO: f64 = 0.02;
/// Steps without an improvement after which the aimed reduction is halved.
const MAX_IDLE_STEPS: usize = 15;
/// Width of the smooth threshold around a zero surplus; affects the gradient only, not the bound.
const SURPLUS_SMOOTHING: f64 = 0.03;
/// Cost difference over which demand spreads to intervals that are not the cheapest; affects the
/// gradient only, not the bound.
const COST_SMOOTHING: f64 = 0.03;
/// Minimum time from the end of a prefill to the first token: a decode step of one stream.
const MIN_FIRST_TOKEN_STEP_MS: u64 = (DECODE_STEP_BASE_MS + DECODE_STEP_PER_STREAM_MS) as u64;

/// Returns the working prefill and decode engines at a time in milliseconds.
pub type EngineCounts = Box<dyn Fn(u64) -> (f64, f64)>;

/// Time that a request needs of one resource, and the intervals in which it can use it.
struct Demand {
    time_ms: f64,
    intervals: std::ops::Range<usize>,
}

/// Available time of one resource and its price, by interval.
struct Resource {
    capacity_ms: Vec<f64>,
    prices: Vec<f64>,
}

/// Returns the most requests that can be completed within their targets.
pub fn upper_bound(requests: &[WorkloadRequest], engine_counts: &EngineCounts) -> f64 {
    let demands: Vec<_> =
        requests.iter().filter(|request| is_feasible(request)).map(demands).collect();
    let capacity = |count_of: fn((f64, f64)) -> f64| -> Vec<f64> {
        let intervals =
            (0..INTERVALS as u64).map(|interval| count_of(engine_counts(interval * INTERVAL_MS)));
        intervals.map(|count| count * INTERVAL_MS as f64).collect()
    };
    let capacities =
        [capacity(|counts| counts.0), capacity(|counts| counts.1), capacity(|counts| counts.1)];
    let mut resources =
        capacities.map(|capacity_ms| Resource { capacity_ms, prices: vec![0.0; INTERVALS] });
    let mut bound = set_uniform_prices(&demands, &mut resources);
    let mut aimed_reduction = bound * INITIAL_AIM_RATIO;
    let mut idle_steps = 0;
    for _ in 0..SUBGRADIENT_STEPS {
        let (value, gradients) = evaluate(&demands, &resources);
        idle_steps = if value < bound { 0 } else { idle_steps + 1 };
        bound = bound.min(value);
        if idle_steps > MAX_IDLE_STEPS {
            aimed_reduction /= 2.0;
            idle_steps = 0;
        }
        let norm: f64 = gradients.iter().flatten().map(|part| part * part).sum();
        let step = (value - bound + aimed_reduction) / norm.max(1e-9);
        for (resource, gradient) in resources.iter_mut().zip(&gradients) {
            for (price, part) in resource.prices.iter_mut().zip(gradient) {
                *price = (*price - step * part).max(0.0);
            }
        }
    }
    bound
}

/// Sets the best price that is constant over time, one resource after the other; returns the bound.
fn set_uniform_prices(demands: &[[Demand; 3]], resources: &mut [Resource; 3]) -> f64 {
    let mut bound = evaluate(demands, resources).0;
    for index in 0..resources.len() {
        let mut best = 0.0;
        for exponent in 0..40 {
            let price = 1e-5 * 1.25_f64.powi(exponent);
            resources[index].prices.fill(price);
            let value = evaluate(demands, resources).0;
            if value < bound {
                (bound, best) = (value, price);
            }
        }
        resources[index].prices.fill(best);
    }
    bound
}

/// Returns the bound that the prices give, and its subgradient.
fn evaluate(demands: &[[Demand; 3]], resources: &[Resource; 3]) -> (f64, [Vec<f64>; 3]) {
    let mut value = 0.0;
    let mut gradients = [0, 1, 2].map(|index: usize| resources[index].capacity_ms.clone());
    for resource in resources {
        let priced = resource.capacity_ms.iter().zip(&resource.prices);
        value += priced.map(|(time_ms, price)| time_ms * price).sum::<f64>();
    }
    for demand in demands {
        let mut surplus = 1.0;
        for (index, part) in demand.iter().enumerate() {
            surplus -= part.time_ms * min_price(&resources[index].prices, part);
        }
        value += surplus.max(0.0);
        let fraction = 1.0 / (1.0 + (-surplus / SURPLUS_SMOOTHING).exp());
        if fraction < 1e-4 {
            continue;
        }
        for (index, part) in demand.iter().enumerate() {
            subtract_demand(&mut gradients[index], &resources[index].prices, part, fraction);
        }
    }
    (value, gradients)
}

fn min_price(prices: &[f64], demand: &Demand) -> f64 {
    prices[demand.intervals.clone()].iter().copied().fold(f64::INFINITY, f64::min)
}

/// Subtracts a request's time from the intervals that are cheapest for it, or nearly so.
fn subtract_demand(gradient: &mut [f64], prices: &[f64], demand: &Demand, fraction: f64) {
    let lowest_price = min_price(prices, demand);
    let smoothing = COST_SMOOTHING / demand.time_ms.max(1.0);
    let weights: Vec<_> = prices[demand.intervals.clone()]
        .iter()
        .map(|price| (-(price - lowest_price) / smoothing).exp())
        .collect();
    let total: f64 = weights.iter().sum();
    for (interval, weight) in demand.intervals.clone().zip(weights) {
        gradient[interval] -= demand.time_ms * fraction * weight / total;
    }
}

fn demands(request: &WorkloadRequest) -> [Demand; 3] {
    let due_ms = request.arrives_ms + request.caller_kind.first_token_ms;
    let end_ms = due_ms + request.answer_tokens * request.caller_kind.per_token_ms;
    let intervals = |until_ms: u64| {
        let last = (until_ms / INTERVAL_MS + 1).min(INTERVALS as u64);
        (request.arrives_ms / INTERVAL_MS) as usize..last as usize
    };
    [
        Demand {
            time_ms: request.prefill_ms(),
            intervals: intervals(due_ms - MIN_FIRST_TOKEN_STEP_MS),
        },
        Demand { time_ms: request.decode_ms_by_streams(), intervals: intervals(end_ms) },
        Demand { time_ms: request.decode_ms_by_pieces(), intervals: intervals(end_ms) },
    ]
}

fn is_feasible(request: &WorkloadRequest) -> bool {
    let min_first_token_ms = request.prefill_ms() as u64 + MIN_FIRST_TOKEN_STEP_MS;
    request.caller_leaves_after_ms.is_none()
        && min_first_token_ms < request.caller_kind.first_token_ms
}
