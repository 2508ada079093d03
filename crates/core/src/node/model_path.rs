//! The way of a model request: seat, prefill, transfer, decode.

use std::collections::BTreeSet;

use crate::action::{Action, PrefillCall, ReadCall, TransferCall};
use crate::config::document::ServerRole;
use crate::config::window::Targets;
use crate::error_kind::ErrorKind;
use crate::event::ModelRequest;
use crate::ids::{RequestId, ServerId, StreamId};
use crate::message::{PeerMessage, SeatReply, SeatRequest, StreamOnServer};
use crate::node::Node;
use crate::request::{Cursor, Flow, Stage};
use crate::route::{Candidate, best_decode, best_prefill};
use crate::units::{KvPieces, Millis, Tokens};

/// Longest wait for an owner's answer.
const SEAT_TIMEOUT_MS: Millis = Millis(300);
/// Age at which a known load no longer counts.
const LOAD_LIFE_MS: Millis = Millis(3_000);
/// Longest wait for a prefill.
const PREFILL_TIMEOUT_MS: Millis = Millis(30_000);
/// Longest wait for a KV transfer.
const TRANSFER_TIMEOUT_MS: Millis = Millis(5_000);
/// Longest silence of a token stream.
const TOKEN_SILENCE_MS: Millis = Millis(3_000);
/// Most tries of one request.
const MAX_ATTEMPTS: u64 = 3;
/// Most broken readings of one stream that its engine still holds.
const MAX_BROKEN_READS: u64 = 3;
/// Wait told to callers that are turned away.
const RETRY_AFTER_MS: Millis = Millis(2_000);

impl Node {
    pub(super) fn take_model_request(&mut self, asked: ModelRequest) {
        let request = asked.request;
        match self.start_flow(asked) {
            Ok(flow) => {
                self.flows.insert(request, flow);
                self.ask_seat(request);
            }
            Err(kind) => {
                let retry_after_ms = kind.answer().has_retry_after.then_some(RETRY_AFTER_MS);
                self.answer_error(request, kind, retry_after_ms);
            }
        }
    }

    pub(super) fn take_resume_request(&mut self, request: RequestId, cursor: &str) {
        let Some(cursor) = Cursor::unseal(cursor, &self.seal) else {
            self.answer_error(request, ErrorKind::BadCursor, None);
            return;
        };
        let Some(configuration) = self.config.in_force() else {
            self.answer_error(request, ErrorKind::NotReady, Some(RETRY_AFTER_MS));
            return;
        };
        if !configuration.servers.contains_key(&cursor.server) {
            self.answer_error(request, ErrorKind::CursorExpired, None);
            return;
        }
        let zero = Millis::ZERO;
        let flow = Flow {
            asked: None,
            version: None,
            targets: Targets { first_token_ms: zero, per_token_ms: zero },
            arrived_ms: self.now.mono_ms,
            stage: Stage::Decoding,
            stream: cursor.stream.clone(),
            attempt: 1,
            decode: Some(cursor.server.clone()),
            prefill: None,
            kv_pieces: KvPieces::ZERO,
            next_index: cursor.next_index,
            excluded: BTreeSet::new(),
            first_token_ms: None,
            broken_reads: 0,
            is_taken_over: true,
        };
        self.flows.insert(request, flow);
        let seat = StreamOnServer { server: cursor.server, stream: cursor.stream };
        self.tell_owner(&seat.server.clone(), PeerMessage::Claim(seat));
        self.read_tokens(request);
    }

    pub(super) fn take_seat_reply(&mut self, reply: SeatReply) {
        let is_awaited = self.flows.get(&reply.request).is_some_and(|flow| {
            matches!(flow.stage, Stage::Asking { .. }) && flow.stream == reply.seat.stream
        });
        if !is_awaited {
            if reply.is_granted && !self.holds(reply.request, &reply.seat.stream) {
                self.release(reply.seat);
            }
            return;
        }
        if reply.is_granted {
            self.start_prefill(reply.request);
            return;
        }
        if let Some(known) = self.loads.get_mut(&reply.seat.server) {
            known.load.free_streams = crate::units::Streams::ZERO;
        }
        self.set_stage(reply.request, Stage::Waiting);
        self.ask_seat(reply.request);
    }

    pub(super) fn take_prefill_done(
        &mut self,
        request: RequestId,
        stream: &StreamId,
        cached_tokens: Tokens,
    ) {
        if !self.is_current(request, stream) {
            return;
        }
        self.log(
            "prefill_done",
            Some(request),
            vec![("cached_tokens", cached_tokens.0.to_string())],
        );
        let Some(call) = self.transfer_call(request) else {
            self.retry(request, "server_removed");
            return;
        };
        self.set_stage(request, Stage::Transferring);
        self.actions.push(Action::Transfer(call));
    }

