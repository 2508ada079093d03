//! Records the times that calls took, from which later ones are predicted.

use crate::forward::{ChosenServer, Forwarder};
use crate::units::{Millis, Tokens};

impl Forwarder {
    /// Records the time to the answer of a plain call.
    pub fn record_answer_time(
        &mut self,
        now_ms: Millis,
        choice: &ChosenServer,
        measured_ms: Millis,
    ) {
        self.service_latencies
            .entry(choice.service.clone())
            .or_default()
            .record_answer_time(measured_ms);
        self.record_latency(now_ms, choice, measured_ms);
        self.record_work_time(now_ms, choice, measured_ms);
    }

    /// Records the time to the first event at a decode engine that received the KV cache from a
    /// prefill engine.
    pub fn record_first_event_time(
        &mut self,
        now_ms: Millis,
        choice: &ChosenServer,
        measured_ms: Millis,
    ) {
        self.service_latencies
            .entry(choice.service.clone())
            .or_default()
            .record_first_event_time(measured_ms);
        self.record_latency(now_ms, choice, measured_ms);
    }

    /// Records the duration of a prefill.
    pub fn record_prefill_time(
        &mut self,
        now_ms: Millis,
        choice: &ChosenServer,
        measured_ms: Millis,
    ) {
        let load = self.loads.get(&choice.run).copied().unwrap_or_default();
        let queued = Tokens(load.tokens().max(choice.tokens.0));
        self.service_latencies
            .entry(choice.service.clone())
            .or_default()
            .record_prefill_time(measured_ms, queued);
        self.record_latency(now_ms, choice, measured_ms);
        self.record_work_time(now_ms, choice, measured_ms);
    }

    fn record_latency(&mut self, now_ms: Millis, choice: &ChosenServer, measured_ms: Millis) {
        let load = self.loads.entry(choice.run.clone()).or_default();
        load.record_latency(now_ms, measured_ms, choice.baseline_latency_ms);
    }

    /// Records the time of work of which most depends on the speed of the server.
    fn record_work_time(&mut self, now_ms: Millis, choice: &ChosenServer, measured_ms: Millis) {
        let speed = self.loads.entry(choice.run.clone()).or_default().speed_mut();
        let baseline_ms = choice.baseline_latency_ms.0 as f64;
        speed.record_time(now_ms, measured_ms.0 as f64, baseline_ms);
    }

    /// Records the time from the first to the last event of a whole answer.
    pub fn record_generation_time(
        &mut self,
        now_ms: Millis,
        choice: &ChosenServer,
        measured_ms: Millis,
        events: u64,
        expected_tokens: Tokens,
    ) {
        let gaps = events.saturating_sub(1) as f64;
        if gaps < 1.0 || measured_ms == Millis::ZERO {
            return;
        }
        let gap_ms = measured_ms.0 as f64 / gaps;
        let latency = self.service_latencies.entry(choice.service.clone()).or_default();
        let baseline_ms = latency.event_gap_ms.map(|mean_ms| mean_ms * gaps);
        latency.record_event_gap(gap_ms, events, expected_tokens);
        let Some(baseline_ms) = baseline_ms else {
            return;
        };
        let speed = self.loads.entry(choice.run.clone()).or_default().speed_mut();
        speed.record_time(now_ms, measured_ms.0 as f64, baseline_ms);
    }
}
