//! Instances and the delivery of events, messages and calls between them, callers and servers.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use turmericrail_core::action::{Action, PlainCall};
use turmericrail_core::at_most_once::SealKey;
use turmericrail_core::error_kind::{ErrorKind, Outcome};
use turmericrail_core::event::{Event, ForwardResult, Now, PlainAnswer, PlainResult};
use turmericrail_core::ids::{Incarnation, InstanceId, ServerId};
use turmericrail_core::membership::{ListedInstance, ListedState};
use turmericrail_core::message::Envelope;
use turmericrail_core::node::{Node, NodeSettings};
use turmericrail_core::units::WallMillis;

use super::{
    INSTANCE_COUNT, RequestKey, Requester, Simulation, TICK_INTERVAL_MS, config_event, millis,
};

/// Time after which a forwarded call without a reply is reported as lost.
const FORWARD_TIMEOUT_MS: u64 = 3_000;

/// An instance, which may crash and restart with a new incarnation.
pub struct Instance {
    pub index: usize,
    pub incarnation: u64,
    pub node: Option<Node>,
    pub started_ms: u64,
    pub paused_until_ms: u64,
}

/// A scheduled event.
pub enum Delivery {
    /// An event for the run of an instance with this incarnation.
    ToNode(usize, u64, Event),
    /// A copy of a caller's call reaches an instance.
    Copy { instance: usize, ticket: String },
    /// A message from another instance arrives.
    Message { to: usize, envelope: Envelope },
    /// A forwarded call reaches the instance that issued its ticket.
    Forward { to: usize, origin: RequestKey, ticket: String },
    /// An instance sends a call to a server.
    SendPlain { instance: usize, incarnation: u64, call: PlainCall },
    /// A call reaches its server.
    Execute { key: RequestKey, server: ServerId },
    /// A regular tick of a run.
    Tick(usize, u64),
    /// An instance starts after a crash.
    Restart(usize),
}

impl Instance {
    pub fn new(index: usize) -> Self {
        Self { index, incarnation: 0, node: None, started_ms: 0, paused_until_ms: 0 }
    }

    pub fn id(&self) -> InstanceId {
        format!("i-{}", self.index).parse().unwrap()
    }

    pub fn data_centre(&self) -> String {
        format!("dc-{}", self.index % 2)
    }

    pub fn address(&self) -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], 8_001 + self.index as u16))
    }
}

impl Simulation {
    pub(super) fn start_instance(&mut self, index: usize) {
        let run_nonce = self.next_request_id().0;
        let is_clock_back = self.random.chance_per_mille(self.mix.clock_back_per_mille);
        let instance = &mut self.instances[index];
        instance.incarnation += 1;
        instance.started_ms = self.now_ms;
        instance.paused_until_ms = 0;
        instance.node = Some(Node::new(NodeSettings {
            instance: instance.id(),
            incarnation: Incarnation(if is_clock_back { 1 } else { instance.incarnation }),
            data_centre: instance.data_centre().parse().unwrap(),
            peer_address: instance.address(),
            seal_key: SealKey::for_run("0123456789abcdef", run_nonce),
        }));
        let incarnation = instance.incarnation;
        let version = self.config_version;
        let config = config_event(&self.documents, version);
        self.schedule(20, Delivery::ToNode(index, incarnation, config));
        let list = Event::InstanceList(self.instance_list());
        self.schedule(10, Delivery::ToNode(index, incarnation, list));
        self.schedule(TICK_INTERVAL_MS, Delivery::Tick(index, incarnation));
    }

    pub(super) fn crash_instance(&mut self, index: usize) {
        self.instances[index].node = None;
        let down_ms = 100 + self.random.below(1_000);
        self.schedule(down_ms, Delivery::Restart(index));
    }

    /// The platform's instance list; a stale one may lack one instance.
    pub(super) fn instance_list(&mut self) -> BTreeMap<InstanceId, ListedInstance> {
        let missing_index = match self.random.chance_per_mille(self.mix.stale_list_per_mille) {
            true => Some(self.random.below(INSTANCE_COUNT) as usize),
            false => None,
        };
        let listed = self.instances.iter().filter(|instance| Some(instance.index) != missing_index);
        let entries = listed.map(|instance| {
            let entry = ListedInstance {
                data_centre: instance.data_centre().parse().unwrap(),
                peer_address: instance.address(),
                state: ListedState::Live,
            };
            (instance.id(), entry)
        });
        entries.collect()
    }

