//! Load and health of one run of a server, derived from this instance's calls and the server's
//! reports.

use super::latency_ratio::LatencyRatio;
use super::reliability::Reliability;
use crate::forward::{CallEnd, FailureScore, ServerSpeed, WorkTimePercent};
use crate::units::{Millis, Tokens};

/// Time over which the weight of a load report falls linearly to zero; calls last a few hundred
/// milliseconds at most.
const REPORT_LIFETIME_MS: f64 = 1_000.0;

/// Weight of a new report in the mean number of other instances' calls.
const OTHER_CALLS_SAMPLE_WEIGHT: f64 = 0.2;

/// Time for which a server counts as full after it had no room; a few answers finish in it.
const FULL_HOLD_OFF_MS: Millis = Millis(150);

/// Time for which an unreachable server gets no calls: about two connection attempts, so that only
/// one call at a time pays for probing it.
const UNREACHABLE_HOLD_OFF_MS: Millis = Millis(400);

/// Time for which an engine that refused a prefill gets no other one: it is changing its role,
/// which takes about as long, or is overloaded.
const PREFILL_REFUSAL_HOLD_OFF_MS: Millis = Millis(6_000);

/// Load that a server reports about itself.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[expect(missing_docs, reason = "the names say it")]
pub struct ReportedLoad {
    pub running_calls: u32,
    pub waiting_calls: u32,
    /// Number of calls that can run concurrently.
    pub max_concurrent_calls: u32,
    /// How long work takes at the moment; `None` if the server does not state it.
    pub work_time: Option<WorkTimePercent>,
}

#[derive(Clone, Copy, Debug)]
struct Report {
    other_calls: f64,
    at_ms: Millis,
}

/// Load and health of one run of a server, as seen by this instance.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerLoad {
    running_calls: u32,
    tokens: u64,
    report: Option<Report>,
    /// Mean of the reported calls of other instances; `None` for servers that state no speed.
    mean_other_calls: Option<f64>,
    latency_ratio: LatencyRatio,
    speed: ServerSpeed,
    failures: FailureScore,
    reliability: Reliability,
    last_full_ms: Option<Millis>,
    last_unreachable_ms: Option<Millis>,
    last_prefill_refusal_ms: Option<Millis>,
    closed_until_ms: Option<Millis>,
    is_conversion_candidate: bool,
}

impl ServerLoad {
    /// Adds a call that starts.
    pub fn record_call_start(&mut self, tokens: Tokens) {
        self.running_calls += 1;
        self.tokens += tokens.0;
    }

    /// Removes a call and records its outcome.
    pub fn record_call_end(&mut self, now_ms: Millis, tokens: Tokens, end: CallEnd) {
        self.running_calls = self.running_calls.saturating_sub(1);
        self.tokens = self.tokens.saturating_sub(tokens.0);
        match end {
            CallEnd::Answered => {
                self.failures.record_answer(now_ms);
                self.last_unreachable_ms = None;
            }
            CallEnd::Unreachable => self.last_unreachable_ms = Some(now_ms),
            _ => {}
        }
        if let Some(is_answered) = end.is_answered() {
            self.reliability.record(now_ms, is_answered);
        }
        if let Some(weight) = end.failure_weight() {
            self.failures.record_failure(now_ms, weight);
        }
    }

    /// Records a failure that does not end a call.
    pub fn record_failure(&mut self, now_ms: Millis) {
        self.failures.record_failure(now_ms, 1.0);
    }

    /// Records the measured time of a call against the expected time at a server of average
    /// latency.
    pub fn record_latency(
        &mut self,
        now_ms: Millis,
        measured_ms: Millis,
        baseline_latency_ms: Millis,
    ) {
        self.latency_ratio.record(now_ms, measured_ms, baseline_latency_ms);
    }

    /// Stores a load report; the calls beyond this instance's own belong to other instances.
    pub fn record_report(&mut self, now_ms: Millis, reported: ReportedLoad) {
        let all = f64::from(reported.running_calls) + f64::from(reported.waiting_calls);
        let other_calls = (all - f64::from(self.running_calls)).max(0.0);
        self.report = Some(Report { other_calls, at_ms: now_ms });
        if let Some(figure) = reported.work_time {
            self.speed.record_figure(now_ms, figure);
            let mean = self.mean_other_calls.get_or_insert(other_calls);
            *mean += OTHER_CALLS_SAMPLE_WEIGHT * (other_calls - *mean);
        }
    }

