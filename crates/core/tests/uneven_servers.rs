//! Whole fleets whose servers differ in speed, lastingly and for moments: the completion times, and
//! the share of the work that the slowest servers get.

mod forward_support;

use std::collections::VecDeque;

use forward_support::{forwarder, mixed, service_id};
use turmericrail_core::config::ServerRole;
use turmericrail_core::forward::{
    CallEnd, ChosenServer, Forwarder, KvOrigin, ModelCallSize, ReportedLoad, ServerRun,
};
use turmericrail_core::units::{Millis, Tokens};

const STEP_MS: u64 = 4;
/// Time for which a set of servers is slow.
const DWELL_MS: u64 = 600;
const MOMENTARY_SLOWDOWN: f64 = 2.5;
/// One server in this many is slow at a time.
const SLOW_EVERY: u64 = 6;
const SPEEDS: [f64; 3] = [0.6, 1.0, 1.6];
const DATA_CENTRES: [&str; 3] = ["dc-a", "dc-b", "dc-c"];
const PREFILL_ENGINES: usize = 12;
const DECODE_ENGINES: usize = 48;
const PLAIN_SERVERS: usize = 3;
const PLAIN_SLOTS: usize = 6;
const PROMPT_TOKENS: f64 = 5_200.0;
const OUTPUT_TOKENS: f64 = 600.0;
const EVENTS: u64 = 69;
const KV_TOKENS: f64 = 41_355.0;
const PREFILL_TOKENS_PER_MS: f64 = 55.6;
const TOKEN_STEP_MS: f64 = 3.29;
/// Share by which each further answer of the batch lengthens a step.
const BATCH_SHARE: f64 = 0.05;
const PLAIN_WORK_MS: f64 = 60.0;
/// Time for which no figure counts, until the speeds are known.
const WARM_UP_MS: u64 = 20_000;
const DAY_MS: u64 = 40_000;
const EXCHANGE_INTERVAL_MS: u64 = 3_000;
const RETRY_MS: u64 = 60;
const FIRST_EVENT_TARGET_MS: u64 = 900;
const PLAIN_TARGET_MS: u64 = 300;
const MAX_ASKED: usize = 4;

#[derive(Clone, Copy)]
struct Plan {
    instances: usize,
    models_per_s: f64,
    plain_per_s: f64,
    /// Whether the servers state their momentary speed.
    is_stated: bool,
}

enum Work {
    Prefill { decode: ChosenServer },
    Decode { first_token_ms: Option<u64> },
    Plain,
}

struct Call {
    instance: usize,
    choice: ChosenServer,
    began_ms: u64,
    sent_ms: u64,
    left: f64,
    work: Work,
}

#[derive(Default)]
struct Server {
    speed: f64,
    running: Vec<Call>,
    waiting: VecDeque<Call>,
    reserved: f64,
    calls: usize,
}

#[derive(Default)]
struct Outcome {
    first_event_ms: Vec<u64>,
    answer_ms: Vec<u64>,
    plain_ms: Vec<u64>,
    /// Decode calls by the lasting speed of the engine.
    decode_calls: [usize; 3],
    prefill_calls: [usize; 3],
    /// Greatest number of prefills at an engine at a time.
    most_prefills: usize,
}

struct Fleet {
    plan: Plan,
    random: u64,
    now_ms: u64,
    instances: Vec<Forwarder>,
    /// By port number less one: prefill engines, decode engines, plain servers.
    servers: Vec<Server>,
    waiting: Vec<(usize, u64, u64)>,
    outcome: Outcome,
}

fn size() -> ModelCallSize {
    let output = Tokens(OUTPUT_TOKENS as u64);
    ModelCallSize {
        prompt_tokens: Tokens(PROMPT_TOKENS as u64),
        max_output_tokens: output,
        expected_output_tokens: output,
    }
}

fn index(choice: &ChosenServer) -> usize {
    usize::from(choice.address.port()) - 1
}

