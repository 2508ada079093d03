//! Counts a call while it waits for room.

use std::sync::Arc;

use turmericrail_core::forward::Urgency;
use turmericrail_core::ids::ServiceId;

use super::call_context::CallContext;
use crate::forward::shared::Shared;

/// Counts a call among the waiting ones of its service until it is dropped.
pub struct WaitingCall {
    shared: Arc<Shared>,
    service: ServiceId,
    urgency: Urgency,
    rank: String,
}

impl WaitingCall {
    /// Counts a call that begins to wait.
    pub fn new(context: &CallContext<'_>, urgency: Urgency) -> Self {
        let (shared, service) = (Arc::clone(context.shared), context.service.clone());
        let rank = context.rank().to_string();
        shared.forwarder().overload(&service).add_waiting(urgency);
        shared.metrics.waiting_calls.with_label_values(&[&rank]).inc();
        Self { shared, service, urgency, rank }
    }
}

impl Drop for WaitingCall {
    fn drop(&mut self) {
        self.shared.forwarder().overload(&self.service).remove_waiting(self.urgency);
        self.shared.metrics.waiting_calls.with_label_values(&[&self.rank]).dec();
    }
}
