//! The owner's side of slots: the queue of each owned prefill engine, and the replies to slot
//! requests.

use crate::admission::{SlotAnswer, SlotRequest, keep_all, plan};
use crate::ids::ServerId;
use crate::message::{COST_UNITS_PER_MS, SeatReply, SeatRequest, StreamOnServer};
use crate::node::Node;
use crate::report::Holder;
use crate::units::Millis;

/// Backlog named in the reply to a slot request for an engine that can't be used.
const UNUSABLE_ENGINE_BACKLOG_MS: Millis = Millis(1_000);

impl Node {
    pub(super) fn handle_slot_request(&mut self, from: &Holder, seat_request: SeatRequest) {
        let SeatRequest { request, seat, kv_pieces, latest_in_ms, cost, weights } = seat_request;
        let StreamOnServer { server, stream } = seat;
        let now_ms = self.now.monotonic_ms;
        let slot_request = SlotRequest {
            stream: stream.clone(),
            holder: from.clone(),
            request,
            work_ms: self.slot_prefill_ms(&server, kv_pieces),
            latest_end_ms: now_ms + latest_in_ms,
            cost: cost as f64 / COST_UNITS_PER_MS,
        };
        let is_usable = self.owns(&server)
            && self.server_loads.contains_key(&server)
            && !self.leaving_servers.contains(&server)
            && self.is_prefill_engine(&server)
            && self.is_in_role(&server);
        if self.lacks_weights(&server, weights.as_ref()) {
            self.send_slot_reply(
                &server,
                &slot_request,
                SlotAnswer::LacksWeights(UNUSABLE_ENGINE_BACKLOG_MS),
            );
            return;
        }
        if !is_usable {
            self.send_slot_reply(
                &server,
                &slot_request,
                SlotAnswer::Refused(UNUSABLE_ENGINE_BACKLOG_MS),
            );
            return;
        }
        let planner = if self.admission.mechanisms.has_plan { plan } else { keep_all };
        let queue = self.admission.queues.entry(server.clone()).or_default();
        queue.add_or_renew(now_ms, slot_request.clone());
        let answers = queue.advance(now_ms, planner);
        let answer = queue.answer(now_ms, &stream);
        let is_answered = answers.iter().any(|(other, _)| other.stream == stream);
        if !is_answered {
            self.send_slot_reply(&server, &slot_request, answer);
        }
        for (slot_request, answer) in answers {
            self.send_slot_reply(&server, &slot_request, answer);
        }
    }

    pub(super) fn release_owned_slot(&mut self, from: &Holder, seat: &StreamOnServer) {
        let now_ms = self.now.monotonic_ms;
        if let Some(queue) = self.admission.queues.get_mut(&seat.server) {
            queue.release(now_ms, &seat.stream, from);
            self.advance_slot_queue(&seat.server);
        }
    }

    /// Grants or refuses queued slots of owned engines, and drops empty queues and those of engines
    /// that are no longer owned.
    pub(super) fn advance_slot_queues(&mut self) {
        let now_ms = self.now.monotonic_ms;
        let members = &self.members;
        for queue in self.admission.queues.values_mut() {
            queue.expire(now_ms, |holder| members.is_live(holder, now_ms));
        }
        let servers: Vec<_> = self.admission.queues.keys().cloned().collect();
        for server in servers {
            let is_empty = self.admission.queues.get(&server).is_none_or(|queue| queue.is_empty());
            if is_empty || !self.owns(&server) {
                self.admission.queues.remove(&server);
                continue;
            }
            self.advance_slot_queue(&server);
        }
    }

    fn advance_slot_queue(&mut self, server: &ServerId) {
        let now_ms = self.now.monotonic_ms;
        let planner = if self.admission.mechanisms.has_plan { plan } else { keep_all };
        let Some(queue) = self.admission.queues.get_mut(server) else {
            return;
        };
        for (slot_request, answer) in queue.advance(now_ms, planner) {
            self.send_slot_reply(server, &slot_request, answer);
        }
    }

    fn send_slot_reply(
        &mut self,
        server: &ServerId,
        slot_request: &SlotRequest,
        answer: SlotAnswer,
    ) {
        let (answer_text, wait_ms) = match answer {
            SlotAnswer::Granted(wait_ms) => ("granted", wait_ms),
            SlotAnswer::Queued(wait_ms) => ("queued", wait_ms),
            SlotAnswer::Refused(wait_ms) => ("refused", wait_ms),
            SlotAnswer::LacksWeights(wait_ms) => ("lacking_weights", wait_ms),
        };
        let fields = vec![
            ("server", server.to_string()),
            ("stream", slot_request.stream.to_string()),
            ("holder", slot_request.holder.instance.to_string()),
            ("answer", answer_text.to_owned()),
            ("wait_ms", wait_ms.0.to_string()),
            ("work_ms", slot_request.work_ms.0.to_string()),
        ];
        self.log("slot", None, fields);
        let seat = StreamOnServer { server: server.clone(), stream: slot_request.stream.clone() };
        let reply = SeatReply {
            request: slot_request.request,
            seat,
            is_granted: matches!(answer, SlotAnswer::Granted(_)),
            is_queued: matches!(answer, SlotAnswer::Queued(_)),
            wait_ms,
            is_lacking: matches!(answer, SlotAnswer::LacksWeights(_)),
        };
        self.send_seat_reply(&slot_request.holder, reply);
    }
}
