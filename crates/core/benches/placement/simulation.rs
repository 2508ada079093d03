//! Simulates engines, seeded request arrivals and owners that order role changes.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use fastrand::Rng;
use turmericrail_core::config::document::ServerRole;
use turmericrail_core::ids::{FencingNumber, ServerId};
use turmericrail_core::placement::{
    DesiredState, EngineConstraints, EngineSnapshot, OrderKind, OrderScheduler,
};
use turmericrail_core::units::{BytesPerSecond, Millis};

use crate::demand::{EngineLoad, role_by_demand};

/// Simulated time of one step.
pub const STEP_MS: u64 = 50;
const RUN_DURATION_MS: u64 = 6 * 3_600_000;
/// Time between load reports; decisions use the loads of the report before.
const REPORT_INTERVAL_MS: u64 = 500;
/// Weight of a new report in the smoothed load.
const SMOOTHING_FACTOR: f64 = 0.05;
/// Time for which an engine is unavailable while it changes its role.
const ROLE_CHANGE_MS: u64 = 5_000;
const FIRST_TOKEN_TARGET_MS: f64 = 3_000.0;
const PREFILL_TOKENS_PER_MS: f64 = 4.0;
/// Time between two tokens of a stream in a full batch.
const TOKEN_INTERVAL_MS: f64 = 24.0;
/// Streams that a decode engine runs at a time.
const SEATS_PER_ENGINE: usize = 20;

/// Mean prompt and answer lengths.
#[derive(Clone, Copy)]
pub struct RequestMix {
    pub prompt_tokens: f64,
    pub answer_tokens: f64,
}

/// Mean engine time that a request takes, prefill and decode together.
fn engine_time_ms(mix: RequestMix) -> f64 {
    mix.prompt_tokens / PREFILL_TOKENS_PER_MS
        + mix.answer_tokens * TOKEN_INTERVAL_MS / SEATS_PER_ENGINE as f64
}

/// How engines get their roles; the counts are prefill engines.
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
    busy_until_ms: f64,
    seats_until_ms: Vec<f64>,
    /// Backlog in milliseconds and used ratio of the seats.
    smoothed_load: (f64, f64),
}

/// The result of one run.
pub struct Outcome {
    pub goodput_ratio: f64,
    pub changes_per_hour: f64,
}

/// Runs one case.
///
/// `mix_at` gives the request mix at a time. `load` is the arrival rate as a fraction of what the
/// best division of the engines between the roles could serve.
pub fn run(
    seed: u64,
    engine_count: usize,
    load: f64,
    mix_at: impl Fn(u64) -> RequestMix,
    policy: &Policy,
) -> Outcome {
    let mut rng = Rng::with_seed(seed);
    let initial_prefill_engines = match policy {
        Policy::Fixed(count) | Policy::Demand(count) => *count,
        Policy::Schedule(prefill_engines_at) => prefill_engines_at(0),
    };
    let mut engines: Vec<_> =
        (0..engine_count).map(|number| engine(number, initial_prefill_engines)).collect();
    let mut schedulers: BTreeMap<usize, OrderScheduler> =
        (0..engine_count).map(|n| (n, Default::default())).collect();
    let mut queue: VecDeque<(f64, f64, f64)> = VecDeque::new();
    let (mut arrived_requests, mut good_requests, mut changes) = (0_u64, 0_u64, 0_u64);
    for now_ms in (0..RUN_DURATION_MS).step_by(STEP_MS as usize) {
        let mix = mix_at(now_ms);
        let expected = load * engine_count as f64 / engine_time_ms(mix) * STEP_MS as f64;
        for _ in 0..poisson(&mut rng, expected) {
            let prompt_ms =
                mix.prompt_tokens / PREFILL_TOKENS_PER_MS * truncated_exponential(&mut rng);
            let answer_ms = mix.answer_tokens * TOKEN_INTERVAL_MS * truncated_exponential(&mut rng);
            queue.push_back((now_ms as f64, prompt_ms, answer_ms));
            arrived_requests += 1;
        }
        good_requests += start_requests(now_ms, &mut engines, &schedulers, &mut queue);
        if now_ms % REPORT_INTERVAL_MS == 0 {
            changes += order_role_changes(now_ms, &mut engines, &mut schedulers, policy);
        }
    }
    let hours = RUN_DURATION_MS as f64 / 3_600_000.0;
    Outcome {
        goodput_ratio: good_requests as f64 / arrived_requests as f64,
        changes_per_hour: changes as f64 / hours,
    }
}

fn engine(number: usize, prefill_engines: usize) -> Engine {
    Engine {
        server: format!("engine-{number:02}").parse().unwrap(),
        role: if number < prefill_engines { ServerRole::Prefill } else { ServerRole::Decode },
        fencing_number: 0,
        ready_ms: 0,
        busy_until_ms: 0.0,
        seats_until_ms: Vec::new(),
        smoothed_load: (0.0, 0.0),
    }
}

