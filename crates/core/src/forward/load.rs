//! Load and health of one run of a server, from this instance's calls and the server's answers.

use super::pace::Pace;
use super::{CallEnd, FailureScore};
use crate::units::{Millis, Tokens};

/// Time after which a server's own word on its load counts nothing any more; calls last a few
/// hundred milliseconds at the most.
const REPORT_FADE_MS: f64 = 1_000.0;

/// Time for which a server counts as full after it had no room; some answers end in it.
const FULL_MS: Millis = Millis(150);

/// Time for which a server that could not be reached is left out: about two round trips of a
/// connection that is given up, so that one call at a time pays for looking.
const UNREACHED_MS: Millis = Millis(400);

/// Time for which an engine that refused a prefill gets no other: it is changing its role, which
/// takes about as long, or overrun.
const PREFILL_REFUSED_MS: Millis = Millis(6_000);

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
    others: f64,
    at_ms: Millis,
}

/// Load and health of one run of a server.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerLoad {
    calls: u32,
    tokens: u64,
    report: Option<Report>,
    pace: Pace,
    failures: FailureScore,
    full_ms: Option<Millis>,
    unreached_ms: Option<Millis>,
    prefill_refused_ms: Option<Millis>,
    is_spare: bool,
}

impl ServerLoad {
    /// Counts a call that starts.
    pub fn start(&mut self, tokens: Tokens) {
        self.calls += 1;
        self.tokens += tokens.0;
    }

    /// Counts a call that ended.
    pub fn end(&mut self, now_ms: Millis, tokens: Tokens, end: CallEnd) {
        self.calls = self.calls.saturating_sub(1);
        self.tokens = self.tokens.saturating_sub(tokens.0);
        match end {
            CallEnd::Answered => {
                self.failures.answer(now_ms);
                self.unreached_ms = None;
            }
            CallEnd::Unreached => self.unreached_ms = Some(now_ms),
            _ => {}
        }
        if let Some(weight) = end.failure_weight() {
            self.failures.fail(now_ms, weight);
        }
    }

    /// Counts a failure that is no end of a call.
    pub fn fail(&mut self, now_ms: Millis) {
        self.failures.fail(now_ms, 1.0);
    }

    /// Takes the time to an answer or first event and what was predicted at normal pace.
    pub fn note_pace(&mut self, now_ms: Millis, measured_ms: Millis, predicted_ms: Millis) {
        self.pace.note(now_ms, measured_ms, predicted_ms);
    }

    /// Takes the server's own word on its load.
    pub fn report(&mut self, now_ms: Millis, reported: ReportedLoad) {
        let all = f64::from(reported.running) + f64::from(reported.waiting);
        let others = (all - f64::from(self.calls)).max(0.0);
        self.report = Some(Report { others, at_ms: now_ms });
    }

    /// Notes that the server had no room for a call.
    pub fn note_full(&mut self, now_ms: Millis) {
        self.full_ms = Some(now_ms);
    }

    /// Whether the server had no room for a call a moment ago.
    pub fn is_full(&self, now_ms: Millis) -> bool {
        self.full_ms.is_some_and(|at_ms| now_ms < at_ms + FULL_MS)
    }

    /// Notes that the engine refused a prefill.
    pub fn note_prefill_refused(&mut self, now_ms: Millis) {
        self.prefill_refused_ms = Some(now_ms);
    }

    /// Whether the engine refused a prefill of late.
    pub fn refuses_prefills(&self, now_ms: Millis) -> bool {
        self.prefill_refused_ms.is_some_and(|at_ms| now_ms < at_ms + PREFILL_REFUSED_MS)
    }

    /// Notes whether the engine is among those that change their role first.
    pub fn set_spare(&mut self, is_spare: bool) {
        self.is_spare = is_spare;
    }

    /// Whether the engine is among those that change their role first.
    pub fn is_spare(&self) -> bool {
        self.is_spare
    }

    /// Whether it could not be reached a moment ago, so that a call there would only wait.
    pub fn is_unreached(&self, now_ms: Millis) -> bool {
        self.unreached_ms.is_some_and(|at_ms| now_ms < at_ms + UNREACHED_MS)
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
    pub fn others(&self, now_ms: Millis) -> f64 {
        self.report.map_or(0.0, |report| {
            let age_ms = now_ms.saturating_sub(report.at_ms).0 as f64;
            report.others * (1.0 - age_ms / REPORT_FADE_MS).max(0.0)
        })
    }

    /// How slow it is compared with what was predicted.
    pub fn pace(&self, now_ms: Millis) -> f64 {
        self.pace.value(now_ms)
    }

    /// How often it failed of late.
    pub fn failure_score(&self, now_ms: Millis) -> f64 {
        self.failures.value(now_ms)
    }
}
