//! One case in simulated time: instances joined by an in-memory queue, engines, links, callers.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use turmericrail_core::action::{Action, PrefillCall, ReadCall, TransferCall};
use turmericrail_core::event::{Event, ModelRequest, Now};
use turmericrail_core::ids::{RequestId, ServerId, StreamId};
use turmericrail_core::units::{Millis, Tokens, WallMillis};

use crate::engine::{Answer, Engine, Job};
use crate::outcome::Outcome;
use crate::workload::{ARRIVALS_MS, Asked, WARM_UP_MS};

/// Delay of one message.
const HOP_MS: u64 = 1;
/// Time between ticks of an instance.
const TICK_MS: u64 = 50;
/// Time for which a prefill result survives.
const RESULT_LIFE_MS: u64 = 900;
/// Size of the KV cache of one token.
pub const BYTES_PER_TOKEN: u64 = 160_000;
/// Rate of a link within a data centre.
pub const NEAR_BYTES_PER_MS: u64 = 4_000_000;
/// Rate of a link between two data centres.
pub const FAR_BYTES_PER_MS: u64 = 1_000_000;
/// Wait for the report of an engine that doesn't answer.
const POLL_TIMEOUT_MS: u64 = 1_000;
/// Time after the last arrival in which answers may end.
const COOL_DOWN_MS: u64 = 40_000;
/// When the fault of a case begins.
pub const FAULT_MS: u64 = WARM_UP_MS + ARRIVALS_MS / 3;

/// How much longer a slow prefill engine takes.
pub const SLOW_PREFILL: f64 = 3.0;
/// How much longer a slow decode engine takes.
pub const SLOW_DECODE: f64 = 2.5;

/// What an instance does with an event.
pub type Handle = Box<dyn FnMut(Now, Event) -> Vec<Action>>;

/// One instance.
pub struct Instance {
    pub data_centre: usize,
    pub address: SocketAddr,
    pub handle: Handle,
}

/// What goes wrong in a case.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    None,
    DeadPrefill,
    DeadDecode,
    SlowDecode,
    SlowPrefill,
    LateReports,
    CutOff,
    Flood,
}

enum Item {
    Tell(usize, Event),
    Arrive(usize),
    Gone(usize),
    Tick(usize),
    StartPrefill(usize, PrefillCall),
    PrefillTimeout(usize, PrefillCall),
    PrefillEnd(ServerId, StreamId),
    ResultExpired(ServerId, StreamId),
    StartTransfer(usize, TransferCall),
    TransferEnd(usize, TransferCall),
    Step(ServerId),
    Read(usize, ReadCall),
    Cancel(usize, ServerId, StreamId),
    Poll(usize, ServerId),
    FaultBegins,
}

/// The whole of one case.
pub struct World {
    pub instances: Vec<Instance>,
    pub engines: BTreeMap<ServerId, Engine>,
    pub asked: Vec<Asked>,
    pub outcomes: Vec<Outcome>,
    pub report_lag_ms: u64,
    pub fault: Fault,
    now_ms: u64,
    sequence: u64,
    queue: BTreeMap<(u64, u64), Item>,
    links: BTreeMap<(usize, usize), u64>,
    is_cut: bool,
}

impl World {
    pub fn new(
        instances: Vec<Instance>,
        engines: BTreeMap<ServerId, Engine>,
        asked: Vec<Asked>,
        fault: Fault,
    ) -> Self {
        let outcomes = asked.iter().map(|_| Outcome::default()).collect();
        Self {
            instances,
            engines,
            asked,
            outcomes,
            report_lag_ms: if fault == Fault::LateReports { 2_000 } else { 300 },
            fault,
            now_ms: 0,
            sequence: 0,
            queue: BTreeMap::new(),
            links: BTreeMap::new(),
            is_cut: false,
        }
    }

    /// Runs the case to its end.
    pub fn run(&mut self) {
        self.run_until(WARM_UP_MS + ARRIVALS_MS + COOL_DOWN_MS);
    }

    /// Runs the case up to a time.
    pub fn run_until(&mut self, end_ms: u64) {
        for instance in 0..self.instances.len() {
            self.at(1 + instance as u64 * 6, Item::Tick(instance));
        }
        for index in 0..self.asked.len() {
            self.at(self.asked[index].arrives_ms, Item::Arrive(index));
            if let Some(after_ms) = self.asked[index].gone_after_ms {
                self.at(self.asked[index].arrives_ms + after_ms, Item::Gone(index));
            }
        }
        self.at(FAULT_MS, Item::FaultBegins);
        while let Some(((at_ms, _), item)) = self.queue.pop_first() {
            if at_ms > end_ms {
                break;
            }
            self.now_ms = at_ms;
            self.step(item);
        }
    }

