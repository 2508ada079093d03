//! Model calls: a prefill at one engine, then a streamed answer from another.
//!
//! The decode engine is called once the prompt's KV cache is made. If the prefill fails, the decode
//! engine reads the prompt itself. A resumable answer continues at another engine after its last
//! whole event.

use std::time::Duration;

use async_std::task;
use turmericrail_core::error_kind::ErrorKind;
use turmericrail_core::forward::ServerRun;
use turmericrail_core::units::Millis;

use super::answer_stream::AnswerStream;
use super::call_context::CallContext;
use super::engine_attempt::{EngineAttemptEnd, run_attempt};
use super::engine_selection::{
    EngineAttempt, choose_decode, choose_engine, reserve, reserve_first_attempt,
};
use super::held_kv::HeldKv;
use crate::forward::callers::caller_stream::CallerStream;
use crate::forward::callers::dispatch::{self, ConnectionAction, Refusal};
use crate::forward::clock;

/// Longest wait for another engine when an answer is to begin again or to continue. Callers leave a
/// stream after a gap of two seconds, and before its first event the other engine has to run a
/// prefill.
const MAX_RESERVATION_WAIT_MS: Millis = Millis(1_500);
/// Time between two rounds of reservation requests. In a busy fleet about two engines become free
/// in this time.
const RESERVATION_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// `Retry-After` if an engine refused the call: the next plan avoids that engine.
const REFUSED_RETRY_AFTER_MS: Millis = Millis(100);

/// Sends a model call until its answer is complete or no attempt is left.
pub async fn serve(
    context: &CallContext<'_>,
    caller: &CallerStream,
) -> Result<ConnectionAction, Refusal> {
    let mut tried: Vec<ServerRun> = Vec::new();
    let mut answer = AnswerStream::new(context);
    let mut calls_sent = 0;
    let mut may_have_run = false;
    let mut attempt = reserve_first_attempt(context).await?;
    let refused_prefill =
        Refusal { kind: ErrorKind::Overloaded, retry_after_ms: Some(REFUSED_RETRY_AFTER_MS) };
    let mut permit = context
        .permit_run(calls_sent)
        .ok_or_else(|| context.quarantine_refusal().unwrap_or(refused_prefill))?;
    loop {
        tried.push(attempt.choice().run.clone());
        let (end, kv) =
            run_attempt(context, caller, attempt, permit, &mut answer, &tried, calls_sent).await;
        if !matches!(end, EngineAttemptEnd::Failed(failure) if !failure.is_sent()) {
            calls_sent += 1;
        }
        let (kind, may_move) = match end {
            EngineAttemptEnd::Complete(action) => return Ok(action),
            EngineAttemptEnd::CallerLost => return Ok(caller.abort()),
            EngineAttemptEnd::Moved(next, next_permit) => {
                may_have_run = true;
                (attempt, permit) = (*next, next_permit);
                continue;
            }
            EngineAttemptEnd::Answered(head, body) => {
                if caller.has_begun() {
                    return Ok(caller.abort());
                }
                dispatch::log_answer(
                    context.shared,
                    Some(context.request_id),
                    "completed",
                    head.status,
                );
                return Ok(caller.finish_answer(&head, &body, false).await);
            }
            EngineAttemptEnd::NotRun => (ErrorKind::Overloaded, true),
            EngineAttemptEnd::Failed(failure) if !failure.is_sent() => (ErrorKind::NoServer, true),
            EngineAttemptEnd::Failed(_) if context.remaining_ms() == Millis::ZERO => {
                (ErrorKind::PlainTimeout, false)
            }
            EngineAttemptEnd::Failed(_) => {
                (ErrorKind::ServerLost, context.route.kind.is_repeatable())
            }
        };
        let is_not_run = matches!(kind, ErrorKind::Overloaded | ErrorKind::NoServer);
        may_have_run |= !is_not_run;
        let refusal = || {
            if caller.has_begun() {
                return ErrorKind::StreamBroken.into();
            }
            let kind = if may_have_run && is_not_run { ErrorKind::ServerLost } else { kind };
            Refusal { kind, retry_after_ms: Some(REFUSED_RETRY_AFTER_MS) }
        };
        if !may_move || context.remaining_ms() == Millis::ZERO {
            return Err(refusal());
        }
        if choose_engine(context, &tried).is_none() || !context.may_run(calls_sent) {
            return Err(refusal());
        }
        // The retry is taken only once an engine is reserved for it.
        attempt = match reserve_next_attempt(context, &tried, kv).await {
            Some(attempt) => attempt,
            None => return Err(refusal()),
        };
        permit = context.permit_run(calls_sent).ok_or_else(refusal)?;
    }
}

/// Reserves an engine that wasn't tried yet for an answer that is to begin again or to continue;
/// retries for a while if every engine is full. The engine starts from the KV cache if that is kept
/// for long enough.
async fn reserve_next_attempt(
    context: &CallContext<'_>,
    tried: &[ServerRun],
    kv: Option<HeldKv>,
) -> Option<EngineAttempt> {
    let usable_kv = || kv.as_ref().filter(|kv| kv.is_usable(context));
    let choose = |full_engines: &[ServerRun]| {
        let excluded = [tried, full_engines].concat();
        let engine = usable_kv().and_then(|kv| choose_decode(context, kv.engine(), &excluded));
        engine.or_else(|| choose_engine(context, &excluded))
    };
    let wait_end_ms = clock::now_ms() + MAX_RESERVATION_WAIT_MS.min(context.remaining_ms());
    loop {
        let attempt = reserve(context, 1.0, &choose).await;
        if let Some(mut attempt) = attempt {
            let is_same_version = |kv: &HeldKv| {
                kv.engine().version == attempt.choice().version && kv.is_usable(context)
            };
            attempt.kv = kv.filter(is_same_version);
            return Some(attempt);
        }
        if clock::now_ms() >= wait_end_ms {
            return None;
        }
        task::sleep(RESERVATION_RETRY_INTERVAL).await;
    }
}
