//! The coordinator that runs on each instance.
//!
//! [`Node`] is one state machine without I/O: [`Node::handle`] takes an event with the present
//! time and returns the actions to perform. It learns about the other instances from heartbeats
//! and about the configuration from the service and from peers, runs model requests and plain
//! calls, and acts as the owner of some backend servers. Each of these tasks has its own file in
//! this folder.
//!
//! Terms: an engine is a backend server that serves a model. A model request is computed at a
//! prefill engine, its KV cache is transferred to a decode engine, and its tokens are read from
//! there as a stream. The owner of an engine is the instance that grants access to it: a slot is
//! a turn in the queue of a prefill engine, a seat is capacity for one stream at a decode engine,
//! and a lease is a granted seat. The holder of a stream is the run of an instance that reads it.
//! A plain call goes to a backend server that serves no model.

mod catch_up;
mod config_updates;
mod engine_orders;
mod engine_selection;
mod estimate_updates;
mod heartbeats;
mod invariants;
mod model_admission;
mod model_execution;
mod owner_requests;
mod ownership;
mod plain_attempts;
mod plain_calls;
mod resumption;
mod seat_leases;
mod seat_plan;
mod slot_queues;
pub mod status;
mod token_stream;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use crate::action::{Action, Decision, ServerEndpoint};
use crate::admission::{AdmissionState, Mechanisms};
use crate::at_most_once::{SealKey, TicketTable};
use crate::config::ConfigHistory;
use crate::error_kind::ErrorKind;
use crate::event::{Event, Now, PlainAnswer};
use crate::ids::{
    ConfigVersion, DataCentreId, Incarnation, InstanceId, MemberKey, RequestId, ServerId,
};
use crate::leases::LeaseTable;
use crate::membership::{LeavingServers, MemberDigest, MemberView, ServerLoad};
use crate::message::{Envelope, PeerMessage};
use crate::node::catch_up::CatchUp;
use crate::node::config_updates::{ConfigFetch, DeferredMessage};
use crate::node::invariants::InvariantChecker;
use crate::node::ownership::OwnedServers;
use crate::placement::PlacementState;
use crate::request::{Flow, PlainCaller, PlainFlow, RetryBudget};
use crate::route::ServerHealth;
use crate::units::Millis;

/// Time without an event, ticks included, after which the process counts as having been paused.
const MAX_EVENT_GAP_MS: Millis = Millis(1_500);

/// Identity and key of a node, fixed for its run.
#[expect(missing_docs, reason = "the names say it")]
#[derive(Clone)]
pub struct NodeSettings {
    pub instance: InstanceId,
    /// Number of this run of the instance.
    pub incarnation: Incarnation,
    pub data_centre: DataCentreId,
    /// Address of the peer edge, as other instances reach it.
    pub peer_address: SocketAddr,
    /// The deployment's key for tickets and cursors.
    pub seal_key: SealKey,
}

/// What callers of a plain call get, as recorded with its ticket.
type FinalAnswer = Result<PlainAnswer, ErrorKind>;

/// State of the coordinator of one instance.
pub struct Node {
    seal_key: SealKey,
    now: Now,
    members: MemberView,
    config: ConfigHistory,
    lease_tables: BTreeMap<ServerId, LeaseTable>,
    server_loads: BTreeMap<ServerId, KnownLoad>,
    leaving_records: LeavingServers,
    /// Ids of the servers in `leaving_records`, for quick look-up.
    leaving_servers: BTreeSet<ServerId>,
    placement: PlacementState,
    owned_servers: OwnedServers,
    catch_up: CatchUp,
    config_fetch: ConfigFetch,
    deferred_messages: Vec<DeferredMessage>,
    /// When the record of each missing member was last requested from a peer.
    requested_keys: BTreeMap<MemberKey, Millis>,
    /// Since when the configuration service has not answered.
    config_service_lost_ms: Option<Millis>,
    admission: AdmissionState,
    flows: BTreeMap<RequestId, Flow>,
    plain_callers: BTreeMap<RequestId, PlainCaller>,
    plain_flows: BTreeMap<RequestId, PlainFlow>,
    plain_server_health: BTreeMap<ServerId, ServerHealth>,
    /// Version in force when `plain_server_health` was last pruned.
    plain_health_pruned_version: ConfigVersion,
    plain_retry_budget: RetryBudget,
    tickets: TicketTable<FinalAnswer>,
    is_leaving: bool,
    next_heartbeat_ms: Millis,
    /// Earliest time of a heartbeat that is sent early because members changed.
    earliest_heartbeat_ms: Millis,
    /// When the owned engines are next asked for reports.
    next_poll_ms: Millis,
    /// When the streams that were taken over are next claimed.
    next_claim_ms: Millis,
    next_keepalive_ms: Millis,
    invariants: InvariantChecker,
    actions: Vec<Action>,
}