    fn at(&mut self, at_ms: u64, item: Item) {
        self.sequence += 1;
        self.queue.insert((at_ms.max(self.now_ms), self.sequence), item);
    }

    fn after(&mut self, delay_ms: u64, item: Item) {
        self.at(self.now_ms + delay_ms, item);
    }

    fn step(&mut self, item: Item) {
        match item {
            Item::Tell(instance, event) => self.tell(instance, event),
            Item::Arrive(index) => self.arrive(index),
            Item::Gone(index) => self.gone(index),
            Item::Tick(instance) => {
                self.tell(instance, Event::Tick);
                self.after(TICK_MS, Item::Tick(instance));
            }
            Item::StartPrefill(instance, call) => self.start_prefill(instance, call),
            Item::PrefillTimeout(instance, call) => self.prefill_timeout(instance, &call),
            Item::PrefillEnd(server, stream) => self.prefill_end(&server, &stream),
            Item::ResultExpired(server, stream) => {
                if let Some(engine) = self.engines.get_mut(&server) {
                    engine.waste(&stream);
                }
            }
            Item::StartTransfer(instance, call) => self.start_transfer(instance, call),
            Item::TransferEnd(instance, call) => self.transfer_end(instance, &call),
            Item::Step(server) => self.decode_step(&server),
            Item::Read(instance, call) => self.read(instance, &call),
            Item::Cancel(instance, server, stream) => self.cancel(instance, &server, &stream),
            Item::Poll(instance, server) => self.poll(instance, server),
            Item::FaultBegins => self.begin_fault(),
        }
    }

    fn begin_fault(&mut self) {
        let first = |start: &str| -> ServerId { format!("{start}-0-0").parse().expect("plain id") };
        match self.fault {
            Fault::DeadPrefill => self.kill(&first("p")),
            Fault::DeadDecode => self.kill(&first("d")),
            Fault::SlowPrefill => self.engine(&first("p")).slowness = SLOW_PREFILL,
            Fault::SlowDecode => self.engine(&first("d")).slowness = SLOW_DECODE,
            Fault::CutOff => self.is_cut = true,
            Fault::None | Fault::LateReports | Fault::Flood => {}
        }
    }

    fn engine(&mut self, server: &ServerId) -> &mut Engine {
        self.engines.get_mut(server).expect("engines are never removed")
    }

    fn kill(&mut self, server: &ServerId) {
        let engine = self.engine(server);
        engine.is_dead = true;
        let lost: Vec<_> = engine.done.keys().cloned().collect();
        for stream in lost {
            engine.waste(&stream);
        }
        engine.waiting.clear();
        engine.running = None;
        let answers = std::mem::take(&mut engine.answers);
        for (stream, answer) in answers {
            let request = RequestId(answer.index as u64);
            let next_index = self.outcomes[answer.index].tokens;
            let event = Event::StreamBroken { request, stream, next_index, is_held: false };
            self.after(3_000, Item::Tell(answer.instance, event));
        }
    }

    fn reaches(&self, instance: usize, data_centre: usize) -> bool {
        let from = self.instances[instance].data_centre;
        !self.is_cut || (from == 0) == (data_centre == 0)
    }

    fn answers(&self, instance: usize, server: &ServerId) -> bool {
        let engine = &self.engines[server];
        !engine.is_dead && self.reaches(instance, engine.data_centre)
    }

    fn tell(&mut self, instance: usize, event: Event) {
        let wall_ms = WallMillis(1_767_268_800_000 + self.now_ms);
        let now = Now { mono_ms: Millis(self.now_ms), wall_ms };
        let actions = (self.instances[instance].handle)(now, event);
        for action in actions {
            self.perform(instance, action);
        }
    }

