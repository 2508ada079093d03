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
use super::draw::Draw;
use super::engines::Engine;
use super::plain::{PlainCalls, RequestKey};
use super::platform::{ENGINES, Platform, address};
use super::readers::Reader;

/// Smallest step of time.
pub const QUANTUM_MS: u64 = 10;
/// Time between ticks of a node.
const TICK_MS: u64 = 50;
/// Instances, by data centre.
pub const DATA_CENTRES: [&str; 5] = ["dc-a", "dc-a", "dc-a", "dc-b", "dc-b"];
/// Engines that keep no record of who reads a stream.
const UNCHECKING: [&str; 2] = ["a-decode-2", "b-decode"];
/// Silence that a lease outlasts.
const HEARD_WITHIN_MS: u64 = 9_000;

/// One instance.
pub struct Slot {
    /// The coordinator, while the process runs.
    pub node: Option<Node>,
    /// Its run.
    pub incarnation: u64,
    /// When the run began.
    pub started_ms: u64,
    /// It starts anew at this time.
    pub restart_ms: u64,
    /// It is paused until this time.
    pub paused_until_ms: u64,
    /// It hears no other instance until this time.
    pub isolated_until_ms: u64,
    /// When it was last paused, down or isolated.
    pub unheard_ms: u64,
    /// When it last ran.
    pub heard_ms: u64,
    /// When it was last isolated.
    pub cut_ms: u64,
    /// Step of its wall clock.
    pub wall_ms: u64,
    /// Events that wait while it is paused.
    pub inbox: Vec<Event>,
    /// Requests given a number so far.
    pub requests: u64,
}

/// How messages between instances fare.
#[derive(Clone, Copy, Debug, Default)]
pub struct Network {
    /// Messages lost.
    pub loss_percent: u64,
    /// Messages that come twice.
    pub copy_percent: u64,
    /// Most delay.
    pub delay_ms: u64,
    /// Disturbed until this time.
    pub disturbed_until_ms: u64,
    /// Data centres cut off from each other until this time.
    pub parted_until_ms: u64,
    /// When it was last disturbed or parted.
    pub bad_ms: u64,
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
    ResultEnd(ServerId, StreamId),
    /// A call is given up.
    Timeout(u64),
    /// A copy of a booking's call reaches an instance.
    Copy(u64, String),
    /// A forwarded copy reaches an instance.
    Forward(usize, RequestKey, String),
    /// A backend edge writes a plain call.
    WritePlain(Run, PlainCall),
    /// A plain call is executed; its answer is given up after so long.
    Execute(Run, RequestId, ServerId, u64),
}

/// The world of one episode.
pub struct World {
    /// The present time.
    pub now_ms: u64,
    /// All choices.
    pub draw: Draw,
    /// What is on its way, by time and order.
    pub queue: BTreeMap<(u64, u64), Delivery>,
    /// Deliveries and calls so far.
    pub serial: u64,
    /// Instances.
    pub slots: Vec<Slot>,
    /// Engines.
    pub engines: BTreeMap<ServerId, Engine>,
    /// Callers.
    pub callers: Vec<Caller>,
    /// Callers by run and request.
    pub asked: BTreeMap<(Run, RequestId), usize>,
    /// Requests with their final answer.
    pub answered: BTreeSet<(Run, RequestId)>,
    /// Calls without an answer.
    pub calls: BTreeMap<u64, PendingCall>,
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
    pub plain: PlainCalls,
    /// Further tries, by reason.
    pub retries: BTreeMap<String, u64>,
}

/// Id of an instance.
pub fn instance_id(index: usize) -> InstanceId {
    format!("{}-{index}", DATA_CENTRES[index]).parse().expect("a valid id")
}

