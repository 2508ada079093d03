//! Simulates the calls that instances make to engines: prefill, token stream, cancellation, report.

use turmericrail_core::action::{PrefillCall, ReadCall};
use turmericrail_core::event::Event;
use turmericrail_core::ids::{RequestId, ServerId, StreamId};
use turmericrail_core::units::Tokens;

use crate::engine::{DecodeStream, PrefillJob};
use crate::simulation::{MESSAGE_DELAY_MS, ScheduledEvent, Simulation};

/// Time for which an engine keeps a prefill result.
const RESULT_LIFETIME_MS: u64 = 900;
const POLL_TIMEOUT_MS: u64 = 1_000;

impl Simulation {
    pub fn start_prefill(&mut self, instance: usize, call: PrefillCall) {
        let timeout_ms = call.timeout_ms.0;
        let server = call.target.server.clone();
        self.schedule_after(timeout_ms, ScheduledEvent::PrefillTimeout(instance, call.clone()));
        if !self.is_reachable(instance, &server) {
            return;
        }
        if self.engines[&server].is_failing {
            let failed = Event::PrefillFailed(call.request, call.stream);
            self.schedule_after(MESSAGE_DELAY_MS, ScheduledEvent::Deliver(instance, failed));
            return;
        }
        let index = call.request.0 as usize;
        let job = PrefillJob {
            stream: call.stream,
            holder: call.holder,
            index,
            instance,
            priority: call.priority,
            prompt_tokens: self.requests[index].prompt_tokens,
            prefix_hashes: self.requests[index].prefix_hashes.clone(),
            cached_tokens: 0,
            computed_ms: 0.0,
        };
        self.engine(&server).waiting.push(job);
        self.start_next_prefill(&server);
    }

    pub fn start_next_prefill(&mut self, server: &ServerId) {
        if let Some((stream, duration_ms)) = self.engine(server).start_next_prefill() {
            self.schedule_after(duration_ms, ScheduledEvent::PrefillEnd(server.clone(), stream));
        }
    }

    pub fn handle_prefill_timeout(&mut self, instance: usize, call: &PrefillCall) {
        let engine = &self.engines[&call.target.server];
        let is_unfinished =
            engine.waiting.iter().chain(&engine.running).any(|job| job.stream == call.stream);
        if is_unfinished || !self.is_reachable(instance, &call.target.server) {
            self.deliver(instance, Event::PrefillFailed(call.request, call.stream.clone()));
        }
    }

    pub fn finish_prefill(&mut self, server: &ServerId, stream: &StreamId) {
        let Some(job) = self.engine(server).finish_running(stream) else {
            return;
        };
        let event = Event::PrefillDone {
            request: RequestId(job.index as u64),
            stream: stream.clone(),
            cached_tokens: Tokens(job.cached_tokens),
        };
        if self.is_reachable(job.instance, server) {
            self.schedule_after(MESSAGE_DELAY_MS, ScheduledEvent::Deliver(job.instance, event));
        }
        self.schedule_after(
            RESULT_LIFETIME_MS,
            ScheduledEvent::ResultExpired(server.clone(), stream.clone()),
        );
        self.start_next_prefill(server);
    }

    pub fn run_decode_step(&mut self, server: &ServerId) {
        let now_ms = self.now_ms;
        let engine = self.engine(server);
        let mut generated_tokens = Vec::new();
        for (stream, answer) in &mut engine.decode_streams {
            if !answer.is_generating {
                continue;
            }
            answer.remaining_tokens -= 1;
            generated_tokens.push((stream.clone(), answer.clone()));
        }
        engine.decode_streams.retain(|_, answer| answer.remaining_tokens > 0);
        engine.is_stepping = !engine.decode_streams.values().all(|answer| !answer.is_generating);
        if engine.is_stepping {
            let step_ms = engine.step_ms();
            self.schedule_after(step_ms, ScheduledEvent::DecodeStep(server.clone()));
        }
        for (stream, answer) in generated_tokens {
            self.record_token(now_ms, server, stream, &answer);
        }
    }

    pub fn record_token(
        &mut self,
        now_ms: u64,
        server: &ServerId,
        stream: StreamId,
        answer: &DecodeStream,
    ) {
        let can_read = self.is_reachable(answer.instance, server);
        if !can_read || self.instances[answer.instance].is_dead {
            return;
        }
        let outcome = &mut self.outcomes[answer.index];
        let request = RequestId(answer.index as u64);
        let generated = self.requests[answer.index].answer_tokens - answer.remaining_tokens;
        let is_first = outcome.first_token_ms.is_none();
        outcome.first_token_ms.get_or_insert(now_ms);
        outcome.tokens = outcome.tokens.max(generated);
        if answer.remaining_tokens == 0 {
            outcome.ended_ms = Some(now_ms);
        }
        if is_first {
            let event = Event::FirstToken(request, stream.clone());
            self.schedule_after(MESSAGE_DELAY_MS, ScheduledEvent::Deliver(answer.instance, event));
        }
        if answer.remaining_tokens == 0 {
            self.schedule_after(
                MESSAGE_DELAY_MS,
                ScheduledEvent::Deliver(answer.instance, Event::StreamEnded(request, stream)),
            );
        }
    }

    pub fn read_stream(&mut self, instance: usize, call: &ReadCall) {
        let is_reachable = self.is_reachable(instance, &call.target.server);
        if is_reachable {
            return;
        }
        let next_index = self.outcomes[call.request.0 as usize].tokens;
        let stream = call.stream.clone();
        let event =
            Event::StreamBroken { request: call.request, stream, next_index, is_held: false };
        self.schedule_after(call.silence_ms.0, ScheduledEvent::Deliver(instance, event));
    }

    pub fn cancel_stream(&mut self, instance: usize, server: &ServerId, stream: &StreamId) {
        if !self.is_reachable(instance, server) {
            return;
        }
        self.stop_transfer(stream);
        if self.engine(server).cancel(stream, |_| 0.5) {
            self.start_next_prefill(server);
        }
    }

    pub fn poll_engine(&mut self, instance: usize, server: ServerId) {
        if !self.is_reachable(instance, &server) {
            self.schedule_after(
                POLL_TIMEOUT_MS,
                ScheduledEvent::Deliver(instance, Event::ReportFailed(server)),
            );
            return;
        }
        let report = self.engines[&server].report();
        self.schedule_after(
            self.report_lag_ms,
            ScheduledEvent::Deliver(instance, Event::Report(server, report)),
        );
    }
}
