//! Nodes, engines, callers and the platform, joined by a queue of messages in memory.

use std::collections::{BTreeMap, BTreeSet};

use turmericrail_core::action::PlainCall;
use turmericrail_core::at_most_once::SealKey;
use turmericrail_core::event::{Event, Now};
use turmericrail_core::ids::{
    DataCentreId, Incarnation, InstanceId, RequestId, ServerId, StreamId,
};
use turmericrail_core::node::{Node, NodeSettings};
use turmericrail_core::units::{Millis, WallMillis};

use super::actions::{Call, PendingCall};
use super::callers::{Caller, CallerState, Run};
use super::engines::Engine;
use super::plain_calls::{PlainCalls, RequestKey};
use super::platform::{ENGINES, Platform, address};
use super::random::Random;
use super::readers::Reader;

/// Smallest step of time.
pub const CLOCK_STEP_MS: u64 = 10;
/// Time between ticks of a node.
const TICK_INTERVAL_MS: u64 = 50;
/// Instances, by data centre.
pub const DATA_CENTRES: [&str; 5] = ["dc-a", "dc-a", "dc-a", "dc-b", "dc-b"];
/// Engines that keep no record of who reads a stream.
const ENGINES_WITHOUT_HOLDER_CHECK: [&str; 2] = ["a-decode-2", "b-decode"];
/// Silence that a lease outlasts.
const LEASE_EXPIRY_MS: u64 = 9_000;

/// One instance.
pub struct Instance {
    /// The coordinator, while the process runs.
    pub node: Option<Node>,
    /// Its run.
    pub incarnation: u64,
    /// When the run began.
    pub started_ms: u64,
    /// It starts anew at this time.
    pub restart_at_ms: u64,
    /// It is paused until this time.
    pub paused_until_ms: u64,
    /// It hears no other instance until this time.
    pub isolated_until_ms: u64,
    /// When it was last paused, down or isolated.
    pub last_unreachable_ms: u64,
    /// When it last ran.
    pub last_unpaused_ms: u64,
    /// When it was last isolated.
    pub last_isolated_ms: u64,
    /// Step of its wall clock.
    pub wall_offset_ms: u64,
    /// Events that wait while it is paused.
    pub inbox: Vec<Event>,
    /// Requests given a number so far.
    pub request_count: u64,
}

/// How messages between instances fare.
#[derive(Clone, Copy, Debug, Default)]
pub struct Network {
    /// Messages lost.
    pub loss_percent: u64,
    /// Messages that come twice.
    pub duplicate_percent: u64,
    /// Most delay.
    pub max_extra_delay_ms: u64,
    /// Disturbed until this time.
    pub disturbed_until_ms: u64,
    /// Data centres cut off from each other until this time.
    pub partitioned_until_ms: u64,
    /// When it was last disturbed or parted.
    pub last_faulty_ms: u64,
}

/// What is on its way.
pub enum Delivery {
    /// An event for a run of an instance.
    Event(Run, Event),
    /// A call to an engine.
    Call(ServerId, Run, Call),
    /// A prefill ends at an engine.
    PrefillEnd(u64),
    /// A transfer ends at an engine.
    TransferEnd(u64),
    /// The life of a prefill result ends.
    ResultExpiry(ServerId, StreamId),
    /// A call is given up.
    Timeout(u64),
    /// A copy of a booking's call reaches an instance.
    BookingCopy(u64, String),
    /// A forwarded copy reaches an instance.
    Forward(usize, RequestKey, String),
    /// A backend edge writes a plain call.
    SendPlain(Run, PlainCall),
    /// A plain call is executed; its answer is given up after so long.
    ExecutePlain(Run, RequestId, ServerId, u64),
}

/// The world of one episode.
pub struct Simulation {
    /// The present time.
    pub now_ms: u64,
    /// All choices.
    pub random: Random,
    /// What is on its way, by time and order.
    pub queue: BTreeMap<(u64, u64), Delivery>,
    /// Deliveries and calls so far.
    pub last_sequence_number: u64,
    /// Instances.
    pub instances: Vec<Instance>,
    /// Engines.
    pub engines: BTreeMap<ServerId, Engine>,
    /// Callers.
    pub callers: Vec<Caller>,
    /// Callers by run and request.
    pub caller_by_request: BTreeMap<(Run, RequestId), usize>,
    /// Requests with their final answer.
    pub answered_requests: BTreeSet<(Run, RequestId)>,
    /// Calls without an answer.
    pub pending_calls: BTreeMap<u64, PendingCall>,
    /// Readers of tokens.
    pub readers: Vec<Reader>,
    /// Runs that have read a stream.
    pub read_by: BTreeSet<(StreamId, Run)>,
    /// The network.
    pub network: Network,
    /// The platform.
    pub platform: Platform,
    /// Final answers that were errors, by kind.
    pub errors: BTreeMap<String, u64>,
    /// Plain calls.
    pub plain_calls: PlainCalls,
    /// Further tries, by reason.
    pub retries: BTreeMap<String, u64>,
}