    /// Records that the server had no room for a call.
    pub fn record_full(&mut self, now_ms: Millis) {
        self.last_full_ms = Some(now_ms);
    }

    /// Whether the server had no room a moment ago.
    pub fn is_full(&self, now_ms: Millis) -> bool {
        self.last_full_ms.is_some_and(|at_ms| now_ms < at_ms + FULL_HOLD_OFF_MS)
    }

    /// Records that the engine refused a prefill.
    pub fn record_prefill_refusal(&mut self, now_ms: Millis) {
        self.last_prefill_refusal_ms = Some(now_ms);
    }

    /// Whether the engine refused a prefill recently.
    pub fn is_refusing_prefills(&self, now_ms: Millis) -> bool {
        self.last_prefill_refusal_ms
            .is_some_and(|at_ms| now_ms < at_ms + PREFILL_REFUSAL_HOLD_OFF_MS)
    }

    /// Sets whether the engine is among the first to be converted from prefill to decode.
    pub fn set_conversion_candidate(&mut self, is_conversion_candidate: bool) {
        self.is_conversion_candidate = is_conversion_candidate;
    }

    /// Whether the engine is among the first to be converted from prefill to decode.
    pub fn is_conversion_candidate(&self) -> bool {
        self.is_conversion_candidate
    }

    /// Whether the last connection attempt failed a moment ago, so that a new call would only wait.
    pub fn is_unreachable(&self, now_ms: Millis) -> bool {
        self.last_unreachable_ms.is_some_and(|at_ms| now_ms < at_ms + UNREACHABLE_HOLD_OFF_MS)
    }

    /// Records that the server wants no calls until then.
    pub fn record_closed(&mut self, until_ms: Millis) {
        self.closed_until_ms = self.closed_until_ms.max(Some(until_ms));
    }

    /// Time until the server takes calls again; `None` if it takes them now.
    pub fn closed_for_ms(&self, now_ms: Millis) -> Option<Millis> {
        self.closed_until_ms.filter(|until_ms| now_ms < *until_ms).map(|until_ms| until_ms - now_ms)
    }

    /// Number of running calls of this instance.
    pub fn running_calls(&self) -> u32 {
        self.running_calls
    }

    /// Tokens of this instance's running calls.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Estimated number of running calls of other instances. As the report ages, it goes to zero, or
    /// to the mean of the reports for a server that states its speed: the mean then shows how long
    /// calls stay there. A slow server keeps its calls for longer, so its reports hold for longer.
    pub fn other_instances_calls(&self, now_ms: Millis) -> f64 {
        let Some(report) = self.report else {
            return 0.0;
        };
        let mean = self.mean_other_calls.unwrap_or(0.0);
        let slowdown = self.mean_other_calls.map_or(1.0, |_| self.speed.lasting().value(now_ms));
        let age_ms = now_ms.saturating_sub(report.at_ms).0 as f64;
        let weight = (1.0 - age_ms / (REPORT_LIFETIME_MS * slowdown)).max(0.0);
        mean + weight * (report.other_calls - mean)
    }

    /// Expected ratio of the server's time to that of an average server for work that starts now.
    pub fn time_ratio(&self, now_ms: Millis, baseline_ms: f64) -> f64 {
        let stated = self.speed.time_ratio(now_ms, baseline_ms);
        stated.unwrap_or_else(|| self.latency_ratio.value(now_ms))
    }

    /// Lasting and momentary speed.
    pub fn speed(&self) -> &ServerSpeed {
        &self.speed
    }

    /// Lasting and momentary speed.
    pub fn speed_mut(&mut self) -> &mut ServerSpeed {
        &mut self.speed
    }

    /// Probability that the next call fails, given that of a call to any server of the service.
    pub fn failure_probability(&self, now_ms: Millis, prior: f64) -> f64 {
        self.reliability.failure_probability(now_ms, prior)
    }

    /// Decaying score of recent failures.
    pub fn failure_score(&self, now_ms: Millis) -> f64 {
        self.failures.value(now_ms)
    }
}