/// Returns an exponentially distributed value with mean 1, truncated at 5.
fn truncated_exponential(rng: &mut Rng) -> f64 {
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

/// Starts queued requests, oldest first, and drops those that can no longer meet the first-token
/// target. Returns the number of requests started.
fn start_requests(
    now_ms: u64,
    engines: &mut [Engine],
    schedulers: &BTreeMap<usize, OrderScheduler>,
    queue: &mut VecDeque<(f64, f64, f64)>,
) -> u64 {
    let now = now_ms as f64;
    for engine in engines.iter_mut() {
        engine.seats_until_ms.retain(|until_ms| *until_ms > now);
    }
    let is_available = |number: usize, engine: &Engine| {
        engine.ready_ms <= now_ms
            && !schedulers[&number].is_draining(&engine.server, Millis(now_ms))
    };
    let mut good_requests = 0;
    while let Some((arrived_ms, prompt_ms, answer_ms)) = queue.front().copied() {
        let available =
            (0..engines.len()).filter(|number| is_available(*number, &engines[*number]));
        let available: Vec<_> = available.collect();
        let prefill =
            available.iter().filter(|number| engines[**number].role == ServerRole::Prefill);
        let until_ms = |number: &usize| engines[*number].busy_until_ms.max(now);
        let prefill =
            prefill.min_by(|one, other| until_ms(one).total_cmp(&until_ms(other))).copied();
        let end_ms = prefill.map_or(f64::INFINITY, |number| until_ms(&number) + prompt_ms);
        if end_ms > arrived_ms + FIRST_TOKEN_TARGET_MS {
            queue.pop_front();
            continue;
        }
        let decode = available.iter().filter(|number| engines[**number].role == ServerRole::Decode);
        let decode = decode.min_by_key(|number| engines[**number].seats_until_ms.len()).copied();
        let Some(decode) =
            decode.filter(|number| engines[*number].seats_until_ms.len() < SEATS_PER_ENGINE)
        else {
            break;
        };
        queue.pop_front();
        engines[prefill.expect("a finite end time implies an engine")].busy_until_ms = end_ms;
        engines[decode].seats_until_ms.push(end_ms + answer_ms);
        good_requests += 1;
    }
    good_requests
}

/// Updates the smoothed loads and orders role changes; returns their number. Each engine has an
/// owner of its own, which knows the loads of all engines as of the report before.
fn order_role_changes(
    now_ms: u64,
    engines: &mut [Engine],
    schedulers: &mut BTreeMap<usize, OrderScheduler>,
    policy: &Policy,
) -> u64 {
    let engine_loads: Vec<_> = engines
        .iter()
        .map(|engine| EngineLoad {
            server: engine.server.clone(),
            role: engine.role,
            backlog_ms: engine.smoothed_load.0,
            used_ratio: engine.smoothed_load.1,
        })
        .collect();
    let mut changes = 0;
    for (number, engine) in engines.iter_mut().enumerate() {
        let now = now_ms as f64;
        let backlog_ms = (engine.busy_until_ms - now).max(0.0);
        let used_ratio = engine.seats_until_ms.len() as f64 / SEATS_PER_ENGINE as f64;
        engine.smoothed_load.0 += SMOOTHING_FACTOR * (backlog_ms - engine.smoothed_load.0);
        engine.smoothed_load.1 += SMOOTHING_FACTOR * (used_ratio - engine.smoothed_load.1);
        let role = match policy {
            Policy::Fixed(_) => engine.role,
            Policy::Schedule(prefill_engines_at) if number < prefill_engines_at(now_ms) => {
                ServerRole::Prefill
            }
            Policy::Schedule(_) => ServerRole::Decode,
            Policy::Demand(_) => role_by_demand(&engine_loads, &engine.server, engine.role),
        };
        let snapshot = EngineSnapshot {
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
        let constraints =
            EngineConstraints { checks_fencing: true, memory_bytes: None, share_bytes_per_second };
        let scheduler = schedulers.get_mut(&number).expect("each engine has a scheduler");
        scheduler.record_snapshot(engine.server.clone(), snapshot);
        let order = scheduler.next_order(Millis(now_ms), &engine.server, &desired, constraints);
        let Some(OrderKind::ChangeRole { role }) = order.map(|order| order.kind) else {
            continue;
        };
        engine.role = role;
        engine.fencing_number += 1;
        engine.ready_ms = now_ms + ROLE_CHANGE_MS;
        engine.smoothed_load = (0.0, 0.0);
        changes += 1;
    }
    changes
}
