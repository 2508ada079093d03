//! The coordinator that runs on each instance.
//!
//! A node is one state machine made of parts: members, configuration, seats, the model path and
//! the plain path. Each part is a file of this folder; [`Node::handle`] passes every event to its
//! part and collects the actions.

mod admit_path;
mod choice;
mod config_path;
mod decode_path;
mod invariants;
mod learn_path;
mod member_path;
mod model_path;
mod ownership;
mod placement_path;
mod plain_path;
mod plain_tries;
mod queue_path;
mod resume_path;
mod seat_path;
mod seat_plan;
pub mod status;
mod sync;
mod turn_path;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use crate::action::{Action, Decision, ServerEndpoint};
use crate::admission::{AdmissionState, Mechanisms};
use crate::config::ConfigHistory;
use crate::error_kind::ErrorKind;
use crate::event::{Event, Now, PlainAnswer};
use crate::ids::{
    ConfigVersion, DataCentreId, Incarnation, InstanceId, MemberKey, RequestId, ServerId,
};
use crate::membership::{LeavingServers, MemberDigest, MemberView, ServerLoad};
use crate::message::{Envelope, PeerMessage};
use crate::node::config_path::{Fetch, HeldMessage};
use crate::node::invariants::Invariants;
use crate::node::ownership::OwnedServers;
use crate::node::sync::SyncState;
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
    leaving: LeavingServers,
    leaving_servers: BTreeSet<ServerId>,
    placement: PlacementState,
    owned: OwnedServers,
    sync: SyncState,
    fetch: Fetch,
    held_messages: Vec<HeldMessage>,
    asked_keys: BTreeMap<MemberKey, Millis>,
    service_lost_ms: Option<Millis>,
    admission: AdmissionState,
    flows: BTreeMap<RequestId, Flow>,
    plain_callers: BTreeMap<RequestId, PlainCaller>,
    plain_flows: BTreeMap<RequestId, PlainFlow>,
    plain_health: BTreeMap<ServerId, ServerHealth>,
    plain_pruned: ConfigVersion,
    plain_budget: RetryBudget,
    tickets: TicketBook<PlainEnd>,
    is_leaving: bool,
    next_beat_ms: Millis,
    earliest_beat_ms: Millis,
    next_poll_ms: Millis,
    next_claim_ms: Millis,
    next_keepalive_ms: Millis,
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
            revision: 0,
            beat: 0,
            is_leaving: false,
            is_cut_off: false,
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
            leaving: LeavingServers::default(),
            leaving_servers: BTreeSet::new(),
            placement: PlacementState::default(),
            owned: OwnedServers::default(),
            sync: SyncState::default(),
            fetch: Fetch::default(),
            held_messages: Vec::new(),
            asked_keys: BTreeMap::new(),
            service_lost_ms: None,
            admission: AdmissionState::default(),
            flows: BTreeMap::new(),
            plain_callers: BTreeMap::new(),
            plain_flows: BTreeMap::new(),
            plain_health: BTreeMap::new(),
            plain_pruned: ConfigVersion(0),
            plain_budget: RetryBudget::default(),
            tickets: TicketBook::default(),
            is_leaving: false,
            next_beat_ms: Millis::ZERO,
            earliest_beat_ms: Millis::ZERO,
            next_poll_ms: Millis::ZERO,
            next_claim_ms: Millis::ZERO,
            next_keepalive_ms: Millis::ZERO,
            invariants: Invariants::default(),
            actions: Vec::new(),
        }
    }

    /// A node with some of its mechanisms switched off, to measure what each is worth.
    pub fn with_mechanisms(settings: NodeSettings, mechanisms: Mechanisms) -> Self {
        let mut node = Self::new(settings);
        node.admission.mechanisms = mechanisms;
        node
    }

    /// Handles one event and returns what is to be done.
    pub fn handle(&mut self, now: Now, event: Event) -> Vec<Action> {
        assert!(now.monotonic_ms >= self.now.monotonic_ms, "monotonic time went back");
        let before_ms = std::mem::replace(&mut self.now, now).monotonic_ms;
        if before_ms > Millis::ZERO && now.monotonic_ms - before_ms > PAUSE_LIMIT_MS {
            self.wake(before_ms);
        }
        self.members.refresh_if_stale(now.monotonic_ms);
        self.refresh_owned();
        self.invariants.note_event(&event);
        self.dispatch(event);
        self.members.refresh_if_stale(now.monotonic_ms);
        self.refresh_owned();
        self.sync.advance(now.monotonic_ms, self.members.has_peers(), self.config.known_version());
        self.invariants.note_leaving(now.monotonic_ms, &self.leaving_servers);
        self.invariants.check(now.monotonic_ms, &self.actions, self.config.version());
        std::mem::take(&mut self.actions)
    }

    /// Whether new work is taken: a configuration is in force, what peers know was heard since the
    /// start or the last pause, and no shutdown is under way.
    pub fn is_ready(&self) -> bool {
        self.config.in_force().is_some() && self.sync.is_done() && !self.is_leaving
    }

    fn dispatch(&mut self, event: Event) {
        match event {
            Event::Tick => self.tick(),
            Event::ModelRequest(asked) => self.take_model_request(asked),
            Event::ResumeRequest { request, cursor, model_request: asked } => {
                self.take_resume_request(request, &cursor, asked)
            }
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
            Event::ConfigService { is_answered } => self.take_service_result(is_answered),
            Event::InstanceList(listed) => self.take_list(listed),
            Event::LeavingServers(servers) => {
                self.leaving.take_list(self.now.monotonic_ms, servers);
                self.leaving_servers = self.leaving.servers();
            }
            Event::WeightRate(rate) => self.take_weight_rate(rate),
            Event::Shutdown => self.shut_down(),
        }
    }

    fn tick(&mut self) {
        self.beat();
        self.deliver_held();
        self.poll_servers();
        if self.sync.is_done() {
            self.expire_leases();
        }
        self.check_leases();
        self.place();
        self.repeat_claims();
        self.advance_reads();
        self.advance_queues();
        self.advance_waiting();
        self.advance_plain();
        if self.is_leaving && self.flows.is_empty() && self.is_plain_idle() {
            self.actions.push(Action::Exit);
        }
    }

    fn shut_down(&mut self) {
        self.is_leaving = true;
        self.members.leave();
        self.beat_to_all();
        self.log("shutdown", None, vec![("flows", self.flows.len().to_string())]);
    }

    fn take_peer(&mut self, envelope: Envelope) {
        let from = envelope.from.clone();
        self.members.note_direct(self.now.monotonic_ms, &from);
        self.sync.hear(envelope.config_version);
        if envelope.config_version > self.config.known_version() {
            self.fetch_newer(&from.instance, envelope.config_version);
            if matches!(envelope.message, PeerMessage::SeatRequest(_)) {
                self.hold(envelope);
                return;
            }
        }
        match envelope.message {
            PeerMessage::Heartbeat(heartbeat) => self.take_heartbeat(&from, *heartbeat),
            PeerMessage::Keepalive => {}
            PeerMessage::MembersRequest(asked) => self.take_members_request(&from, &asked),
            PeerMessage::Members(members) => self.take_members(&from, members),
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
        let Some(address) = self.members.address_of(to) else {
            return;
        };
        let from = self.members.own_holder();
        let envelope = Envelope { from, config_version: self.config.known_version(), message };
        self.actions.push(Action::Send { to: to.clone(), address, envelope });
    }

    fn target(&self, server: &ServerId) -> Option<ServerEndpoint> {
        let known = self.config.in_force()?.servers.get(server)?;
        Some(ServerEndpoint { server: server.clone(), address: known.address })
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
