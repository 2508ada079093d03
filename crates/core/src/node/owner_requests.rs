//! Requests to the owners of engines, made on behalf of a model request: first for a slot in the
//! queue of a prefill engine, then for a seat at a decode engine. Both are granted before the
//! prefill starts.

use crate::config::document::ServerRole;
use crate::ids::{RequestId, ServerId, StreamId};
use crate::message::{COST_UNITS_PER_MS, PeerMessage, SeatReply, SeatRequest, StreamOnServer};
use crate::node::Node;
use crate::request::{Flow, Stage};
use crate::units::{KvPieces, Millis, Streams};

/// Time without a reply after which a request stops waiting for the owner of an engine.
const OWNER_REPLY_TIMEOUT_MS: Millis = Millis(300);
/// Interval at which a queued slot request is repeated.
const SLOT_REQUEST_INTERVAL_MS: Millis = Millis(500);
/// Backlog assumed for an engine whose owner does not reply.
const SILENT_OWNER_BACKLOG_MS: Millis = Millis(1_000);

impl Node {
    /// Asks for a slot for a waiting request if a prefill engine is available and a decode engine
    /// has capacity.
    pub(super) fn start_if_possible(&mut self, request: RequestId) {
        let is_waiting = |flow: &&Flow| flow.stage == Stage::Waiting;
        let Some(flow) = self.flows.get(&request).filter(is_waiting) else {
            return;
        };
        if !self.admission.mechanisms.has_slots {
            self.request_seat(request);
            return;
        }
        let Some(chosen) = self.choose_prefill(flow) else {
            return;
        };
        if !self.has_decode_capacity(flow, &chosen.server) {
            return;
        }
        let fields = vec![
            ("server", chosen.server.to_string()),
            ("predicted_ms", format!("{:.0}", chosen.cost)),
            ("looked_at", chosen.candidate_count.to_string()),
            ("config_version", self.config.version().to_string()),
            ("reason", "earliest_predicted_end".to_owned()),
        ];
        self.log("choose_prefill", Some(request), fields);
        self.request_slot(request, chosen.server);
    }

    /// Asks the owner of a prefill engine for a slot.
    fn request_slot(&mut self, request: RequestId, server: ServerId) {
        let Some(flow) = self.flows.get(&request) else {
            return;
        };
        let work_tokens = self.uncached_prompt_tokens(flow, &server);
        let work_ms = self.admission.estimates.prefill_ms(&server, work_tokens);
        let backlog_ms = self.prefill_backlog_ms(&server) + work_ms;
        self.record_prefill_backlog(&server, backlog_ms);
        let now_ms = self.now.monotonic_ms;
        self.set_stage(request, Stage::AskingSlot { since_ms: now_ms, is_queued: false });
        if let Some(flow) = self.flows.get_mut(&request) {
            flow.prefill_server = Some(server);
            flow.work_tokens = work_tokens;
        }
        self.send_slot_request(request);
    }

    fn send_slot_request(&mut self, request: RequestId) {
        let (Some(flow), Some(configuration)) = (self.flows.get(&request), self.config.in_force())
        else {
            return;
        };
        let Some(server) = flow.prefill_server.clone() else {
            return;
        };
        let seat_request = SeatRequest {
            request,
            seat: StreamOnServer { server: server.clone(), stream: flow.stream.clone() },
            kv_pieces: configuration.pieces_for(flow.work_tokens.0),
            latest_in_ms: (self.latest_prefill_end_ms(flow) - self.now.monotonic_ms).max(Millis(1)),
            cost: (self.weighted_cost(flow) * COST_UNITS_PER_MS) as u64,
            weights: flow.weights.clone(),
        };
        self.send_to_owner(&server, PeerMessage::SeatRequest(seat_request));
    }

    pub(super) fn handle_seat_reply(&mut self, reply: SeatReply) {
        let SeatReply { request, seat, is_granted, is_queued, wait_ms, is_lacking } = reply;
        let flow = self.flows.get(&request).filter(|flow| flow.stream == seat.stream);
        if let Some(weights) = flow.and_then(|flow| flow.weights.as_ref()).filter(|_| is_lacking) {
            self.placement.lacking.record(self.now.monotonic_ms, &seat.server, weights);
        }
        let stage = flow.map(|flow| flow.stage);
        let is_prefill =
            flow.is_some_and(|flow| flow.prefill_server.as_ref() == Some(&seat.server));
        let is_decode = flow.is_some_and(|flow| flow.decode_server.as_ref() == Some(&seat.server));
        match stage {
            Some(Stage::AskingSlot { .. }) if is_prefill && is_granted => {
                self.handle_slot_granted(request, wait_ms);
            }
            Some(Stage::AskingSlot { .. }) if is_prefill && is_queued => {
                self.record_prefill_backlog(&seat.server, wait_ms);
                let since_ms = self.now.monotonic_ms;
                self.set_stage(request, Stage::AskingSlot { since_ms, is_queued: true });
            }
            Some(Stage::AskingSlot { .. }) if is_prefill => {
                self.handle_slot_refused(request, seat.server, wait_ms);
            }
            Some(Stage::Asking { .. }) if is_decode && is_granted => {
                self.count_granted_seat(request, &seat.server);
                self.book_transfer(request);
                self.start_prefill(request);
            }
            Some(Stage::Reseating { .. }) if is_decode && is_granted => {
                self.count_granted_seat(request, &seat.server);
                self.start_transfer(request);
            }
            Some(Stage::Asking { .. } | Stage::Reseating { .. }) if is_decode => {
                if is_lacking {
                    self.clear_decode_engine(request);
                } else {
                    self.mark_decode_engine_full(request, &seat.server);
                }
                self.request_seat(request);
            }
            _ if is_granted && !is_prefill && !is_decode => {
                self.send_to_owner(&seat.server.clone(), PeerMessage::Release(seat));
            }
            _ => {}
        }
    }