    fn perform(&mut self, instance: usize, action: Action) {
        match action {
            Action::Send { address, envelope, .. } => {
                let to = self.instances.iter().position(|peer| peer.address == address);
                let Some(to) =
                    to.filter(|to| self.reaches(instance, self.instances[*to].data_centre))
                else {
                    return;
                };
                self.after(HOP_MS, Item::Tell(to, Event::Peer(envelope)));
            }
            Action::Prefill(call) => self.after(HOP_MS, Item::StartPrefill(instance, call)),
            Action::Transfer(call) => self.after(HOP_MS, Item::StartTransfer(instance, call)),
            Action::Read(call) => self.after(HOP_MS, Item::Read(instance, call)),
            Action::Cancel { target, stream, .. } => {
                self.after(HOP_MS, Item::Cancel(instance, target.server, stream));
            }
            Action::Poll(target) => self.after(HOP_MS, Item::Poll(instance, target.server)),
            Action::AnswerError { request, retry_after_ms, .. } => {
                let outcome = &mut self.outcomes[request.0 as usize];
                outcome.is_refused = true;
                outcome.refused_after_ms =
                    Some(self.now_ms - self.asked[request.0 as usize].arrives_ms);
                outcome.retry_after_ms = retry_after_ms.map(|wait| wait.0);
            }
            _ => {}
        }
    }

    fn arrive(&mut self, index: usize) {
        let asked = &self.asked[index];
        let request = ModelRequest {
            request: RequestId(index as u64),
            workspace: format!("w{}", asked.workspace).parse().expect("plain id"),
            caller_kind: asked.kind.name.parse().expect("plain id"),
            model: "m".parse().expect("plain id"),
            version: None,
            adapter: None,
            prompt_tokens: Tokens(asked.prompt_tokens),
            max_tokens: Tokens(asked.max_tokens),
            prefix_hashes: asked.hashes.clone(),
        };
        self.tell(asked.instance, Event::ModelRequest(request));
    }

    fn gone(&mut self, index: usize) {
        if self.outcomes[index].ended_ms.is_none() && !self.outcomes[index].is_refused {
            self.tell(self.asked[index].instance, Event::CallerGone(RequestId(index as u64)));
        }
    }

    fn start_prefill(&mut self, instance: usize, call: PrefillCall) {
        let timeout_ms = call.timeout_ms.0;
        let server = call.target.server.clone();
        self.after(timeout_ms, Item::PrefillTimeout(instance, call.clone()));
        if !self.answers(instance, &server) {
            return;
        }
        let index = call.request.0 as usize;
        let job = Job {
            stream: call.stream,
            holder: call.holder,
            index,
            instance,
            priority: call.priority,
            prompt_tokens: self.asked[index].prompt_tokens,
            hashes: self.asked[index].hashes.clone(),
            cached_tokens: 0,
            computed_ms: 0.0,
        };
        self.engine(&server).waiting.push(job);
        self.start_next(&server);
    }

    fn start_next(&mut self, server: &ServerId) {
        if let Some((stream, takes_ms)) = self.engine(server).start_next() {
            self.after(takes_ms, Item::PrefillEnd(server.clone(), stream));
        }
    }

    fn prefill_timeout(&mut self, instance: usize, call: &PrefillCall) {
        let engine = &self.engines[&call.target.server];
        let is_here =
            engine.waiting.iter().chain(&engine.running).any(|job| job.stream == call.stream);
        if is_here || !self.answers(instance, &call.target.server) {
            self.tell(instance, Event::PrefillFailed(call.request, call.stream.clone()));
        }
    }

    fn prefill_end(&mut self, server: &ServerId, stream: &StreamId) {
        let Some(job) = self.engine(server).finish_running(stream) else {
            return;
        };
        let event = Event::PrefillDone {
            request: RequestId(job.index as u64),
            stream: stream.clone(),
            cached_tokens: Tokens(job.cached_tokens),
        };
        if self.answers(job.instance, server) {
            self.after(HOP_MS, Item::Tell(job.instance, event));
        }
        self.after(RESULT_LIFE_MS, Item::ResultExpired(server.clone(), stream.clone()));
        self.start_next(server);
    }

    fn start_transfer(&mut self, instance: usize, call: TransferCall) {
        let failed = Event::TransferFailed(call.request, call.stream.clone());
        let (source, target) = (&call.source.server, &call.target.server);
        let is_reached = self.answers(instance, target) && !self.engines[source].is_dead;
        if !is_reached {
            self.after(call.timeout_ms.0, Item::Tell(instance, failed));
            return;
        }
        let places = (self.engines[source].data_centre, self.engines[target].data_centre);
        let is_cut = self.is_cut && (places.0 == 0) != (places.1 == 0);
        let has_room = self.engines[target].has_room(call.kv_pieces.0);
        let has_result = self.engines[source].done.contains_key(&call.stream);
        if is_cut || !has_room || !has_result {
            self.after(HOP_MS, Item::Tell(instance, failed));
            return;
        }
        let index = call.request.0 as usize;
        let rate = if places.0 == places.1 { NEAR_BYTES_PER_MS } else { FAR_BYTES_PER_MS };
        let takes_ms = (self.asked[index].prompt_tokens * BYTES_PER_TOKEN).div_ceil(rate);
        let starts_ms = self.links.get(&places).copied().unwrap_or(0).max(self.now_ms);
        self.links.insert(places, starts_ms + takes_ms);
        let answer = Answer {
            holder: call.holder.clone(),
            index,
            instance,
            kv_pieces: call.kv_pieces.0,
            left_tokens: self.asked[index].answer_tokens,
            is_generating: false,
        };
        let stream = call.stream.clone();
        self.engine(&call.target.server.clone()).answers.insert(stream, answer);
        self.at(starts_ms + takes_ms, Item::TransferEnd(instance, call));
    }

