//! Decides when a request is handed over.

use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use async_std::task;
use futures_lite::{FutureExt, future};
use turmericrail_core::error_kind::ErrorKind;
use turmericrail_core::forward::DeclineReason;
use turmericrail_core::units::Millis;

use super::sender::Offers;
use super::taking;
use crate::forward::callers::caller_stream::CallerStream;
use crate::forward::callers::dispatch::{ConnectionAction, Refusal};
use crate::forward::calls::call_context::CallContext;
use crate::forward::clock;

/// Time since the arrival after which a call that was sent is offered to other instances too.
const OFFER_DELAY_MS: Millis = Millis(300);

/// What became of a request on its arrival.
pub enum Arrival {
    /// It was handed over or declined.
    Answered(ConnectionAction),
    /// It is to be served here; if its service is cut off, no other instance takes it.
    Direct { was_offered: bool },
}

/// Hands over, or declines, a new request whose service is cut off.
pub async fn offer_on_arrival(
    context: &CallContext<'_>,
    caller: &CallerStream,
) -> Result<Arrival, Refusal> {
    let (shared, request) = (context.shared, context.request);
    if taking::is_cut_off(shared, request, context.service) {
        let declined = taking::decline(shared, request, caller, DeclineReason::CutOff);
        return Ok(Arrival::Answered(declined.await));
    }
    if !request.origin.is_caller() || !is_cut_off(context) {
        return Ok(Arrival::Direct { was_offered: false });
    }
    let offered = Offers::new(context, caller).serve().await?;
    Ok(offered.map_or(Arrival::Direct { was_offered: true }, Arrival::Answered))
}

/// Has a request served here, and hands it over if its service turns out to be cut off.
pub async fn serve_or_hand_over<S, F>(
    context: &CallContext<'_>,
    caller: &CallerStream,
    was_offered: bool,
    serve: S,
) -> Result<ConnectionAction, Refusal>
where
    S: Fn() -> F,
    F: Future<Output = Result<ConnectionAction, Refusal>>,
{
    if !context.shared.handover.is_enabled() || was_offered {
        return serve().await;
    }
    let mut serving = Box::pin(serve());
    let until_cut_off = async {
        wait_until_cut_off(context, caller).await;
        None
    };
    let served = async { Some(serving.as_mut().await) }.or(until_cut_off).await;
    match served {
        Some(Err(refusal)) if is_unserved(context, caller, refusal) => {
            offer_refused(context, caller, refusal).await
        }
        Some(result) => result,
        None if context.sends().has_sent() => race_offers(context, caller, serving).await,
        None => {
            // Nothing was sent, so nothing is lost.
            drop(serving);
            match Offers::new(context, caller).serve().await? {
                Some(action) => Ok(action),
                None => serve().await,
            }
        }
    }
}

/// Offers a request that was refused here, or declines it if another instance sent it.
async fn offer_refused(
    context: &CallContext<'_>,
    caller: &CallerStream,
    refusal: Refusal,
) -> Result<ConnectionAction, Refusal> {
    let (shared, request) = (context.shared, context.request);
    if !taking::is_cut_off(shared, request, context.service) {
        return Offers::new(context, caller).serve().await?.ok_or(refusal);
    }
    if context.sends().has_sent() {
        return Err(refusal);
    }
    Ok(taking::decline(shared, request, caller, DeclineReason::CutOff).await)
}

/// Offers an idempotent request while a call of it goes on, since the call's connection may live on. The
/// call is given up once another instance has answered.
async fn race_offers(
    context: &CallContext<'_>,
    caller: &CallerStream,
    mut serving: Pin<Box<impl Future<Output = Result<ConnectionAction, Refusal>>>>,
) -> Result<ConnectionAction, Refusal> {
    let mut offers = Offers::new(context, caller);
    let mut finding = Box::pin(offers.find_taker());
    let served = async { Some(serving.as_mut().await) };
    let found = async { (None, Some(finding.as_mut().await)) };
    let first = async { (served.await, None) }.or(found).await;
    let (refusal, taken) = match first {
        (Some(Ok(action)), _) => return Ok(action),
        (Some(Err(refusal)), _) if caller.has_begun() => return Err(refusal),
        (Some(Err(refusal)), _) => (Some(refusal), finding.as_mut().await),
        (None, taken) => (None, taken.flatten()),
    };
    drop(finding);
    match (refusal, taken) {
        (None, None) => serving.await,
        // The answer to the call has begun meanwhile.
        (None, Some(_)) if caller.has_begun() => serving.await,
        (_, Some(taken)) => {
            drop(serving);
            offers.pass_on(taken).await
        }
        (Some(refusal), None) => Err(refusal),
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

/// Returns once the service of a caller's request is cut off and the request may be handed over: what
/// was sent has had the time of an answer.
async fn wait_until_cut_off(context: &CallContext<'_>, caller: &CallerStream) {
    if !context.request.origin.is_caller() {
        return future::pending().await;
    }
    loop {
        let change = context.shared.handover.cut_off.next_change();
        let is_cut_off = context.shared.forwarder().is_still_cut_off(context.service);
        if !is_cut_off || !may_move(context, caller) {
            let _ = change.recv().await;
            continue;
        }
        let min_silence_ms = if context.sends().has_sent() { OFFER_DELAY_MS } else { Millis::ZERO };
        let left_ms = min_silence_ms.saturating_sub(context.elapsed_ms());
        if left_ms == Millis::ZERO {
            return;
        }
        task::sleep(Duration::from_millis(left_ms.0)).await;
    }
}
