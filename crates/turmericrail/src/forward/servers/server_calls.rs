//! Serialises, sends and logs the calls of a request to backend servers.

use std::sync::atomic::{AtomicBool, Ordering};

use futures_lite::{FutureExt, future};
use turmericrail_core::forward::{CallEnd, ChosenServer, SendPermit, SoftwareVersion};
use turmericrail_core::units::Millis;
use turmericrail_platform::call::{self, CallTerms, ServerTask};

use super::call_bytes::CallBytes;
use super::exchange::{Exchange, OutgoingCall};
use super::sent_call::SentCall;
use super::server_ends;
use super::server_notices;
use crate::forward::calls::call_context::CallContext;
use crate::forward::calls::call_failure::CallFailure;
use crate::forward::clock;
use crate::forward::handover::reach_probes;

/// Priority of the least urgent calls that servers know.
const MAX_PRIORITY: u8 = 9;

/// Head of a call; its body is that of the request.
pub fn call_head(
    context: &CallContext<'_>,
    choice: &ChosenServer,
    task: &ServerTask<'_>,
) -> Vec<u8> {
    let request = context.request;
    let mut bytes = Vec::new();
    let terms = CallTerms {
        server: &choice.run.server,
        remaining_ms: context.remaining_ms(),
        has_tenants: context.table.tenants().is_some(),
        tenant: context.tenant.map(|tenant| &tenant.name),
        priority: context.has_ranks().then(|| context.rank().min(MAX_PRIORITY)),
    };
    call::write_head(&request.head, request.body.len(), &terms, task, &mut bytes);
    bytes
}

/// Sends a call, waits for the head of its answer and records the load that it reports.
pub async fn send_call(
    context: &CallContext<'_>,
    choice: &ChosenServer,
    bytes: CallBytes<'_>,
    _permit: SendPermit,
    timeout_ms: Millis,
) -> Result<Exchange, CallFailure> {
    context.usage.granted().await;
    let sent_ms = clock::now_ms();
    if !context.shared.forwarder().try_take_call(sent_ms, &choice.run) {
        context.sends().record_not_sent();
        return Err(CallFailure::Withheld);
    }
    context.usage.record_send();
    let unsent = UnsentCall { context, is_connected: AtomicBool::new(false) };
    let outgoing = OutgoingCall {
        address: choice.address,
        bytes,
        method: &context.request.head.method,
        request_id: context.request_id,
        is_connected: &unsent.is_connected,
        on_opened: &|| reach_probes::record_connect(context.shared, &choice.run, true),
    };
    let sent = SentCall::new(context, choice);
    let starting = Exchange::start(&context.shared.pool, &outgoing, timeout_ms);
    let silence = async {
        reach_probes::watch_silence(context.shared, choice).await;
        future::pending().await
    };
    let started = starting.or(silence).await;
    let mut exchange = match started {
        Ok(exchange) => exchange,
        Err(failure) => {
            end_unanswered(context, choice, sent, failure);
            return Err(failure);
        }
    };
    exchange.watch(sent);
    reach_probes::record_answer(context.shared, &choice.service);
    if exchange.metadata.is_not_run {
        context.usage.record_not_run();
    }
    server_notices::record(context.shared, &choice.run, &exchange.metadata, sent_ms);
    server_notices::record_load(context.shared, &choice.run, &exchange.metadata);
    Ok(exchange)
}

/// Takes a call back if it ends, or is given up, before there is a connection for it.
struct UnsentCall<'a> {
    context: &'a CallContext<'a>,
    is_connected: AtomicBool,
}

impl Drop for UnsentCall<'_> {
    fn drop(&mut self) {
        if !self.is_connected.load(Ordering::Relaxed) {
            self.context.sends().record_not_sent();
            self.context.usage.record_not_run();
        }
    }
}

/// Records the end of a call without the head of an answer.
fn end_unanswered(
    context: &CallContext<'_>,
    choice: &ChosenServer,
    sent: SentCall,
    failure: CallFailure,
) {
    match failure {
        CallFailure::Lost => sent.break_off(),
        CallFailure::Silent => drop(sent),
        CallFailure::Malformed(_) | CallFailure::Oversized => sent.settle(),
        CallFailure::NotSent
        | CallFailure::ConnectionRefused
        | CallFailure::Withheld
        | CallFailure::NoTimeLeft => {
            sent.settle();
        }
    }
    if matches!(failure, CallFailure::NotSent | CallFailure::ConnectionRefused) {
        reach_probes::record_connect(context.shared, &choice.run, false);
    }
    if failure == CallFailure::ConnectionRefused {
        server_ends::record_refused_connection(context.shared, &choice.run);
    }
}

/// Logs the end of a call and records its duration.
pub fn log_call(
    context: &CallContext<'_>,
    event: &'static str,
    choice: &ChosenServer,
    end: CallEnd,
    elapsed_ms: Millis,
) {
    context.observe_step(event, elapsed_ms);
    spdlog::info!(
        "event={event} request={} fingerprint={} server={} version={} predicted_ms={} looked_at={} registry_revision={} \
         config_version={} outcome={} elapsed_ms={}{}",
        context.request_id,
        context.fingerprint,
        choice.run.server,
        version_text(choice),
        choice.predicted_latency_ms.0,
        choice.candidate_count,
        choice.registry_revision,
        context.table.version(),
        end.as_str(),
        elapsed_ms.0,
        speed_text(context, choice)
    );
}

/// The log fields of a server's speed; empty if the server states none.
fn speed_text(context: &CallContext<'_>, choice: &ChosenServer) -> String {
    let now_ms = clock::now_ms();
    let forwarder = context.shared.forwarder();
    let speed = forwarder.server_speed(&choice.run).filter(|speed| speed.is_stated());
    let Some(speed) = speed else {
        return String::new();
    };
    let lasting = format!(" lasting_slowdown={:.2}", speed.lasting().value(now_ms));
    let Some(momentary) = speed.momentary() else {
        return lasting;
    };
    format!(
        "{lasting} momentary_slowdown={:.2} figure_age_ms={}",
        momentary.value(now_ms),
        momentary.age_ms(now_ms).0
    )
}

fn version_text(choice: &ChosenServer) -> &str {
    choice.version.as_ref().map_or("none", SoftwareVersion::as_str)
}
