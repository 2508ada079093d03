//! Calls whose whole answer is held before it goes to the caller.
//!
//! Since nothing of an answer reaches the caller before all of it has come, an idempotent call can
//! be sent to another server whenever the first one fails. A call that runs once at the most is
//! sent again only where the server says that it did not run it.

use std::time::Duration;

use async_std::task;
use futures_lite::FutureExt;
use turmericrail_core::error_kind::ErrorKind;
use turmericrail_core::forward::{CallEnd, ChosenServer, ServerRun};
use turmericrail_core::units::Millis;
use turmericrail_platform::answer::AnswerFacts;
use turmericrail_platform::call::{Start, Step};
use turmericrail_wire::http1::ResponseHead;

use super::call_context::CallContext;
use super::call_guard::CallGuard;
use super::clock;
use super::dispatch::Refusal;
use super::failure::CallFailure;
use super::server_calls::{begin, call_bytes, log_call};

/// Part of the target after which an idempotent call that got no answer goes to another server;
/// what is left of the target suffices for a second try at the usual pace.
const HEDGE_PART: f64 = 0.6;
/// Servers in a row that can't be reached before the caller is told so.
const MAX_UNREACHED: usize = 3;

/// Statuses that tell a caller that the call did not run.
const PROMISES_NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// How one try ended.
enum TryEnd {
    /// The server ran the call and answered.
    Answered(ResponseHead, Vec<u8>),
    /// The server did not run the call.
    NotRun,
    /// No answer.
    Failed(CallFailure),
    /// No answer so far; the call goes to this server instead.
    MovedTo(ChosenServer),
}

/// Sends a call until a server has answered it.
pub async fn serve(context: &CallContext<'_>) -> Result<(ResponseHead, Vec<u8>), Refusal> {
    let mut tried: Vec<ServerRun> = Vec::new();
    let mut sent = 0;
    let mut unreached = 0;
    let mut next = choose(context, &tried).ok_or(ErrorKind::NoServer)?;
    loop {
        tried.push(next.run.clone());
        let end = try_server(context, &next, &tried, sent + 1).await;
        if let TryEnd::MovedTo(choice) = end {
            sent += 1;
            next = choice;
            continue;
        }
        let is_reached = !matches!(end, TryEnd::Failed(CallFailure::NotSent));
        if is_reached {
            sent += 1;
        } else {
            unreached += 1;
        }
        let outcome = match end {
            TryEnd::Answered(head, body) if is_final(context, &head) => return Ok((head, body)),
            TryEnd::Answered(head, body) => Ok((head, body)),
            TryEnd::NotRun => Err(ErrorKind::Overloaded),
            TryEnd::Failed(CallFailure::NotSent) => Err(ErrorKind::NoServer),
            TryEnd::Failed(failure) if !context.route.kind.is_repeatable() => {
                return Err(lost(failure).into());
            }
            TryEnd::Failed(failure) => Err(lost(failure)),
            TryEnd::MovedTo(_) => unreachable!("a moved call was dealt with above"),
        };
        if context.left_ms() == Millis::ZERO || unreached > MAX_UNREACHED {
            return outcome.map_err(Refusal::from);
        }
        match choose(context, &tried) {
            Some(choice) if context.may_send_again(sent) => next = choice,
            _ => return outcome.map_err(Refusal::from),
        }
    }
}

/// Whether the caller gets this answer even if another server could be asked.
fn is_final(context: &CallContext<'_>, head: &ResponseHead) -> bool {
    head.status < 500 || !context.route.kind.is_repeatable()
}

fn lost(failure: CallFailure) -> ErrorKind {
    match failure {
        CallFailure::Silent => ErrorKind::PlainTimeout,
        CallFailure::NotSent | CallFailure::Lost => ErrorKind::ServerLost,
    }
}

fn choose(context: &CallContext<'_>, tried: &[ServerRun]) -> Option<ChosenServer> {
    let is_repeatable = context.route.kind.is_repeatable();
    let (now_ms, draw) = (clock::now_ms(), fastrand::u64(..));
    let forwarder = context.shared.forwarder();
    forwarder.choose_plain(now_ms, context.service, is_repeatable, tried, draw)
}

/// Sends the call to one server; gives up on it before the deadline only for another one.
async fn try_server(
    context: &CallContext<'_>,
    choice: &ChosenServer,
    tried: &[ServerRun],
    sent: u32,
) -> TryEnd {
    let guard = CallGuard::start(context.shared, choice);
    let end = {
        let mut calling = Box::pin(call_server(context, choice));
        if context.route.kind.is_repeatable() {
            let hedge_ms = (context.route.target_ms.0 as f64 * HEDGE_PART) as u64;
            let pause = async {
                task::sleep(Duration::from_millis(hedge_ms)).await;
                None
            };
            let first = async { Some(calling.as_mut().await) }.or(pause).await;
            match first {
                Some(end) => end,
                None => match choose(context, tried) {
                    Some(other) if context.may_send_again(sent) => TryEnd::MovedTo(other),
                    _ => calling.await,
                },
            }
        } else {
            calling.await
        }
    };
    let elapsed_ms = guard.elapsed_ms();
    let call_end = match &end {
        TryEnd::Answered(head, _) if head.status >= 500 => CallEnd::Failed,
        TryEnd::Answered(..) => CallEnd::Answered,
        TryEnd::NotRun => CallEnd::Refused,
        TryEnd::Failed(failure) => failure.call_end(),
        TryEnd::MovedTo(_) => CallEnd::TimedOut,
    };
    log_call(context, "server_call", choice, call_end, elapsed_ms);
    if call_end == CallEnd::Answered {
        context.shared.forwarder().record_answer_time(clock::now_ms(), choice, elapsed_ms);
    }
    guard.end(call_end);
    end
}

async fn call_server(context: &CallContext<'_>, choice: &ChosenServer) -> TryEnd {
    let bytes = call_bytes(context, choice, &Step::Run(Start::default()));
    let exchange = match begin(context, choice, &bytes, context.left_ms()).await {
        Ok(exchange) => exchange,
        Err(failure) => return TryEnd::Failed(failure),
    };
    let facts = exchange.facts.clone();
    let pool = &context.shared.pool;
    match exchange.read_body(pool, choice.address, context.left_ms()).await {
        _ if facts.is_not_run => TryEnd::NotRun,
        Ok((head, body)) if is_genuine(&head, &facts) => TryEnd::Answered(head, body),
        Ok(_) => TryEnd::Failed(CallFailure::Lost),
        Err(failure) => TryEnd::Failed(failure),
    }
}

/// Whether an answer may be passed on as it is: a success needs the server's proof, and a status
/// that promises that nothing ran needs the server's word for it.
pub fn is_genuine(head: &ResponseHead, facts: &AnswerFacts) -> bool {
    if head.is_success() {
        return facts.is_signed && !facts.is_encoded;
    }
    !PROMISES_NOT_RUN.contains(&head.status)
}
