//! Execution of a model request from its prefill on: prefill, KV transfer, decode, and retries
//! after failures.

use crate::action::{Action, PrefillCall, TransferCall};
use crate::config::document::ServerRole;
use crate::error_kind::ErrorKind;
use crate::ids::{RequestId, ServerId, StreamId};
use crate::message::PeerMessage;
use crate::node::Node;
use crate::node::engine_selection::PREFILL_RESULT_LIFETIME_MS;
use crate::request::{Flow, Stage};
use crate::units::{Millis, Tokens};

/// Bounds of the time after which a prefill counts as failed.
const PREFILL_TIMEOUT_BOUNDS_MS: std::ops::RangeInclusive<u64> = 1_000..=30_000;
/// Bounds of the time after which a KV transfer counts as failed.
const TRANSFER_TIMEOUT_BOUNDS_MS: std::ops::RangeInclusive<u64> = 300..=5_000;
/// Ratio of the timeout of a prefill or transfer to its predicted duration.
const TIMEOUT_FACTOR: u64 = 4;
const MAX_REQUEST_ATTEMPTS: u64 = 3;

impl Node {
    /// Starts the prefill of a request that has its slot and its seat.
    pub(super) fn start_prefill(&mut self, request: RequestId) {
        if !self.admission.mechanisms.has_slots {
            self.assign_prefill_engine(request);
        }
        let Some(flow) = self.flows.get(&request) else {
            return;
        };
        let Some(server) = flow.prefill_server.clone() else {
            self.retry_request(request, "no_prefill_engine");
            return;
        };
        let workspace =
            flow.model_request.as_ref().map(|model_request| model_request.workspace.clone());
        let work_ms = self.admission.estimates.prefill_ms(&server, flow.work_tokens);
        if let Some(workspace) = workspace {
            self.admission.usage.record_work(self.now.monotonic_ms, &workspace, work_ms);
        }
        self.set_stage(request, Stage::Prefilling);
        match self.prefill_call(request, work_ms) {
            Some(call) => self.actions.push(Action::Prefill(call)),
            None => self.retry_request(request, "server_removed"),
        }
    }

    fn assign_prefill_engine(&mut self, request: RequestId) {
        let Some(chosen) = self.flows.get(&request).and_then(|flow| self.choose_prefill(flow))
        else {
            return;
        };
        let fields = vec![
            ("server", chosen.server.to_string()),
            ("config_version", self.config.version().to_string()),
            ("reason", "shortest_queue".to_owned()),
        ];
        self.log("choose_prefill", Some(request), fields);
        if let Some(flow) = self.flows.get_mut(&request) {
            flow.prefill_server = Some(chosen.server);
        }
    }

    pub(super) fn handle_prefill_done(
        &mut self,
        request: RequestId,
        stream: &StreamId,
        cached_tokens: Tokens,
    ) {
        if !self.is_in_stage(request, stream, Stage::Prefilling) {
            return;
        }
        let fields = vec![("cached_tokens", cached_tokens.0.to_string())];
        self.log("prefill_done", Some(request), fields);
        self.learn_from_prefill(request, cached_tokens);
        self.release_slot(request);
        let result_until_ms = self.now.monotonic_ms + PREFILL_RESULT_LIFETIME_MS;
        if let Some(flow) = self.flows.get_mut(&request) {
            flow.result_until_ms = result_until_ms;
        }
        self.start_transfer(request);
        self.advance_waiting_requests();
    }

    /// Starts the transfer to the decode engine that granted the seat.
    pub(super) fn start_transfer(&mut self, request: RequestId) {
        let Some(call) = self.transfer_call(request) else {
            self.retry_request(request, "server_removed");
            return;
        };
        self.set_stage(request, Stage::Transferring);
        self.book_transfer(request);
        if let Some(flow) = self.flows.get_mut(&request) {
            flow.transfer_until_ms = self.now.monotonic_ms + call.timeout_ms;
        }
        self.actions.push(Action::Transfer(call));
    }

    pub(super) fn handle_prefill_failed(&mut self, request: RequestId, stream: &StreamId) {
        if !self.is_in_stage(request, stream, Stage::Prefilling) {
            return;
        }
        let Some(flow) = self.flows.get(&request) else {
            return;
        };
        if let (Some(model_request), Some(server)) = (&flow.model_request, &flow.prefill_server) {
            self.admission.prefix_cache_index.remove(server, &model_request.prefix_hashes);
        }
        self.record_engine_failure(request, |flow| flow.prefill_server.clone());
        self.exclude_engine(request, |flow| flow.prefill_server.clone());
        self.retry_request(request, "prefill_failed");
    }

    pub(super) fn handle_transfer_done(&mut self, request: RequestId, stream: &StreamId) {
        if !self.is_in_stage(request, stream, Stage::Transferring) {
            return;
        }
        self.learn_from_transfer(request);
        self.admission.transfers.end(stream);
        self.set_stage(request, Stage::Decoding);
        self.start_token_read(request);
    }

