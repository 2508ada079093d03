//! Moving means of the times that the servers of a service take, from which each call is predicted.

use crate::units::{Millis, Tokens};

/// Weight of a new sample in the moving mean.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Largest sample as a multiple of the mean, so that failing servers do not distort it.
const MAX_SAMPLE_RATIO: f64 = 4.0;
/// Time to an answer, before any was measured.
const INITIAL_ANSWER_MS: f64 = 50.0;
/// Time to the first event after a prefill elsewhere, before any was measured.
const INITIAL_FIRST_EVENT_MS: f64 = 120.0;
/// Time to process one prompt token, before any was measured; typical of large models on one
/// machine.
const INITIAL_PROMPT_TOKEN_MS: f64 = 0.02;

/// Average latency of the servers of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceLatency {
    /// Time to the answer of a plain call.
    pub answer_ms: f64,
    /// Time to the first event at a decode engine that received the KV cache.
    pub first_event_ms: f64,
    /// Time to process one prompt token at a prefill engine.
    pub prompt_token_ms: f64,
    /// Time between two events of an answer; `None` until one was measured.
    pub event_gap_ms: Option<f64>,
    /// Events of an answer per token that was expected of it.
    pub events_per_token: f64,
}

impl Default for ServiceLatency {
    fn default() -> Self {
        Self {
            answer_ms: INITIAL_ANSWER_MS,
            first_event_ms: INITIAL_FIRST_EVENT_MS,
            prompt_token_ms: INITIAL_PROMPT_TOKEN_MS,
            event_gap_ms: None,
            events_per_token: 1.0,
        }
    }
}

impl ServiceLatency {
    /// Records the time to the answer of a plain call.
    pub fn record_answer_time(&mut self, measured_ms: Millis) {
        update_mean(&mut self.answer_ms, measured_ms.0 as f64);
    }

    /// Records the time to the first event at a decode engine.
    pub fn record_first_event_time(&mut self, measured_ms: Millis) {
        update_mean(&mut self.first_event_ms, measured_ms.0 as f64);
    }

    /// Records the duration of a prefill; `queued` are all tokens that the engine had to process by
    /// its end.
    pub fn record_prefill_time(&mut self, measured_ms: Millis, queued: Tokens) {
        update_mean(&mut self.prompt_token_ms, measured_ms.0 as f64 / queued.0.max(1) as f64);
    }

    /// Records the mean time between the events of an answer, and their number for the tokens that
    /// were expected.
    pub fn record_event_gap(&mut self, gap_ms: f64, events: u64, expected_tokens: Tokens) {
        let events_per_token = events as f64 / expected_tokens.0.max(1) as f64;
        match &mut self.event_gap_ms {
            Some(mean) => {
                update_mean(mean, gap_ms);
                update_mean(&mut self.events_per_token, events_per_token);
            }
            None => {
                self.event_gap_ms = Some(gap_ms);
                self.events_per_token = events_per_token;
            }
        }
    }
}

fn update_mean(mean: &mut f64, sample: f64) {
    *mean += SAMPLE_WEIGHT * (sample.min(*mean * MAX_SAMPLE_RATIO) - *mean);
}
