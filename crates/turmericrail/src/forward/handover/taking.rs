//! Decides whether a request of another instance is taken over.

use std::sync::Arc;

use turmericrail_core::forward::{DeclineReason, RequestLimits, Route};
use turmericrail_core::ids::{ConfigVersion, ServiceId};
use turmericrail_core::units::{Bytes, Millis};
use turmericrail_wire::http1::Headers;

use super::{ATTEMPTS_HEADER, CONFIG_HEADER, DECLINED_HEADER, DECLINED_STATUS, Origin};
use crate::forward::callers::answer_writer;
use crate::forward::callers::caller_stream::CallerStream;
use crate::forward::callers::dispatch::{self, ConnectionAction};
use crate::forward::callers::request::Request;
use crate::forward::clock;
use crate::forward::shared::Shared;

/// Bytes that the head of a request may have beyond the limit for callers, since an instance adds to it.
const ADDED_HEAD_BYTES: u64 = 512;
/// Least time for which a connection of another instance waits for the next request; longer than that
/// one keeps it.
const MIN_IDLE_MS: Millis = Millis(15_000);

/// The limits on requests of other instances, by those on callers'.
pub fn limits(limits: RequestLimits) -> RequestLimits {
    RequestLimits {
        max_header_bytes: Bytes(limits.max_header_bytes.0 + ADDED_HEAD_BYTES),
        idle_timeout_ms: limits.idle_timeout_ms.max(MIN_IDLE_MS),
        ..limits
    }
}

/// Removes the fields that another instance has added to a head, and returns what they say. Fields of
/// these names by the caller stay.
pub fn take_origin(headers: &mut Headers) -> Origin {
    let config_version = take_number(headers, CONFIG_HEADER).unwrap_or_default();
    let max_attempts = take_number(headers, ATTEMPTS_HEADER);
    let max_attempts = max_attempts.and_then(|count| u32::try_from(count).ok());
    Origin::Instance {
        config_version: ConfigVersion(config_version),
        max_attempts: max_attempts.unwrap_or(u32::MAX),
    }
}

/// Removes the last field of a name, and returns its value; `None` if it is no number.
fn take_number(headers: &mut Headers, name: &str) -> Option<u64> {
    let index = headers.0.iter().rposition(|field| field.has_name(name))?;
    String::from_utf8(headers.0.remove(index).value).ok()?.parse().ok()
}

/// The route of a request, with the attempts that the sending instance left.
pub fn limit_attempts(request: &Request, route: &Arc<Route>) -> Arc<Route> {
    match request.origin {
        Origin::Instance { max_attempts, .. } if max_attempts < route.max_attempts => {
            Arc::new(Route { max_attempts, ..Route::clone(route) })
        }
        _ => Arc::clone(route),
    }
}

/// Why a request can't be taken over by this instance in its present state; `None` if it can, or is
/// a caller's own.
pub fn find_reason(shared: &Shared, request: &Request) -> Option<DeclineReason> {
    let Origin::Instance { config_version, .. } = request.origin else {
        return None;
    };
    if shared.is_shutting_down() {
        return Some(DeclineReason::ShuttingDown);
    }
    let own_version = shared.forwarder().table().map(|table| table.version());
    match own_version {
        None => Some(DeclineReason::NotReady),
        Some(own_version) if own_version < config_version => Some(DeclineReason::ConfigBehind),
        Some(_) => None,
    }
}

/// Whether this instance reaches no server of the service of a request that another one sent.
pub fn is_cut_off(shared: &Shared, request: &Request, service: &ServiceId) -> bool {
    !request.origin.is_caller() && shared.forwarder().is_cut_off(clock::now_ms(), service)
}

/// Declines a request of another instance; nothing of it was sent.
pub async fn decline(
    shared: &Shared,
    request: &Request,
    caller: &CallerStream,
    reason: DeclineReason,
) -> ConnectionAction {
    let request_id = request.metadata.request_id.as_deref();
    spdlog::info!(
        "event=handover_declined request={} reason={reason}",
        dispatch::logged_id(request_id)
    );
    shared.metrics.taken_over.with_label_values(&[reason.as_str()]).inc();
    let fields = [(DECLINED_HEADER, reason.as_str())];
    let bytes =
        answer_writer::bare_answer(DECLINED_STATUS, &fields, request_id, caller.is_kept_alive());
    caller.finish(&bytes).await
}

/// Records that a request is taken over, unless it is a caller's own.
pub fn record_taken(shared: &Shared, request: &Request, caller: &CallerStream) {
    if request.origin.is_caller() {
        return;
    }
    shared.metrics.taken_over.with_label_values(&["taken"]).inc();
    let request_id = dispatch::logged_id(request.metadata.request_id.as_deref());
    spdlog::info!("event=taken_over request={request_id} from={}", caller.peer_ip());
}