    pub(super) fn deliver(&mut self, delivery: Delivery) {
        if let Some(delivery) = self.defer_while_paused(delivery) {
            self.deliver_now(delivery);
        }
    }

    fn defer_while_paused(&mut self, delivery: Delivery) -> Option<Delivery> {
        let instance = match &delivery {
            Delivery::ToNode(instance, ..) | Delivery::Tick(instance, _) => *instance,
            Delivery::Copy { instance, .. } | Delivery::SendPlain { instance, .. } => *instance,
            Delivery::Message { to, .. } | Delivery::Forward { to, .. } => *to,
            Delivery::Execute { .. } | Delivery::Restart(_) => return Some(delivery),
        };
        let paused_until_ms = self.instances[instance].paused_until_ms;
        if self.now_ms >= paused_until_ms {
            return Some(delivery);
        }
        self.schedule(paused_until_ms - self.now_ms, delivery);
        None
    }

    fn deliver_now(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::ToNode(instance, incarnation, event) => {
                self.handle(instance, incarnation, event)
            }
            Delivery::Tick(instance, incarnation) => {
                self.handle(instance, incarnation, Event::Tick);
                if self.is_running(instance, incarnation) {
                    self.schedule(TICK_INTERVAL_MS, Delivery::Tick(instance, incarnation));
                }
            }
            Delivery::Copy { instance, ticket } => self.handle_copy(instance, ticket),
            Delivery::Message { to, envelope } => {
                let incarnation = self.instances[to].incarnation;
                self.handle(to, incarnation, Event::Peer(envelope));
            }
            Delivery::Forward { to, origin, ticket } => {
                self.handle_forwarded_copy(to, origin, ticket)
            }
            Delivery::SendPlain { instance, incarnation, call } => {
                self.send_plain_call(instance, incarnation, call)
            }
            Delivery::Execute { key, server } => self.execute_at_server(key, server),
            Delivery::Restart(instance) => self.start_instance(instance),
        }
    }

    fn is_running(&self, instance: usize, incarnation: u64) -> bool {
        self.instances[instance].incarnation == incarnation
            && self.instances[instance].node.is_some()
    }

    fn handle_copy(&mut self, instance: usize, ticket: String) {
        let request = self.next_request_id();
        let key = (instance, self.instances[instance].incarnation, request);
        let plain_request = self.plain_request(request, &ticket, false);
        self.requesters.insert(key, Requester::Caller { ticket });
        self.handle(key.0, key.1, Event::PlainRequest(plain_request));
    }

    fn handle_forwarded_copy(&mut self, to: usize, origin: RequestKey, ticket: String) {
        let request = self.next_request_id();
        let key = (to, self.instances[to].incarnation, request);
        let plain_request = self.plain_request(request, &ticket, true);
        self.requesters.insert(key, Requester::Peer { origin, ticket });
        self.handle(key.0, key.1, Event::PlainRequest(plain_request));
    }

    fn handle(&mut self, instance: usize, incarnation: u64, event: Event) {
        if !self.is_running(instance, incarnation) {
            return;
        }
        let monotonic_ms = millis(self.now_ms - self.instances[instance].started_ms);
        let now = Now { monotonic_ms, wall_ms: WallMillis(self.now_ms) };
        let actions = self.instances[instance].node.as_mut().unwrap().handle(now, event);
        for action in actions {
            self.perform(instance, incarnation, action);
        }
    }

    fn perform(&mut self, instance: usize, incarnation: u64, action: Action) {
        match action {
            Action::Send { to, envelope, .. } => {
                let to = self.instances.iter().position(|instance| instance.id() == to).unwrap();
                self.send(instance, to, |to| Delivery::Message { to, envelope: envelope.clone() });
            }
            Action::CallPlain(call) => {
                let delay_ms = self.delay();
                self.schedule(delay_ms, Delivery::SendPlain { instance, incarnation, call });
            }
            Action::Forward { request, address, .. } => {
                let origin = (instance, incarnation, request);
                let to = self
                    .instances
                    .iter()
                    .position(|instance| instance.address() == address)
                    .unwrap();
                let ticket = self.ticket_of(origin);
                self.send(instance, to, |to| Delivery::Forward {
                    to,
                    origin,
                    ticket: ticket.clone(),
                });
                let lost = Event::ForwardResult(request, ForwardResult::Lost);
                self.schedule(FORWARD_TIMEOUT_MS, Delivery::ToNode(instance, incarnation, lost));
            }
            Action::AnswerTickets(request, tickets) => {
                let key = (instance, incarnation, request);
                if let Some(Requester::Ticket { booking }) = self.requesters.get(&key).cloned() {
                    self.send_copies(booking, tickets[0].clone());
                }
            }
            Action::AnswerPlain(request, _) => {
                self.handle_final_answer(
                    (instance, incarnation, request),
                    Outcome::Completed,
                    None,
                );
            }
            Action::AnswerError { request, kind, .. } => {
                let outcome = kind.answer().outcome;
                self.handle_final_answer((instance, incarnation, request), outcome, Some(kind));
            }
            Action::Exit => self.crash_instance(instance),
            _ => {}
        }
    }

    fn ticket_of(&self, key: RequestKey) -> String {
        match &self.requesters[&key] {
            Requester::Caller { ticket } | Requester::Peer { ticket, .. } => ticket.clone(),
            Requester::Ticket { .. } => unreachable!("a request for a ticket makes no call"),
        }
    }

    fn delay(&mut self) -> u64 {
        let is_late = self.random.chance_per_mille(self.mix.long_delay_per_mille);
        1 + self.random.below(if is_late { 1_000 } else { 5 })
    }

    /// Sends over the network, which loses, repeats, delays or blocks deliveries as the fault mix says.
    fn send(&mut self, from: usize, to: usize, to_delivery: impl Fn(usize) -> Delivery) {
        let is_partitioned = self.is_partitioned
            && self.instances[from].data_centre() != self.instances[to].data_centre();
        if is_partitioned || self.random.chance_per_mille(self.mix.loss_per_mille) {
            return;
        }
        let copies =
            if self.random.chance_per_mille(self.mix.duplication_per_mille) { 2 } else { 1 };
        for _ in 0..copies {
            let delay_ms = self.delay();
            self.schedule(delay_ms, to_delivery(to));
        }
    }

    /// Sends the result of a forwarded call back to the instance that forwarded it.
    pub(super) fn reply_to_forwarder(
        &mut self,
        from: RequestKey,
        origin: RequestKey,
        kind: Option<ErrorKind>,
    ) {
        let result = match kind {
            None => ForwardResult::Answered(answer()),
            Some(kind) => ForwardResult::Failed(kind),
        };
        let event = Event::ForwardResult(origin.2, result);
        self.send(from.0, origin.0, |to| Delivery::ToNode(to, origin.1, event.clone()));
    }

    fn send_plain_call(&mut self, instance: usize, incarnation: u64, call: PlainCall) {
        if !self.is_running(instance, incarnation) {
            return;
        }
        let key = (instance, incarnation, call.request);
        let server = call.target.server;
        if self.random.chance_per_mille(self.mix.server_down_per_mille) {
            let not_sent = Event::PlainResult(call.request, server, PlainResult::NotSent);
            self.schedule(2, Delivery::ToNode(instance, incarnation, not_sent));
            return;
        }
        let delay_ms = self.delay();
        self.schedule(delay_ms, Delivery::Execute { key, server });
    }

    /// Executes a call at a server; the connection may be lost before or after the execution.
    fn execute_at_server(&mut self, key: RequestKey, server: ServerId) {
        let is_lost_before = self.random.chance_per_mille(self.mix.lost_before_execution_per_mille);
        let is_lost_after = self.random.chance_per_mille(self.mix.lost_after_execution_per_mille);
        if !is_lost_before {
            let ticket = self.ticket_of(key);
            self.record_execution(&ticket);
        }
        let (delay_ms, result) = match is_lost_before || is_lost_after {
            true => (self.delay() * 3, PlainResult::Lost),
            false => (self.delay(), PlainResult::Answered(answer())),
        };
        let event = Event::PlainResult(key.2, server, result);
        self.schedule(delay_ms, Delivery::ToNode(key.0, key.1, event));
    }
}

fn answer() -> PlainAnswer {
    PlainAnswer { status: 200, content_type: String::new(), body: b"booked".to_vec() }
}
