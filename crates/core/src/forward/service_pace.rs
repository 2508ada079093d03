//! Mean times of a service's servers.

use super::{LinearFit, Prompt, RequestWork};
use crate::units::{Millis, Tokens};

/// Weight of a new sample.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Largest sample as a multiple of the mean, so that servers that fail don't set the pace.
const MAX_SAMPLE_RATIO: f64 = 4.0;
/// Time to an answer before one was measured.
const FIRST_ANSWER_MS: f64 = 50.0;
/// Time to the first event after a prefill elsewhere before one was measured.
const FIRST_EVENT_MS: f64 = 120.0;
/// Time to read a prompt token before one was measured; of the order of large models on one node.
const FIRST_TOKEN_MS: f64 = 0.02;
/// Time of a prefill before one was measured.
const FIRST_PREFILL_MS: f64 = 180.0;

/// Tokens of a prompt before one was seen.
const FIRST_PROMPT_TOKENS: f64 = 5_000.0;
/// Time of an answer in events before one was measured.
const FIRST_STREAM_MS: f64 = 2_500.0;

/// Mean times of a service's servers at normal pace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServicePace {
    /// Time to the answer of a plain call.
    pub answer_ms: f64,
    /// Time to the first event at a decode engine.
    pub first_event_ms: f64,
    /// Time of a prefill by its tokens.
    pub prefill: LinearFit,
    /// Memory that a request takes at a decode engine.
    pub kv_tokens: f64,
    /// Time of a whole answer at a decode engine.
    pub stream_ms: f64,
}

impl Default for ServicePace {
    fn default() -> Self {
        Self {
            answer_ms: FIRST_ANSWER_MS,
            first_event_ms: FIRST_EVENT_MS,
            prefill: LinearFit::new(FIRST_PROMPT_TOKENS, FIRST_PREFILL_MS, FIRST_TOKEN_MS),
            kv_tokens: FIRST_PROMPT_TOKENS,
            stream_ms: FIRST_STREAM_MS,
        }
    }
}

impl ServicePace {
    /// Takes the time to the answer of a plain call.
    pub fn note_answer(&mut self, measured_ms: Millis) {
        note(&mut self.answer_ms, measured_ms.0 as f64);
    }

    /// Takes the time to the first event at a decode engine.
    pub fn note_first_event(&mut self, measured_ms: Millis) {
        note(&mut self.first_event_ms, measured_ms.0 as f64);
    }

    /// Takes the size of a model call.
    pub fn note_prompt(&mut self, prompt: Prompt) {
        note(&mut self.kv_tokens, prompt.kv_tokens().0 as f64);
    }

    /// Takes the time of a whole answer at a decode engine.
    pub fn note_stream(&mut self, measured_ms: Millis) {
        note(&mut self.stream_ms, measured_ms.0 as f64);
    }

    /// What one request takes, where a decode engine has this much memory.
    pub fn work(&self, engine_tokens: Tokens) -> RequestWork {
        let answers = (engine_tokens.0 as f64 / self.kv_tokens).max(1.0);
        RequestWork {
            prefill_ms: self.prefill.mean_x() * self.prefill.slope(),
            decode_ms: self.stream_ms / answers,
        }
    }

    /// Takes the time of a prefill, which had its engine for itself as far as this instance knows.
    pub fn note_prefill(&mut self, measured_ms: Millis, tokens: Tokens) {
        let expected_ms = self.prefill.value(tokens.0 as f64);
        let sample_ms = (measured_ms.0 as f64).min(expected_ms * MAX_SAMPLE_RATIO);
        self.prefill.note(tokens.0 as f64, sample_ms);
    }

    /// Expected time of a prefill of `tokens` behind `queued` others.
    pub fn prefill_ms(&self, tokens: f64, queued: f64) -> f64 {
        self.prefill.value(tokens) + queued * self.prefill.slope()
    }
}

fn note(mean: &mut f64, sample: f64) {
    *mean += SAMPLE_WEIGHT * (sample.min(*mean * MAX_SAMPLE_RATIO) - *mean);
}