    pub(super) fn take_prefill_failed(&mut self, request: RequestId, stream: &StreamId) {
        if self.is_current(request, stream) {
            self.exclude(request, |flow| flow.prefill.clone());
            self.retry(request, "prefill_failed");
        }
    }

    pub(super) fn take_transfer_done(&mut self, request: RequestId, stream: &StreamId) {
        if self.is_current(request, stream) {
            self.set_stage(request, Stage::Decoding);
            self.read_tokens(request);
        }
    }

    pub(super) fn take_transfer_failed(&mut self, request: RequestId, stream: &StreamId) {
        if self.is_current(request, stream) {
            self.exclude(request, |flow| flow.decode.clone());
            self.retry(request, "transfer_failed");
        }
    }

    pub(super) fn take_first_token(&mut self, request: RequestId, stream: &StreamId) {
        let now_ms = self.now.mono_ms;
        let Some(flow) = self.flows.get_mut(&request).filter(|flow| flow.stream == *stream) else {
            return;
        };
        flow.first_token_ms.get_or_insert(now_ms);
        let waited_ms = now_ms - flow.arrived_ms;
        self.log("first_token", Some(request), vec![("first_token_ms", waited_ms.0.to_string())]);
    }

    pub(super) fn take_stream_ended(&mut self, request: RequestId, stream: &StreamId) {
        if !self.is_current(request, stream) {
            return;
        }
        let Some(flow) = self.flows.remove(&request) else {
            return;
        };
        let total_ms = self.now.mono_ms - flow.arrived_ms;
        self.log("completed", Some(request), vec![("total_ms", total_ms.0.to_string())]);
        if let Some(server) = flow.decode {
            self.release(StreamOnServer { server, stream: flow.stream });
        }
    }

    pub(super) fn take_stream_broken(
        &mut self,
        request: RequestId,
        stream: &StreamId,
        next_index: u64,
        is_held: bool,
    ) {
        if !self.is_current(request, stream) {
            return;
        }
        let Some(flow) = self.flows.get_mut(&request) else {
            return;
        };
        assert!(next_index >= flow.next_index, "token indices went back");
        flow.next_index = next_index;
        flow.broken_reads += 1;
        let can_read_again = is_held && flow.broken_reads <= MAX_BROKEN_READS;
        if can_read_again {
            self.read_tokens(request);
            return;
        }
        if flow.asked.is_none() {
            self.finish_with_error(request, ErrorKind::CursorExpired);
            return;
        }
        self.exclude(request, |flow| flow.decode.clone());
        self.retry(request, "stream_broken");
    }

    pub(super) fn take_caller_gone(&mut self, request: RequestId) {
        let Some(flow) = self.flows.get(&request) else {
            return;
        };
        let stage = format!("{:?}", flow.stage);
        self.log("caller_gone", Some(request), vec![("stage", stage)]);
        self.free_engines(request);
        self.flows.remove(&request);
    }

    /// Asks again for requests that wait and gives up those whose target is out of reach.
    pub(super) fn advance_waiting(&mut self) {
        let now_ms = self.now.mono_ms;
        let requests: Vec<_> = self.flows.keys().copied().collect();
        for request in requests {
            let Some(flow) = self.flows.get(&request) else {
                continue;
            };
            let is_late =
                flow.asked.is_some() && flow.first_token_ms.is_none() && now_ms > flow.due_ms();
            match flow.stage {
                Stage::Waiting if is_late => {
                    self.finish_with_error(request, ErrorKind::DeadlineUnreachable);
                }
                Stage::Waiting => self.ask_seat(request),
                Stage::Asking { since_ms } if now_ms - since_ms > SEAT_TIMEOUT_MS => {
                    self.retry(request, "owner_silent");
                }
                _ => {}
            }
        }
    }

    fn start_flow(&mut self, asked: ModelRequest) -> Result<Flow, ErrorKind> {
        if self.is_leaving {
            return Err(ErrorKind::ShuttingDown);
        }
        let configuration = self.config.in_force().ok_or(ErrorKind::NotReady)?;
        if self.flows.len() as u64 >= configuration.limits.queue_limit_requests {
            return Err(ErrorKind::Overloaded);
        }
        let kind = configuration.caller_kinds.get(&asked.caller_kind);
        let kind = kind.ok_or(ErrorKind::UnknownCallerKind)?;
        let targets = kind.at(self.now.wall_ms).ok_or(ErrorKind::NotReady)?;
        let served = configuration.served_version(&asked.model, asked.version.as_ref());
        let (version, _) = served.ok_or(ErrorKind::UnknownModel)?;
        let kv_pieces = configuration.pieces_for(asked.prompt_tokens.0 + asked.max_tokens.0);
        Ok(Flow {
            stream: self.stream_id(asked.request, 1),
            asked: Some(asked),
            version: Some(version),
            targets,
            arrived_ms: self.now.mono_ms,
            stage: Stage::Waiting,
            attempt: 1,
            decode: None,
            prefill: None,
            kv_pieces,
            next_index: 0,
            excluded: BTreeSet::new(),
            first_token_ms: None,
            broken_reads: 0,
            is_taken_over: false,
        })
    }

