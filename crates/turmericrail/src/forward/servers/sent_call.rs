//! A caller's request that was sent to a server, until it is known how that ended.

use std::net::SocketAddr;
use std::sync::Arc;

use turmericrail_core::forward::{BrokenCall, BrokenKind, ChosenServer, ServerRun};
use turmericrail_core::ids::ServiceId;
use turmericrail_core::request::RequestFingerprint;
use turmericrail_core::units::Millis;

use super::server_ends;
use crate::forward::calls::call_context::CallContext;
use crate::forward::clock;
use crate::forward::shared::Shared;

/// Time after its first event from which on an answer counts as written for a while.
const LATE_AFTER_MS: Millis = Millis(1_000);

/// Counts as abandoned if it is dropped.
pub struct SentCall {
    shared: Arc<Shared>,
    run: ServerRun,
    address: SocketAddr,
    service: ServiceId,
    request: RequestFingerprint,
    first_event_ms: Option<Millis>,
    is_settled: bool,
}

impl SentCall {
    /// A request that is about to be sent.
    pub fn new(context: &CallContext<'_>, choice: &ChosenServer) -> Self {
        Self {
            shared: Arc::clone(context.shared),
            run: choice.run.clone(),
            address: choice.address,
            service: choice.service.clone(),
            request: context.fingerprint,
            first_event_ms: None,
            is_settled: false,
        }
    }

    /// Records that the server has begun to write the answer.
    pub fn record_first_event(&mut self) {
        self.first_event_ms.get_or_insert(clock::now_ms());
    }

    /// The server answered, or it was sent nothing.
    pub fn settle(mut self) {
        self.is_settled = true;
    }

    /// The connection broke before the end of the answer.
    pub fn break_off(mut self) {
        self.is_settled = true;
        self.record(BrokenKind::Broken);
    }

    fn record(&self, kind: BrokenKind) {
        let at_ms = clock::now_ms();
        let is_late = self.first_event_ms.is_some_and(|first_ms| at_ms > first_ms + LATE_AFTER_MS);
        let (service, request) = (self.service.clone(), self.request);
        let call = BrokenCall { service, request, kind, is_late, at_ms };
        server_ends::record_broken(&self.shared, &self.run, self.address, call);
    }
}

impl Drop for SentCall {
    fn drop(&mut self) {
        if !self.is_settled {
            self.record(BrokenKind::Abandoned);
        }
    }
}
