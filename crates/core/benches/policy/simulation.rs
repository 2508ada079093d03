//! Simulates one case: instances, engines, links and callers, driven by one queue of events.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use fastrand::Rng;
use turmericrail_core::action::{Action, PrefillCall, ReadCall, TransferCall};
use turmericrail_core::event::{Event, ModelRequest, Now};
use turmericrail_core::ids::{RequestId, ServerId, StreamId};
use turmericrail_core::units::{Millis, Tokens, WallMillis};

use crate::engine::Engine;
use crate::fault::{FAULT_MS, Fault, LOST_PERCENT, SLOW_DECODE_FACTOR, SLOW_PREFILL_FACTOR};
use crate::links::{LinkEnds, Links};
use crate::outcome::Outcome;
use crate::workload::{ARRIVAL_PERIOD_MS, WARM_UP_MS, WorkloadRequest};

/// Delay of one message between instances, or between an instance and an engine.
pub const MESSAGE_DELAY_MS: u64 = 1;
const TICK_MS: u64 = 50;
const KILLED_INSTANCE: usize = 0;
/// Seed of the message loss.
const MESSAGE_LOSS_SEED: u64 = 3;
/// Time after the arrival period in which answers can end.
const COOL_DOWN_MS: u64 = 40_000;
/// Handles an event of one instance and returns its actions.
pub type EventHandler = Box<dyn FnMut(Now, Event) -> Vec<Action>>;

pub struct Instance {
    pub is_dead: bool,
    pub data_centre: usize,
    pub address: SocketAddr,
    pub handler: EventHandler,
}

/// An event of the simulation; a `usize` is the number of an instance, or of a request for
/// `RequestArrives` and `CallerLeaves`.
pub enum ScheduledEvent {
    Deliver(usize, Event),
    RequestArrives(usize),
    CallerLeaves(usize),
    Tick(usize),
    StartPrefill(usize, PrefillCall),
    PrefillTimeout(usize, PrefillCall),
    PrefillEnd(ServerId, StreamId),
    ResultExpired(ServerId, StreamId),
    StartTransfer(usize, TransferCall),
    TransferTimeout(StreamId),
    TransferEnds(LinkEnds, u64),
    DecodeStep(ServerId),
    ReadStream(usize, ReadCall),
    CancelStream(usize, ServerId, StreamId),
    PollEngine(usize, ServerId),
    FaultBegins,
}

/// The state of one case.
pub struct Simulation {
    pub instances: Vec<Instance>,
    pub engines: BTreeMap<ServerId, Engine>,
    pub requests: Vec<WorkloadRequest>,
    pub outcomes: Vec<Outcome>,
    pub report_lag_ms: u64,
    pub link_rate_ratio: f64,
    pub fault: Fault,
    pub now_ms: u64,
    sequence: u64,
    queue: BTreeMap<(u64, u64), ScheduledEvent>,
    pub links: Links,
    rng: Rng,
    pub is_cut_off: bool,
}

impl Simulation {
    pub fn new(
        instances: Vec<Instance>,
        engines: BTreeMap<ServerId, Engine>,
        requests: Vec<WorkloadRequest>,
        fault: Fault,
    ) -> Self {
        let outcomes = requests.iter().map(|_| Outcome::default()).collect();
        Self {
            instances,
            engines,
            requests,
            outcomes,
            report_lag_ms: if fault == Fault::LateReports { 2_000 } else { 300 },
            link_rate_ratio: 1.0,
            fault,
            now_ms: 0,
            sequence: 0,
            queue: BTreeMap::new(),
            links: Links::default(),
            rng: Rng::with_seed(MESSAGE_LOSS_SEED),
            is_cut_off: false,
        }
    }

    pub fn run(&mut self) {
        self.run_until(WARM_UP_MS + ARRIVAL_PERIOD_MS + COOL_DOWN_MS);
    }