    fn handle_slot_granted(&mut self, request: RequestId, wait_ms: Millis) {
        let Some(flow) = self.flows.get_mut(&request) else {
            return;
        };
        flow.wait_ms = wait_ms;
        self.request_seat(request);
    }

    /// Tries the next best prefill engine. If every owner has refused, the request is rejected.
    fn handle_slot_refused(&mut self, request: RequestId, server: ServerId, backlog_ms: Millis) {
        self.record_prefill_backlog(&server, backlog_ms);
        if let Some(flow) = self.flows.get_mut(&request) {
            flow.refused_by.insert(server);
            flow.prefill_server = None;
        }
        self.set_stage(request, Stage::Waiting);
        self.start_if_possible(request);
        let Some(flow) = self.flows.get(&request) else {
            return;
        };
        let is_refused_by_all = self.choose_prefill(flow).is_none();
        if flow.stage == Stage::Waiting && is_refused_by_all {
            let least_backlog_ms = self.least_prefill_backlog_ms(flow);
            self.reject_request(
                request,
                if least_backlog_ms > Millis::ZERO { least_backlog_ms } else { backlog_ms },
            );
        }
    }

    /// Asks the owner of the best decode engine for a seat.
    pub(super) fn request_seat(&mut self, request: RequestId) {
        let Some(flow) = self.flows.get(&request) else {
            return;
        };
        let is_reseating = matches!(flow.stage, Stage::Reseating { .. });
        let Some(chosen) = self.choose_decode(flow, flow.prefill_server.as_ref()) else {
            if !is_reseating && flow.stage != Stage::Waiting {
                self.return_to_waiting(request);
            }
            return;
        };
        let server = chosen.server;
        let fields = vec![
            ("server", server.to_string()),
            ("predicted_ms", format!("{:.0}", chosen.cost)),
            ("batch", self.batch_streams(&server).0.to_string()),
            ("looked_at", chosen.candidate_count.to_string()),
            ("config_version", self.config.version().to_string()),
            (
                "reason",
                if is_reseating { "decode_lost" } else { "least_transfer_and_token_time" }
                    .to_owned(),
            ),
        ];
        self.log("choose_decode", Some(request), fields);
        let since_ms = self.now.monotonic_ms;
        let stage =
            if is_reseating { Stage::Reseating { since_ms } } else { Stage::Asking { since_ms } };
        self.set_stage(request, stage);
        let Some(flow) = self.flows.get_mut(&request) else {
            return;
        };
        flow.decode_server = Some(server.clone());
        let seat = StreamOnServer { server: server.clone(), stream: flow.stream.clone() };
        let seat_request = SeatRequest {
            request,
            seat,
            kv_pieces: flow.kv_pieces,
            latest_in_ms: Millis::ZERO,
            cost: 0,
            weights: flow.weights.clone(),
        };
        self.send_to_owner(&server, PeerMessage::SeatRequest(seat_request));
    }

    /// Subtracts a granted seat from the engine's free capacity until its owner's next report
    /// includes it.
    fn count_granted_seat(&mut self, request: RequestId, server: &ServerId) {
        let batch = self.batch_streams(server);
        let Some(flow) = self.flows.get_mut(&request) else {
            return;
        };
        flow.batch_streams = batch + Streams(1);
        if let Some(model_request) = &flow.model_request {
            self.admission
                .seat_grant_rate
                .record_grant(self.now.monotonic_ms, model_request.max_tokens);
        }
        let kv_pieces = flow.kv_pieces;
        if self.owns(server) {
            return;
        }
        if let Some(known_load) = self.server_loads.get_mut(server) {
            known_load.load.free_streams = known_load.load.free_streams - Streams(1);
            known_load.load.free_pieces = known_load.load.free_pieces - kv_pieces;
        }
    }

    fn clear_decode_engine(&mut self, request: RequestId) {
        if let Some(flow) = self.flows.get_mut(&request) {
            flow.decode_server = None;
        }
    }