/// Load of a server, and when its owner computed it from a report.
#[derive(Clone, Copy, Debug)]
struct KnownLoad {
    load: ServerLoad,
    computed_ms: Millis,
}

impl Node {
    /// Creates a node that knows no other instance and no configuration.
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
            seal_key: settings.seal_key,
            now: Now::default(),
            members: MemberView::new(own),
            config: ConfigHistory::default(),
            lease_tables: BTreeMap::new(),
            server_loads: BTreeMap::new(),
            leaving_records: LeavingServers::default(),
            leaving_servers: BTreeSet::new(),
            placement: PlacementState::default(),
            owned_servers: OwnedServers::default(),
            catch_up: CatchUp::default(),
            config_fetch: ConfigFetch::default(),
            deferred_messages: Vec::new(),
            requested_keys: BTreeMap::new(),
            config_service_lost_ms: None,
            admission: AdmissionState::default(),
            flows: BTreeMap::new(),
            plain_callers: BTreeMap::new(),
            plain_flows: BTreeMap::new(),
            plain_server_health: BTreeMap::new(),
            plain_health_pruned_version: ConfigVersion(0),
            plain_retry_budget: RetryBudget::default(),
            tickets: TicketTable::default(),
            is_leaving: false,
            next_heartbeat_ms: Millis::ZERO,
            earliest_heartbeat_ms: Millis::ZERO,
            next_poll_ms: Millis::ZERO,
            next_claim_ms: Millis::ZERO,
            next_keepalive_ms: Millis::ZERO,
            invariants: InvariantChecker::default(),
            actions: Vec::new(),
        }
    }

    /// Creates a node with some of its mechanisms switched off, to measure what each contributes.
    pub fn with_mechanisms(settings: NodeSettings, mechanisms: Mechanisms) -> Self {
        let mut node = Self::new(settings);
        node.admission.mechanisms = mechanisms;
        node
    }

    /// Handles one event and returns the actions to perform.
    ///
    /// Panics if monotonic time goes back or an invariant is broken.
    pub fn handle(&mut self, now: Now, event: Event) -> Vec<Action> {
        assert!(now.monotonic_ms >= self.now.monotonic_ms, "monotonic time went back");
        let last_event_ms = std::mem::replace(&mut self.now, now).monotonic_ms;
        if last_event_ms > Millis::ZERO && now.monotonic_ms - last_event_ms > MAX_EVENT_GAP_MS {
            self.recover_from_pause(last_event_ms);
        }
        self.members.refresh_if_stale(now.monotonic_ms);
        self.refresh_owned_servers();
        self.invariants.record_event(&event);
        self.dispatch_event(event);
        self.members.refresh_if_stale(now.monotonic_ms);
        self.refresh_owned_servers();
        self.catch_up.update(
            now.monotonic_ms,
            self.members.has_peers(),
            self.config.known_version(),
        );
        self.invariants.record_leaving(now.monotonic_ms, &self.leaving_servers);
        self.invariants.assert_all(now.monotonic_ms, &self.actions, self.config.version());
        std::mem::take(&mut self.actions)
    }

    /// Whether new work is accepted: a configuration is in force, the instance has caught up with
    /// its peers since its start or last pause, and it is not shutting down.
    pub fn is_ready(&self) -> bool {
        self.config.in_force().is_some() && self.catch_up.is_complete() && !self.is_leaving
    }

    fn dispatch_event(&mut self, event: Event) {
        match event {
            Event::Tick => self.handle_tick(),
            Event::ModelRequest(model_request) => self.handle_model_request(model_request),
            Event::ResumeRequest { request, cursor, model_request } => {
                self.handle_resume_request(request, &cursor, model_request)
            }
            Event::TicketRequest { request, count } => self.handle_ticket_request(request, count),
            Event::PlainRequest(plain_request) => self.handle_plain_request(plain_request),
            Event::PlainResult(request, server, result) => {
                self.handle_plain_result(request, server, result)
            }
            Event::ForwardResult(request, result) => self.handle_forward_result(request, result),
            Event::CallerGone(request) => {
                self.handle_plain_caller_gone(request);
                self.handle_model_caller_gone(request);
            }
            Event::PrefillDone { request, stream, cached_tokens } => {
                self.handle_prefill_done(request, &stream, cached_tokens)
            }
            Event::PrefillFailed(request, stream) => self.handle_prefill_failed(request, &stream),
            Event::TransferDone(request, stream) => self.handle_transfer_done(request, &stream),
            Event::TransferFailed(request, stream) => self.handle_transfer_failed(request, &stream),
            Event::FirstToken(request, stream) => self.handle_first_token(request, &stream),
            Event::StreamEnded(request, stream) => self.handle_stream_ended(request, &stream),
            Event::StreamBroken { request, stream, next_index, is_held } => {
                self.handle_stream_broken(request, &stream, next_index, is_held)
            }
            Event::Report(server, report) => self.handle_report(&server, &report),
            Event::ReportFailed(server) => self.handle_report_failed(&server),
            Event::Peer(envelope) => self.handle_peer_message(envelope),
            Event::ConfigDocument(version, document) => {
                self.handle_config_document(version, document)
            }
            Event::ConfigChanges(changes) => self.handle_config_changes(changes, None),
            Event::ConfigService { is_answered } => self.handle_config_service_result(is_answered),
            Event::InstanceList(instances) => self.handle_instance_list(instances),
            Event::LeavingServers(servers) => {
                self.leaving_records.record_platform_list(self.now.monotonic_ms, servers);
                self.leaving_servers = self.leaving_records.servers();
            }
            Event::WeightRate(rate) => self.handle_weight_rate(rate),
            Event::Shutdown => self.shut_down(),
        }
    }

    fn handle_tick(&mut self) {
        self.send_due_heartbeats();
        self.deliver_deferred_messages();
        self.poll_owned_engines();
        if self.catch_up.is_complete() {
            self.expire_leases();
        }
        self.send_lease_checks();
        self.give_due_orders();
        self.repeat_claims();
        self.start_due_reads();
        self.advance_slot_queues();
        self.advance_waiting_requests();
        self.advance_plain_calls();
        if self.is_leaving && self.flows.is_empty() && self.has_no_plain_work() {
            self.actions.push(Action::Exit);
        }
    }

    fn shut_down(&mut self) {
        self.is_leaving = true;
        self.members.mark_leaving();
        self.send_heartbeats_to_all();
        self.log("shutdown", None, vec![("flows", self.flows.len().to_string())]);
    }

    fn handle_peer_message(&mut self, envelope: Envelope) {
        let from = envelope.from.clone();
        self.members.record_direct_message(self.now.monotonic_ms, &from);
        self.catch_up.record_peer_version(envelope.config_version);
        if envelope.config_version > self.config.known_version() {
            self.fetch_config_from_peer(&from.instance, envelope.config_version);
            if matches!(envelope.message, PeerMessage::SeatRequest(_)) {
                self.defer_message(envelope);
                return;
            }
        }
        match envelope.message {
            PeerMessage::Heartbeat(heartbeat) => self.handle_heartbeat(&from, *heartbeat),
            PeerMessage::Keepalive => {}
            PeerMessage::MembersRequest(members_request) => {
                self.handle_members_request(&from, &members_request)
            }
            PeerMessage::Members(members) => self.handle_members(&from, members),
            PeerMessage::SeatRequest(seat_request) => self.handle_seat_request(&from, seat_request),
            PeerMessage::SeatReply(reply) => self.handle_seat_reply(reply),
            PeerMessage::Release(seat) => self.handle_release(&from, &seat),
            PeerMessage::Claim(seat) => self.handle_claim(&from, &seat),
            PeerMessage::LeaseCheck(seats) => self.handle_lease_check(&from, seats),
            PeerMessage::ChangesRequest(after) => {
                self.handle_changes_request(&from.instance, after)
            }
            PeerMessage::Changes(changes) => {
                self.handle_config_changes(changes, Some(&from.instance))
            }
            PeerMessage::Document(version, document) => {
                self.handle_config_document(version, document)
            }
        }
    }

    fn send_to_peer(&mut self, to: &InstanceId, message: PeerMessage) {
        let Some(address) = self.members.address_of(to) else {
            return;
        };
        let from = self.members.own_holder();
        let envelope = Envelope { from, config_version: self.config.known_version(), message };
        self.actions.push(Action::Send { to: to.clone(), address, envelope });
    }

    fn server_endpoint(&self, server: &ServerId) -> Option<ServerEndpoint> {
        let server_config = self.config.in_force()?.servers.get(server)?;
        Some(ServerEndpoint { server: server.clone(), address: server_config.address })
    }

    fn answer_with_error(
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
