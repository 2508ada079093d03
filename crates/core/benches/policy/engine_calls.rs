//! Calls that instances make to engines: prefills, readings of tokens, cancellations, reports.

use turmericrail_core::action::{PrefillCall, ReadCall};
use turmericrail_core::event::Event;
use turmericrail_core::ids::{RequestId, ServerId, StreamId};
use turmericrail_core::units::Tokens;

use crate::engine::{Answer, Job};
use crate::world::{HOP_MS, Item, World};

/// Time for which a prefill result survives.
const RESULT_LIFE_MS: u64 = 900;
/// Wait for the report of an engine that doesn't answer.
const POLL_TIMEOUT_MS: u64 = 1_000;

impl World {
    pub fn start_prefill(&mut self, instance: usize, call: PrefillCall) {
        let timeout_ms = call.timeout_ms.0;
        let server = call.target.server.clone();
        self.after(timeout_ms, Item::PrefillTimeout(instance, call.clone()));
        if !self.answers(instance, &server) {
            return;
        }
        if self.engines[&server].is_failing {
            let failed = Event::PrefillFailed(call.request, call.stream);
            self.after(HOP_MS, Item::Tell(instance, failed));
            return;
        }
        let index = call.request.0 as usize;
        let job = Job {
            stream: call.stream,
            holder: call.holder,
            index,
            instance,
            priority: call.priority,
            prompt_tokens: self.asked[index].prompt_tokens,
            hashes: self.asked[index].hashes.clone(),
            cached_tokens: 0,
            computed_ms: 0.0,
        };
        self.engine(&server).waiting.push(job);
        self.start_next(&server);
    }

    pub fn start_next(&mut self, server: &ServerId) {
        if let Some((stream, takes_ms)) = self.engine(server).start_next() {
            self.after(takes_ms, Item::PrefillEnd(server.clone(), stream));
        }
    }

    pub fn prefill_timeout(&mut self, instance: usize, call: &PrefillCall) {
        let engine = &self.engines[&call.target.server];
        let is_here =
            engine.waiting.iter().chain(&engine.running).any(|job| job.stream == call.stream);
        if is_here || !self.answers(instance, &call.target.server) {
            self.tell(instance, Event::PrefillFailed(call.request, call.stream.clone()));
        }
    }

    pub fn prefill_end(&mut self, server: &ServerId, stream: &StreamId) {
        let Some(job) = self.engine(server).finish_running(stream) else {
            return;
        };
        let event = Event::PrefillDone {
            request: RequestId(job.index as u64),
            stream: stream.clone(),
            cached_tokens: Tokens(job.cached_tokens),
        };
        if self.answers(job.instance, server) {
            self.after(HOP_MS, Item::Tell(job.instance, event));
        }
        self.after(RESULT_LIFE_MS, Item::ResultExpired(server.clone(), stream.clone()));
        self.start_next(server);
    }

    pub fn decode_step(&mut self, server: &ServerId) {
        let now_ms = self.now_ms;
        let engine = self.engine(server);
        let mut told = Vec::new();
        for (stream, answer) in &mut engine.answers {
            if !answer.is_generating {
                continue;
            }
            answer.left_tokens -= 1;
            told.push((stream.clone(), answer.clone()));
        }
        engine.answers.retain(|_, answer| answer.left_tokens > 0);
        engine.is_stepping = !engine.answers.values().all(|answer| !answer.is_generating);
        if engine.is_stepping {
            let step_ms = engine.step_ms();
            self.after(step_ms, Item::Step(server.clone()));
        }
        for (stream, answer) in told {
            self.token(now_ms, server, stream, &answer);
        }
    }

    pub fn token(&mut self, now_ms: u64, server: &ServerId, stream: StreamId, answer: &Answer) {
        let is_read = self.answers(answer.instance, server);
        if !is_read || self.instances[answer.instance].is_dead {
            return;
        }
        let outcome = &mut self.outcomes[answer.index];
        let request = RequestId(answer.index as u64);
        let generated = self.asked[answer.index].answer_tokens - answer.left_tokens;
        let is_first = outcome.first_token_ms.is_none();
        outcome.first_token_ms.get_or_insert(now_ms);
        outcome.tokens = outcome.tokens.max(generated);
        if answer.left_tokens == 0 {
            outcome.ended_ms = Some(now_ms);
        }
        if is_first {
            let event = Event::FirstToken(request, stream.clone());
            self.after(HOP_MS, Item::Tell(answer.instance, event));
        }
        if answer.left_tokens == 0 {
            self.after(HOP_MS, Item::Tell(answer.instance, Event::StreamEnded(request, stream)));
        }
    }

    pub fn read(&mut self, instance: usize, call: &ReadCall) {
        let is_answered = self.answers(instance, &call.target.server);
        if is_answered {
            return;
        }
        let next_index = self.outcomes[call.request.0 as usize].tokens;
        let stream = call.stream.clone();
        let event =
            Event::StreamBroken { request: call.request, stream, next_index, is_held: false };
        self.after(call.silence_ms.0, Item::Tell(instance, event));
    }

    pub fn cancel(&mut self, instance: usize, server: &ServerId, stream: &StreamId) {
        if !self.answers(instance, server) {
            return;
        }
        self.stop_transfer(stream);
        if self.engine(server).cancel(stream, |_| 0.5) {
            self.start_next(server);
        }
    }

    pub fn poll(&mut self, instance: usize, server: ServerId) {
        if !self.answers(instance, &server) {
            self.after(POLL_TIMEOUT_MS, Item::Tell(instance, Event::ReportFailed(server)));
            return;
        }
        let report = self.engines[&server].report();
        self.after(self.report_lag_ms, Item::Tell(instance, Event::Report(server, report)));
    }
}