    /// Treats a decode engine as too full for a request of this size until its owner reports again.
    fn mark_decode_engine_full(&mut self, request: RequestId, server: &ServerId) {
        let Some(flow) = self.flows.get_mut(&request) else {
            return;
        };
        flow.decode_server = None;
        if let Some(known_load) = self.server_loads.get_mut(server) {
            let too_few_pieces = flow.kv_pieces - KvPieces(1);
            known_load.load.free_pieces = known_load.load.free_pieces.min(too_few_pieces);
        }
    }

    /// Releases a seat and counts its capacity as free at once.
    pub(super) fn release_seat(&mut self, request: RequestId, server: ServerId, stream: StreamId) {
        let is_granted = self.flows.get(&request).is_none_or(|flow| {
            !matches!(flow.stage, Stage::Asking { .. } | Stage::Reseating { .. })
        });
        let kv_pieces = self.flows.get(&request).map_or(KvPieces::ZERO, |flow| flow.kv_pieces);
        let is_counted_here = is_granted && !self.owns(&server);
        if let Some(known_load) = self.server_loads.get_mut(&server).filter(|_| is_counted_here) {
            known_load.load.free_streams = known_load.load.free_streams + Streams(1);
            known_load.load.free_pieces = known_load.load.free_pieces + kv_pieces;
        }
        let seat = StreamOnServer { server, stream };
        self.send_to_owner(&seat.server.clone(), PeerMessage::Release(seat));
    }

    /// Releases the slot at the prefill engine, if there may be one.
    pub(super) fn release_slot(&mut self, request: RequestId) {
        let Some(flow) = self.flows.get(&request) else {
            return;
        };
        let has_slot = matches!(
            flow.stage,
            Stage::AskingSlot { .. } | Stage::Asking { .. } | Stage::Prefilling
        );
        let Some(server) = flow.prefill_server.clone().filter(|_| has_slot) else {
            return;
        };
        let seat = StreamOnServer { server, stream: flow.stream.clone() };
        self.send_to_owner(&seat.server.clone(), PeerMessage::Release(seat));
    }

    /// Puts a request back in stage [`Stage::Waiting`], without a slot or a seat.
    pub(super) fn return_to_waiting(&mut self, request: RequestId) {
        self.release_slot(request);
        if let Some(flow) = self.flows.get_mut(&request) {
            flow.prefill_server = None;
            flow.decode_server = None;
        }
        self.set_stage(request, Stage::Waiting);
    }

    /// Repeats queued slot requests, and stops waiting for owners that don't reply.
    pub(super) fn advance_owner_requests(&mut self) {
        let now_ms = self.now.monotonic_ms;
        let requests: Vec<_> = self.admission.waiting_requests.iter().copied().collect();
        for request in requests {
            let Some(flow) = self.flows.get(&request) else {
                continue;
            };
            let (Stage::AskingSlot { since_ms, .. }
            | Stage::Asking { since_ms }
            | Stage::Reseating { since_ms }) = flow.stage
            else {
                continue;
            };
            let is_reseating = matches!(flow.stage, Stage::Reseating { .. });
            if is_reseating && now_ms > flow.result_until_ms {
                self.retry_request(request, "result_expired");
                continue;
            }
            if is_reseating && flow.decode_server.is_none() {
                self.request_seat(request);
                continue;
            }
            // Only a queued request is repeated; any other one is answered at once.
            let is_queued = matches!(flow.stage, Stage::AskingSlot { is_queued: true, .. });
            let repeat_after_ms = if is_queued { SLOT_REQUEST_INTERVAL_MS } else { Millis::ZERO };
            let is_repeat_due =
                is_queued && now_ms - flow.stage_since_ms >= SLOT_REQUEST_INTERVAL_MS;
            if now_ms - since_ms > OWNER_REPLY_TIMEOUT_MS + repeat_after_ms {
                self.handle_silent_owner(request);
            } else if is_repeat_due {
                self.set_stage(request, Stage::AskingSlot { since_ms, is_queued });
                self.send_slot_request(request);
            }
        }
    }

    fn handle_silent_owner(&mut self, request: RequestId) {
        let Some(flow) = self.flows.get(&request) else {
            return;
        };
        let (stage, stream) = (flow.stage, flow.stream.clone());
        let (prefill, decode) = (flow.prefill_server.clone(), flow.decode_server.clone());
        self.log("owner_silent", Some(request), vec![("stage", format!("{stage:?}"))]);
        if let (Stage::AskingSlot { .. }, Some(server)) = (stage, prefill) {
            self.return_to_waiting(request);
            self.record_prefill_backlog(&server, SILENT_OWNER_BACKLOG_MS);
            return;
        }
        if let Some(server) = decode {
            self.mark_decode_engine_full(request, &server);
            let seat = StreamOnServer { server, stream };
            self.send_to_owner(&seat.server.clone(), PeerMessage::Release(seat));
        }
        self.request_seat(request);
    }

    /// Whether a usable engine of each role is known for a request.
    pub(super) fn has_usable_engines(&self, flow: &Flow) -> bool {
        [ServerRole::Prefill, ServerRole::Decode]
            .iter()
            .all(|role| !self.usable_engines(flow, *role).is_empty())
    }
}
