//! Measures how long an engine takes to generate an answer.

use turmericrail_core::units::Millis;

use super::call_context::CallContext;

use super::engine_calls::model_call_size;
use super::engine_selection::EngineAttempt;
use crate::forward::clock;

/// Share of the time for which the caller may keep the answer waiting in a measurement that counts.
const MAX_CALLER_WAIT_SHARE: f64 = 0.1;

/// Times the events of one attempt.
pub struct GenerationTimer {
    sent_ms: Millis,
    first_event_ms: Option<Millis>,
    caller_wait_ms: Millis,
}

impl GenerationTimer {
    /// Starts for a call sent at `sent_ms`.
    pub fn new(sent_ms: Millis) -> Self {
        Self { sent_ms, first_event_ms: None, caller_wait_ms: Millis::ZERO }
    }

    /// Adds the time that writing to the caller has taken since `began_ms`.
    pub fn record_write(&mut self, began_ms: Millis) {
        self.caller_wait_ms = self.caller_wait_ms + clock::now_ms().saturating_sub(began_ms);
    }

    /// Records the time to the first event.
    pub fn record_first_event(&mut self, context: &CallContext<'_>, attempt: &EngineAttempt) {
        let now_ms = clock::now_ms();
        self.first_event_ms = Some(now_ms);
        let elapsed_ms = now_ms.saturating_sub(self.sent_ms);
        context.observe_step("first_event", elapsed_ms);
        context.observe_answer();
        let choice = attempt.choice();
        if attempt.kv.is_some() {
            context.shared.forwarder().record_first_event_time(now_ms, choice, elapsed_ms);
        }
        spdlog::info!(
            "event=first_event request={} server={} after_ms={} since_arrival_ms={}",
            context.request_id,
            choice.run.server,
            elapsed_ms.0,
            context.elapsed_ms().0
        );
    }

    /// Records the time from the first event to the last one of a whole answer. A time in which the
    /// caller read slowly tells nothing about the engine.
    pub fn record_end(&self, context: &CallContext<'_>, attempt: &EngineAttempt, events: u64) {
        let Some(first_event_ms) = self.first_event_ms else {
            return;
        };
        let now_ms = clock::now_ms();
        let elapsed_ms = now_ms.saturating_sub(first_event_ms);
        if self.caller_wait_ms.0 as f64 > elapsed_ms.0 as f64 * MAX_CALLER_WAIT_SHARE {
            return;
        }
        context.shared.forwarder().record_generation_time(
            now_ms,
            attempt.choice(),
            elapsed_ms,
            events,
            model_call_size(context).output_tokens(),
        );
    }
}