impl World {
    /// A world in which every instance has just started.
    pub fn new(seed: u64) -> Self {
        let engines = ENGINES.iter().map(|(id, data_centre, _)| {
            let data_centre: DataCentreId = data_centre.parse().expect("a valid id");
            let checks_holders = !UNCHECKING.contains(id);
            (id.parse().expect("a valid id"), Engine::new(data_centre, checks_holders))
        });
        let mut world = Self {
            now_ms: 0,
            draw: Draw::new(seed),
            queue: BTreeMap::new(),
            serial: 0,
            slots: Vec::new(),
            engines: engines.collect(),
            callers: Vec::new(),
            asked: BTreeMap::new(),
            answered: BTreeSet::new(),
            calls: BTreeMap::new(),
            readers: Vec::new(),
            read_by: BTreeSet::new(),
            network: Network::default(),
            platform: Platform { version: 1, stale_version: 1, ..Platform::default() },
            errors: BTreeMap::new(),
            plain: PlainCalls::default(),
            retries: BTreeMap::new(),
        };
        for index in 0..DATA_CENTRES.len() {
            world.slots.push(Slot {
                node: None,
                incarnation: 0,
                started_ms: 0,
                restart_ms: 0,
                paused_until_ms: 0,
                isolated_until_ms: 0,
                unheard_ms: 0,
                heard_ms: 0,
                cut_ms: 0,
                wall_ms: 0,
                inbox: Vec::new(),
                requests: 0,
            });
            world.start(index);
        }
        world
    }

    /// Lets time pass.
    pub fn run(&mut self, for_ms: u64) {
        let until_ms = self.now_ms + for_ms;
        while self.now_ms < until_ms {
            self.now_ms += QUANTUM_MS;
            self.note_silence();
            self.restart_and_wake();
            self.tell_platform();
            self.deliver_due();
            for engine in self.engines.values_mut() {
                engine.advance(self.now_ms);
            }
            self.read_tokens();
            if self.now_ms.is_multiple_of(TICK_MS) {
                for index in 0..self.slots.len() {
                    self.tell((index, self.slots[index].incarnation), Event::Tick);
                }
            }
            self.return_callers();
        }
    }

    /// Queues a delivery.
    pub fn queue_in(&mut self, delay_ms: u64, delivery: Delivery) {
        self.serial += 1;
        self.queue.insert((self.now_ms + delay_ms, self.serial), delivery);
    }

    /// Tells a run of an instance, where it still runs.
    pub fn tell(&mut self, run: Run, event: Event) {
        let slot = &mut self.slots[run.0];
        if slot.incarnation != run.1 || slot.node.is_none() {
            return;
        }
        if self.now_ms < slot.paused_until_ms {
            if event != Event::Tick {
                slot.inbox.push(event);
            }
            return;
        }
        let mono_ms = Millis(self.now_ms - slot.started_ms);
        let wall_ms = WallMillis(self.now_ms + slot.wall_ms);
        let Some(node) = slot.node.as_mut() else {
            return;
        };
        let actions = node.handle(Now { mono_ms, wall_ms }, event);
        for action in actions {
            self.perform(run, action);
        }
    }

    /// Whether two instances hear each other.
    pub fn is_connected(&self, one: usize, other: usize) -> bool {
        let is_isolated = |index: usize| self.now_ms < self.slots[index].isolated_until_ms;
        let is_parted = self.now_ms < self.network.parted_until_ms;
        let is_near = DATA_CENTRES[one] == DATA_CENTRES[other];
        !is_isolated(one) && !is_isolated(other) && (is_near || !is_parted)
    }

    /// Whether an instance reaches an engine.
    pub fn reaches(&self, instance: usize, engine: &Engine) -> bool {
        let is_near = DATA_CENTRES[instance] == engine.data_centre.as_str();
        engine.is_up(self.now_ms) && (is_near || self.now_ms >= self.network.parted_until_ms)
    }

    /// Whether an instance was heard by all others for longer than any lease.
    pub fn was_heard(&self, index: usize) -> bool {
        self.now_ms - self.slots[index].unheard_ms > HEARD_WITHIN_MS
    }

