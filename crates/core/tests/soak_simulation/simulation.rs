//! State of an episode: nodes, engines, callers, the platform and the queue of scheduled deliveries.

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

/// Time advances in steps of this length.
pub const CLOCK_STEP_MS: u64 = 10;
const TICK_INTERVAL_MS: u64 = 50;
/// Data centre of each instance.
pub const DATA_CENTRES: [&str; 5] = ["dc-a", "dc-a", "dc-a", "dc-b", "dc-b"];
/// Engines that do not check the holder of a stream when it is read or cancelled.
const ENGINES_WITHOUT_HOLDER_CHECK: [&str; 2] = ["a-decode-2", "b-decode"];
/// Longer than any lease lasts without renewal.
const LEASE_EXPIRY_MS: u64 = 9_000;

/// An instance, which may crash and restart with a new incarnation.
pub struct Instance {
    /// `None` while the instance is down.
    pub node: Option<Node>,
    pub incarnation: u64,
    /// Start of the present run.
    pub started_ms: u64,
    /// Time of the restart after a crash.
    pub restart_at_ms: u64,
    pub paused_until_ms: u64,
    /// Until this time it can neither send to other instances nor receive from them.
    pub isolated_until_ms: u64,
    /// Last time at which it was paused, down or isolated.
    pub last_unreachable_ms: u64,
    /// Last time at which it was not paused.
    pub last_unpaused_ms: u64,
    pub last_isolated_ms: u64,
    /// Offset of its wall clock from the simulated time.
    pub wall_offset_ms: u64,
    /// Events that arrived while it was paused.
    pub inbox: Vec<Event>,
    /// Requests of the present run, which are numbered from 1.
    pub request_count: u64,
}

/// Faults of the network between instances.
#[derive(Clone, Copy, Debug, Default)]
pub struct Network {
    /// Share of messages lost while disturbed.
    pub loss_percent: u64,
    /// Share of messages delivered twice while disturbed.
    pub duplicate_percent: u64,
    /// Upper limit of the random delay added while disturbed.
    pub max_extra_delay_ms: u64,
    /// Messages are lost, duplicated and delayed until this time.
    pub disturbed_until_ms: u64,
    /// The data centres cannot reach each other until this time.
    pub partitioned_until_ms: u64,
    /// Last time at which it was disturbed or partitioned.
    pub last_faulty_ms: u64,
}

/// A scheduled event.
pub enum Delivery {
    /// An event for one run of an instance.
    Event(Run, Event),
    /// A call of a run reaches an engine.
    Call(ServerId, Run, Call),
    /// A prefill ends; the number is its key in `pending_calls`.
    PrefillEnd(u64),
    /// A KV transfer ends; the number is its key in `pending_calls`.
    TransferEnd(u64),
    /// A prefill result that was not fetched expires.
    ResultExpiry(ServerId, StreamId),
    /// A pending call times out.
    Timeout(u64),
    /// A copy of a booking's call, with its ticket, reaches an instance.
    BookingCopy(u64, String),
    /// A forwarded copy, with its ticket, reaches the instance that issued the ticket.
    Forward(usize, RequestKey, String),
    /// A run sends a plain call to a server.
    SendPlain(Run, PlainCall),
    /// A plain call is executed; the last field is its timeout in milliseconds.
    ExecutePlain(Run, RequestId, ServerId, u64),
}

/// The state of one episode.
pub struct Simulation {
    /// Simulated time.
    pub now_ms: u64,
    /// Source of all random choices.
    pub random: Random,
    /// Deliveries by time and sequence number.
    pub queue: BTreeMap<(u64, u64), Delivery>,
    /// Numbers deliveries and pending calls.
    pub last_sequence_number: u64,
    pub instances: Vec<Instance>,
    pub engines: BTreeMap<ServerId, Engine>,
    /// Callers of model requests.
    pub callers: Vec<Caller>,
    /// Index of the caller that sent a request.
    pub caller_by_request: BTreeMap<(Run, RequestId), usize>,
    /// Requests that have received their final answer.
    pub answered_requests: BTreeSet<(Run, RequestId)>,
    /// Prefills and KV transfers that have not ended.
    pub pending_calls: BTreeMap<u64, PendingCall>,
    pub readers: Vec<Reader>,
    /// Streams with the runs that have opened a reader of them.
    pub read_by: BTreeSet<(StreamId, Run)>,
    pub network: Network,
    pub platform: Platform,
    /// Final answers that were errors, by kind.
    pub errors: BTreeMap<String, u64>,
    pub plain_calls: PlainCalls,
    /// Repeated attempts, by reason.
    pub retries: BTreeMap<String, u64>,
}

pub fn instance_id(index: usize) -> InstanceId {
    format!("{}-{index}", DATA_CENTRES[index]).parse().expect("a valid id")
}

impl Simulation {
    /// A simulation in which all instances have just started.
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

    pub fn schedule(&mut self, delay_ms: u64, delivery: Delivery) {
        self.last_sequence_number += 1;
        self.queue.insert((self.now_ms + delay_ms, self.last_sequence_number), delivery);
    }

    /// Passes an event to a run of an instance unless that run has ended. A paused instance receives it
    /// after the pause, except for ticks.
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

    /// Whether messages pass between two instances.
    pub fn is_connected(&self, one: usize, other: usize) -> bool {
        let is_isolated = |index: usize| self.now_ms < self.instances[index].isolated_until_ms;
        let is_partitioned = self.now_ms < self.network.partitioned_until_ms;
        let is_local = DATA_CENTRES[one] == DATA_CENTRES[other];
        !is_isolated(one) && !is_isolated(other) && (is_local || !is_partitioned)
    }

    /// Whether calls of an instance reach an engine that is up.
    pub fn can_reach(&self, instance: usize, engine: &Engine) -> bool {
        let is_local = DATA_CENTRES[instance] == engine.data_centre.as_str();
        engine.is_up(self.now_ms) && (is_local || self.now_ms >= self.network.partitioned_until_ms)
    }

    /// Whether an instance has been reachable without a break for longer than any lease lasts.
    pub fn was_reachable(&self, index: usize) -> bool {
        self.now_ms - self.instances[index].last_unreachable_ms > LEASE_EXPIRY_MS
    }

    /// Whether an instance has not been isolated, nor the network faulty, for longer than any lease
    /// lasts; it may have been paused or down.
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

    /// Crashes an instance: its state, its calls and the connections of its callers are lost.
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
