//! Decides when a request is handed over.

use std::future::Future;

use futures_lite::{FutureExt, future};
use turmericrail_core::error_kind::ErrorKind;
use turmericrail_core::forward::DeclineReason;

use super::{sender, taking};
use crate::forward::callers::caller_stream::CallerStream;
use crate::forward::callers::dispatch::{ConnectionAction, Refusal};
use crate::forward::calls::call_context::CallContext;
use crate::forward::clock;

/// Hands over, or declines, a new request whose service is cut off; `None` if it is to be served
/// here.
pub async fn offer_on_arrival(
    context: &CallContext<'_>,
    caller: &CallerStream,
) -> Result<Option<ConnectionAction>, Refusal> {
    let (shared, request) = (context.shared, context.request);
    if taking::is_cut_off(shared, request, context.service) {
        return Ok(Some(taking::decline(shared, request, caller, DeclineReason::CutOff).await));
    }
    if !request.origin.is_caller() || !is_cut_off(context) {
        return Ok(None);
    }
    sender::offer(context, caller).await
}

/// Has a request served here, and hands it over if its service turns out to be cut off.
pub async fn serve_or_hand_over<S, F>(
    context: &CallContext<'_>,
    caller: &CallerStream,
    serve: S,
) -> Result<ConnectionAction, Refusal>
where
    S: Fn() -> F,
    F: Future<Output = Result<ConnectionAction, Refusal>>,
{
    if !context.shared.handover.is_enabled() {
        return serve().await;
    }
    let (shared, request) = (context.shared, context.request);
    let until_cut_off = async {
        wait_until_cut_off(context, caller).await;
        None
    };
    let served = async { Some(serve().await) }.or(until_cut_off).await;
    match served {
        Some(Err(refusal)) if is_unserved(context, caller, refusal) => {
            if taking::is_cut_off(shared, request, context.service) {
                if context.sends().has_sent() {
                    return Err(refusal);
                }
                let reason = DeclineReason::CutOff;
                return Ok(taking::decline(shared, request, caller, reason).await);
            }
            sender::offer(context, caller).await?.ok_or(refusal)
        }
        Some(result) => result,
        None => {
            let had_sent = context.sends().has_sent();
            if let Some(action) = sender::offer(context, caller).await? {
                return Ok(action);
            }
            serve().await.map_err(|refusal| match had_sent && !caller.has_begun() {
                true => ErrorKind::ServerLost.into(),
                false => refusal,
            })
        }
    }
}

fn is_cut_off(context: &CallContext<'_>) -> bool {
    context.shared.forwarder().is_cut_off(clock::now_ms(), context.service)
}

/// Whether a request that was refused here may be served elsewhere.
fn is_unserved(context: &CallContext<'_>, caller: &CallerStream, refusal: Refusal) -> bool {
    let is_for_servers = matches!(
        refusal.kind,
        ErrorKind::NoServer
            | ErrorKind::Overloaded
            | ErrorKind::DeadlineUnreachable
            | ErrorKind::ServerLost
    );
    is_for_servers && may_move(context, caller) && is_cut_off(context)
}

/// Whether a request can still go elsewhere: nothing of it was sent, or it may be repeated.
fn may_move(context: &CallContext<'_>, caller: &CallerStream) -> bool {
    let is_free = context.route.kind.is_repeatable() || !context.sends().has_sent();
    is_free && !caller.has_begun()
}

/// Returns once the service of a caller's request is cut off and the request may be handed over.
async fn wait_until_cut_off(context: &CallContext<'_>, caller: &CallerStream) {
    if !context.request.origin.is_caller() {
        return future::pending().await;
    }
    loop {
        let change = context.shared.handover.cut_off.next_change();
        if context.shared.forwarder().is_still_cut_off(context.service) && may_move(context, caller)
        {
            return;
        }
        let _ = change.recv().await;
    }
}
