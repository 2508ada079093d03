//! Finds the route of a request, has it served and sends the final answer.

use std::sync::{Arc, Mutex};

use futures_lite::FutureExt;
use turmericrail_core::error_kind::ErrorKind;
use turmericrail_core::forward::{Admission, Route, RouteKind, RouteTable, Tenant};
use turmericrail_core::units::Millis;

use super::answer_writer;
use super::caller_connection::CallerConnection;
use super::caller_stream::CallerStream;
use super::connection_end::ConnectionEnd;
use super::request::Request;
use crate::forward::calls::call_context::CallContext;
use crate::forward::calls::model_call;
use crate::forward::calls::plain_call;
use crate::forward::clock;
use crate::forward::handover::{self, Arrival, taking};
use crate::forward::peers::loss_notices;
use crate::forward::peers::stream_versions;
use crate::forward::peers::usage;
use crate::forward::peers::usage_grant::UsageGrant;
use crate::forward::shared::Shared;

/// Longest part of a request id that is logged.
const MAX_LOGGED_ID_BYTES: usize = 64;

/// What to do with the caller's connection after an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionAction {
    /// Read the next request.
    KeepAlive,
    /// Close in order.
    Close,
    /// Drop at once: the answer broke off, or the caller has left.
    Abort(ConnectionEnd),
}

/// Why a request gets no answer from a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    pub kind: ErrorKind,
    /// Time after which the caller may retry.
    pub retry_after_ms: Option<Millis>,
}

impl Refusal {
    /// The refusal of a request that is quarantined; `None` if it isn't.
    pub fn of_admission(admission: Admission) -> Option<Self> {
        let Admission::Quarantined { is_for_request, retry_after_ms } = admission else {
            return None;
        };
        let kind = match is_for_request {
            true => ErrorKind::RequestQuarantined,
            false => ErrorKind::PromptQuarantined,
        };
        Some(Self { kind, retry_after_ms: Some(retry_after_ms) })
    }
}

impl From<ErrorKind> for Refusal {
    fn from(kind: ErrorKind) -> Self {
        Self { kind, retry_after_ms: None }
    }
}

/// Forwards a request, or answers it with a refusal; returns what to do with the connection.
pub async fn serve(
    shared: &Arc<Shared>,
    connection: &mut CallerConnection,
    request: &Request,
) -> ConnectionAction {
    let writer = connection.stream.clone();
    let caller = CallerStream::new(shared, writer, request);
    let serving = async {
        match forward_request(shared, request, &caller).await {
            Ok(action) => action,
            Err(refusal) => refuse(shared, request, &caller, refusal).await,
        }
    };
    let caller_leaving = async {
        let end = connection.wait_until_closed().await;
        log_answer(shared, request.metadata.request_id.as_deref(), "caller_gone", 0);
        ConnectionAction::Abort(end)
    };
    let ending = async {
        shared.last_answers.wait().await;
        refuse(shared, request, &caller, ErrorKind::PlainTimeout.into()).await
    };
    // Given only while the answer waits for the caller to read.
    let evicted = async {
        request.connection.evicted().await;
        ConnectionAction::Abort(ConnectionEnd::Evicted)
    };
    serving.or(caller_leaving).or(ending).or(evicted).await
}

async fn forward_request(
    shared: &Arc<Shared>,
    request: &Request,
    caller: &CallerStream,
) -> Result<ConnectionAction, Refusal> {
    if let Some(reason) = taking::find_reason(shared, request) {
        return Ok(taking::decline(shared, request, caller, reason).await);
    }
    if shared.is_refusing_requests() {
        return Err(ErrorKind::ShuttingDown.into());
    }
    let table = shared.forwarder().table().cloned().ok_or(ErrorKind::NotReady)?;
    let request_id = request.metadata.request_id.as_deref().ok_or(ErrorKind::BadRequest)?;
    let route = table.find(&request.head.host, request.head.path());
    let route = taking::limit_attempts(request, route.ok_or(ErrorKind::UnknownRoute)?);
    let tenant = find_tenant(&table, &route, request)?;
    let service = route.pick_service(fastrand::u64(..)).ok_or(ErrorKind::NoServer)?;
    let mut context = CallContext {
        shared,
        request,
        request_id,
        table: &table,
        route: &route,
        service,
        tenant,
        fingerprint: request.fingerprint(tenant),
        deadline_ms: request.arrived_ms + caller_timeout_ms(request, &route),
        is_trial: false,
        begun_version: Mutex::default(),
        sends: Mutex::default(),
        usage: UsageGrant::default(),
    };
    let was_offered = match handover::offer_on_arrival(&context, caller).await? {
        Arrival::Answered(action) => return Ok(action),
        Arrival::Direct { was_offered } => was_offered,
    };
    taking::record_taken(shared, request, caller);
    shared.forwarder().record_call(clock::now_ms(), service);
    context.is_trial = admit(&context)?;
    context.usage = usage::admit(&context).await?;
    let context = &context;
    let serve = || {
        let refused_late = async { Err(context.usage.refused().await) };
        serve_admitted(context, caller).or(refused_late)
    };
    handover::serve_or_hand_over(context, caller, was_offered, serve).await
}

