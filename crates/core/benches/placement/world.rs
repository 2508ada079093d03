//! Engines, requests that arrive by a seed, and owners that order roles.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use fastrand::Rng;
use turmericrail_core::config::document::ServerRole;
use turmericrail_core::ids::{FencingNumber, ServerId};
use turmericrail_core::placement::{
    DesiredState, EngineConstraints, EngineSnapshot, OrderKind, OrderScheduler,
};
use turmericrail_core::units::{BytesPerSecond, Millis};

use crate::demand::{KnownEngine, role_by_demand};

/// Time of one step.
pub const STEP_MS: u64 = 50;
/// Time simulated.
const RUN_MS: u64 = 6 * 3_600_000;
/// Time between reports, which is also their lag.
const REPORT_MS: u64 = 500;
/// Part of a new report in the smoothed load.
const SMOOTHING: f64 = 0.05;
/// Time in which an engine that changes its role does nothing.
const CHANGE_MS: u64 = 5_000;
/// Target for the first token.
const TARGET_MS: f64 = 3_000.0;
/// Prompt tokens computed a millisecond.
const PREFILL_TOKENS_PER_MS: f64 = 4.0;
/// Time between tokens of a full batch.
const TOKEN_MS: f64 = 24.0;
/// Seats of a decode engine.
const SEATS: usize = 20;

/// Prompt and answer lengths, in tokens.
#[derive(Clone, Copy)]
pub struct Mix {
    pub prompt_tokens: f64,
    pub answer_tokens: f64,
}

/// Engine time that a request of a mix takes, in ms.
fn engine_ms(mix: Mix) -> f64 {
    mix.prompt_tokens / PREFILL_TOKENS_PER_MS + mix.answer_tokens * TOKEN_MS / SEATS as f64
}

/// Where the roles come from.
pub enum Policy {
    Fixed(usize),
    Schedule(Box<dyn Fn(u64) -> usize>),
    Demand(usize),
}

struct Engine {
    server: ServerId,
    role: ServerRole,
    fencing_number: u64,
    ready_ms: u64,
    work_until_ms: f64,
    seats_until_ms: Vec<f64>,
    smoothed: (f64, f64),
}

/// What came of a run.
pub struct Outcome {
    pub goodput_ratio: f64,
    pub changes_per_hour: f64,
}

/// Runs one case: `mix_at` tells the mix of each moment, `load` the part of what the best split of
/// roles could serve.
pub fn run(
    seed: u64,
    count: usize,
    load: f64,
    mix_at: impl Fn(u64) -> Mix,
    policy: &Policy,
) -> Outcome {
    let mut rng = Rng::with_seed(seed);
    let first = match policy {
        Policy::Fixed(prefill) | Policy::Demand(prefill) => *prefill,
        Policy::Schedule(at) => at(0),
    };
    let mut engines: Vec<_> = (0..count).map(|number| engine(number, first)).collect();
    let mut books: BTreeMap<usize, OrderScheduler> =
        (0..count).map(|n| (n, Default::default())).collect();
    let mut waiting: VecDeque<(f64, f64, f64)> = VecDeque::new();
    let (mut arrived, mut good, mut changes) = (0_u64, 0_u64, 0_u64);
    for now_ms in (0..RUN_MS).step_by(STEP_MS as usize) {
        let mix = mix_at(now_ms);
        let expected = load * count as f64 / engine_ms(mix) * STEP_MS as f64;
        for _ in 0..poisson(&mut rng, expected) {
            let prompt_ms = mix.prompt_tokens / PREFILL_TOKENS_PER_MS * long_tail(&mut rng);
            let answer_ms = mix.answer_tokens * TOKEN_MS * long_tail(&mut rng);
            waiting.push_back((now_ms as f64, prompt_ms, answer_ms));
            arrived += 1;
        }
        good += serve(now_ms, &mut engines, &books, &mut waiting);
        if now_ms % REPORT_MS == 0 {
            changes += order(now_ms, &mut engines, &mut books, policy);
        }
    }
    let hours = RUN_MS as f64 / 3_600_000.0;
    Outcome {
        goodput_ratio: good as f64 / arrived as f64,
        changes_per_hour: changes as f64 / hours,
    }
}

fn engine(number: usize, prefill: usize) -> Engine {
    Engine {
        server: format!("engine-{number:02}").parse().unwrap(),
        role: if number < prefill { ServerRole::Prefill } else { ServerRole::Decode },
        fencing_number: 0,
        ready_ms: 0,
        work_until_ms: 0.0,
        seats_until_ms: Vec::new(),
        smoothed: (0.0, 0.0),
    }
}

/// Exponential with mean one, cut at five.
fn long_tail(rng: &mut Rng) -> f64 {
    (-(1.0 - rng.f64()).ln()).min(5.0)
}