    fn ask_seat(&mut self, request: RequestId) {
        let Some(flow) = self.flows.get(&request) else {
            return;
        };
        let kv_pieces = flow.kv_pieces;
        let candidates = self.candidates(flow, ServerRole::Decode);
        let Some(chosen) = best_decode(&candidates, kv_pieces) else {
            return;
        };
        let server = chosen.server.clone();
        let fields = vec![
            ("server", server.to_string()),
            ("free_streams", chosen.load.free_streams.0.to_string()),
            ("candidates", candidates.len().to_string()),
            ("config_version", self.config.version().to_string()),
            ("reason", "most_free_seats".to_owned()),
        ];
        self.log("choose_decode", Some(request), fields);
        let since_ms = self.now.mono_ms;
        let Some(flow) = self.flows.get_mut(&request) else {
            return;
        };
        flow.decode = Some(server.clone());
        flow.stage = Stage::Asking { since_ms };
        let seat = StreamOnServer { server: server.clone(), stream: flow.stream.clone() };
        let asked = SeatRequest { request, seat, kv_pieces };
        self.tell_owner(&server, PeerMessage::SeatRequest(asked));
    }

    fn start_prefill(&mut self, request: RequestId) {
        let Some(flow) = self.flows.get(&request) else {
            return;
        };
        let candidates = self.candidates(flow, ServerRole::Prefill);
        let Some(chosen) = best_prefill(&candidates) else {
            self.retry(request, "no_prefill_engine");
            return;
        };
        let server = chosen.server.clone();
        let fields = vec![
            ("server", server.to_string()),
            ("queued_tokens", chosen.load.queued_tokens.0.to_string()),
            ("config_version", self.config.version().to_string()),
            ("reason", "shortest_queue".to_owned()),
        ];
        self.log("choose_prefill", Some(request), fields);
        if let Some(flow) = self.flows.get_mut(&request) {
            flow.prefill = Some(server);
            flow.stage = Stage::Prefilling;
        }
        match self.prefill_call(request) {
            Some(call) => self.actions.push(Action::Prefill(call)),
            None => self.retry(request, "server_removed"),
        }
    }

    fn prefill_call(&self, request: RequestId) -> Option<PrefillCall> {
        let flow = self.flows.get(&request)?;
        let target = self.target(flow.prefill.as_ref()?)?;
        Some(PrefillCall {
            request,
            stream: flow.stream.clone(),
            target,
            model: flow.asked.as_ref()?.model.clone(),
            version: flow.version.clone()?,
            holder: self.members.own_holder(),
            priority: flow.due_ms().saturating_sub(self.now.mono_ms).0,
            timeout_ms: PREFILL_TIMEOUT_MS,
        })
    }

    fn transfer_call(&self, request: RequestId) -> Option<TransferCall> {
        let flow = self.flows.get(&request)?;
        if !self.invariants.takes_work(self.now.mono_ms, flow.decode.as_ref()?) {
            return None;
        }
        Some(TransferCall {
            request,
            stream: flow.stream.clone(),
            target: self.target(flow.decode.as_ref()?)?,
            source: self.target(flow.prefill.as_ref()?)?,
            holder: self.members.own_holder(),
            kv_pieces: flow.kv_pieces,
            max_tokens: flow.asked.as_ref()?.max_tokens,
            timeout_ms: TRANSFER_TIMEOUT_MS,
        })
    }

    fn read_tokens(&mut self, request: RequestId) {
        let holder = self.members.own_holder();
        let Some(flow) = self.flows.get(&request) else {
            return;
        };
        let target = flow.decode.as_ref().and_then(|server| self.target(server));
        let Some(target) = target else {
            self.finish_with_error(request, ErrorKind::StreamBroken);
            return;
        };
        let call = ReadCall {
            request,
            stream: flow.stream.clone(),
            target,
            holder,
            takes_over: flow.is_taken_over && flow.broken_reads == 0,
            from_index: flow.next_index,
            silence_ms: TOKEN_SILENCE_MS,
        };
        self.actions.push(Action::Read(call));
    }

