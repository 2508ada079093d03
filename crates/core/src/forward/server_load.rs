//! Load and health of one run of a server, from this instance's calls and the server's answers.

use super::latency_ratio::LatencyRatio;
use super::{CallEnd, FailureScore};
use crate::units::{Millis, Tokens};

/// Time after which a server's own word on its load counts nothing any more; calls last a few
/// hundred milliseconds at the most.
const REPORT_LIFETIME_MS: f64 = 1_000.0;

/// Time for which a server counts as full after it had no room; some answers end in it.
const FULL_HOLD_OFF_MS: Millis = Millis(150);

/// Time for which a server that could not be reached is left out: about two round trips of a
/// connection that is given up, so that one call at a time pays for looking.
const UNREACHABLE_HOLD_OFF_MS: Millis = Millis(400);

/// Time for which an engine that refused a prefill gets no other: it is changing its role, which
/// takes about as long, or overrun.
const PREFILL_REFUSAL_HOLD_OFF_MS: Millis = Millis(6_000);

/// A server's own word on its load.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ReportedLoad {
    /// Calls that run.
    pub running: u32,
    /// Calls that wait.
    pub waiting: u32,
    /// Calls that can run at a time.
    pub slots: u32,
}

#[derive(Clone, Copy, Debug)]
struct Report {
    other_calls: f64,
    at_ms: Millis,
}

/// Load and health of one run of a server.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerLoad {
    calls: u32,
    tokens: u64,
    report: Option<Report>,
    latency_ratio: LatencyRatio,
    failures: FailureScore,
    last_full_ms: Option<Millis>,
    last_unreachable_ms: Option<Millis>,
    last_prefill_refusal_ms: Option<Millis>,
    is_conversion_candidate: bool,
}

impl ServerLoad {
    /// Counts a call that starts.
    pub fn record_call_start(&mut self, tokens: Tokens) {
        self.calls += 1;
        self.tokens += tokens.0;
    }

    /// Counts a call that ended.
    pub fn record_call_end(&mut self, now_ms: Millis, tokens: Tokens, end: CallEnd) {
        self.calls = self.calls.saturating_sub(1);
        self.tokens = self.tokens.saturating_sub(tokens.0);
        match end {
            CallEnd::Answered => {
                self.failures.record_answer(now_ms);
                self.last_unreachable_ms = None;
            }
            CallEnd::Unreachable => self.last_unreachable_ms = Some(now_ms),
            _ => {}
        }
        if let Some(weight) = end.failure_weight() {
            self.failures.record_failure(now_ms, weight);
        }
    }

    /// Counts a failure that is no end of a call.
    pub fn record_failure(&mut self, now_ms: Millis) {
        self.failures.record_failure(now_ms, 1.0);
    }

    /// Takes the time to an answer or first event and what was predicted at normal pace.
    pub fn record_latency(&mut self, now_ms: Millis, measured_ms: Millis, baseline_ms: Millis) {
        self.latency_ratio.record(now_ms, measured_ms, baseline_ms);
    }

    /// Takes the server's own word on its load.
    pub fn record_report(&mut self, now_ms: Millis, reported: ReportedLoad) {
        let all = f64::from(reported.running) + f64::from(reported.waiting);
        let other_calls = (all - f64::from(self.calls)).max(0.0);
        self.report = Some(Report { other_calls, at_ms: now_ms });
    }

    /// Notes that the server had no room for a call.
    pub fn record_full(&mut self, now_ms: Millis) {
        self.last_full_ms = Some(now_ms);
    }

    /// Whether the server had no room for a call a moment ago.
    pub fn is_full(&self, now_ms: Millis) -> bool {
        self.last_full_ms.is_some_and(|at_ms| now_ms < at_ms + FULL_HOLD_OFF_MS)
    }

    /// Notes that the engine refused a prefill.
    pub fn record_prefill_refusal(&mut self, now_ms: Millis) {
        self.last_prefill_refusal_ms = Some(now_ms);
    }

    /// Whether the engine refused a prefill of late.
    pub fn has_refused_prefill(&self, now_ms: Millis) -> bool {
        self.last_prefill_refusal_ms
            .is_some_and(|at_ms| now_ms < at_ms + PREFILL_REFUSAL_HOLD_OFF_MS)
    }

    /// Notes whether the engine is among those that change their role first.
    pub fn set_conversion_candidate(&mut self, is_conversion_candidate: bool) {
        self.is_conversion_candidate = is_conversion_candidate;
    }

    /// Whether the engine is among those that change their role first.
    pub fn is_conversion_candidate(&self) -> bool {
        self.is_conversion_candidate
    }

    /// Whether it could not be reached a moment ago, so that a call there would only wait.
    pub fn is_unreachable(&self, now_ms: Millis) -> bool {
        self.last_unreachable_ms.is_some_and(|at_ms| now_ms < at_ms + UNREACHABLE_HOLD_OFF_MS)
    }

    /// Calls of this instance that have not ended.
    pub fn calls(&self) -> u32 {
        self.calls
    }

    /// Tokens of this instance's calls that have not ended.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Estimated calls of other instances that have not ended.
    pub fn other_instances_calls(&self, now_ms: Millis) -> f64 {
        self.report.map_or(0.0, |report| {
            let age_ms = now_ms.saturating_sub(report.at_ms).0 as f64;
            report.other_calls * (1.0 - age_ms / REPORT_LIFETIME_MS).max(0.0)
        })
    }

    /// How slow it is compared with what was predicted.
    pub fn latency_ratio(&self, now_ms: Millis) -> f64 {
        self.latency_ratio.value(now_ms)
    }

    /// How often it failed of late.
    pub fn failure_score(&self, now_ms: Millis) -> f64 {
        self.failures.value(now_ms)
    }
}
