//! One case in simulated time: instances joined by an in-memory queue, engines, links, callers.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use fastrand::Rng;
use turmericrail_core::action::{Action, PrefillCall, ReadCall, TransferCall};
use turmericrail_core::event::{Event, ModelRequest, Now};
use turmericrail_core::ids::{RequestId, ServerId, StreamId};
use turmericrail_core::units::{Millis, Tokens, WallMillis};

use crate::engine::Engine;
use crate::fault::{FAULT_MS, Fault, LOST_PERCENT, SLOW_DECODE, SLOW_PREFILL};
use crate::links::{Links, Places};
use crate::outcome::Outcome;
use crate::workload::{ARRIVALS_MS, Asked, WARM_UP_MS};

/// Delay of one message.
pub const HOP_MS: u64 = 1;
/// Time between ticks of an instance.
const TICK_MS: u64 = 50;
/// The instance that dies.
const DYING_INSTANCE: usize = 0;
/// Seed of what chance decides in a case.
const DICE_SEED: u64 = 3;
/// Time after the last arrival in which answers may end.
const COOL_DOWN_MS: u64 = 40_000;
/// What an instance does with an event.
pub type Handle = Box<dyn FnMut(Now, Event) -> Vec<Action>>;

/// One instance.
pub struct Instance {
    pub is_dead: bool,
    pub data_centre: usize,
    pub address: SocketAddr,
    pub handle: Handle,
}

/// What happens at a time.
pub enum Item {
    Tell(usize, Event),
    Arrive(usize),
    Gone(usize),
    Tick(usize),
    StartPrefill(usize, PrefillCall),
    PrefillTimeout(usize, PrefillCall),
    PrefillEnd(ServerId, StreamId),
    ResultExpired(ServerId, StreamId),
    StartTransfer(usize, TransferCall),
    TransferTimeout(StreamId),
    LinkStep(Places, u64),
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
    pub link_share: f64,
    pub fault: Fault,
    pub now_ms: u64,
    sequence: u64,
    queue: BTreeMap<(u64, u64), Item>,
    pub links: Links,
    dice: Rng,
    pub is_cut: bool,
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
            link_share: 1.0,
            fault,
            now_ms: 0,
            sequence: 0,
            queue: BTreeMap::new(),
            links: Links::default(),
            dice: Rng::with_seed(DICE_SEED),
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

    pub fn at(&mut self, at_ms: u64, item: Item) {
        self.sequence += 1;
        self.queue.insert((at_ms.max(self.now_ms), self.sequence), item);
    }

    pub fn after(&mut self, delay_ms: u64, item: Item) {
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
            Item::ResultExpired(server, stream) => self.expire_result(&server, &stream),
            Item::StartTransfer(instance, call) => self.start_transfer(instance, call),
            Item::TransferTimeout(stream) => self.transfer_timeout(&stream),
            Item::LinkStep(places, turn) => self.link_step(places, turn),
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
            Fault::FailingPrefill => self.engine(&first("p")).is_failing = true,
            Fault::FailingDecode => self.engine(&first("d")).is_failing = true,
            Fault::CutOff => self.is_cut = true,
            Fault::DeadInstance => self.instances[DYING_INSTANCE].is_dead = true,
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

    pub fn answers(&self, instance: usize, server: &ServerId) -> bool {
        let engine = &self.engines[server];
        !engine.is_dead && self.reaches(instance, engine.data_centre)
    }

    pub fn tell(&mut self, instance: usize, event: Event) {
        if self.instances[instance].is_dead {
            return;
        }
        let wall_ms = WallMillis(1_767_268_800_000 + self.now_ms);
        let now = Now { monotonic_ms: Millis(self.now_ms), wall_ms };
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
                if self.fault == Fault::LostMessages && self.dice.u64(0..100) < LOST_PERCENT {
                    return;
                }
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
        let mut instance = self.asked[index].instance;
        if self.instances[instance].is_dead {
            instance = 1 + index % (self.instances.len() - 1);
            self.asked[index].instance = instance;
        }
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
            fingerprint: index as u64,
        };
        self.tell(instance, Event::ModelRequest(request));
    }

    fn gone(&mut self, index: usize) {
        if self.outcomes[index].ended_ms.is_none() && !self.outcomes[index].is_refused {
            self.tell(self.asked[index].instance, Event::CallerGone(RequestId(index as u64)));
        }
    }
}
