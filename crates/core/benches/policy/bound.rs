//! The upper bound of goodput in one case.
//!
//! No policy completes more requests within their targets than the relaxed problem in which all
//! engines of a role are one machine that may be divided at will, every moment's work may be split
//! among any requests, the shared part of every prompt is cached, and all is known beforehand.
//! A request then needs its prefill time between its arrival and its target, and its decode time
//! between its arrival and the latest end that its token target allows. A decode step takes `base +
//! stream * batch`, and a batch is at most 20 streams and 2,000 KV pieces, so an answer costs at
//! least its tokens times `stream + base / 20`, and at least its tokens times `stream + base *
//! pieces / 2000`, of engine time: two constraints, both of which hold.
//!
//! This is a linear programme. With a price for each slot of time of each resource, any prices at
//! all give a bound by weak duality: the price of all the time there is, plus for each request
//! what its completion is worth beyond the cheapest slots it can use. The prices are improved by
//! subgradient steps; the least value met is the bound. Engines that are dead or slow count as far
//! as they work; a cut-off data centre counts as if it were reached, which only raises the bound.

use crate::workload::{ARRIVALS_MS, Asked, STEP_BASE_MS, STEP_STREAM_MS, WARM_UP_MS};

const SLOT_MS: u64 = 500;
const END_MS: u64 = WARM_UP_MS + ARRIVALS_MS + 40_000;
const SLOTS: usize = (END_MS / SLOT_MS) as usize;
const STEPS: usize = 400;
/// Share of the bound that a step aims to take off at first.
const FIRST_AIM: f64 = 0.02;
/// Steps without success after which less is aimed at.
const PATIENT_STEPS: usize = 15;
/// Worth within which a request counts as nearly indifferent, in steps alone.
const SOFT_WORTH: f64 = 0.03;
/// Difference in cost within which slots count as nearly as cheap, in steps alone.
const SOFT_PRICE: f64 = 0.03;
/// Least time from the end of a prefill to the first token: a decode step of one stream.
const TAIL_MS: u64 = (STEP_BASE_MS + STEP_STREAM_MS) as u64;

/// Engines at work at a time, prefill and decode.
pub type Engines = Box<dyn Fn(u64) -> (f64, f64)>;

/// What a request needs of one resource, and when.
struct Need {
    time_ms: f64,
    slots: std::ops::Range<usize>,
}

/// One resource: its time in each slot, and the price of it.
struct Resource {
    capacity_ms: Vec<f64>,
    prices: Vec<f64>,
}

/// Most requests that can be completed within their targets.
pub fn upper_bound(asked: &[Asked], engines: &Engines) -> f64 {
    let needs: Vec<_> = asked.iter().filter(|asked| is_feasible(asked)).map(needs).collect();
    let capacity = |choose: fn((f64, f64)) -> f64| -> Vec<f64> {
        let slots = (0..SLOTS as u64).map(|slot| choose(engines(slot * SLOT_MS)));
        slots.map(|count| count * SLOT_MS as f64).collect()
    };
    let capacities = [capacity(|both| both.0), capacity(|both| both.1), capacity(|both| both.1)];
    let mut resources =
        capacities.map(|capacity_ms| Resource { capacity_ms, prices: vec![0.0; SLOTS] });
    let mut bound = start_uniform(&needs, &mut resources);
    let mut aim = bound * FIRST_AIM;
    let mut idle_steps = 0;
    for _ in 0..STEPS {
        let (value, gradients) = evaluate(&needs, &resources);
        idle_steps = if value < bound { 0 } else { idle_steps + 1 };
        bound = bound.min(value);
        if idle_steps > PATIENT_STEPS {
            aim /= 2.0;
            idle_steps = 0;
        }
        let norm: f64 = gradients.iter().flatten().map(|part| part * part).sum();
        let step = (value - bound + aim) / norm.max(1e-9);
        for (resource, gradient) in resources.iter_mut().zip(&gradients) {
            for (price, part) in resource.prices.iter_mut().zip(gradient) {
                *price = (*price - step * part).max(0.0);
            }
        }
    }
    bound
}

/// Sets the best prices that are the same at all times, one resource after the other.
fn start_uniform(needs: &[[Need; 3]], resources: &mut [Resource; 3]) -> f64 {
    let mut bound = evaluate(needs, resources).0;
    for place in 0..resources.len() {
        let mut best = 0.0;
        for exponent in 0..40 {
            let price = 1e-5 * 1.25_f64.powi(exponent);
            resources[place].prices.fill(price);
            let value = evaluate(needs, resources).0;
            if value < bound {
                (bound, best) = (value, price);
            }
        }
        resources[place].prices.fill(best);
    }
    bound
}

/// The bound that the prices give, and its subgradient.
fn evaluate(needs: &[[Need; 3]], resources: &[Resource; 3]) -> (f64, [Vec<f64>; 3]) {
    let mut value = 0.0;
    let mut gradients = [0, 1, 2].map(|place: usize| resources[place].capacity_ms.clone());
    for resource in resources {
        let priced = resource.capacity_ms.iter().zip(&resource.prices);
        value += priced.map(|(time_ms, price)| time_ms * price).sum::<f64>();
    }
    for need in needs {
        let mut worth = 1.0;
        for (place, part) in need.iter().enumerate() {
            worth -= part.time_ms * least(&resources[place].prices, part);
        }
        value += worth.max(0.0);
        let share = 1.0 / (1.0 + (-worth / SOFT_WORTH).exp());
        if share < 1e-4 {
            continue;
        }
        for (place, part) in need.iter().enumerate() {
            spread(&mut gradients[place], &resources[place].prices, part, share);
        }
    }
    (value, gradients)
}

fn least(prices: &[f64], need: &Need) -> f64 {
    prices[need.slots.clone()].iter().copied().fold(f64::INFINITY, f64::min)
}

/// Takes the time of a need out of the slots that are cheapest for it, or nearly so.
fn spread(gradient: &mut [f64], prices: &[f64], need: &Need, share: f64) {
    let least = least(prices, need);
    let soft = SOFT_PRICE / need.time_ms.max(1.0);
    let weights: Vec<_> =
        prices[need.slots.clone()].iter().map(|price| (-(price - least) / soft).exp()).collect();
    let total: f64 = weights.iter().sum();
    for (slot, weight) in need.slots.clone().zip(weights) {
        gradient[slot] -= need.time_ms * share * weight / total;
    }
}

fn needs(asked: &Asked) -> [Need; 3] {
    let due_ms = asked.arrives_ms + asked.kind.first_token_ms;
    let end_ms = due_ms + asked.answer_tokens * asked.kind.per_token_ms;
    let slots = |until_ms: u64| {
        let last = (until_ms / SLOT_MS + 1).min(SLOTS as u64);
        (asked.arrives_ms / SLOT_MS) as usize..last as usize
    };
    [
        Need { time_ms: asked.prefill_ms(), slots: slots(due_ms - TAIL_MS) },
        Need { time_ms: asked.decode_ms_by_streams(), slots: slots(end_ms) },
        Need { time_ms: asked.decode_ms_by_pieces(), slots: slots(end_ms) },
    ]
}

fn is_feasible(asked: &Asked) -> bool {
    let alone_ms = asked.prefill_ms() as u64 + TAIL_MS;
    asked.gone_after_ms.is_none() && alone_ms < asked.kind.first_token_ms
}
