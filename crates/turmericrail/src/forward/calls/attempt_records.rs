//! What is logged and recorded about the attempts of a model call.

use turmericrail_core::forward::Loss;
use turmericrail_wire::http1::EventSplitter;

use super::call_context::CallContext;
use super::call_failure::CallFailure;
use super::engine_selection::EngineAttempt;
use crate::forward::clock;
use crate::forward::peers::loss_notices;
use crate::forward::servers::exchange::Exchange;

/// Logs where an answer broke off.
pub fn log_cut_answer(
    context: &CallContext<'_>,
    attempt: &EngineAttempt,
    failure: CallFailure,
    events: &EventSplitter,
    is_movable: bool,
) {
    spdlog::info!(
        "event=answer_cut request={} server={} failure={} events={} last_event_id={} \
         is_movable={is_movable} left_ms={}",
        context.request_id,
        attempt.choice().run.server,
        failure.as_str(),
        events.event_count(),
        events.last_id().unwrap_or("none"),
        context.remaining_ms().0
    );
}

/// Records that an answer was lost at its first events, for which parts of its prompt may be to
/// blame.
pub fn record_parts_loss(context: &CallContext<'_>, attempt: &EngineAttempt) {
    let loss = Loss {
        service: context.service.clone(),
        server: attempt.choice().run.clone(),
        request: context.fingerprint,
        parts: context.shared_parts().iter().copied().collect(),
        is_server_ended: false,
        is_late: false,
        lost_ms: clock::now_ms(),
    };
    loss_notices::record_loss(context.shared, loss);
}

/// Logs where the body of an answer ended or broke off.
pub fn log_stream_end(
    context: &CallContext<'_>,
    attempt: &EngineAttempt,
    exchange: &Exchange,
    events: &EventSplitter,
) {
    spdlog::info!(
        "event=stream_end request={} server={} framing={} events={} open_event_bytes={}",
        context.request_id,
        attempt.choice().run.server,
        exchange.head.framing.as_str(),
        events.event_count(),
        events.partial_bytes()
    );
}

/// Records that an engine refused the KV cache. If it had accepted a reservation, it could not
/// fetch the cache, which counts against the engine that should have kept it.
pub fn record_refused_kv(context: &CallContext<'_>, attempt: &EngineAttempt) {
    let Some(kv) = &attempt.kv else {
        return;
    };
    spdlog::info!(
        "event=kv_refused request={} server={} source={} age_ms={}",
        context.request_id,
        attempt.choice().run.server,
        kv.engine().run.server,
        kv.age_ms().0
    );
    let is_blamed = match &attempt.reservation {
        Some(reservation) => !context.has_ranks() || reservation.id().is_some(),
        None => false,
    };
    if is_blamed {
        context.shared.forwarder().record_lost_kv(clock::now_ms(), &kv.engine().run);
    }
}
