//! A request's turn: the slot at a prefill engine, then the seat at a decode engine, both lined up
//! before the prefill starts.

use crate::config::document::ServerRole;
use crate::ids::{RequestId, ServerId, StreamId};
use crate::message::{COST_UNITS_PER_MS, PeerMessage, SeatReply, SeatRequest, StreamOnServer};
use crate::node::Node;
use crate::request::{Flow, Stage};
use crate::units::{KvPieces, Millis, Streams};

/// Longest wait for an owner's answer.
const SEAT_TIMEOUT_MS: Millis = Millis(300);
/// Time between requests for the same turn.
const ASK_AGAIN_MS: Millis = Millis(500);
/// Backlog assumed of an engine whose owner did not answer.
const OWNER_SILENT_MS: Millis = Millis(1_000);

impl Node {
    /// Starts a request's turn where an engine takes more work now.
    pub(super) fn serve(&mut self, request: RequestId) {
        let is_waiting = |flow: &&Flow| flow.stage == Stage::Waiting;
        let Some(flow) = self.flows.get(&request).filter(is_waiting) else {
            return;
        };
        if !self.admission.mechanisms.has_slots {
            self.ask_seat(request);
            return;
        }
        let Some(chosen) = self.choose_prefill(flow) else {
            return;
        };
        if !self.has_decode(flow, &chosen.server) {
            return;
        }
        let fields = vec![
            ("server", chosen.server.to_string()),
            ("predicted_ms", format!("{:.0}", chosen.cost)),
            ("looked_at", chosen.looked_at.to_string()),
            ("config_version", self.config.version().to_string()),
            ("reason", "earliest_predicted_end".to_owned()),
        ];
        self.log("choose_prefill", Some(request), fields);
        self.ask_slot(request, chosen.server);
    }

    /// Asks the owner of a prefill engine for a turn.
    fn ask_slot(&mut self, request: RequestId, server: ServerId) {
        let Some(flow) = self.flows.get(&request) else {
            return;
        };
        let work_tokens = self.work_tokens(flow, &server);
        let work_ms = self.admission.estimates.prefill_ms(&server, work_tokens);
        let backlog_ms = self.backlog_ms(&server) + work_ms;
        self.note_backlog(&server, backlog_ms);
        let now_ms = self.now.monotonic_ms;
        self.set_stage(request, Stage::AskingSlot { since_ms: now_ms });
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
        let asked = SeatRequest {
            request,
            seat: StreamOnServer { server: server.clone(), stream: flow.stream.clone() },
            kv_pieces: configuration.pieces_for(flow.work_tokens.0),
            latest_in_ms: (self.latest_end_ms(flow) - self.now.monotonic_ms).max(Millis(1)),
            cost: (self.cost(flow) * COST_UNITS_PER_MS) as u64,
            weights: flow.weights.clone(),
        };
        self.tell_owner(&server, PeerMessage::SeatRequest(asked));
    }

    pub(super) fn take_seat_reply(&mut self, reply: SeatReply) {
        let SeatReply { request, seat, is_granted, is_queued, wait_ms, is_lacking } = reply;
        let flow = self.flows.get(&request).filter(|flow| flow.stream == seat.stream);
        if let Some(weights) = flow.and_then(|flow| flow.weights.as_ref()).filter(|_| is_lacking) {
            self.placement.lacking.learn(self.now.monotonic_ms, &seat.server, weights);
        }
        let stage = flow.map(|flow| flow.stage);
        let is_prefill =
            flow.is_some_and(|flow| flow.prefill_server.as_ref() == Some(&seat.server));
        let is_decode = flow.is_some_and(|flow| flow.decode_server.as_ref() == Some(&seat.server));
        match stage {
            Some(Stage::AskingSlot { .. }) if is_prefill && is_granted => {
                self.take_slot(request, wait_ms);
            }
            Some(Stage::AskingSlot { .. }) if is_prefill && is_queued => {
                self.note_backlog(&seat.server, wait_ms);
                let since_ms = self.now.monotonic_ms;
                self.set_stage(request, Stage::AskingSlot { since_ms });
            }
            Some(Stage::AskingSlot { .. }) if is_prefill => {
                self.take_refusal(request, seat.server, wait_ms);
            }
            Some(Stage::Asking { .. }) if is_decode && is_granted => {
                self.take_seat(request, &seat.server);
                self.book_transfer(request);
                self.start_prefill(request);
            }
            Some(Stage::Reseating { .. }) if is_decode && is_granted => {
                self.take_seat(request, &seat.server);
                self.start_transfer(request);
            }
            Some(Stage::Asking { .. } | Stage::Reseating { .. }) if is_decode => {
                if is_lacking {
                    self.forget_decode(request);
                } else {
                    self.note_full(request, &seat.server);
                }
                self.ask_seat(request);
            }
            _ if is_granted && !is_prefill && !is_decode => {
                self.tell_owner(&seat.server.clone(), PeerMessage::Release(seat));
            }
            _ => {}
        }
    }