/// Id of an instance.
pub fn instance_id(index: usize) -> InstanceId {
    format!("{}-{index}", DATA_CENTRES[index]).parse().expect("a valid id")
}

impl Simulation {
    /// A world in which every instance has just started.
    pub fn new(seed: u64) -> Self {
        let engines = ENGINES.iter().map(|(id, data_centre, _)| {
            let data_centre: DataCentreId = data_centre.parse().expect("a valid id");
            let checks_holders = !ENGINES_WITHOUT_HOLDER_CHECK.contains(id);
            (id.parse().expect("a valid id"), Engine::new(data_centre, checks_holders))
        });
        let mut simulation = Self {
            now_ms: 0,
            random: Random::new(seed),
            queue: BTreeMap::new(),
            last_sequence_number: 0,
            instances: Vec::new(),
            engines: engines.collect(),
            callers: Vec::new(),
            caller_by_request: BTreeMap::new(),
            answered_requests: BTreeSet::new(),
            pending_calls: BTreeMap::new(),
            readers: Vec::new(),
            read_by: BTreeSet::new(),
            network: Network::default(),
            platform: Platform { version: 1, stale_version: 1, ..Platform::default() },
            errors: BTreeMap::new(),
            plain_calls: PlainCalls::default(),
            retries: BTreeMap::new(),
        };
        for index in 0..DATA_CENTRES.len() {
            simulation.instances.push(Instance {
                node: None,
                incarnation: 0,
                started_ms: 0,
                restart_at_ms: 0,
                paused_until_ms: 0,
                isolated_until_ms: 0,
                last_unreachable_ms: 0,
                last_unpaused_ms: 0,
                last_isolated_ms: 0,
                wall_offset_ms: 0,
                inbox: Vec::new(),
                request_count: 0,
            });
            simulation.start(index);
        }
        simulation
    }

    /// Lets time pass.
    pub fn run_for(&mut self, for_ms: u64) {
        let until_ms = self.now_ms + for_ms;
        while self.now_ms < until_ms {
            self.now_ms += CLOCK_STEP_MS;
            self.record_interruptions();
            self.restart_and_resume();
            self.send_platform_state();
            self.deliver_due();
            for engine in self.engines.values_mut() {
                engine.advance(self.now_ms);
            }
            self.read_tokens();
            if self.now_ms.is_multiple_of(TICK_INTERVAL_MS) {
                for index in 0..self.instances.len() {
                    self.deliver_event((index, self.instances[index].incarnation), Event::Tick);
                }
            }
            self.reconnect_callers();
        }
    }

    /// Queues a delivery.
    pub fn schedule(&mut self, delay_ms: u64, delivery: Delivery) {
        self.last_sequence_number += 1;
        self.queue.insert((self.now_ms + delay_ms, self.last_sequence_number), delivery);
    }

    /// Tells a run of an instance, where it still runs.
    pub fn deliver_event(&mut self, run: Run, event: Event) {
        let instance = &mut self.instances[run.0];
        if instance.incarnation != run.1 || instance.node.is_none() {
            return;
        }
        if self.now_ms < instance.paused_until_ms {
            if event != Event::Tick {
                instance.inbox.push(event);
            }
            return;
        }
        let monotonic_ms = Millis(self.now_ms - instance.started_ms);
        let wall_ms = WallMillis(self.now_ms + instance.wall_offset_ms);
        let Some(node) = instance.node.as_mut() else {
            return;
        };
        let actions = node.handle(Now { monotonic_ms, wall_ms }, event);
        for action in actions {
            self.perform(run, action);
        }
    }

    /// Whether two instances hear each other.
    pub fn is_connected(&self, one: usize, other: usize) -> bool {
        let is_isolated = |index: usize| self.now_ms < self.instances[index].isolated_until_ms;
        let is_partitioned = self.now_ms < self.network.partitioned_until_ms;
        let is_local = DATA_CENTRES[one] == DATA_CENTRES[other];
        !is_isolated(one) && !is_isolated(other) && (is_local || !is_partitioned)
    }

