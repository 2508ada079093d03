//! The coordinator that runs on each instance.
//!
//! A node is one state machine made of parts: members, configuration, seats, the model path and
//! the plain path. Each part is a file of this folder; [`Node::handle`] passes every event to its
//! part and collects the actions.

mod config_path;
mod invariants;
mod member_path;
mod model_path;
mod placement_path;
mod plain_path;
mod plain_tries;
mod seat_path;
pub mod status;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use crate::action::{Action, Decision, Target};
use crate::config::ConfigHistory;
use crate::error_kind::ErrorKind;
use crate::event::{Event, Now, PlainAnswer};
use crate::ids::{DataCentreId, Incarnation, InstanceId, RequestId, ServerId};
use crate::membership::{MemberDigest, MemberView, ServerLoad};
use crate::message::{Envelope, PeerMessage};
use crate::node::invariants::Invariants;
use crate::once::{Seal, TicketBook};
use crate::placement::PlacementState;
use crate::request::{Flow, PlainCaller, PlainFlow, RetryBudget};
use crate::route::ServerHealth;
use crate::seats::SeatLedger;
use crate::units::Millis;

/// Time between two events past which the process counts as having been paused.
const PAUSE_LIMIT_MS: Millis = Millis(1_500);

/// What a node is told at its start.
#[derive(Clone)]
pub struct NodeSettings {
    /// This instance.
    pub instance: InstanceId,
    /// This run.
    pub incarnation: Incarnation,
    /// Where it stands.
    pub data_centre: DataCentreId,
    /// IP number and port of its peer edge, as others reach it.
    pub peer_address: SocketAddr,
    /// The deployment's key for tickets and cursors.
    pub seal: Seal,
}

/// How a plain call ended, as recorded with its ticket.
type PlainEnd = Result<PlainAnswer, ErrorKind>;

/// The coordinator of one instance.
pub struct Node {
    seal: Seal,
    now: Now,
    members: MemberView,
    config: ConfigHistory,
    ledgers: BTreeMap<ServerId, SeatLedger>,
    loads: BTreeMap<ServerId, KnownLoad>,
    leaving_servers: BTreeSet<ServerId>,
    placement: PlacementState,
    flows: BTreeMap<RequestId, Flow>,
    plain_callers: BTreeMap<RequestId, PlainCaller>,
    plain_flows: BTreeMap<RequestId, PlainFlow>,
    plain_health: BTreeMap<ServerId, ServerHealth>,
    plain_budget: RetryBudget,
    tickets: TicketBook<PlainEnd>,
    is_leaving: bool,
    next_beat_ms: Millis,
    next_poll_ms: Millis,
    next_claim_ms: Millis,
    invariants: Invariants,
    actions: Vec<Action>,
}

/// Load of a server and when it was learned.
#[derive(Clone, Copy, Debug)]
struct KnownLoad {
    load: ServerLoad,
    learned_ms: Millis,
}

impl Node {
    /// A node that knows nothing yet.
    pub fn new(settings: NodeSettings) -> Self {
        let own = MemberDigest {
            instance: settings.instance,
            incarnation: settings.incarnation,
            beat: 0,
            is_leaving: false,
            peer_address: settings.peer_address,
            data_centre: settings.data_centre,
        };
        Self {
            seal: settings.seal,
            now: Now::default(),
            members: MemberView::new(own),
            config: ConfigHistory::default(),
            ledgers: BTreeMap::new(),
            loads: BTreeMap::new(),
            leaving_servers: BTreeSet::new(),
            placement: PlacementState::default(),
            flows: BTreeMap::new(),
            plain_callers: BTreeMap::new(),
            plain_flows: BTreeMap::new(),
            plain_health: BTreeMap::new(),
            plain_budget: RetryBudget::default(),
            tickets: TicketBook::default(),
            is_leaving: false,
            next_beat_ms: Millis::ZERO,
            next_poll_ms: Millis::ZERO,
            next_claim_ms: Millis::ZERO,
            invariants: Invariants::default(),
            actions: Vec::new(),
        }
    }

    /// Handles one event and returns what is to be done.
    pub fn handle(&mut self, now: Now, event: Event) -> Vec<Action> {
        assert!(now.mono_ms >= self.now.mono_ms, "monotonic time went back");
        let gap_ms = now.mono_ms - self.now.mono_ms;
        self.now = now;
        if gap_ms > PAUSE_LIMIT_MS {
            self.distrust_accounts(gap_ms);
        }
        self.invariants.note_event(&event);
        self.dispatch(event);
        self.invariants.note_leaving(now.mono_ms, &self.leaving_servers);
        self.invariants.check(now.mono_ms, &self.actions, self.config.version());
        std::mem::take(&mut self.actions)
    }

    /// Whether new work is taken: a configuration is in force and no shutdown is under way.
    pub fn is_ready(&self) -> bool {
        self.config.in_force().is_some() && !self.is_leaving
    }

