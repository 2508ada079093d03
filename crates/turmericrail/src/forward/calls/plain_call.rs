//! Calls whose whole answer is buffered before it goes to the caller.
//!
//! Nothing of an answer reaches the caller before all of it has arrived, so an idempotent call can
//! be sent to another server whenever the first one fails. A call that may run at most once is sent
//! again only if the server wasn't reached or states that it did not run the call.

use std::time::Duration;

use async_std::task;
use futures_lite::FutureExt;
use turmericrail_core::error_kind::ErrorKind;
use turmericrail_core::forward::{CallEnd, ChosenServer, SendPermit, ServerRun};
use turmericrail_core::units::Millis;
use turmericrail_platform::answer::AnswerMetadata;
use turmericrail_platform::call::{RunOptions, ServerTask};
use turmericrail_wire::http1::{BodyFraming, ResponseHead};

use super::call_context::CallContext;
use super::call_failure::CallFailure;
use super::call_guard::CallGuard;
use crate::forward::callers::dispatch::Refusal;
use crate::forward::clock;
use crate::forward::peers::loss_notices;
use crate::forward::servers::answer_body::AnswerBody;
use crate::forward::servers::answer_fault::AnswerFault;
use crate::forward::servers::call_bytes::CallBytes;
use crate::forward::servers::refused_answers;
use crate::forward::servers::server_calls::{call_head, log_call, send_call};
use crate::forward::servers::server_ends;

/// Fraction of the route's target after which an unanswered idempotent call goes to another server.
/// The rest of the target is enough for a second attempt at the usual speed.
const HEDGE_TARGET_FRACTION: f64 = 0.6;
/// Unreachable servers that may be skipped before the call fails.
const MAX_UNREACHED_SERVERS: usize = 3;

/// Shortest `Retry-After` of a call that would wait at every server until its deadline.
const MIN_RETRY_AFTER_MS: Millis = Millis(200);

/// Statuses that tell a caller that the call did not run.
pub const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// How one attempt ended.
enum AttemptEnd {
    /// The server ran the call and answered.
    Answered(ResponseHead, AnswerBody),
    /// The server did not run the call.
    NotRun,
    Failed(CallFailure),
    /// No answer yet; the call goes to this server instead.
    MovedTo(ChosenServer, SendPermit),
}

/// Sends a call until a server has answered it.
pub async fn serve(context: &CallContext<'_>) -> Result<(ResponseHead, AnswerBody), Refusal> {
    let mut tried: Vec<ServerRun> = Vec::new();
    let mut calls_sent = 0;
    let mut unreached_servers = 0;
    let mut may_have_run = false;
    let mut next = choose(context, &tried).ok_or_else(|| context.no_server_refusal())?;
    check_queue(context)?;
    let mut permit = context.permit_run(calls_sent).ok_or_else(|| {
        context.quarantine_refusal().unwrap_or_else(|| ErrorKind::Overloaded.into())
    })?;
    loop {
        tried.push(next.run.clone());
        let end = run_attempt(context, &next, permit, &tried, calls_sent + 1).await;
        if let AttemptEnd::MovedTo(choice, next_permit) = end {
            calls_sent += 1;
            may_have_run = true;
            (next, permit) = (choice, next_permit);
            continue;
        }
        let is_reached = !matches!(end, AttemptEnd::Failed(failure) if !failure.is_sent());
        if is_reached {
            calls_sent += 1;
        } else {
            unreached_servers += 1;
        }
        let not_run = |refusal: Refusal| match may_have_run {
            true => Refusal::from(ErrorKind::ServerLost),
            false => refusal,
        };
        let is_not_run = match &end {
            AttemptEnd::NotRun => true,
            AttemptEnd::Failed(failure) => !failure.is_sent(),
            _ => false,
        };
        let outcome = match end {
            AttemptEnd::Answered(head, body) if is_final(context, &head) => {
                return Ok((head, body));
            }
            AttemptEnd::Answered(head, body) => Ok((head, body)),
            AttemptEnd::NotRun => Err(not_run(ErrorKind::Overloaded.into())),
            AttemptEnd::Failed(failure) if !failure.is_sent() => {
                Err(not_run(context.no_server_refusal()))
            }
            AttemptEnd::Failed(failure) if !context.route.kind.is_repeatable() => {
                return Err(error_kind_of(failure).into());
            }
            AttemptEnd::Failed(failure) => Err(error_kind_of(failure).into()),
            AttemptEnd::MovedTo(..) => unreachable!("moved calls are handled above"),
        };
        may_have_run |= !is_not_run;
        if context.remaining_ms() == Millis::ZERO || unreached_servers > MAX_UNREACHED_SERVERS {
            return outcome;
        }
        let permitted = choose_permitted(context, &tried, calls_sent);
        match permitted {
            Some(permitted) => (next, permit) = permitted,
            None => return outcome,
        }
    }
}

