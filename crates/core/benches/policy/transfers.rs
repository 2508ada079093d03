//! Transfers of KV caches between engines, over links that they share.

use turmericrail_core::action::TransferCall;
use turmericrail_core::event::Event;
use turmericrail_core::ids::{ServerId, StreamId};

use crate::engine::Answer;
use crate::links::{Places, Transfer};
use crate::world::{HOP_MS, Item, World};

/// Size of the KV cache of one token.
pub const BYTES_PER_TOKEN: u64 = 160_000;
/// Rate of a link within a data centre.
pub const NEAR_BYTES_PER_MS: u64 = 4_000_000;
/// Rate of a link between two data centres.
pub const FAR_BYTES_PER_MS: u64 = 1_000_000;

impl World {
    pub fn start_transfer(&mut self, instance: usize, call: TransferCall) {
        let failed = Event::TransferFailed(call.request, call.stream.clone());
        let (source, target) = (&call.source.server, &call.target.server);
        let is_reached = self.answers(instance, target) && !self.engines[source].is_dead;
        if !is_reached {
            self.after(call.timeout_ms.0, Item::Tell(instance, failed));
            return;
        }
        let places = (self.engines[source].data_centre, self.engines[target].data_centre);
        let is_cut = self.is_cut && (places.0 == 0) != (places.1 == 0);
        let is_failing = self.engines[source].is_failing || self.engines[target].is_failing;
        let has_room = self.engines[target].has_room(call.kv_pieces.0);
        let has_result = self.engines[source].done.contains_key(&call.stream);
        if is_cut || is_failing || !has_room || !has_result {
            self.after(HOP_MS, Item::Tell(instance, failed));
            return;
        }
        let index = call.request.0 as usize;
        let answer = Answer {
            holder: call.holder.clone(),
            index,
            instance,
            kv_pieces: call.kv_pieces.0,
            left_tokens: self.asked[index].answer_tokens,
            is_generating: false,
        };
        let stream = call.stream.clone();
        self.engine(&call.target.server.clone()).answers.insert(stream.clone(), answer);
        self.after(call.timeout_ms.0, Item::TransferTimeout(stream));
        let bytes = self.asked[index].prompt_tokens * BYTES_PER_TOKEN;
        let usual = if places.0 == places.1 { NEAR_BYTES_PER_MS } else { FAR_BYTES_PER_MS };
        let rate = (usual as f64 * self.link_share) as u64;
        self.links.start(self.now_ms, places, rate, (instance, call, bytes));
        self.forecast(places);
    }

    /// Takes the transfers that have ended off their link.
    pub fn link_step(&mut self, places: Places, turn: u64) {
        let Some(ended) = self.links.take_ended(self.now_ms, places, turn) else {
            return;
        };
        for transfer in ended {
            self.transfer_end(transfer.instance, &transfer.call);
        }
        self.forecast(places);
    }

    pub fn transfer_timeout(&mut self, stream: &StreamId) {
        self.break_transfer(stream);
    }

    /// Discards a result that was not exported in time, also on its way.
    pub fn expire_result(&mut self, server: &ServerId, stream: &StreamId) {
        self.engine(server).waste(stream);
        self.break_transfer(stream);
    }

    /// Stops a transfer that nobody waits for any more.
    pub fn stop_transfer(&mut self, stream: &StreamId) -> Option<Transfer> {
        let (places, transfer) = self.links.stop(self.now_ms, stream)?;
        self.forecast(places);
        Some(transfer)
    }

    fn break_transfer(&mut self, stream: &StreamId) {
        let Some(Transfer { instance, call, .. }) = self.stop_transfer(stream) else {
            return;
        };
        self.engine(&call.target.server).answers.remove(stream);
        self.tell(instance, Event::TransferFailed(call.request, call.stream));
    }

    fn forecast(&mut self, places: Places) {
        if let Some((at_ms, turn)) = self.links.next_end(self.now_ms, places) {
            self.at(at_ms, Item::LinkStep(places, turn));
        }
    }

    fn transfer_end(&mut self, instance: usize, call: &TransferCall) {
        let (source, target) = (&call.source.server, &call.target.server);
        let has_result = self.engine(source).done.remove(&call.stream).is_some();
        if !has_result || !self.engines[target].answers.contains_key(&call.stream) {
            self.engine(target).answers.remove(&call.stream);
            let failed = Event::TransferFailed(call.request, call.stream.clone());
            self.after(HOP_MS, Item::Tell(instance, failed));
            return;
        }
        let engine = self.engine(target);
        if let Some(answer) = engine.answers.get_mut(&call.stream) {
            answer.is_generating = true;
        }
        if !std::mem::replace(&mut engine.is_stepping, true) {
            let step_ms = engine.step_ms();
            self.after(step_ms, Item::Step(target.clone()));
        }
        let done = Event::TransferDone(call.request, call.stream.clone());
        self.after(HOP_MS, Item::Tell(instance, done));
    }
}