    /// Runs the case until the simulated time `end_ms`.
    pub fn run_until(&mut self, end_ms: u64) {
        for instance in 0..self.instances.len() {
            self.schedule_at(1 + instance as u64 * 6, ScheduledEvent::Tick(instance));
        }
        for index in 0..self.requests.len() {
            self.schedule_at(
                self.requests[index].arrives_ms,
                ScheduledEvent::RequestArrives(index),
            );
            if let Some(after_ms) = self.requests[index].caller_leaves_after_ms {
                self.schedule_at(
                    self.requests[index].arrives_ms + after_ms,
                    ScheduledEvent::CallerLeaves(index),
                );
            }
        }
        self.schedule_at(FAULT_MS, ScheduledEvent::FaultBegins);
        while let Some(((at_ms, _), event)) = self.queue.pop_first() {
            if at_ms > end_ms {
                break;
            }
            self.now_ms = at_ms;
            self.process(event);
        }
    }

    pub fn schedule_at(&mut self, at_ms: u64, event: ScheduledEvent) {
        self.sequence += 1;
        self.queue.insert((at_ms.max(self.now_ms), self.sequence), event);
    }

    pub fn schedule_after(&mut self, delay_ms: u64, event: ScheduledEvent) {
        self.schedule_at(self.now_ms + delay_ms, event);
    }