/// Refuses a call that would wait at every server until its deadline.
fn check_queue(context: &CallContext<'_>) -> Result<(), Refusal> {
    let Some(queue_ms) = queue_ms(context) else {
        return Ok(());
    };
    let remaining_ms = context.remaining_ms();
    if queue_ms <= remaining_ms {
        return Ok(());
    }
    let retry_after_ms = (queue_ms - remaining_ms).max(MIN_RETRY_AFTER_MS);
    spdlog::info!(
        "event=queue_refused request={} service={} rank={} queue_ms={} left_ms={} retry_after_ms={}",
        context.request_id,
        context.service,
        context.rank(),
        queue_ms.0,
        remaining_ms.0,
        retry_after_ms.0
    );
    let refusals = &context.shared.metrics.overload_refusals;
    refusals.with_label_values(&[&context.rank().to_string()]).inc();
    Err(Refusal { kind: ErrorKind::DeadlineUnreachable, retry_after_ms: Some(retry_after_ms) })
}

/// Expected wait for a place at the server with the shortest queue; `None` in deployments without
/// ranks, where calls don't depend on it.
fn queue_ms(context: &CallContext<'_>) -> Option<Millis> {
    let has_ranks = context.table.has_any_ranks();
    has_ranks.then(|| context.shared.forwarder().plain_queue_ms(clock::now_ms(), context.service))
}

/// Whether the caller gets this answer even if another server could be tried.
fn is_final(context: &CallContext<'_>, head: &ResponseHead) -> bool {
    head.status < 500 || !context.route.kind.is_repeatable()
}

fn error_kind_of(failure: CallFailure) -> ErrorKind {
    match failure {
        CallFailure::Silent => ErrorKind::PlainTimeout,
        CallFailure::NotSent
        | CallFailure::ConnectionRefused
        | CallFailure::Withheld
        | CallFailure::NoTimeLeft
        | CallFailure::Lost
        | CallFailure::Malformed(_)
        | CallFailure::Oversized => ErrorKind::ServerLost,
    }
}

fn choose(context: &CallContext<'_>, tried: &[ServerRun]) -> Option<ChosenServer> {
    let is_repeatable = context.route.kind.is_repeatable();
    let (now_ms, random) = (clock::now_ms(), fastrand::u64(..));
    let forwarder = context.shared.forwarder();
    forwarder.choose_plain(now_ms, context.service, is_repeatable, tried, random)
}

/// Chooses another server if the call may be sent once more.
fn choose_permitted(
    context: &CallContext<'_>,
    tried: &[ServerRun],
    calls_sent: u32,
) -> Option<(ChosenServer, SendPermit)> {
    let choice = choose(context, tried)?;
    Some((choice, context.permit_run(calls_sent)?))
}