fn poisson(rng: &mut Rng, mean: f64) -> u64 {
    let limit = (-mean).exp();
    let (mut count, mut product) = (0, rng.f64());
    while product > limit {
        count += 1;
        product *= rng.f64();
    }
    count
}

/// Starts what can start, oldest first; what can't meet its target any more is given up.
fn serve(
    now_ms: u64,
    engines: &mut [Engine],
    books: &BTreeMap<usize, OrderScheduler>,
    waiting: &mut VecDeque<(f64, f64, f64)>,
) -> u64 {
    let now = now_ms as f64;
    for engine in engines.iter_mut() {
        engine.seats_until_ms.retain(|until_ms| *until_ms > now);
    }
    let is_open = |number: usize, engine: &Engine| {
        engine.ready_ms <= now_ms && !books[&number].is_draining(&engine.server, Millis(now_ms))
    };
    let mut good = 0;
    while let Some((asked_ms, prompt_ms, answer_ms)) = waiting.front().copied() {
        let open = (0..engines.len()).filter(|number| is_open(*number, &engines[*number]));
        let open: Vec<_> = open.collect();
        let prefill = open.iter().filter(|number| engines[**number].role == ServerRole::Prefill);
        let until_ms = |number: &usize| engines[*number].work_until_ms.max(now);
        let prefill =
            prefill.min_by(|one, other| until_ms(one).total_cmp(&until_ms(other))).copied();
        let end_ms = prefill.map_or(f64::INFINITY, |number| until_ms(&number) + prompt_ms);
        if end_ms > asked_ms + TARGET_MS {
            waiting.pop_front();
            continue;
        }
        let decode = open.iter().filter(|number| engines[**number].role == ServerRole::Decode);
        let decode = decode.min_by_key(|number| engines[**number].seats_until_ms.len()).copied();
        let Some(decode) = decode.filter(|number| engines[*number].seats_until_ms.len() < SEATS)
        else {
            break;
        };
        waiting.pop_front();
        engines[prefill.expect("an end was predicted")].work_until_ms = end_ms;
        engines[decode].seats_until_ms.push(end_ms + answer_ms);
        good += 1;
    }
    good
}

/// Each engine has an owner of its own, which knows the loads of all with a lag.
fn order(
    now_ms: u64,
    engines: &mut [Engine],
    books: &mut BTreeMap<usize, OrderScheduler>,
    policy: &Policy,
) -> u64 {
    let known: Vec<_> = engines
        .iter()
        .map(|engine| KnownEngine {
            server: engine.server.clone(),
            role: engine.role,
            backlog_ms: engine.smoothed.0,
            used_ratio: engine.smoothed.1,
        })
        .collect();
    let mut changes = 0;
    for (number, engine) in engines.iter_mut().enumerate() {
        let now = now_ms as f64;
        let backlog_ms = (engine.work_until_ms - now).max(0.0);
        let used_ratio = engine.seats_until_ms.len() as f64 / SEATS as f64;
        engine.smoothed.0 += SMOOTHING * (backlog_ms - engine.smoothed.0);
        engine.smoothed.1 += SMOOTHING * (used_ratio - engine.smoothed.1);
        let role = match policy {
            Policy::Fixed(_) => engine.role,
            Policy::Schedule(at) if number < at(now_ms) => ServerRole::Prefill,
            Policy::Schedule(_) => ServerRole::Decode,
            Policy::Demand(_) => role_by_demand(&known, &engine.server, engine.role),
        };
        let look = EngineSnapshot {
            received_ms: Millis(now_ms),
            role: Some(engine.role),
            loaded_weights: BTreeSet::new(),
            fencing_number: FencingNumber(engine.fencing_number),
            holds_streams: backlog_ms > 0.0 || used_ratio > 0.0,
            weights_in_use: BTreeSet::new(),
            has_unknown_weights: false,
        };
        let desired =
            DesiredState { role, weights: BTreeMap::new(), externally_managed: BTreeSet::new() };
        let share_bytes_per_second = BytesPerSecond(0);
        let terms =
            EngineConstraints { checks_fencing: true, memory_bytes: None, share_bytes_per_second };
        let book = books.get_mut(&number).expect("each engine has a book");
        book.record_snapshot(engine.server.clone(), look);
        let order = book.next_order(Millis(now_ms), &engine.server, &desired, terms);
        let Some(OrderKind::ChangeRole { role }) = order.map(|order| order.kind) else {
            continue;
        };
        engine.role = role;
        engine.fencing_number += 1;
        engine.ready_ms = now_ms + CHANGE_MS;
        engine.smoothed = (0.0, 0.0);
        changes += 1;
    }
    changes
}