/// Has a request served that was neither quarantined nor refused for its tenant's use.
async fn serve_admitted(
    context: &CallContext<'_>,
    caller: &CallerStream,
) -> Result<ConnectionAction, Refusal> {
    let (shared, request) = (context.shared, context.request);
    let is_stream = matches!(context.route.kind, RouteKind::Stream { .. });
    if let Some(version) = stream_versions::find_begun(context).await? {
        context.record_begun(Some(&version));
    }
    if is_stream || context.is_model_call() {
        return model_call::serve(context, caller).await;
    }
    let (head, body) = plain_call::serve(context).await?;
    let is_head_call = request.head.method == "HEAD";
    context.observe_answer();
    log_answer(shared, Some(context.request_id), "completed", head.status);
    Ok(caller.finish_answer(&head, &body, is_head_call).await)
}

/// The tenant that holds the request's API key. Requests without a known key are refused where the
/// configuration has tenants, except on public routes.
fn find_tenant<'a>(
    table: &'a RouteTable,
    route: &Route,
    request: &Request,
) -> Result<Option<&'a Tenant>, Refusal> {
    let Some(tenants) = table.tenants() else {
        return Ok(None);
    };
    let tenant = request.metadata.api_key().and_then(|key| tenants.find(key));
    if tenant.is_none() && !route.is_public {
        spdlog::info!(
            "event=key_refused request={} route={} config_version={}",
            logged_id(request.metadata.request_id.as_deref()),
            route.name,
            table.version()
        );
        return Err(ErrorKind::UnknownKey.into());
    }
    Ok(tenant.map(Arc::as_ref))
}

/// Refuses a call that is quarantined; returns whether it is a trial.
fn admit(context: &CallContext<'_>) -> Result<bool, Refusal> {
    let (now_ms, random) = (clock::now_ms(), fastrand::u64(..));
    let traits = context.traits();
    let admission = context.shared.forwarder().quarantine().admit(now_ms, &traits, random);
    let (request_id, fingerprint) = (context.request_id, context.fingerprint);
    if let Some(refusal) = Refusal::of_admission(admission) {
        spdlog::info!(
            "event=quarantined request={request_id} fingerprint={fingerprint} parts={} \
             retry_after_ms={}",
            loss_notices::join_parts(context.shared_parts()),
            refusal.retry_after_ms.unwrap_or_default().0
        );
        return Err(refusal);
    }
    if admission == Admission::Trial {
        spdlog::info!("event=quarantine_trial request={request_id} fingerprint={fingerprint}");
    }
    Ok(admission == Admission::Trial)
}

/// Longest time that the caller waits, counted from the arrival.
fn caller_timeout_ms(request: &Request, route: &Route) -> Millis {
    request
        .metadata
        .deadline_ms
        .map_or(route.timeout_ms, |requested_ms| requested_ms.min(route.timeout_ms))
}

async fn refuse(
    shared: &Shared,
    request: &Request,
    caller: &CallerStream,
    refusal: Refusal,
) -> ConnectionAction {
    let request_id = request.metadata.request_id.as_deref();
    log_answer(shared, request_id, refusal.kind.answer().text, refusal.kind.answer().status);
    if caller.has_begun() {
        return caller.abort();
    }
    let bytes = answer_writer::error_answer(
        refusal.kind,
        refusal.retry_after_ms,
        request_id,
        request.head.method == "HEAD",
        caller.is_kept_alive(),
    );
    caller.finish(&bytes).await
}

/// Logs and counts a final answer.
pub fn log_answer(shared: &Shared, request_id: Option<&str>, outcome: &str, status: u16) {
    shared.metrics.answers.with_label_values(&[outcome]).inc();
    let request_id = logged_id(request_id);
    spdlog::info!("event=answer request={request_id} outcome={outcome} status={status}");
}

/// A request id of bounded length for the log.
pub fn logged_id(request_id: Option<&str>) -> &str {
    let request_id = request_id.unwrap_or("none");
    request_id.get(..MAX_LOGGED_ID_BYTES).unwrap_or(request_id)
}