    /// Whether an instance reaches an engine.
    pub fn can_reach(&self, instance: usize, engine: &Engine) -> bool {
        let is_local = DATA_CENTRES[instance] == engine.data_centre.as_str();
        engine.is_up(self.now_ms) && (is_local || self.now_ms >= self.network.partitioned_until_ms)
    }

    /// Whether an instance was heard by all others for longer than any lease.
    pub fn was_reachable(&self, index: usize) -> bool {
        self.now_ms - self.instances[index].last_unreachable_ms > LEASE_EXPIRY_MS
    }

    /// Whether an instance could hear all others for longer than any lease, also if it was paused.
    pub fn was_connected(&self, index: usize) -> bool {
        let last_ms = self.instances[index].last_isolated_ms.max(self.network.last_faulty_ms);
        self.now_ms - last_ms > LEASE_EXPIRY_MS
    }

    fn record_interruptions(&mut self) {
        let now_ms = self.now_ms;
        for instance in &mut self.instances {
            let is_isolated = now_ms < instance.isolated_until_ms;
            if is_isolated {
                instance.last_isolated_ms = now_ms;
            }
            if instance.node.is_none() || now_ms >= instance.paused_until_ms {
                instance.last_unpaused_ms = now_ms;
            }
            if is_isolated || instance.node.is_none() || now_ms < instance.paused_until_ms {
                instance.last_unreachable_ms = now_ms;
            }
        }
        if now_ms < self.network.disturbed_until_ms.max(self.network.partitioned_until_ms) {
            self.network.last_faulty_ms = now_ms;
        }
    }

    /// An instance dies with all that it knows.
    pub fn crash(&mut self, index: usize, down_ms: u64) {
        let instance = &mut self.instances[index];
        if instance.node.take().is_none() {
            return;
        }
        instance.inbox.clear();
        instance.paused_until_ms = 0;
        instance.restart_at_ms = self.now_ms + down_ms;
        self.readers.retain(|reader| reader.run.0 != index);
        self.pending_calls.retain(|_, call| call.run.0 != index);
        for caller in 0..self.callers.len() {
            if matches!(self.callers[caller].state, CallerState::Waiting(run, _) if run.0 == index)
            {
                self.drop_connection(caller);
            }
        }
    }

    fn start(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        instance.incarnation += 1;
        instance.started_ms = self.now_ms;
        instance.request_count = 0;
        let run_nonce = instance.incarnation * DATA_CENTRES.len() as u64 + index as u64;
        instance.node = Some(Node::new(NodeSettings {
            instance: instance_id(index),
            incarnation: Incarnation(instance.incarnation),
            data_centre: DATA_CENTRES[index].parse().expect("a valid id"),
            peer_address: address(index),
            seal_key: SealKey::for_run("0123456789abcdef", run_nonce),
        }));
    }

    fn restart_and_resume(&mut self) {
        for index in 0..self.instances.len() {
            if self.instances[index].node.is_none()
                && self.now_ms >= self.instances[index].restart_at_ms
            {
                self.start(index);
            }
            let instance = &mut self.instances[index];
            let is_resuming = !instance.inbox.is_empty() && self.now_ms >= instance.paused_until_ms;
            if !is_resuming {
                continue;
            }
            let run = (index, instance.incarnation);
            let mut events = std::mem::take(&mut instance.inbox);
            let at = self.random.below(events.len() as u64 + 1) as usize;
            let is_first = self.random.chance_percent(50);
            events.insert(if is_first { 0 } else { at }, Event::Tick);
            for event in events {
                if !self.is_abandoned_resume(run, &event) {
                    self.deliver_event(run, event);
                }
            }
        }
    }

    fn deliver_due(&mut self) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > self.now_ms {
                return;
            }
            match entry.remove() {
                Delivery::Event(run, event) => self.deliver_event(run, event),
                Delivery::Call(server, run, call) => self.handle_engine_call(server, run, call),
                Delivery::PrefillEnd(call) => self.finish_prefill(call),
                Delivery::TransferEnd(call) => self.finish_transfer(call),
                Delivery::ResultExpiry(server, stream) => self.expire_result(&server, &stream),
                Delivery::Timeout(call) => self.time_out_call(call),
                Delivery::BookingCopy(instance, ticket) => {
                    self.handle_booking_copy(instance, ticket)
                }
                Delivery::Forward(to, origin, ticket) => {
                    self.handle_forwarded_call(to, origin, ticket)
                }
                Delivery::SendPlain(run, call) => self.send_plain_call(run, call),
                Delivery::ExecutePlain(run, request, server, timeout_ms) => {
                    self.execute_plain_call(run, request, server, timeout_ms)
                }
            }
        }
    }
}