    fn dispatch(&mut self, event: Event) {
        match event {
            Event::Tick => self.tick(),
            Event::ModelRequest(asked) => self.take_model_request(asked),
            Event::ResumeRequest { request, cursor } => self.take_resume_request(request, &cursor),
            Event::TicketRequest { request, count } => self.take_ticket_request(request, count),
            Event::PlainRequest(asked) => self.take_plain_request(asked),
            Event::PlainResult(request, server, result) => {
                self.take_plain_result(request, server, result)
            }
            Event::ForwardResult(request, result) => self.take_forward_result(request, result),
            Event::CallerGone(request) => {
                self.take_plain_caller_gone(request);
                self.take_caller_gone(request);
            }
            Event::PrefillDone { request, stream, cached_tokens } => {
                self.take_prefill_done(request, &stream, cached_tokens)
            }
            Event::PrefillFailed(request, stream) => self.take_prefill_failed(request, &stream),
            Event::TransferDone(request, stream) => self.take_transfer_done(request, &stream),
            Event::TransferFailed(request, stream) => self.take_transfer_failed(request, &stream),
            Event::FirstToken(request, stream) => self.take_first_token(request, &stream),
            Event::StreamEnded(request, stream) => self.take_stream_ended(request, &stream),
            Event::StreamBroken { request, stream, next_index, is_held } => {
                self.take_stream_broken(request, &stream, next_index, is_held)
            }
            Event::Report(server, report) => self.take_report(&server, &report),
            Event::ReportFailed(server) => self.take_report_failed(&server),
            Event::Peer(envelope) => self.take_peer(envelope),
            Event::ConfigDocument(version, document) => self.take_document(version, document),
            Event::ConfigChanges(changes) => self.take_changes(changes, None),
            Event::InstanceList(listed) => self.members.take_list(listed),
            Event::LeavingServers(servers) => self.leaving_servers = servers.into_iter().collect(),
            Event::WeightRate(rate) => self.take_weight_rate(rate),
            Event::Shutdown => self.shut_down(),
        }
    }

    fn tick(&mut self) {
        self.beat();
        self.poll_servers();
        self.expire_leases();
        self.check_leases();
        self.place();
        self.repeat_claims();
        self.advance_waiting();
        self.advance_plain();
        if self.is_leaving && self.flows.is_empty() && self.is_plain_idle() {
            self.actions.push(Action::Exit);
        }
    }

    fn shut_down(&mut self) {
        self.is_leaving = true;
        self.members.leave();
        self.next_beat_ms = Millis::ZERO;
        self.beat();
        self.log("shutdown", None, vec![("flows", self.flows.len().to_string())]);
    }

    fn take_peer(&mut self, envelope: Envelope) {
        let from = envelope.from;
        if envelope.config_version > self.config.known_version() {
            let after = self.config.known_version();
            self.send(&from.instance, PeerMessage::ChangesRequest(after));
        }
        match envelope.message {
            PeerMessage::Heartbeat(heartbeat) => self.take_heartbeat(heartbeat),
            PeerMessage::SeatRequest(asked) => self.take_seat_request(&from, asked),
            PeerMessage::SeatReply(reply) => self.take_seat_reply(reply),
            PeerMessage::Release(seat) => self.take_release(&from, &seat),
            PeerMessage::Claim(seat) => self.take_claim(&from, &seat),
            PeerMessage::LeaseCheck(seats) => self.take_lease_check(&from, seats),
            PeerMessage::ChangesRequest(after) => self.take_changes_request(&from.instance, after),
            PeerMessage::Changes(changes) => self.take_changes(changes, Some(&from.instance)),
            PeerMessage::Document(version, document) => self.take_document(version, document),
        }
    }

    fn send(&mut self, to: &InstanceId, message: PeerMessage) {
        let Some(address) = self.members.peers().get(to).copied() else {
            return;
        };
        let from = self.members.own_holder();
        let envelope = Envelope { from, config_version: self.config.version(), message };
        self.actions.push(Action::Send { to: to.clone(), address, envelope });
    }

    fn target(&self, server: &ServerId) -> Option<Target> {
        let known = self.config.in_force()?.servers.get(server)?;
        Some(Target { server: server.clone(), address: known.address })
    }

    fn answer_error(
        &mut self,
        request: RequestId,
        kind: ErrorKind,
        retry_after_ms: Option<Millis>,
    ) {
        let version = self.config.version().to_string();
        let mut fields = vec![("kind", kind.to_string()), ("config_version", version)];
        if let Some(retry_after_ms) = retry_after_ms {
            fields.push(("retry_after_ms", retry_after_ms.0.to_string()));
        }
        self.log("answer_error", Some(request), fields);
        self.actions.push(Action::AnswerError { request, kind, retry_after_ms });
    }

    fn log(
        &mut self,
        event: &'static str,
        request: Option<RequestId>,
        fields: Vec<(&'static str, String)>,
    ) {
        self.actions.push(Action::Log(Decision { event, request, fields }));
    }
}
