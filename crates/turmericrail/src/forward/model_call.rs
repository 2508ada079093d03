//! Model calls: a prefill at one engine, then the answer in events from another.
//!
//! An engine is asked for the answer once the prompt's KV cache is made. Where that path fails, a
//! decode engine reads the prompt itself. An answer that can be resumed goes on at another engine
//! after its last whole event.

use std::time::Duration;

use async_std::task;
use turmericrail_core::error_kind::ErrorKind;
use turmericrail_core::forward::ServerRun;
use turmericrail_core::units::Millis;
use turmericrail_wire::http1::EventSplitter;

use super::answer_writer;
use super::call_context::CallContext;
use super::call_failure::CallFailure;
use super::caller_stream::CallerStream;
use super::clock;
use super::dispatch::{self, Refusal, Served};
use super::engine_attempt::{LegEnd, run_leg};
use super::engine_selection::{Leg, choose_alone, first_leg, reserve};

/// Longest wait for a place of an answer that goes on: callers leave a stream after a gap of two
/// seconds, and its next event takes a prefill.
const MAX_PLACE_WAIT_MS: Millis = Millis(1_500);
/// Time between two rounds of asking for such a place; about two places of a busy fleet become free
/// in it.
const PLACE_PAUSE: Duration = Duration::from_millis(100);
/// Wait named to a caller whose engine refused: the next plan avoids that engine.
const REFUSED_RETRY_AFTER_MS: Millis = Millis(100);

/// Sends a model call until its answer is whole.
pub async fn serve(context: &CallContext<'_>, caller: &CallerStream) -> Result<Served, Refusal> {
    let mut tried: Vec<ServerRun> = Vec::new();
    let mut events = EventSplitter::default();
    let mut sent = 0;
    let mut leg = first_leg(context).await?;
    loop {
        tried.push(leg.choice().run.clone());
        let end = run_leg(context, caller, leg, &mut events, &tried, sent).await;
        if !matches!(end, LegEnd::Failed(CallFailure::NotSent)) {
            sent += 1;
        }
        let (kind, may_move) = match end {
            LegEnd::Complete(served) => return Ok(served),
            LegEnd::CallerLost => return Ok(Served::Broken),
            LegEnd::Moved(next) => {
                leg = *next;
                continue;
            }
            LegEnd::Answered(head, body) => {
                if caller.has_begun() {
                    return Ok(Served::Broken);
                }
                let bytes =
                    answer_writer::server_answer(&head, &body, false, caller.is_kept_alive());
                dispatch::log_answer(
                    context.shared,
                    Some(context.request_id),
                    "completed",
                    head.status,
                );
                return Ok(caller.finish(&bytes).await);
            }
            LegEnd::NotRun => (ErrorKind::Overloaded, true),
            LegEnd::Failed(CallFailure::NotSent) => (ErrorKind::NoServer, true),
            LegEnd::Failed(_) if context.left_ms() == Millis::ZERO => {
                (ErrorKind::PlainTimeout, false)
            }
            LegEnd::Failed(_) => (ErrorKind::ServerLost, context.route.kind.is_repeatable()),
        };
        let refusal = || {
            if caller.has_begun() {
                return ErrorKind::StreamBroken.into();
            }
            Refusal { kind, retry_after_ms: Some(REFUSED_RETRY_AFTER_MS) }
        };
        if !may_move || context.left_ms() == Millis::ZERO {
            return Err(refusal());
        }
        if choose_alone(context, &tried).is_none() || !context.may_send_again(sent) {
            return Err(refusal());
        }
        leg = match next_leg(context, &tried).await {
            Some(leg) => leg,
            None => return Err(refusal()),
        };
    }
}

/// A place at an engine that was not tried, for an answer that is to begin anew or to go on; waits a
/// moment where every engine is full.
async fn next_leg(context: &CallContext<'_>, tried: &[ServerRun]) -> Option<Leg> {
    let choose = |full: &[ServerRun]| choose_alone(context, &[tried, full].concat());
    let end_ms = clock::now_ms() + MAX_PLACE_WAIT_MS.min(context.left_ms());
    loop {
        let leg = reserve(context, 1.0, &choose).await;
        if leg.is_some() || clock::now_ms() >= end_ms {
            return leg;
        }
        task::sleep(PLACE_PAUSE).await;
    }
}