impl Fleet {
    fn new(plan: Plan) -> Self {
        let roles = [
            (ServerRole::Prefill, PREFILL_ENGINES),
            (ServerRole::Decode, DECODE_ENGINES),
            (ServerRole::Plain, PLAIN_SERVERS),
        ];
        let roles: Vec<_> =
            roles.iter().flat_map(|(role, count)| std::iter::repeat_n(*role, *count)).collect();
        let servers: Vec<_> = roles
            .iter()
            .enumerate()
            .map(|(number, role)| (*role, DATA_CENTRES[number / 3 % 3]))
            .collect();
        let speed = |(number, role): (usize, &ServerRole)| match role {
            ServerRole::Plain => 1.0,
            _ => SPEEDS[number % 3],
        };
        Self {
            plan,
            random: 7,
            now_ms: 0,
            instances: (0..plan.instances).map(|_| forwarder(&servers)).collect(),
            servers: roles
                .iter()
                .enumerate()
                .map(|it| Server { speed: speed(it), ..Server::default() })
                .collect(),
            waiting: Vec::new(),
            outcome: Outcome::default(),
        }
    }

    fn next_random(&mut self) -> u64 {
        self.random += 1;
        mixed(self.random)
    }

    fn slowdown(&self, server: usize) -> f64 {
        let epoch = self.now_ms / DWELL_MS;
        let is_slow = mixed(epoch * 1_000 + server as u64) / (u64::MAX / SLOW_EVERY + 1) == 0;
        if is_slow { MOMENTARY_SLOWDOWN } else { 1.0 }
    }

    /// Tells an instance what the server states in an answer.
    fn report(&mut self, instance: usize, run: &ServerRun, server: usize) {
        let percent = (self.slowdown(server) * 100.0) as u32;
        let state = &self.servers[server];
        let reported = ReportedLoad {
            running_calls: state.running.len() as u32,
            waiting_calls: state.waiting.len() as u32,
            max_concurrent_calls: 48,
            work_time: self.plan.is_stated.then(|| percent.to_string().parse().unwrap()),
        };
        let now_ms = Millis(self.now_ms);
        self.instances[instance].record_reported_load(now_ms, run, reported);
    }

    fn start(
        &mut self,
        instance: usize,
        choice: ChosenServer,
        began_ms: u64,
        left: f64,
        work: Work,
    ) {
        let server = index(&choice);
        let sent_ms = self.now_ms;
        let call = Call { instance, choice, began_ms, sent_ms, left, work };
        let state = &mut self.servers[server];
        state.calls += 1;
        let is_counted = sent_ms >= WARM_UP_MS;
        let class = server % 3;
        let has_room = match &call.work {
            Work::Prefill { .. } => {
                self.outcome.prefill_calls[class] += usize::from(is_counted);
                state.running.is_empty()
            }
            Work::Decode { .. } => {
                self.outcome.decode_calls[class] += usize::from(is_counted);
                true
            }
            Work::Plain => state.running.len() < PLAIN_SLOTS,
        };
        if has_room {
            state.running.push(call);
        } else {
            state.waiting.push_back(call);
        }
        if server < PREFILL_ENGINES {
            let calls = state.running.len() + state.waiting.len();
            self.outcome.most_prefills = calls.max(self.outcome.most_prefills);
        }
    }

    fn start_plain(&mut self, instance: usize) {
        let random = self.next_random();
        let now_ms = Millis(self.now_ms);
        let forwarder = &mut self.instances[instance];
        let choice = forwarder.choose_plain(now_ms, &service_id(), true, &[], random).unwrap();
        forwarder.record_call_start(&choice);
        self.start(instance, choice, self.now_ms, PLAIN_WORK_MS, Work::Plain);
    }

    /// Reserves a decode engine and starts the prefill; returns whether an engine had room.
    fn start_model(&mut self, instance: usize, began_ms: u64) -> bool {
        let (random, now_ms, service) = (self.next_random(), Millis(self.now_ms), service_id());
        let prefill =
            self.instances[instance].choose_prefill(now_ms, &service, size(), &[], random);
        let prefill = prefill.unwrap();
        let needed = size().expected_kv_tokens().0 as f64;
        for factor in [3.0, 2.0, 1.1] {
            let mut full: Vec<ServerRun> = Vec::new();
            for _ in 0..MAX_ASKED {
                let random = self.next_random();
                let origin = KvOrigin::PrefillEngineIn(&prefill.data_centre);
                let forwarder = &mut self.instances[instance];
                let decode =
                    forwarder.choose_decode(now_ms, &service, size(), origin, &full, random);
                let decode = decode.unwrap();
                let server = index(&decode);
                self.report(instance, &decode.run, server);
                if self.servers[server].reserved + needed * factor > KV_TOKENS {
                    full.push(decode.run.clone());
                    continue;
                }
                self.servers[server].reserved += needed;
                let forwarder = &mut self.instances[instance];
                forwarder.record_call_start(&decode);
                forwarder.record_call_start(&prefill);
                self.start(instance, prefill, began_ms, PROMPT_TOKENS, Work::Prefill { decode });
                return true;
            }
        }
        false
    }