/// Sends the call to one server. Gives up on it before the deadline only if another server takes
/// the call.
async fn run_attempt(
    context: &CallContext<'_>,
    choice: &ChosenServer,
    permit: SendPermit,
    tried: &[ServerRun],
    calls_sent: u32,
) -> AttemptEnd {
    let guard = CallGuard::start(context.shared, choice);
    let end = {
        let mut calling = Box::pin(call_server(context, choice, permit));
        if context.route.kind.is_repeatable() {
            let hedge_ms = (context.route.target_ms.0 as f64 * HEDGE_TARGET_FRACTION) as u64;
            let hedge_timer = async {
                task::sleep(Duration::from_millis(hedge_ms)).await;
                None
            };
            let first = async { Some(calling.as_mut().await) }.or(hedge_timer).await;
            match first {
                Some(end) => end,
                // While every server has a queue, a second attempt would only make them longer.
                None if queue_ms(context).is_some_and(|queue_ms| queue_ms > Millis::ZERO) => {
                    calling.await
                }
                None => match choose_permitted(context, tried, calls_sent) {
                    Some((other, permit)) => AttemptEnd::MovedTo(other, permit),
                    None => calling.await,
                },
            }
        } else {
            calling.await
        }
    };
    // The call counts as given up from here on, since it was dropped with its block.
    if matches!(end, AttemptEnd::MovedTo(..)) {
        server_ends::probe_moved(context, choice);
    }
    let elapsed_ms = guard.elapsed_ms();
    let call_end = match &end {
        AttemptEnd::Answered(head, _) if head.status >= 500 => CallEnd::Failed,
        AttemptEnd::Answered(..) => CallEnd::Answered,
        AttemptEnd::NotRun => CallEnd::Refused,
        AttemptEnd::Failed(failure) => failure.call_end(),
        AttemptEnd::MovedTo(..) => CallEnd::TimedOut,
    };
    log_call(context, "server_call", choice, call_end, elapsed_ms);
    if let AttemptEnd::Failed(failure) = &end {
        refused_answers::record(context.shared, &choice.run.server, *failure);
    }
    if call_end == CallEnd::Answered {
        context.shared.forwarder().record_answer_time(clock::now_ms(), choice, elapsed_ms);
    }
    guard.end(call_end);
    end
}

async fn call_server(
    context: &CallContext<'_>,
    choice: &ChosenServer,
    permit: SendPermit,
) -> AttemptEnd {
    let mut head = call_head(context, choice, &ServerTask::Run(RunOptions::default()));
    let bytes = CallBytes::new(&mut head, &context.request.body);
    let exchange = match send_call(context, choice, bytes, permit, context.remaining_ms()).await {
        Ok(exchange) => exchange,
        Err(failure) => return AttemptEnd::Failed(failure),
    };
    let metadata = exchange.metadata.clone();
    match exchange.read_body(context, choice.address, context.remaining_ms()).await {
        _ if metadata.is_not_run => AttemptEnd::NotRun,
        Ok((head, body)) => match check_status(&head, &metadata) {
            Ok(()) => {
                if head.framing != BodyFraming::UntilClose {
                    let (shared, service) = (context.shared, context.service);
                    loss_notices::record_answer(shared, service, context.fingerprint);
                }
                AttemptEnd::Answered(head, body)
            }
            Err(fault) => AttemptEnd::Failed(fault.into()),
        },
        Err(failure) => AttemptEnd::Failed(failure),
    }
}

/// Checks whether an answer may be passed on unchanged. A success must be signed by the server. A
/// status that tells the caller that the call did not run isn't passed on: only the server's own
/// statement, [`AnswerMetadata::is_not_run`], is trusted for that, and the callers of this function
/// check it first.
pub fn check_status(head: &ResponseHead, metadata: &AnswerMetadata) -> Result<(), AnswerFault> {
    if head.is_success() && (!metadata.is_signed || metadata.is_encoded) {
        return Err(AnswerFault::Unsigned(head.status));
    }
    if NOT_RUN_STATUSES.contains(&head.status) {
        return Err(AnswerFault::UnstatedRefusal(head.status));
    }
    Ok(())
}