    /// Frees what the present try holds and starts the next one, or gives up.
    fn retry(&mut self, request: RequestId, reason: &'static str) {
        self.free_engines(request);
        let Some(flow) = self.flows.get(&request) else {
            return;
        };
        let attempt = flow.attempt + 1;
        let fields = vec![("reason", reason.to_owned()), ("attempt", attempt.to_string())];
        self.log("retry", Some(request), fields);
        if attempt > MAX_ATTEMPTS {
            self.finish_with_error(request, ErrorKind::StreamBroken);
            return;
        }
        let stream = self.stream_id(request, attempt);
        if let Some(flow) = self.flows.get_mut(&request) {
            flow.attempt = attempt;
            flow.stream = stream;
            flow.decode = None;
            flow.prefill = None;
            flow.is_taken_over = false;
            flow.broken_reads = 0;
            flow.stage = Stage::Waiting;
        }
        self.ask_seat(request);
    }

    fn finish_with_error(&mut self, request: RequestId, kind: ErrorKind) {
        self.free_engines(request);
        self.flows.remove(&request);
        let retry_after_ms = kind.answer().has_retry_after.then_some(RETRY_AFTER_MS);
        self.answer_error(request, kind, retry_after_ms);
    }

    fn free_engines(&mut self, request: RequestId) {
        let Some(flow) = self.flows.get(&request) else {
            return;
        };
        let stream = flow.stream.clone();
        let (prefill, decode) = (flow.prefill.clone(), flow.decode.clone());
        let is_at_prefill = matches!(flow.stage, Stage::Prefilling | Stage::Transferring);
        let is_at_decode = matches!(flow.stage, Stage::Transferring | Stage::Decoding);
        let prefill = prefill.filter(|_| is_at_prefill);
        let engines = prefill.into_iter().chain(decode.clone().filter(|_| is_at_decode));
        for server in engines {
            let target = self.target(&server);
            let (stream, holder) = (stream.clone(), self.members.own_holder());
            self.actions.extend(target.map(|target| Action::Cancel { target, stream, holder }));
        }
        if let Some(server) = decode {
            self.release(StreamOnServer { server, stream });
        }
    }

    fn release(&mut self, seat: StreamOnServer) {
        self.tell_owner(&seat.server.clone(), PeerMessage::Release(seat));
    }

    /// Passes a message to the owner of a server, which may be this node.
    pub(super) fn tell_owner(&mut self, server: &ServerId, message: PeerMessage) {
        let Some(owner) = self.owner_of(server) else {
            return;
        };
        let own = self.members.own_holder();
        if owner != own.instance {
            self.send(&owner, message);
            return;
        }
        match message {
            PeerMessage::SeatRequest(asked) => self.take_seat_request(&own, asked),
            PeerMessage::Release(seat) => self.take_release(&own, &seat),
            PeerMessage::Claim(seat) => self.take_claim(&own, &seat),
            _ => {}
        }
    }

    fn candidates(&self, flow: &Flow, role: ServerRole) -> Vec<Candidate> {
        let (Some(configuration), Some(asked)) = (self.config.in_force(), &flow.asked) else {
            return Vec::new();
        };
        let Some((_, served)) = configuration.served_version(&asked.model, flow.version.as_ref())
        else {
            return Vec::new();
        };
        let mut candidates = Vec::new();
        for server in &served.servers {
            let Some(known) = configuration.servers.get(server) else {
                continue;
            };
            let is_usable = known.role == role && !self.leaving_servers.contains(server);
            if !is_usable || flow.excluded.contains(server) {
                continue;
            }
            let Some(learned) = self.loads.get(server) else {
                continue;
            };
            if self.now.mono_ms - learned.learned_ms > LOAD_LIFE_MS {
                continue;
            }
            let is_near = known.data_centre == *self.members.own_data_centre();
            candidates.push(Candidate { server: server.clone(), load: learned.load, is_near });
        }
        candidates
    }

    fn stream_id(&self, request: RequestId, attempt: u64) -> StreamId {
        let own = self.members.own_holder();
        let text = format!("{}_{}_{request}_{attempt}", own.instance, own.incarnation);
        text.parse().expect("an instance id leaves room for the numbers of a stream id")
    }

    fn is_current(&self, request: RequestId, stream: &StreamId) -> bool {
        self.flows.get(&request).is_some_and(|flow| flow.stream == *stream)
    }

    fn holds(&self, request: RequestId, stream: &StreamId) -> bool {
        let is_past_asking =
            |flow: &Flow| !matches!(flow.stage, Stage::Waiting | Stage::Asking { .. });
        self.is_current(request, stream) && self.flows.get(&request).is_some_and(is_past_asking)
    }

    fn set_stage(&mut self, request: RequestId, stage: Stage) {
        if let Some(flow) = self.flows.get_mut(&request) {
            flow.stage = stage;
        }
    }

    fn exclude(&mut self, request: RequestId, server: impl Fn(&Flow) -> Option<ServerId>) {
        if let Some(flow) = self.flows.get_mut(&request) {
            let server = server(flow);
            flow.excluded.extend(server);
        }
    }
}