    /// Asks for a seat at another decode engine as long as the prefill engine keeps the KV cache,
    /// and repeats the prefill only after that. A transfer that stalled may already have fetched
    /// the cache from the prefill engine: if the next transfer then fails at once, its decode
    /// engine is not excluded.
    pub(super) fn handle_transfer_failed(&mut self, request: RequestId, stream: &StreamId) {
        if !self.is_in_stage(request, stream, Stage::Transferring) {
            return;
        }
        self.learn_from_unfinished_transfer(request);
        self.admission.transfers.end(stream);
        let now_ms = self.now.monotonic_ms;
        let Some(flow) = self.flows.get_mut(&request) else {
            return;
        };
        let is_stalled = now_ms >= flow.transfer_until_ms;
        let is_result_taken = flow.has_stalled_transfer && !is_stalled;
        flow.has_stalled_transfer |= is_stalled;
        if is_stalled {
            self.record_engine_failure(request, |flow| flow.decode_server.clone());
        }
        if !is_result_taken {
            self.exclude_engine(request, |flow| flow.decode_server.clone());
            if self.exclude_faulty_source(request) {
                self.retry_request(request, "source_failed");
                return;
            }
        }
        let Some(flow) = self.flows.get(&request) else {
            return;
        };
        let is_result_usable = !is_result_taken
            && now_ms + self.prefill_to_first_token_ms(flow) < flow.result_until_ms;
        if !self.admission.mechanisms.has_reseat || !is_result_usable {
            self.retry_request(request, "transfer_failed");
            return;
        }
        if let Some(server) = flow.decode_server.clone() {
            let stream = flow.stream.clone();
            self.cancel_stream(&server, &stream);
            self.release_seat(request, server, stream);
        }
        self.set_stage(request, Stage::Reseating { since_ms: now_ms });
        if let Some(flow) = self.flows.get_mut(&request) {
            flow.decode_server = None;
        }
        self.request_seat(request);
    }

    /// Records that the result of a prefill could not be transferred. If two decode engines failed
    /// to fetch from the same prefill engine and there is another one, the prefill engine is
    /// excluded for this request instead of the decode engines. Returns whether that happened.
    fn exclude_faulty_source(&mut self, request: RequestId) -> bool {
        let Some(flow) = self.flows.get(&request) else {
            return false;
        };
        let source = flow.prefill_server.clone();
        let has_failed_before = source.is_some() && flow.failed_source == source;
        let has_alternative = self.usable_engines(flow, ServerRole::Prefill).len() > 1;
        let is_faulty = has_failed_before && has_alternative;
        let wall_ms = self.now.wall_ms;
        let servers = self.config.in_force().map(|configuration| &configuration.servers);
        let is_prefill = |server: &ServerId| {
            let server_config = servers.and_then(|servers| servers.get(server));
            server_config
                .is_some_and(|server_config| server_config.role_at(wall_ms) == ServerRole::Prefill)
        };
        if let Some(flow) = self.flows.get_mut(&request) {
            flow.failed_source = source;
            if is_faulty {
                flow.excluded.retain(is_prefill);
            }
        }
        if is_faulty {
            self.record_engine_failure(request, |flow| flow.prefill_server.clone());
            self.exclude_engine(request, |flow| flow.prefill_server.clone());
        }
        is_faulty
    }

    /// Releases what the current attempt holds and starts the next one, or ends the request.
    pub(super) fn retry_request(&mut self, request: RequestId, reason: &'static str) {
        self.release_engines(request);
        let Some(flow) = self.flows.get(&request) else {
            return;
        };
        let attempt = flow.attempt + 1;
        let is_unstarted_resume = flow.is_resumed() && !flow.has_sent_tokens_to_caller();
        let fields = vec![("reason", reason.to_owned()), ("attempt", attempt.to_string())];
        self.log("retry", Some(request), fields);
        if attempt > MAX_REQUEST_ATTEMPTS || !self.admission.retry_budget.try_spend() {
            let kind =
                if is_unstarted_resume { ErrorKind::Overloaded } else { ErrorKind::StreamBroken };
            self.finish_with_error(request, kind);
            return;
        }
        let stream = self.new_stream_id(request, attempt);
        let now_ms = self.now.monotonic_ms;
        self.set_stage(request, Stage::Waiting);
        if let Some(flow) = self.flows.get_mut(&request) {
            flow.attempt = attempt;
            flow.stream = stream;
            flow.decode_server = None;
            flow.prefill_server = None;
            flow.read_count = 0;
            flow.next_read_ms = None;
            flow.was_silent = false;
            flow.broken_reads = 0;
            flow.is_taken_over = false;
            flow.refused_by.clear();
            flow.has_stalled_transfer = false;
            if flow.has_sent_tokens_to_caller() || flow.is_resumed() {
                flow.due_from_ms = now_ms;
            }
        }
        self.advance_waiting_requests();
    }

    pub(super) fn handle_model_caller_gone(&mut self, request: RequestId) {
        let Some(flow) = self.flows.get(&request) else {
            return;
        };
        let stage = format!("{:?}", flow.stage);
        self.log("caller_gone", Some(request), vec![("stage", stage)]);
        self.release_engines(request);
        self.flows.remove(&request);
    }