    /// Goes on with the calls of one server; returns those that ended.
    fn step_server(&mut self, server: usize) -> Vec<Call> {
        let (now_ms, slowdown) = (self.now_ms, self.slowdown(server));
        let state = &mut self.servers[server];
        let rate = state.speed / slowdown * STEP_MS as f64;
        let batch = state.running.len() as f64;
        let mut ended = Vec::new();
        let mut running = Vec::new();
        for mut call in state.running.drain(..) {
            match &mut call.work {
                Work::Prefill { .. } => call.left -= rate * PREFILL_TOKENS_PER_MS,
                Work::Decode { first_token_ms } => {
                    first_token_ms.get_or_insert(now_ms);
                    let step_ms = TOKEN_STEP_MS * (1.0 + BATCH_SHARE * (batch - 1.0));
                    call.left -= rate / step_ms;
                }
                Work::Plain => call.left -= rate,
            }
            if call.left > 0.0 { running.push(call) } else { ended.push(call) }
        }
        state.running = running;
        let slots = if server < PREFILL_ENGINES { 1 } else { PLAIN_SLOTS };
        while state.running.len() < slots {
            let Some(call) = state.waiting.pop_front() else {
                break;
            };
            state.running.push(call);
        }
        ended
    }

    fn end(&mut self, call: Call) {
        let Call { instance, choice, began_ms, sent_ms, work, .. } = call;
        let now_ms = Millis(self.now_ms);
        let elapsed_ms = Millis(self.now_ms - sent_ms);
        let is_counted = began_ms >= WARM_UP_MS;
        self.report(instance, &choice.run, index(&choice));
        let forwarder = &mut self.instances[instance];
        match work {
            Work::Prefill { decode } => {
                forwarder.record_prefill_time(now_ms, &choice, elapsed_ms);
                forwarder.record_call_end(now_ms, &choice, CallEnd::Answered);
                let work = Work::Decode { first_token_ms: None };
                self.start(instance, decode, began_ms, OUTPUT_TOKENS, work);
            }
            Work::Decode { first_token_ms } => {
                let first_ms = first_token_ms.unwrap();
                let generation_ms = Millis(self.now_ms - first_ms);
                let tokens = size().output_tokens();
                forwarder.record_first_event_time(now_ms, &choice, Millis(first_ms - sent_ms));
                forwarder.record_generation_time(now_ms, &choice, generation_ms, EVENTS, tokens);
                forwarder.record_call_end(now_ms, &choice, CallEnd::Answered);
                self.servers[index(&choice)].reserved -= size().expected_kv_tokens().0 as f64;
                if is_counted {
                    self.outcome.first_event_ms.push(first_ms - began_ms);
                    self.outcome.answer_ms.push(self.now_ms - began_ms);
                }
            }
            Work::Plain => {
                forwarder.record_answer_time(now_ms, &choice, elapsed_ms);
                forwarder.record_call_end(now_ms, &choice, CallEnd::Answered);
                if is_counted {
                    self.outcome.plain_ms.push(elapsed_ms.0);
                }
            }
        }
    }

    fn arrivals(&mut self, per_s: f64) -> usize {
        let expected = per_s * STEP_MS as f64 / 1_000.0;
        let part = (self.next_random() >> 11) as f64 / (1u64 << 53) as f64;
        expected as usize + usize::from(part < expected.fract())
    }

