//! Nodes, their edges and the way between them.

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

use super::{Asker, RequestKey, SLOTS, TICK_MS, World, config_event, millis};

/// Longest wait of a forwarder's connection for its reply.
const FORWARD_LOST_MS: u64 = 3_000;

/// One place for an instance: its runs follow each other.
pub struct Slot {
    pub index: usize,
    pub incarnation: u64,
    pub node: Option<Node>,
    pub started_ms: u64,
    pub paused_until_ms: u64,
}

/// What is on its way.
pub enum Delivery {
    /// An event for one run of a node.
    ToNode(usize, u64, Event),
    /// A caller's copy reaches an instance.
    Copy { slot: usize, ticket: String },
    /// A message between instances.
    Message { to: usize, envelope: Envelope },
    /// A forwarded call reaches the home's address.
    Forward { to: usize, origin: RequestKey, ticket: String },
    /// A backend edge writes a call.
    Write { slot: usize, incarnation: u64, call: PlainCall },
    /// A written call reaches its server.
    Execute { key: RequestKey, server: ServerId },
    /// Time passes for a run.
    Tick(usize, u64),
    /// A slot starts again.
    Restart(usize),
}

impl Slot {
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

impl World {
    pub(super) fn start_slot(&mut self, index: usize) {
        let run_nonce = self.next_request().0;
        let is_clock_back = self.dice.happens(self.mix.clock_back);
        let slot = &mut self.slots[index];
        slot.incarnation += 1;
        slot.started_ms = self.now_ms;
        slot.paused_until_ms = 0;
        slot.node = Some(Node::new(NodeSettings {
            instance: slot.id(),
            incarnation: Incarnation(if is_clock_back { 1 } else { slot.incarnation }),
            data_centre: slot.data_centre().parse().unwrap(),
            peer_address: slot.address(),
            seal_key: SealKey::for_run("0123456789abcdef", run_nonce),
        }));
        let incarnation = slot.incarnation;
        let version = self.config_version;
        let config = config_event(&self.documents, version);
        self.later(20, Delivery::ToNode(index, incarnation, config));
        let list = Event::InstanceList(self.instance_list());
        self.later(10, Delivery::ToNode(index, incarnation, list));
        self.later(TICK_MS, Delivery::Tick(index, incarnation));
    }

    pub(super) fn crash_slot(&mut self, index: usize) {
        self.slots[index].node = None;
        let down_ms = 100 + self.dice.below(1_000);
        self.later(down_ms, Delivery::Restart(index));
    }

    /// The platform's list; an old one lacks an instance.
    pub(super) fn instance_list(&mut self) -> BTreeMap<InstanceId, ListedInstance> {
        let lacks = match self.dice.happens(self.mix.old_list) {
            true => Some(self.dice.below(SLOTS) as usize),
            false => None,
        };
        let listed = self.slots.iter().filter(|slot| Some(slot.index) != lacks);
        let entries = listed.map(|slot| {
            let entry = ListedInstance {
                data_centre: slot.data_centre().parse().unwrap(),
                peer_address: slot.address(),
                state: ListedState::Live,
            };
            (slot.id(), entry)
        });
        entries.collect()
    }

    pub(super) fn deliver(&mut self, delivery: Delivery) {
        if let Some(delivery) = self.hold_while_paused(delivery) {
            self.deliver_now(delivery);
        }
    }

    fn hold_while_paused(&mut self, delivery: Delivery) -> Option<Delivery> {
        let slot = match &delivery {
            Delivery::ToNode(slot, ..) | Delivery::Tick(slot, _) => *slot,
            Delivery::Copy { slot, .. } | Delivery::Write { slot, .. } => *slot,
            Delivery::Message { to, .. } | Delivery::Forward { to, .. } => *to,
            Delivery::Execute { .. } | Delivery::Restart(_) => return Some(delivery),
        };
        let paused_until_ms = self.slots[slot].paused_until_ms;
        if self.now_ms >= paused_until_ms {
            return Some(delivery);
        }
        self.later(paused_until_ms - self.now_ms, delivery);
        None
    }

    fn deliver_now(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::ToNode(slot, incarnation, event) => self.handle(slot, incarnation, event),
            Delivery::Tick(slot, incarnation) => {
                self.handle(slot, incarnation, Event::Tick);
                if self.is_running(slot, incarnation) {
                    self.later(TICK_MS, Delivery::Tick(slot, incarnation));
                }
            }
            Delivery::Copy { slot, ticket } => self.arrive(slot, ticket),
            Delivery::Message { to, envelope } => {
                let incarnation = self.slots[to].incarnation;
                self.handle(to, incarnation, Event::Peer(envelope));
            }
            Delivery::Forward { to, origin, ticket } => self.arrive_forwarded(to, origin, ticket),
            Delivery::Write { slot, incarnation, call } => self.write(slot, incarnation, call),
            Delivery::Execute { key, server } => self.serve_call(key, server),
            Delivery::Restart(slot) => self.start_slot(slot),
        }
    }

    fn is_running(&self, slot: usize, incarnation: u64) -> bool {
        self.slots[slot].incarnation == incarnation && self.slots[slot].node.is_some()
    }

    fn arrive(&mut self, slot: usize, ticket: String) {
        let request = self.next_request();
        let key = (slot, self.slots[slot].incarnation, request);
        let asked = self.plain_request(request, &ticket, false);
        self.askers.insert(key, Asker::Caller { ticket });
        self.handle(key.0, key.1, Event::PlainRequest(asked));
    }