    fn prefill_call(&self, request: RequestId, work_ms: Millis) -> Option<PrefillCall> {
        let flow = self.flows.get(&request)?;
        let remaining_ms = flow.first_token_due_ms() - self.now.monotonic_ms;
        let timeout_ms = if self.admission.mechanisms.has_slots {
            clamp_ms((flow.wait_ms + work_ms).0 * TIMEOUT_FACTOR, PREFILL_TIMEOUT_BOUNDS_MS)
        } else {
            Millis(*PREFILL_TIMEOUT_BOUNDS_MS.end())
        };
        let target = self.server_endpoint(flow.prefill_server.as_ref()?)?;
        Some(PrefillCall {
            request,
            stream: flow.stream.clone(),
            target,
            weights: flow.weights.clone()?,
            holder: self.members.own_holder(),
            priority: self.now.wall_ms.0 + remaining_ms.0,
            timeout_ms,
        })
    }

    fn transfer_call(&self, request: RequestId) -> Option<TransferCall> {
        let flow = self.flows.get(&request)?;
        if !self.invariants.may_get_work(self.now.monotonic_ms, flow.decode_server.as_ref()?) {
            return None;
        }
        let predicted_ms = self
            .predicted_transfer_ms(
                flow,
                flow.prefill_server.as_ref()?,
                flow.decode_server.as_ref()?,
            )
            .0;
        Some(TransferCall {
            request,
            stream: flow.stream.clone(),
            target: self.server_endpoint(flow.decode_server.as_ref()?)?,
            source: self.server_endpoint(flow.prefill_server.as_ref()?)?,
            holder: self.members.own_holder(),
            kv_pieces: flow.kv_pieces,
            max_tokens: flow.model_request.as_ref()?.max_tokens,
            timeout_ms: clamp_ms(predicted_ms * TIMEOUT_FACTOR, TRANSFER_TIMEOUT_BOUNDS_MS),
        })
    }

    /// Asks an engine to free all memory of a stream.
    pub(super) fn cancel_stream(&mut self, server: &ServerId, stream: &StreamId) {
        let (stream, holder) = (stream.clone(), self.members.own_holder());
        let target = self.server_endpoint(server);
        self.actions.extend(target.map(|target| Action::Cancel { target, stream, holder }));
    }

    /// Sends a message to the owner of a server, or handles it here if this instance is the owner.
    pub(super) fn send_to_owner(&mut self, server: &ServerId, message: PeerMessage) {
        let Some(owner) = self.owner_of(server) else {
            return;
        };
        let own = self.members.own_holder();
        if owner != own.instance {
            self.send_to_peer(&owner, message);
            return;
        }
        match message {
            PeerMessage::SeatRequest(seat_request) => self.handle_seat_request(&own, seat_request),
            PeerMessage::Release(seat) => self.handle_release(&own, &seat),
            PeerMessage::Claim(seat) => self.handle_claim(&own, &seat),
            _ => {}
        }
    }

    pub(super) fn new_stream_id(&self, request: RequestId, attempt: u64) -> StreamId {
        let own = self.members.own_holder();
        let text = format!("{}_{}_{request}_{attempt}", own.instance, own.incarnation);
        text.parse().expect("an instance id leaves room for the numbers of a stream id")
    }

    pub(super) fn is_current_stream(&self, request: RequestId, stream: &StreamId) -> bool {
        self.flows.get(&request).is_some_and(|flow| flow.stream == *stream)
    }

    fn is_in_stage(&self, request: RequestId, stream: &StreamId, stage: Stage) -> bool {
        let is_match = |flow: &Flow| flow.stream == *stream && flow.stage == stage;
        self.flows.get(&request).is_some_and(is_match)
    }

    pub(super) fn set_stage(&mut self, request: RequestId, stage: Stage) {
        let Some(flow) = self.flows.get_mut(&request) else {
            return;
        };
        flow.stage = stage;
        flow.stage_since_ms = self.now.monotonic_ms;
        let is_served = matches!(stage, Stage::Prefilling | Stage::Transferring | Stage::Decoding);
        if is_served {
            self.admission.waiting_requests.remove(&request);
        } else {
            self.admission.waiting_requests.insert(request);
        }
    }

    /// Counts a failure of a server towards its ejection.
    pub(super) fn record_engine_failure(
        &mut self,
        request: RequestId,
        server: impl Fn(&Flow) -> Option<ServerId>,
    ) {
        let Some(server) = self.flows.get(&request).and_then(server) else {
            return;
        };
        self.log("suspect", Some(request), vec![("server", server.to_string())]);
        self.admission.ejected_servers.record_failure(self.now.monotonic_ms, &server);
    }

    pub(super) fn exclude_engine(
        &mut self,
        request: RequestId,
        server: impl Fn(&Flow) -> Option<ServerId>,
    ) {
        if let Some(flow) = self.flows.get_mut(&request) {
            let server = server(flow);
            flow.excluded.extend(server);
        }
    }
}

fn clamp_ms(value_ms: u64, bounds: std::ops::RangeInclusive<u64>) -> Millis {
    Millis(value_ms.clamp(*bounds.start(), *bounds.end()))
}
