//! Adapter for engines: prefill, transfer, cancel and load reports.

use std::sync::Arc;
use std::time::Duration;

use turmericrail_core::action::{PrefillCall, ServerEndpoint, TransferCall};
use turmericrail_core::event::Event;
use turmericrail_core::ids::StreamId;
use turmericrail_core::report::{Holder, LoadReport};
use turmericrail_wire::client::Call;
use turmericrail_wire::engine::{CancelBody, ImportBody, PrefillAnswer, PrefillBody};

use crate::daemon::Shared;

/// Longest wait for a load report.
const POLL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Longest wait for one try of a cancellation.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Tries of a cancellation.
const CANCEL_TRIES: usize = 3;

/// Computes a prompt.
pub async fn prefill(shared: Arc<Shared>, call: PrefillCall) {
    let Some(sent) = shared.callers.sent(call.request) else {
        shared.tell(Event::CallerGone(call.request));
        return;
    };
    let body = PrefillBody {
        stream: call.stream.clone(),
        holder: call.holder,
        model: call.weights.model,
        version: call.weights.version,
        adapter: call.weights.adapter,
        prompt: String::from_utf8_lossy(&sent.body).into_owned(),
        priority: call.priority,
    };
    let timeout = Duration::from_millis(call.timeout_ms.0);
    let sending = Call::post(call.target.address, "/prefill", &body, timeout);
    let event = match sending.send_json::<PrefillAnswer>().await {
        Ok(answer) => Event::PrefillDone {
            request: call.request,
            stream: call.stream,
            cached_tokens: answer.cached_tokens,
        },
        Err(error) => {
            spdlog::warn!(
                "event=prefill_error request={} error={:?}",
                call.request,
                error.to_string()
            );
            Event::PrefillFailed(call.request, call.stream)
        }
    };
    shared.tell(event);
}

/// Transfers a KV cache to a decode engine.
pub async fn transfer(shared: Arc<Shared>, call: TransferCall) {
    let body = ImportBody {
        stream: call.stream.clone(),
        holder: call.holder,
        source: call.source.address,
        kv_pieces: call.kv_pieces,
        max_tokens: call.max_tokens,
    };
    let timeout = Duration::from_millis(call.timeout_ms.0);
    let answer = Call::post(call.target.address, "/import", &body, timeout).send().await;
    let is_done = answer.is_ok_and(|(answer, _)| answer.status().is_success());
    shared.tell(match is_done {
        true => Event::TransferDone(call.request, call.stream),
        false => Event::TransferFailed(call.request, call.stream),
    });
}

/// Frees all memory of a stream; the owner's sweep covers what these tries miss.
pub async fn cancel(
    _shared: Arc<Shared>,
    target: ServerEndpoint,
    stream: StreamId,
    holder: Holder,
) {
    let body = CancelBody { stream, holder };
    for _ in 0..CANCEL_TRIES {
        let call = Call::post(target.address, "/cancel", &body, CANCEL_TIMEOUT);
        if call.send().await.is_ok() {
            return;
        }
    }
    spdlog::warn!("event=cancel_error server={} stream={}", target.server, body.stream);
}

/// Asks for a load report.
pub async fn poll(shared: Arc<Shared>, target: ServerEndpoint) {
    let call = Call::get(target.address, "/report", POLL_TIMEOUT);
    let report = shared.polls.send_json::<LoadReport>(call).await;
    shared.tell(match report {
        Ok(report) => Event::Report(target.server, report),
        Err(_) => Event::ReportFailed(target.server),
    });
}