    fn process(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::Deliver(instance, event) => self.deliver(instance, event),
            ScheduledEvent::RequestArrives(index) => self.handle_arrival(index),
            ScheduledEvent::CallerLeaves(index) => self.handle_caller_gone(index),
            ScheduledEvent::Tick(instance) => {
                self.deliver(instance, Event::Tick);
                self.schedule_after(TICK_MS, ScheduledEvent::Tick(instance));
            }
            ScheduledEvent::StartPrefill(instance, call) => self.start_prefill(instance, call),
            ScheduledEvent::PrefillTimeout(instance, call) => {
                self.handle_prefill_timeout(instance, &call)
            }
            ScheduledEvent::PrefillEnd(server, stream) => self.finish_prefill(&server, &stream),
            ScheduledEvent::ResultExpired(server, stream) => self.expire_result(&server, &stream),
            ScheduledEvent::StartTransfer(instance, call) => self.start_transfer(instance, call),
            ScheduledEvent::TransferTimeout(stream) => self.handle_transfer_timeout(&stream),
            ScheduledEvent::TransferEnds(ends, forecast_number) => {
                self.finish_transfers(ends, forecast_number)
            }
            ScheduledEvent::DecodeStep(server) => self.run_decode_step(&server),
            ScheduledEvent::ReadStream(instance, call) => self.read_stream(instance, &call),
            ScheduledEvent::CancelStream(instance, server, stream) => {
                self.cancel_stream(instance, &server, &stream)
            }
            ScheduledEvent::PollEngine(instance, server) => self.poll_engine(instance, server),
            ScheduledEvent::FaultBegins => self.begin_fault(),
        }
    }

    fn begin_fault(&mut self) {
        let first_engine =
            |prefix: &str| -> ServerId { format!("{prefix}-0-0").parse().expect("plain id") };
        match self.fault {
            Fault::DeadPrefill => self.kill(&first_engine("p")),
            Fault::DeadDecode => self.kill(&first_engine("d")),
            Fault::SlowPrefill => self.engine(&first_engine("p")).slowdown = SLOW_PREFILL_FACTOR,
            Fault::SlowDecode => self.engine(&first_engine("d")).slowdown = SLOW_DECODE_FACTOR,
            Fault::FailingPrefill => self.engine(&first_engine("p")).is_failing = true,
            Fault::FailingDecode => self.engine(&first_engine("d")).is_failing = true,
            Fault::CutOff => self.is_cut_off = true,
            Fault::DeadInstance => self.instances[KILLED_INSTANCE].is_dead = true,
            Fault::None
            | Fault::LateReports
            | Fault::Flood
            | Fault::NarrowLinks
            | Fault::LostMessages => {}
        }
    }

    pub fn engine(&mut self, server: &ServerId) -> &mut Engine {
        self.engines.get_mut(server).expect("engines are never removed")
    }

    fn kill(&mut self, server: &ServerId) {
        let engine = self.engine(server);
        engine.is_dead = true;
        let lost: Vec<_> = engine.finished.keys().cloned().collect();
        for stream in lost {
            engine.discard_result(&stream);
        }
        engine.waiting.clear();
        engine.running = None;
        let streams = std::mem::take(&mut engine.decode_streams);
        for (stream, answer) in streams {
            let request = RequestId(answer.index as u64);
            let next_index = self.outcomes[answer.index].tokens;
            let event = Event::StreamBroken { request, stream, next_index, is_held: false };
            self.schedule_after(3_000, ScheduledEvent::Deliver(answer.instance, event));
        }
    }

    fn can_reach(&self, instance: usize, data_centre: usize) -> bool {
        let from = self.instances[instance].data_centre;
        !self.is_cut_off || (from == 0) == (data_centre == 0)
    }

    pub fn is_reachable(&self, instance: usize, server: &ServerId) -> bool {
        let engine = &self.engines[server];
        !engine.is_dead && self.can_reach(instance, engine.data_centre)
    }

    pub fn deliver(&mut self, instance: usize, event: Event) {
        if self.instances[instance].is_dead {
            return;
        }
        let wall_ms = WallMillis(1_767_268_800_000 + self.now_ms);
        let now = Now { monotonic_ms: Millis(self.now_ms), wall_ms };
        let actions = (self.instances[instance].handler)(now, event);
        for action in actions {
            self.perform(instance, action);
        }
    }

    fn perform(&mut self, instance: usize, action: Action) {
        match action {
            Action::Send { address, envelope, .. } => {
                let to = self.instances.iter().position(|peer| peer.address == address);
                let Some(to) =
                    to.filter(|to| self.can_reach(instance, self.instances[*to].data_centre))
                else {
                    return;
                };
                if self.fault == Fault::LostMessages && self.rng.u64(0..100) < LOST_PERCENT {
                    return;
                }
                self.schedule_after(
                    MESSAGE_DELAY_MS,
                    ScheduledEvent::Deliver(to, Event::Peer(envelope)),
                );
            }
            Action::Prefill(call) => {
                self.schedule_after(MESSAGE_DELAY_MS, ScheduledEvent::StartPrefill(instance, call))
            }
            Action::Transfer(call) => {
                self.schedule_after(MESSAGE_DELAY_MS, ScheduledEvent::StartTransfer(instance, call))
            }
            Action::Read(call) => {
                self.schedule_after(MESSAGE_DELAY_MS, ScheduledEvent::ReadStream(instance, call))
            }
            Action::Cancel { target, stream, .. } => {
                self.schedule_after(
                    MESSAGE_DELAY_MS,
                    ScheduledEvent::CancelStream(instance, target.server, stream),
                );
            }
            Action::Poll(target) => self.schedule_after(
                MESSAGE_DELAY_MS,
                ScheduledEvent::PollEngine(instance, target.server),
            ),
            Action::AnswerError { request, retry_after_ms, .. } => {
                let outcome = &mut self.outcomes[request.0 as usize];
                outcome.is_refused = true;
                outcome.refused_after_ms =
                    Some(self.now_ms - self.requests[request.0 as usize].arrives_ms);
                outcome.retry_after_ms = retry_after_ms.map(|wait| wait.0);
            }
            _ => {}
        }
    }

    fn handle_arrival(&mut self, index: usize) {
        let mut instance = self.requests[index].instance;
        if self.instances[instance].is_dead {
            instance = 1 + index % (self.instances.len() - 1);
            self.requests[index].instance = instance;
        }
        let workload_request = &self.requests[index];
        let request = ModelRequest {
            request: RequestId(index as u64),
            workspace: format!("w{}", workload_request.workspace).parse().expect("plain id"),
            caller_kind: workload_request.caller_kind.name.parse().expect("plain id"),
            model: "m".parse().expect("plain id"),
            version: None,
            adapter: None,
            prompt_tokens: Tokens(workload_request.prompt_tokens),
            max_tokens: Tokens(workload_request.max_tokens),
            prefix_hashes: workload_request.prefix_hashes.clone(),
            fingerprint: index as u64,
        };
        self.deliver(instance, Event::ModelRequest(request));
    }

    fn handle_caller_gone(&mut self, index: usize) {
        if self.outcomes[index].ended_ms.is_none() && !self.outcomes[index].is_refused {
            self.deliver(self.requests[index].instance, Event::CallerGone(RequestId(index as u64)));
        }
    }
}
