//! Simulates the transfers of KV caches between engines over shared links.

use turmericrail_core::action::TransferCall;
use turmericrail_core::event::Event;
use turmericrail_core::ids::{ServerId, StreamId};

use crate::engine::DecodeStream;
use crate::links::{LinkEnds, Transfer};
use crate::simulation::{MESSAGE_DELAY_MS, ScheduledEvent, Simulation};

pub const KV_BYTES_PER_TOKEN: u64 = 160_000;
/// Rate of a link within a data centre.
pub const LOCAL_BYTES_PER_MS: u64 = 4_000_000;
/// Rate of a link between two data centres.
pub const REMOTE_BYTES_PER_MS: u64 = 1_000_000;

impl Simulation {
    pub fn start_transfer(&mut self, instance: usize, call: TransferCall) {
        let failed = Event::TransferFailed(call.request, call.stream.clone());
        let (source, target) = (&call.source.server, &call.target.server);
        let is_reached = self.is_reachable(instance, target) && !self.engines[source].is_dead;
        if !is_reached {
            self.schedule_after(call.timeout_ms.0, ScheduledEvent::Deliver(instance, failed));
            return;
        }
        let ends = (self.engines[source].data_centre, self.engines[target].data_centre);
        let crosses_cut = self.is_cut_off && (ends.0 == 0) != (ends.1 == 0);
        let is_failing = self.engines[source].is_failing || self.engines[target].is_failing;
        let has_room = self.engines[target].has_room(call.kv_pieces.0);
        let has_result = self.engines[source].finished.contains_key(&call.stream);
        if crosses_cut || is_failing || !has_room || !has_result {
            self.schedule_after(MESSAGE_DELAY_MS, ScheduledEvent::Deliver(instance, failed));
            return;
        }
        let index = call.request.0 as usize;
        let answer = DecodeStream {
            holder: call.holder.clone(),
            index,
            instance,
            kv_pieces: call.kv_pieces.0,
            remaining_tokens: self.requests[index].answer_tokens,
            is_generating: false,
        };
        let stream = call.stream.clone();
        self.engine(&call.target.server.clone()).decode_streams.insert(stream.clone(), answer);
        self.schedule_after(call.timeout_ms.0, ScheduledEvent::TransferTimeout(stream));
        let bytes = self.requests[index].prompt_tokens * KV_BYTES_PER_TOKEN;
        let normal_bytes_per_ms =
            if ends.0 == ends.1 { LOCAL_BYTES_PER_MS } else { REMOTE_BYTES_PER_MS };
        let bytes_per_ms = (normal_bytes_per_ms as f64 * self.link_rate_ratio) as u64;
        self.links.start(self.now_ms, ends, bytes_per_ms, (instance, call, bytes));
        self.schedule_transfer_end(ends);
    }

    /// Completes the finished transfers of a link.
    pub fn finish_transfers(&mut self, ends: LinkEnds, forecast_number: u64) {
        let Some(finished) = self.links.remove_finished(self.now_ms, ends, forecast_number) else {
            return;
        };
        for transfer in finished {
            self.finish_transfer(transfer.instance, &transfer.call);
        }
        self.schedule_transfer_end(ends);
    }

    pub fn handle_transfer_timeout(&mut self, stream: &StreamId) {
        self.fail_transfer(stream);
    }

    /// Discards a result that was not exported in time, and stops its transfer.
    pub fn expire_result(&mut self, server: &ServerId, stream: &StreamId) {
        self.engine(server).discard_result(stream);
        self.fail_transfer(stream);
    }

    pub fn stop_transfer(&mut self, stream: &StreamId) -> Option<Transfer> {
        let (ends, transfer) = self.links.stop(self.now_ms, stream)?;
        self.schedule_transfer_end(ends);
        Some(transfer)
    }

    fn fail_transfer(&mut self, stream: &StreamId) {
        let Some(Transfer { instance, call, .. }) = self.stop_transfer(stream) else {
            return;
        };
        self.engine(&call.target.server).decode_streams.remove(stream);
        self.deliver(instance, Event::TransferFailed(call.request, call.stream));
    }

    fn schedule_transfer_end(&mut self, ends: LinkEnds) {
        if let Some((at_ms, forecast_number)) = self.links.forecast_next_end(self.now_ms, ends) {
            self.schedule_at(at_ms, ScheduledEvent::TransferEnds(ends, forecast_number));
        }
    }

    fn finish_transfer(&mut self, instance: usize, call: &TransferCall) {
        let (source, target) = (&call.source.server, &call.target.server);
        let has_result = self.engine(source).finished.remove(&call.stream).is_some();
        if !has_result || !self.engines[target].decode_streams.contains_key(&call.stream) {
            self.engine(target).decode_streams.remove(&call.stream);
            let failed = Event::TransferFailed(call.request, call.stream.clone());
            self.schedule_after(MESSAGE_DELAY_MS, ScheduledEvent::Deliver(instance, failed));
            return;
        }
        let engine = self.engine(target);
        if let Some(answer) = engine.decode_streams.get_mut(&call.stream) {
            answer.is_generating = true;
        }
        if !std::mem::replace(&mut engine.is_stepping, true) {
            let step_ms = engine.step_ms();
            self.schedule_after(step_ms, ScheduledEvent::DecodeStep(target.clone()));
        }
        let done = Event::TransferDone(call.request, call.stream.clone());
        self.schedule_after(MESSAGE_DELAY_MS, ScheduledEvent::Deliver(instance, done));
    }
}
