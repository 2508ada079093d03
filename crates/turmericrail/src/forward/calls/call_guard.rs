//! Counts a call at a server from its start to its end.

use std::sync::Arc;

use turmericrail_core::forward::{CallEnd, ChosenServer};
use turmericrail_core::units::Millis;

use crate::forward::clock;
use crate::forward::shared::Shared;

/// Counts a call at a server until it ends; a dropped guard counts as a cancelled call.
pub struct CallGuard {
    shared: Arc<Shared>,
    choice: ChosenServer,
    started_ms: Millis,
    is_ended: bool,
}

impl CallGuard {
    /// Counts the start of a call.
    pub fn start(shared: &Arc<Shared>, choice: &ChosenServer) -> Self {
        shared.forwarder().record_call_start(choice);
        let started_ms = clock::now_ms();
        Self { shared: Arc::clone(shared), choice: choice.clone(), started_ms, is_ended: false }
    }

    pub fn choice(&self) -> &ChosenServer {
        &self.choice
    }

    /// Time since the call started.
    pub fn elapsed_ms(&self) -> Millis {
        clock::now_ms().saturating_sub(self.started_ms)
    }

    /// Counts the end of the call.
    pub fn end(mut self, end: CallEnd) {
        self.finish(end);
    }

    fn finish(&mut self, end: CallEnd) {
        if !std::mem::replace(&mut self.is_ended, true) {
            self.shared.forwarder().record_call_end(clock::now_ms(), &self.choice, end);
            self.shared.metrics.server_calls.with_label_values(&[end.as_str()]).inc();
        }
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.finish(CallEnd::Cancelled);
    }
}
