//! Logs and counts the answers that are refused.

use std::fmt::Display;

use crate::forward::calls::call_failure::CallFailure;
use crate::forward::shared::Shared;

/// Records that a call to a server, an instance or the store failed since its answer was refused;
/// other failures are left out.
pub fn record(shared: &Shared, sender: impl Display, failure: CallFailure) {
    let CallFailure::Malformed(fault) = failure else {
        return;
    };
    shared.metrics.refused_answers.with_label_values(&[fault.as_str()]).inc();
    spdlog::warn!("event=answer_refused server={sender} reason={:?}", fault.to_string());
}
