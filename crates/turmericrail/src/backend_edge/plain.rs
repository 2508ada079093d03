//! Sends plain calls to their backend servers.

use std::sync::Arc;
use std::time::Duration;

use turmericrail_core::action::PlainCall;
use turmericrail_core::event::{Event, PlainAnswer, PlainResult};
use turmericrail_wire::client::{Call, CallError};

use super::refused_answers;
use crate::daemon::Shared;

/// Sends a call once, on a new connection, and reports the result.
///
/// The result distinguishes a call that was not sent, and may go to another server, from one whose
/// outcome is unknown.
pub async fn call(shared: Arc<Shared>, call: PlainCall) {
    let result = send(&shared, &call).await;
    shared.send_event(Event::PlainResult(call.request, call.target.server, result));
}

async fn send(shared: &Shared, call: &PlainCall) -> PlainResult {
    let Some(received) = shared.callers.received_request(call.request) else {
        return PlainResult::NotSent;
    };
    let Ok(method) = received.method.parse() else {
        return PlainResult::NotSent;
    };
    let outgoing = Call {
        address: call.target.address,
        method,
        path: received.path.clone(),
        content_type: received.content_type.clone(),
        body: received.body.clone(),
        timeout: Duration::from_millis(call.timeout_ms.0),
        budget: Some(shared.answer_budget.clone()),
    };
    match outgoing.send().await {
        Ok((answer, body)) => {
            let content_type =
                answer.content_type().map(|mime| mime.to_string()).unwrap_or_default();
            PlainResult::Answered(PlainAnswer {
                status: answer.status() as u16,
                content_type,
                body,
            })
        }
        Err(CallError::NotSent { .. }) => PlainResult::NotSent,
        Err(error) => {
            refused_answers::record(shared, &call.target.server, &error);
            spdlog::warn!(
                "event=plain_error request={} error={:?}",
                call.request,
                error.to_string()
            );
            PlainResult::Lost
        }
    }
}