    fn take_slot(&mut self, request: RequestId, wait_ms: Millis) {
        let Some(flow) = self.flows.get_mut(&request) else {
            return;
        };
        flow.wait_ms = wait_ms;
        self.ask_seat(request);
    }

    /// Turns to the next best prefill engine; where every owner refused, the request is given up.
    fn take_refusal(&mut self, request: RequestId, server: ServerId, backlog_ms: Millis) {
        self.note_backlog(&server, backlog_ms);
        if let Some(flow) = self.flows.get_mut(&request) {
            flow.refused_by.insert(server);
            flow.prefill_server = None;
        }
        self.set_stage(request, Stage::Waiting);
        self.serve(request);
        let Some(flow) = self.flows.get(&request) else {
            return;
        };
        let is_refused_by_all = self.choose_prefill(flow).is_none();
        if flow.stage == Stage::Waiting && is_refused_by_all {
            let least_ms = self.least_backlog_ms(flow);
            self.give_up(request, if least_ms > Millis::ZERO { least_ms } else { backlog_ms });
        }
    }

    /// Asks the owner of the best decode engine for a seat.
    pub(super) fn ask_seat(&mut self, request: RequestId) {
        let Some(flow) = self.flows.get(&request) else {
            return;
        };
        let is_reseating = matches!(flow.stage, Stage::Reseating { .. });
        let Some(chosen) = self.choose_decode(flow, flow.prefill_server.as_ref()) else {
            if !is_reseating && flow.stage != Stage::Waiting {
                self.wait_again(request);
            }
            return;
        };
        let server = chosen.server;
        let fields = vec![
            ("server", server.to_string()),
            ("predicted_ms", format!("{:.0}", chosen.cost)),
            ("batch", self.batch(&server).0.to_string()),
            ("looked_at", chosen.looked_at.to_string()),
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
        let asked = SeatRequest {
            request,
            seat,
            kv_pieces: flow.kv_pieces,
            latest_in_ms: Millis::ZERO,
            cost: 0,
            weights: flow.weights.clone(),
        };
        self.tell_owner(&server, PeerMessage::SeatRequest(asked));
    }

    /// Counts a granted seat until its owner's next report does.
    fn take_seat(&mut self, request: RequestId, server: &ServerId) {
        let batch = self.batch(server);
        let Some(flow) = self.flows.get_mut(&request) else {
            return;
        };
        flow.batch_streams = batch + Streams(1);
        if let Some(asked) = &flow.model_request {
            self.admission.seat_grant_rate.add(self.now.monotonic_ms, asked.max_tokens);
        }
        let kv_pieces = flow.kv_pieces;
        if self.owns(server) {
            return;
        }
        if let Some(known) = self.loads.get_mut(server) {
            known.load.free_streams = known.load.free_streams - Streams(1);
            known.load.free_pieces = known.load.free_pieces - kv_pieces;
        }
    }

    fn forget_decode(&mut self, request: RequestId) {
        if let Some(flow) = self.flows.get_mut(&request) {
            flow.decode_server = None;
        }
    }

    /// Counts a decode engine as too full for requests of this size until its owner tells more.
    fn note_full(&mut self, request: RequestId, server: &ServerId) {
        let Some(flow) = self.flows.get_mut(&request) else {
            return;
        };
        flow.decode_server = None;
        if let Some(known) = self.loads.get_mut(server) {
            let below = flow.kv_pieces - KvPieces(1);
            known.load.free_pieces = known.load.free_pieces.min(below);
        }
    }

    /// Gives a seat back and counts it as free at once.
    pub(super) fn release_seat(&mut self, request: RequestId, server: ServerId, stream: StreamId) {
        let is_granted = self.flows.get(&request).is_none_or(|flow| {
            !matches!(flow.stage, Stage::Asking { .. } | Stage::Reseating { .. })
        });
        let kv_pieces = self.flows.get(&request).map_or(KvPieces::ZERO, |flow| flow.kv_pieces);
        let is_counted_here = is_granted && !self.owns(&server);
        if let Some(known) = self.loads.get_mut(&server).filter(|_| is_counted_here) {
            known.load.free_streams = known.load.free_streams + Streams(1);
            known.load.free_pieces = known.load.free_pieces + kv_pieces;
        }
        let seat = StreamOnServer { server, stream };
        self.tell_owner(&seat.server.clone(), PeerMessage::Release(seat));
    }

    /// Gives the slot at the prefill engine back, where there may be one.
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
        self.tell_owner(&seat.server.clone(), PeerMessage::Release(seat));
    }

