//! Logs and counts the answers that are refused.

use turmericrail_core::ids::ServerId;
use turmericrail_wire::client::CallError;

use crate::daemon::Shared;

/// Records that a call failed since the answer of the server was refused; other failures are left out.
pub fn record(shared: &Shared, server: &ServerId, error: &CallError) {
    if let CallError::Refused { fault, .. } = error {
        record_fault(shared, server, fault.as_str(), &fault.to_string());
    }
}

/// Records that an answer was refused. `label` is that of the metric.
pub fn record_fault(shared: &Shared, server: &ServerId, label: &str, reason: &str) {
    shared.metrics.refused_answers.with_label_values(&[label]).inc();
    spdlog::warn!("event=answer_refused server={server} reason={reason:?}");
}
