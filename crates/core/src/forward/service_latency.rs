//! Mean times of a service's servers.

use crate::units::{Millis, Tokens};

/// Weight of a new sample.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Largest sample as a multiple of the mean, so that servers that fail don't set the pace.
const MAX_SAMPLE_RATIO: f64 = 4.0;
/// Time to an answer before one was measured.
const INITIAL_ANSWER_MS: f64 = 50.0;
/// Time to the first event after a prefill elsewhere before one was measured.
const INITIAL_FIRST_EVENT_MS: f64 = 120.0;
/// Time to read a prompt token before one was measured; of the order of large models on one node.
const INITIAL_PROMPT_TOKEN_MS: f64 = 0.02;

/// Mean times of a service's servers at normal pace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceLatency {
    /// Time to the answer of a plain call.
    pub answer_ms: f64,
    /// Time to the first event at a decode engine.
    pub first_event_ms: f64,
    /// Time to read one prompt token at a prefill engine.
    pub prompt_token_ms: f64,
}

impl Default for ServiceLatency {
    fn default() -> Self {
        Self {
            answer_ms: INITIAL_ANSWER_MS,
            first_event_ms: INITIAL_FIRST_EVENT_MS,
            prompt_token_ms: INITIAL_PROMPT_TOKEN_MS,
        }
    }
}

impl ServiceLatency {
    /// Takes the time to the answer of a plain call.
    pub fn record_answer_time(&mut self, measured_ms: Millis) {
        update_mean(&mut self.answer_ms, measured_ms.0 as f64);
    }

    /// Takes the time to the first event at a decode engine.
    pub fn record_first_event_time(&mut self, measured_ms: Millis) {
        update_mean(&mut self.first_event_ms, measured_ms.0 as f64);
    }

    /// Takes the time of a prefill of `tokens`, which had `queued` tokens in all before its end.
    pub fn record_prefill_time(&mut self, measured_ms: Millis, queued: Tokens) {
        update_mean(&mut self.prompt_token_ms, measured_ms.0 as f64 / queued.0.max(1) as f64);
    }
}

fn update_mean(mean: &mut f64, sample: f64) {
    *mean += SAMPLE_WEIGHT * (sample.min(*mean * MAX_SAMPLE_RATIO) - *mean);
}
