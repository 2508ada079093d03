//! Calls to engines: prefill, transfer of a KV cache, cancellation and load reports.

use std::sync::Arc;
use std::time::Duration;

use turmericrail_core::action::{PrefillCall, ServerEndpoint, TransferCall};
use turmericrail_core::event::Event;
use turmericrail_core::ids::StreamId;
use turmericrail_core::report::{Holder, LoadReport};
use turmericrail_wire::client::Call;
use turmericrail_wire::engine::{CancelBody, ImportBody, PrefillAnswer, PrefillBody};

use super::refused_answers;
use crate::daemon::Shared;

const REPORT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Applies to each attempt.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(1_000);
const CANCEL_ATTEMPTS: usize = 3;

/// Has a prefill engine process the prompt of a request.
pub async fn prefill(shared: Arc<Shared>, call: PrefillCall) {
    let Some(received) = shared.callers.received_request(call.request) else {
        shared.send_event(Event::CallerGone(call.request));
        return;
    };
    let body = PrefillBody {
        stream: call.stream.clone(),
        holder: call.holder,
        model: call.weights.model,
        version: call.weights.version,
        adapter: call.weights.adapter,
        prompt: String::from_utf8_lossy(&received.body).into_owned(),
        priority: call.priority,
    };
    let timeout = Duration::from_millis(call.timeout_ms.0);
    let outgoing = Call::post(call.target.address, "/prefill", &body, timeout);
    let outgoing = outgoing.within(&shared.answer_budget);
    let event = match outgoing.send_json::<PrefillAnswer>().await {
        Ok(answer) => Event::PrefillDone {
            request: call.request,
            stream: call.stream,
            cached_tokens: answer.cached_tokens,
        },
        Err(error) => {
            refused_answers::record(&shared, &call.target.server, &error);
            spdlog::warn!(
                "event=prefill_error request={} error={:?}",
                call.request,
                error.to_string()
            );
            Event::PrefillFailed(call.request, call.stream)
        }
    };
    shared.send_event(event);
}

/// Has a decode engine import a KV cache from a prefill engine.
pub async fn transfer(shared: Arc<Shared>, call: TransferCall) {
    let body = ImportBody {
        stream: call.stream.clone(),
        holder: call.holder,
        source: call.source.address,
        kv_pieces: call.kv_pieces,
        max_tokens: call.max_tokens,
    };
    let timeout = Duration::from_millis(call.timeout_ms.0);
    let outgoing = Call::post(call.target.address, "/import", &body, timeout);
    let answer = outgoing.within(&shared.answer_budget).send().await;
    if let Err(error) = &answer {
        refused_answers::record(&shared, &call.target.server, error);
    }
    let is_done = answer.is_ok_and(|(answer, _)| answer.status().is_success());
    shared.send_event(match is_done {
        true => Event::TransferDone(call.request, call.stream),
        false => Event::TransferFailed(call.request, call.stream),
    });
}

/// Frees the memory that an engine holds for a stream.
///
/// If all attempts fail, the owner's periodic check of the engine's streams frees it.
pub async fn cancel(shared: Arc<Shared>, target: ServerEndpoint, stream: StreamId, holder: Holder) {
    let body = CancelBody { stream, holder };
    for _ in 0..CANCEL_ATTEMPTS {
        let call = Call::post(target.address, "/cancel", &body, CANCEL_TIMEOUT);
        match call.within(&shared.answer_budget).send().await {
            Ok(_) => return,
            Err(error) => refused_answers::record(&shared, &target.server, &error),
        }
    }
    spdlog::warn!("event=cancel_error server={} stream={}", target.server, body.stream);
}

/// Requests a load report and passes it, or the failure, to the coordinator.
pub async fn poll(shared: Arc<Shared>, target: ServerEndpoint) {
    let call = Call::get(target.address, "/report", REPORT_TIMEOUT).within(&shared.answer_budget);
    let report = shared.report_connections.send_json::<LoadReport>(call).await;
    shared.send_event(match report {
        Ok(report) => Event::Report(target.server, report),
        Err(error) => {
            refused_answers::record(&shared, &target.server, &error);
            Event::ReportFailed(target.server)
        }
    });
}
