//! The owner's side of prefill engines: the queue of each, and what is answered to those in it.

use crate::admission::{SlotAnswer, SlotRequest, keep_all, plan};
use crate::ids::ServerId;
use crate::message::{COST_UNITS_PER_MS, SeatReply, SeatRequest, StreamOnServer};
use crate::node::Node;
use crate::report::Holder;
use crate::units::Millis;

/// Backlog told to those who ask for an engine that can't be used.
const UNUSABLE_MS: Millis = Millis(1_000);

impl Node {
    pub(super) fn take_slot_request(&mut self, from: &Holder, asked: SeatRequest) {
        let SeatRequest { request, seat, kv_pieces, latest_in_ms, cost, weights } = asked;
        let StreamOnServer { server, stream } = seat;
        let now_ms = self.now.monotonic_ms;
        let slot = SlotRequest {
            stream: stream.clone(),
            holder: from.clone(),
            request,
            work_ms: self.slot_work_ms(&server, kv_pieces),
            latest_end_ms: now_ms + latest_in_ms,
            cost: cost as f64 / COST_UNITS_PER_MS,
        };
        let is_usable = self.owns(&server)
            && self.loads.contains_key(&server)
            && !self.leaving_servers.contains(&server)
            && self.is_prefill(&server)
            && self.is_in_role(&server);
        if self.is_without(&server, weights.as_ref()) {
            self.answer_slot(&server, &slot, SlotAnswer::LacksWeights(UNUSABLE_MS));
            return;
        }
        if !is_usable {
            self.answer_slot(&server, &slot, SlotAnswer::Refused(UNUSABLE_MS));
            return;
        }
        let order = if self.admission.mechanisms.has_plan { plan } else { keep_all };
        let queue = self.admission.queues.entry(server.clone()).or_default();
        queue.ask(now_ms, slot.clone());
        let answers = queue.advance(now_ms, order);
        let answer = queue.answer(now_ms, &stream);
        let is_answered = answers.iter().any(|(other, _)| other.stream == stream);
        if !is_answered {
            self.answer_slot(&server, &slot, answer);
        }
        for (slot, answer) in answers {
            self.answer_slot(&server, &slot, answer);
        }
    }

    pub(super) fn release_turn(&mut self, from: &Holder, seat: &StreamOnServer) {
        let now_ms = self.now.monotonic_ms;
        if let Some(queue) = self.admission.queues.get_mut(&seat.server) {
            queue.release(now_ms, &seat.stream, from);
            self.advance_queue(&seat.server);
        }
    }

    /// Advances the queues of all engines that this node owns and forgets the others.
    pub(super) fn advance_queues(&mut self) {
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
            self.advance_queue(&server);
        }
    }

    fn advance_queue(&mut self, server: &ServerId) {
        let now_ms = self.now.monotonic_ms;
        let order = if self.admission.mechanisms.has_plan { plan } else { keep_all };
        let Some(queue) = self.admission.queues.get_mut(server) else {
            return;
        };
        for (slot, answer) in queue.advance(now_ms, order) {
            self.answer_slot(server, &slot, answer);
        }
    }

    fn answer_slot(&mut self, server: &ServerId, slot: &SlotRequest, answer: SlotAnswer) {
        let (text, wait_ms) = match answer {
            SlotAnswer::Granted(wait_ms) => ("granted", wait_ms),
            SlotAnswer::Queued(wait_ms) => ("queued", wait_ms),
            SlotAnswer::Refused(wait_ms) => ("refused", wait_ms),
            SlotAnswer::LacksWeights(wait_ms) => ("lacking_weights", wait_ms),
        };
        let fields = vec![
            ("server", server.to_string()),
            ("stream", slot.stream.to_string()),
            ("holder", slot.holder.instance.to_string()),
            ("answer", text.to_owned()),
            ("wait_ms", wait_ms.0.to_string()),
            ("work_ms", slot.work_ms.0.to_string()),
        ];
        self.log("slot", None, fields);
        let seat = StreamOnServer { server: server.clone(), stream: slot.stream.clone() };
        let reply = SeatReply {
            request: slot.request,
            seat,
            is_granted: matches!(answer, SlotAnswer::Granted(_)),
            is_queued: matches!(answer, SlotAnswer::Queued(_)),
            wait_ms,
            is_lacking: matches!(answer, SlotAnswer::LacksWeights(_)),
        };
        self.reply(&slot.holder, reply);
    }
}