    /// Puts a request back among those that wait; it holds nothing then.
    pub(super) fn wait_again(&mut self, request: RequestId) {
        self.release_slot(request);
        if let Some(flow) = self.flows.get_mut(&request) {
            flow.prefill_server = None;
            flow.decode_server = None;
        }
        self.set_stage(request, Stage::Waiting);
    }

    /// Repeats requests for a turn, and turns away from owners that do not answer.
    pub(super) fn advance_asks(&mut self) {
        let now_ms = self.now.monotonic_ms;
        let requests: Vec<_> = self.admission.waiting.iter().copied().collect();
        for request in requests {
            let Some(flow) = self.flows.get(&request) else {
                continue;
            };
            let (Stage::AskingSlot { since_ms }
            | Stage::Asking { since_ms }
            | Stage::Reseating { since_ms }) = flow.stage
            else {
                continue;
            };
            let is_reseating = matches!(flow.stage, Stage::Reseating { .. });
            if is_reseating && now_ms > flow.result_until_ms {
                self.retry(request, "result_expired");
                continue;
            }
            if is_reseating && flow.decode_server.is_none() {
                self.ask_seat(request);
                continue;
            }
            let is_queued = matches!(flow.stage, Stage::AskingSlot { .. });
            let silence_ms = now_ms - since_ms;
            let is_asked_again = is_queued && now_ms - flow.stage_since_ms >= ASK_AGAIN_MS;
            if silence_ms > SEAT_TIMEOUT_MS + if is_queued { ASK_AGAIN_MS } else { Millis::ZERO } {
                self.end_silent_ask(request);
            } else if is_asked_again {
                self.set_stage(request, Stage::AskingSlot { since_ms });
                self.send_slot_request(request);
            }
        }
    }

    fn end_silent_ask(&mut self, request: RequestId) {
        let Some(flow) = self.flows.get(&request) else {
            return;
        };
        let (stage, stream) = (flow.stage, flow.stream.clone());
        let (prefill, decode) = (flow.prefill_server.clone(), flow.decode_server.clone());
        self.log("owner_silent", Some(request), vec![("stage", format!("{stage:?}"))]);
        if let (Stage::AskingSlot { .. }, Some(server)) = (stage, prefill) {
            self.wait_again(request);
            self.note_backlog(&server, OWNER_SILENT_MS);
            return;
        }
        if let Some(server) = decode {
            self.note_full(request, &server);
            let seat = StreamOnServer { server, stream };
            self.tell_owner(&seat.server.clone(), PeerMessage::Release(seat));
        }
        self.ask_seat(request);
    }

    /// Whether any usable engine of each role is known for a request.
    pub(super) fn has_engines(&self, flow: &Flow) -> bool {
        [ServerRole::Prefill, ServerRole::Decode]
            .iter()
            .all(|role| !self.usable_engines(flow, *role).is_empty())
    }
}