    fn transfer_end(&mut self, instance: usize, call: &TransferCall) {
        let (source, target) = (&call.source.server, &call.target.server);
        let has_result = self.engine(source).done.remove(&call.stream).is_some();
        if !has_result || !self.engines[target].answers.contains_key(&call.stream) {
            self.engine(target).answers.remove(&call.stream);
            let failed = Event::TransferFailed(call.request, call.stream.clone());
            self.after(HOP_MS, Item::Tell(instance, failed));
            return;
        }
        let engine = self.engine(target);
        if let Some(answer) = engine.answers.get_mut(&call.stream) {
            answer.is_generating = true;
        }
        if !std::mem::replace(&mut engine.is_stepping, true) {
            let step_ms = engine.step_ms();
            self.after(step_ms, Item::Step(target.clone()));
        }
        let done = Event::TransferDone(call.request, call.stream.clone());
        self.after(HOP_MS, Item::Tell(instance, done));
    }

    fn decode_step(&mut self, server: &ServerId) {
        let now_ms = self.now_ms;
        let engine = self.engine(server);
        let mut told = Vec::new();
        for (stream, answer) in &mut engine.answers {
            if !answer.is_generating {
                continue;
            }
            answer.left_tokens -= 1;
            told.push((stream.clone(), answer.clone()));
        }
        engine.answers.retain(|_, answer| answer.left_tokens > 0);
        engine.is_stepping = !engine.answers.values().all(|answer| !answer.is_generating);
        if engine.is_stepping {
            let step_ms = engine.step_ms();
            self.after(step_ms, Item::Step(server.clone()));
        }
        for (stream, answer) in told {
            self.token(now_ms, server, stream, &answer);
        }
    }

    fn token(&mut self, now_ms: u64, server: &ServerId, stream: StreamId, answer: &Answer) {
        if !self.answers(answer.instance, server) {
            return;
        }
        let outcome = &mut self.outcomes[answer.index];
        let request = RequestId(answer.index as u64);
        let generated = self.asked[answer.index].answer_tokens - answer.left_tokens;
        let is_first = outcome.first_token_ms.is_none();
        outcome.first_token_ms.get_or_insert(now_ms);
        outcome.tokens = outcome.tokens.max(generated);
        if answer.left_tokens == 0 {
            outcome.ended_ms = Some(now_ms);
        }
        if is_first {
            let event = Event::FirstToken(request, stream.clone());
            self.after(HOP_MS, Item::Tell(answer.instance, event));
        }
        if answer.left_tokens == 0 {
            self.after(HOP_MS, Item::Tell(answer.instance, Event::StreamEnded(request, stream)));
        }
    }

    fn read(&mut self, instance: usize, call: &ReadCall) {
        let is_answered = self.answers(instance, &call.target.server);
        if is_answered {
            return;
        }
        let next_index = self.outcomes[call.request.0 as usize].tokens;
        let stream = call.stream.clone();
        let event =
            Event::StreamBroken { request: call.request, stream, next_index, is_held: false };
        self.after(call.silence_ms.0, Item::Tell(instance, event));
    }

    fn cancel(&mut self, instance: usize, server: &ServerId, stream: &StreamId) {
        if !self.answers(instance, server) {
            return;
        }
        if self.engine(server).cancel(stream, |_| 0.5) {
            self.start_next(server);
        }
    }

    fn poll(&mut self, instance: usize, server: ServerId) {
        if !self.answers(instance, &server) {
            self.after(POLL_TIMEOUT_MS, Item::Tell(instance, Event::ReportFailed(server)));
            return;
        }
        let report = self.engines[&server].report();
        self.after(self.report_lag_ms, Item::Tell(instance, Event::Report(server, report)));
    }
}