    /// Whether an instance could hear all others for longer than any lease, also if it was paused.
    pub fn was_connected(&self, index: usize) -> bool {
        let last_ms = self.slots[index].cut_ms.max(self.network.bad_ms);
        self.now_ms - last_ms > HEARD_WITHIN_MS
    }

    fn note_silence(&mut self) {
        let now_ms = self.now_ms;
        for slot in &mut self.slots {
            let is_isolated = now_ms < slot.isolated_until_ms;
            if is_isolated {
                slot.cut_ms = now_ms;
            }
            if slot.node.is_none() || now_ms >= slot.paused_until_ms {
                slot.heard_ms = now_ms;
            }
            if is_isolated || slot.node.is_none() || now_ms < slot.paused_until_ms {
                slot.unheard_ms = now_ms;
            }
        }
        if now_ms < self.network.disturbed_until_ms.max(self.network.parted_until_ms) {
            self.network.bad_ms = now_ms;
        }
    }

    /// An instance dies with all that it knows.
    pub fn crash(&mut self, index: usize, down_ms: u64) {
        let slot = &mut self.slots[index];
        if slot.node.take().is_none() {
            return;
        }
        slot.inbox.clear();
        slot.paused_until_ms = 0;
        slot.restart_ms = self.now_ms + down_ms;
        self.readers.retain(|reader| reader.run.0 != index);
        self.calls.retain(|_, call| call.run.0 != index);
        for caller in 0..self.callers.len() {
            if matches!(self.callers[caller].state, CallerState::Asking(run, _) if run.0 == index) {
                self.cut_caller(caller);
            }
        }
    }

    fn start(&mut self, index: usize) {
        let slot = &mut self.slots[index];
        slot.incarnation += 1;
        slot.started_ms = self.now_ms;
        slot.requests = 0;
        let run_nonce = slot.incarnation * DATA_CENTRES.len() as u64 + index as u64;
        slot.node = Some(Node::new(NodeSettings {
            instance: instance_id(index),
            incarnation: Incarnation(slot.incarnation),
            data_centre: DATA_CENTRES[index].parse().expect("a valid id"),
            peer_address: address(index),
            seal_key: SealKey::for_run("0123456789abcdef", run_nonce),
        }));
    }

    fn restart_and_wake(&mut self) {
        for index in 0..self.slots.len() {
            if self.slots[index].node.is_none() && self.now_ms >= self.slots[index].restart_ms {
                self.start(index);
            }
            let slot = &mut self.slots[index];
            let is_waking = !slot.inbox.is_empty() && self.now_ms >= slot.paused_until_ms;
            if !is_waking {
                continue;
            }
            let run = (index, slot.incarnation);
            let mut events = std::mem::take(&mut slot.inbox);
            let at = self.draw.below(events.len() as u64 + 1) as usize;
            let is_first = self.draw.happens(50);
            events.insert(if is_first { 0 } else { at }, Event::Tick);
            for event in events {
                if !self.is_stale_resume(run, &event) {
                    self.tell(run, event);
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
                Delivery::Event(run, event) => self.tell(run, event),
                Delivery::Call(server, run, call) => self.take_call(server, run, call),
                Delivery::PrefillEnd(call) => self.end_prefill(call),
                Delivery::TransferEnd(call) => self.end_transfer(call),
                Delivery::ResultEnd(server, stream) => self.end_result(&server, &stream),
                Delivery::Timeout(call) => self.time_out(call),
                Delivery::Copy(instance, ticket) => self.take_copy(instance, ticket),
                Delivery::Forward(to, origin, ticket) => self.take_forward(to, origin, ticket),
                Delivery::WritePlain(run, call) => self.write_plain(run, call),
                Delivery::Execute(run, request, server, lost_ms) => {
                    self.execute_plain(run, request, server, lost_ms)
                }
            }
        }
    }
}
