//! Adapter for plain services.

use std::sync::Arc;
use std::time::Duration;

use turmericrail_core::action::PlainCall;
use turmericrail_core::event::{Event, PlainAnswer, PlainResult};
use turmericrail_wire::client::{Call, CallError};

use crate::daemon::Shared;

/// Writes one call once, on a fresh connection.
pub async fn call(shared: Arc<Shared>, call: PlainCall) {
    let result = send(&shared, &call).await;
    shared.tell(Event::PlainResult(call.request, call.target.server, result));
}

async fn send(shared: &Shared, call: &PlainCall) -> PlainResult {
    let Some(sent) = shared.callers.sent(call.request) else {
        return PlainResult::NotSent;
    };
    let Ok(method) = sent.method.parse() else {
        return PlainResult::NotSent;
    };
    let sending = Call {
        address: call.target.address,
        method,
        path: sent.path.clone(),
        content_type: sent.content_type.clone(),
        body: sent.body.clone(),
        timeout: Duration::from_millis(call.timeout_ms.0),
    };
    match sending.send().await {
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
            spdlog::warn!(
                "event=plain_error request={} error={:?}",
                call.request,
                error.to_string()
            );
            PlainResult::Lost
        }
    }
}
