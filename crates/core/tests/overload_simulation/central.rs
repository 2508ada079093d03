//! One queue for all calls whose owner knows the memory of every engine.

use super::{Call, Engines, Load, NEEDED, Outcome, STEP_MS, arrivals};

/// The order in which a central queue places calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Order {
    /// First come, first served.
    Arrival,
    /// By rank; within a rank by arrival.
    Rank,
    /// By the value of an answer that begins now, calls that can be in time first.
    Value,
}

pub fn play_central(load: &Load, order: Order) -> Outcome {
    let mut outcome = Outcome::default();
    let mut coming = arrivals(load, &mut outcome).into_iter().peekable();
    let mut engines = Engines::new(load.engines);
    let mut waiting: Vec<Call> = Vec::new();
    let mut now_ms = 0;
    while coming.peek().is_some() || !waiting.is_empty() {
        engines.advance(now_ms);
        if load.lost_engines > 0 && now_ms == (load.burst_from_ms + load.burst_to_ms) / 2 {
            engines.lose(load.lost_engines);
        }
        while let Some(call) = coming.next_if(|call| call.arrived_ms <= now_ms) {
            waiting.push(call);
        }
        waiting.retain(|call| now_ms <= call.last_start_ms());
        sort(&mut waiting, order, now_ms);
        place_all(&mut waiting, &mut engines, &mut outcome, now_ms);
        now_ms += STEP_MS;
    }
    outcome
}

fn sort(waiting: &mut [Call], order: Order, now_ms: u64) {
    match order {
        Order::Arrival => {}
        Order::Rank => waiting.sort_by_key(|call| (call.kind().rank, call.first_ms)),
        // Calls that can be in time later as well give way to those that can't.
        Order::Value => waiting.sort_by(|a, b| {
            let key = |call: &Call| (call.value(now_ms), -(call.first_ms as f64));
            key(b).partial_cmp(&key(a)).unwrap()
        }),
    }
}

fn place_all(waiting: &mut Vec<Call>, engines: &mut Engines, outcome: &mut Outcome, now_ms: u64) {
    let mut placed = 0;
    let mut engine = 0;
    while placed < waiting.len() && engine < engines.count() {
        if engines.free_tokens(engine, now_ms) < NEEDED {
            engine += 1;
            continue;
        }
        engines.place(engine, now_ms);
        outcome.place(&waiting[placed], now_ms);
        placed += 1;
    }
    waiting.drain(..placed);
}