    /// One instance calls another one; both learn the lasting speeds that the other knows.
    fn exchange(&mut self) {
        let now_ms = Millis(self.now_ms);
        let pair = [0; 2].map(|_| self.next_random() as usize % self.plan.instances);
        let speeds = pair.map(|instance| self.instances[instance].lasting_speeds(now_ms));
        for (instance, told) in pair.into_iter().zip(speeds.iter().rev()) {
            told.iter().for_each(|it| self.instances[instance].merge_lasting_speed(now_ms, it));
        }
    }

    fn run(mut self) -> Outcome {
        while self.now_ms < DAY_MS {
            self.now_ms += STEP_MS;
            let exchanges_per_s =
                self.plan.instances as f64 * 1_000.0 / EXCHANGE_INTERVAL_MS as f64;
            for _ in 0..self.arrivals(exchanges_per_s) {
                self.exchange();
            }
            for server in 0..self.servers.len() {
                for call in self.step_server(server) {
                    self.end(call);
                }
            }
            for _ in 0..self.arrivals(self.plan.plain_per_s) {
                let instance = self.next_random() as usize % self.plan.instances;
                self.start_plain(instance);
            }
            for _ in 0..self.arrivals(self.plan.models_per_s) {
                let instance = self.next_random() as usize % self.plan.instances;
                self.waiting.push((instance, self.now_ms, self.now_ms));
            }
            for (instance, began_ms, due_ms) in std::mem::take(&mut self.waiting) {
                let is_due = due_ms <= self.now_ms;
                if is_due && self.start_model(instance, began_ms) {
                    continue;
                }
                let due_ms = if is_due { self.now_ms + RETRY_MS } else { due_ms };
                self.waiting.push((instance, began_ms, due_ms));
            }
        }
        self.outcome
    }
}

fn quantile(times_ms: &[u64], share: f64) -> u64 {
    let mut sorted = times_ms.to_vec();
    sorted.sort_unstable();
    sorted[((sorted.len() - 1) as f64 * share) as usize]
}

fn mean(times_ms: &[u64]) -> f64 {
    times_ms.iter().sum::<u64>() as f64 / times_ms.len() as f64
}

fn slowest_share(calls: [usize; 3]) -> f64 {
    calls[0] as f64 / calls.iter().sum::<usize>() as f64
}

/// Runs a fleet whose servers state their speed and one whose servers don't, on the same requests.
fn compare(instances: usize, load: f64) {
    let run = |is_stated| {
        let (models_per_s, plain_per_s) = (52.0 * load, 92.0 * load);
        let plan = Plan { instances, models_per_s, plain_per_s, is_stated };
        let outcome = Fleet::new(plan).run();
        println!(
            "{instances} instances, stated {is_stated}: first event {:.0} ms, p95 {}; answer {:.0} \
             ms, p95 {}; plain {:.0} ms, p99 {}; slowest third {:.3} of prefills, {:.3} of \
             answers; most prefills at an engine {}",
            mean(&outcome.first_event_ms),
            quantile(&outcome.first_event_ms, 0.95),
            mean(&outcome.answer_ms),
            quantile(&outcome.answer_ms, 0.95),
            mean(&outcome.plain_ms),
            quantile(&outcome.plain_ms, 0.99),
            slowest_share(outcome.prefill_calls),
            slowest_share(outcome.decode_calls),
            outcome.most_prefills,
        );
        outcome
    };
    let (without, with) = (run(false), run(true));
    let p95 = |times_ms: &[u64]| quantile(times_ms, 0.95);
    assert!(p95(&with.first_event_ms) <= p95(&without.first_event_ms));
    assert!(p95(&with.first_event_ms) <= FIRST_EVENT_TARGET_MS);
    assert!(mean(&with.answer_ms) <= 0.9 * mean(&without.answer_ms));
    assert!(slowest_share(with.prefill_calls) <= slowest_share(without.prefill_calls));
    assert!(slowest_share(with.decode_calls) <= slowest_share(without.decode_calls));
    assert!(p95(&with.plain_ms) <= PLAIN_TARGET_MS);
}

/// Guards against answers at slow engines although faster ones have room.
#[test]
fn seventy_instances() {
    compare(70, 1.0);
}

/// Guards against a herd at the engines that all instances know as the fastest.
#[test]
fn many_instances() {
    compare(320, 0.6);
}