    fn arrive_forwarded(&mut self, to: usize, origin: RequestKey, ticket: String) {
        let request = self.next_request();
        let key = (to, self.slots[to].incarnation, request);
        let asked = self.plain_request(request, &ticket, true);
        self.askers.insert(key, Asker::Peer { origin, ticket });
        self.handle(key.0, key.1, Event::PlainRequest(asked));
    }

    fn handle(&mut self, slot: usize, incarnation: u64, event: Event) {
        if !self.is_running(slot, incarnation) {
            return;
        }
        let mono_ms = millis(self.now_ms - self.slots[slot].started_ms);
        let now = Now { mono_ms, wall_ms: WallMillis(self.now_ms) };
        let actions = self.slots[slot].node.as_mut().unwrap().handle(now, event);
        for action in actions {
            self.perform(slot, incarnation, action);
        }
    }

    fn perform(&mut self, slot: usize, incarnation: u64, action: Action) {
        match action {
            Action::Send { to, envelope, .. } => {
                let to = self.slots.iter().position(|slot| slot.id() == to).unwrap();
                self.send(slot, to, |to| Delivery::Message { to, envelope: envelope.clone() });
            }
            Action::CallPlain(call) => {
                let delay_ms = self.delay();
                self.later(delay_ms, Delivery::Write { slot, incarnation, call });
            }
            Action::Forward { request, address, .. } => {
                let origin = (slot, incarnation, request);
                let to = self.slots.iter().position(|slot| slot.address() == address).unwrap();
                let ticket = self.ticket_of(origin);
                self.send(slot, to, |to| Delivery::Forward { to, origin, ticket: ticket.clone() });
                let lost = Event::ForwardResult(request, ForwardResult::Lost);
                self.later(FORWARD_LOST_MS, Delivery::ToNode(slot, incarnation, lost));
            }
            Action::AnswerTickets(request, tickets) => {
                let key = (slot, incarnation, request);
                if let Some(Asker::Ticket { booking }) = self.askers.get(&key).cloned() {
                    self.send_copies(booking, tickets[0].clone());
                }
            }
            Action::AnswerPlain(request, _) => {
                self.answer((slot, incarnation, request), Outcome::Completed, None);
            }
            Action::AnswerError { request, kind, .. } => {
                let outcome = kind.answer().outcome;
                self.answer((slot, incarnation, request), outcome, Some(kind));
            }
            Action::Exit => self.crash_slot(slot),
            _ => {}
        }
    }

    fn ticket_of(&self, key: RequestKey) -> String {
        match &self.askers[&key] {
            Asker::Caller { ticket } | Asker::Peer { ticket, .. } => ticket.clone(),
            Asker::Ticket { .. } => unreachable!("a request for a ticket makes no call"),
        }
    }

    fn delay(&mut self) -> u64 {
        let is_late = self.dice.happens(self.mix.late);
        1 + self.dice.below(if is_late { 1_000 } else { 5 })
    }

    /// Sends over the network: lost, repeated, late or cut off as the mix says.
    fn send(&mut self, from: usize, to: usize, make: impl Fn(usize) -> Delivery) {
        let is_cut =
            self.is_partitioned && self.slots[from].data_centre() != self.slots[to].data_centre();
        if is_cut || self.dice.happens(self.mix.loss) {
            return;
        }
        let copies = if self.dice.happens(self.mix.duplication) { 2 } else { 1 };
        for _ in 0..copies {
            let delay_ms = self.delay();
            self.later(delay_ms, make(to));
        }
    }

    /// The home's reply to a forwarder.
    pub(super) fn reply(&mut self, from: RequestKey, origin: RequestKey, kind: Option<ErrorKind>) {
        let result = match kind {
            None => ForwardResult::Answered(answer()),
            Some(kind) => ForwardResult::Failed(kind),
        };
        let event = Event::ForwardResult(origin.2, result);
        self.send(from.0, origin.0, |to| Delivery::ToNode(to, origin.1, event.clone()));
    }

    fn write(&mut self, slot: usize, incarnation: u64, call: PlainCall) {
        if !self.is_running(slot, incarnation) {
            return;
        }
        let key = (slot, incarnation, call.request);
        let server = call.target.server;
        if self.dice.happens(self.mix.server_down) {
            let not_sent = Event::PlainResult(call.request, server, PlainResult::NotSent);
            self.later(2, Delivery::ToNode(slot, incarnation, not_sent));
            return;
        }
        let delay_ms = self.delay();
        self.later(delay_ms, Delivery::Execute { key, server });
    }

    /// A server runs a call, or dies before or after it did.
    fn serve_call(&mut self, key: RequestKey, server: ServerId) {
        let is_cut_before = self.dice.happens(self.mix.cut_before_run);
        let is_cut_after = self.dice.happens(self.mix.cut_after_run);
        if !is_cut_before {
            let ticket = self.ticket_of(key);
            self.execute(&ticket);
        }
        let (delay_ms, result) = match is_cut_before || is_cut_after {
            true => (self.delay() * 3, PlainResult::Lost),
            false => (self.delay(), PlainResult::Answered(answer())),
        };
        let event = Event::PlainResult(key.2, server, result);
        self.later(delay_ms, Delivery::ToNode(key.0, key.1, event));
    }
}

fn answer() -> PlainAnswer {
    PlainAnswer { status: 200, content_type: String::new(), body: b"booked".to_vec() }
}
