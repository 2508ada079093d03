//! One request on its way.

use std::sync::Arc;

use turmericrail_core::forward::{Route, RouteTable};
use turmericrail_core::ids::ServiceId;
use turmericrail_core::units::Millis;

use super::caller_connection::Request;
use super::clock;
use super::shared::Shared;

/// One request on its way.
pub struct CallContext<'a> {
    /// What the edges share.
    pub shared: &'a Arc<Shared>,
    /// The request.
    pub request: &'a Request,
    /// Its id.
    pub request_id: &'a str,
    /// The configuration at its arrival.
    pub table: &'a RouteTable,
    /// Its route.
    pub route: &'a Route,
    /// The service that serves it.
    pub service: &'a ServiceId,
    /// When it must be answered.
    pub deadline_ms: Millis,
}

impl CallContext<'_> {
    /// Time until it must be answered.
    pub fn left_ms(&self) -> Millis {
        self.deadline_ms.saturating_sub(clock::now_ms())
    }

    /// Time for which the caller waits in all, from the arrival on.
    pub fn patience_ms(&self) -> Millis {
        self.deadline_ms.saturating_sub(self.request.arrived_ms)
    }

    /// Time since its arrival.
    pub fn elapsed_ms(&self) -> Millis {
        clock::now_ms().saturating_sub(self.request.arrived_ms)
    }

    /// Whether the route and the bound on retries let the call go to one more server.
    pub fn may_send_again(&self, sent: u32) -> bool {
        if sent == 0 {
            return true;
        }
        let has_attempts = sent < self.route.max_attempts;
        let is_within_bound =
            has_attempts && self.shared.forwarder().try_record_retry(clock::now_ms(), self.service);
        if has_attempts && !is_within_bound {
            self.shared.metrics.retries_refused.inc();
        }
        let outcome = match (has_attempts, is_within_bound) {
            (false, _) => "no_attempts_left",
            (true, false) => "bound_reached",
            (true, true) => "allowed",
        };
        spdlog::info!(
            "event=send_again request={} sent={sent} max_attempts={} outcome={outcome}",
            self.request_id,
            self.route.max_attempts
        );
        is_within_bound
    }

    /// Notes the time of a step for the metrics.
    pub fn observe_step(&self, step: &str, elapsed_ms: Millis) {
        let steps = &self.shared.metrics.step_seconds;
        steps.with_label_values(&[step]).observe(elapsed_ms.0 as f64 / 1_000.0);
    }

    /// Notes the time to the answer or its first event for the metrics.
    pub fn observe_answer(&self) {
        let answers = &self.shared.metrics.answer_seconds;
        let kind = self.route.kind.as_str();
        answers.with_label_values(&[kind]).observe(self.elapsed_ms().0 as f64 / 1_000.0);
    }

    /// Whether the service runs model engines.
    pub fn is_model_call(&self) -> bool {
        self.table.service(self.service).is_some_and(|service| service.engine.is_some())
    }
}
