//! Runs a model call at one engine and forwards the events of its answer to the caller.

use std::time::Duration;

use turmericrail_core::forward::{CallEnd, SendPermit, ServerRun};
use turmericrail_core::units::Millis;
use turmericrail_platform::call::{RunOptions, ServerTask};
use turmericrail_wire::http1::{BodyDecoder, ResponseHead};

use super::answer_stream::{AnswerStream, is_end_unstated};
use super::attempt_records::{
    log_cut_answer, log_stream_end, record_parts_loss, record_refused_kv,
};
use super::call_context::CallContext;
use super::call_failure::CallFailure;
use super::engine_calls::{MIN_SILENCE_MS, silence_timeout_ms};
use super::engine_selection::{EngineAttempt, choose_engine, reserve};
use super::generation_timer::GenerationTimer;
use super::held_kv::HeldKv;
use super::plain_call::check_status;
use super::reservation::Reservation;
use crate::forward::callers::caller_stream::CallerStream;
use crate::forward::callers::dispatch::{self, ConnectionAction};
use crate::forward::clock;
use crate::forward::peers::loss_notices;
use crate::forward::peers::stream_versions;
use crate::forward::servers::answer_body::AnswerBody;
use crate::forward::servers::answer_fault::AnswerFault;
use crate::forward::servers::call_bytes::CallBytes;
use crate::forward::servers::exchange::Exchange;
use crate::forward::servers::refused_answers;
use crate::forward::servers::server_calls::{call_head, log_call, send_call};

/// Multiple of the route's target gap between events after which an engine counts as silent.
const GAP_TIMEOUT_FACTOR: u64 = 2;
/// Time after the deadline for which events that come without a pause are forwarded.
const MAX_OVERRUN_MS: Millis = Millis(300);
/// Most events of an answer whose loss the prompt may have caused.
const MAX_LOSS_EVENTS: u64 = 1;
/// Events of an answer after which its engine has survived the prompt.
const MIN_SURVIVAL_EVENTS: u64 = 3;

/// How an attempt at one engine ended.
pub enum EngineAttemptEnd {
    /// The whole answer went to the caller.
    Complete(ConnectionAction),
    /// The engine ran the call and answered with a status other than success.
    Answered(ResponseHead, AnswerBody),
    /// The engine did not run the call.
    NotRun,
    /// No answer came, or the answer broke off.
    Failed(CallFailure),
    /// The engine was silent, and another one takes over.
    Moved(Box<EngineAttempt>, SendPermit),
    /// The caller's connection takes no more bytes.
    CallerLost,
}

/// Runs the call at one engine, or resumes it there after its last whole event. Returns the KV cache
/// too if another engine can still start from it.
pub async fn run_attempt(
    context: &CallContext<'_>,
    caller: &CallerStream,
    mut attempt: EngineAttempt,
    permit: SendPermit,
    answer: &mut AnswerStream,
    tried: &[ServerRun],
    calls_sent: u32,
) -> (EngineAttemptEnd, Option<HeldKv>) {
    let is_movable =
        context.route.kind.is_repeatable() && calls_sent + 1 < context.route.max_attempts;
    let mut failover = Failover { tried, calls_sent: calls_sent + 1, is_movable };
    let started_ms = clock::now_ms();
    let is_reserved = attempt.reservation.as_ref().is_some_and(|it| it.id().is_some());
    let end = stream_answer(context, caller, &mut attempt, permit, answer, &mut failover).await;
    let call_end = match &end {
        EngineAttemptEnd::Complete(_) => CallEnd::Answered,
        EngineAttemptEnd::Answered(head, _) if head.status >= 500 => CallEnd::Failed,
        EngineAttemptEnd::Answered(..) => CallEnd::Answered,
        EngineAttemptEnd::NotRun => CallEnd::Refused,
        EngineAttemptEnd::Failed(failure) => failure.call_end(),
        EngineAttemptEnd::Moved(..) => CallEnd::TimedOut,
        EngineAttemptEnd::CallerLost => CallEnd::Cancelled,
    };
    let elapsed_ms = clock::now_ms().saturating_sub(started_ms);
    log_call(context, "server_call", attempt.choice(), call_end, elapsed_ms);
    if let EngineAttemptEnd::Failed(failure) = &end {
        log_cut_answer(context, &attempt, *failure, answer.events(), is_movable);
        refused_answers::record(context.shared, &attempt.choice().run.server, *failure);
    }
    if matches!(end, EngineAttemptEnd::Complete(_)) && context.has_ranks() {
        context.shared.forwarder().overload(context.service).record_answer(elapsed_ms);
    }
    let kv = attempt.kv.take().filter(|kv| is_kept(context, &end, kv, is_reserved));
    attempt.guard.end(call_end);
    (end, kv)
}

/// Whether another engine can start from the KV cache. An engine that had a reservation for the call
/// and refused it couldn't fetch the cache.
fn is_kept(
    context: &CallContext<'_>,
    end: &EngineAttemptEnd,
    kv: &HeldKv,
    is_reserved: bool,
) -> bool {
    let is_unread = match end {
        EngineAttemptEnd::NotRun => !is_reserved,
        EngineAttemptEnd::Failed(failure) => !failure.is_sent(),
        _ => false,
    };
    is_unread && context.has_ranks() && kv.is_usable(context)
}

/// Time without an answer or a first event after which an engine counts as silent.
fn first_event_timeout_ms(context: &CallContext<'_>, attempt: &EngineAttempt) -> Millis {
    silence_timeout_ms(attempt.choice()).max(context.route.target_ms)
}

/// Time without an event after which an engine that has begun its answer counts as silent.
fn gap_timeout_ms(context: &CallContext<'_>) -> Millis {
    Millis(context.route.gap_target_ms.0 * GAP_TIMEOUT_FACTOR).max(MIN_SILENCE_MS)
}

/// What decides whether a call may move to another engine when its own falls silent.
struct Failover<'a> {
    tried: &'a [ServerRun],
    calls_sent: u32,
    is_movable: bool,
}

impl Failover<'_> {
    /// Time to wait for the engine: up to the deadline, or up to the silence timeout if the call
    /// may still move.
    fn timeout_ms(&self, context: &CallContext<'_>, silence_timeout_ms: Millis) -> Millis {
        let remaining_ms = context.remaining_ms();
        if self.is_movable { remaining_ms.min(silence_timeout_ms) } else { remaining_ms }
    }

    /// Moves the call to another engine. If none is free, the call stays at the silent engine:
    /// silence alone doesn't end an answer.
    async fn move_call(&mut self, context: &CallContext<'_>) -> Option<EngineAttemptEnd> {
        if !std::mem::take(&mut self.is_movable) || context.remaining_ms() == Millis::ZERO {
            return None;
        }
        let choose = |full_engines: &[ServerRun]| {
            choose_engine(context, &[self.tried, full_engines].concat())
        };
        let attempt = reserve(context, 1.0, &choose).await?;
        let permit = context.permit_run(self.calls_sent)?;
        Some(EngineAttemptEnd::Moved(Box::new(attempt), permit))
    }
}

/// Sends the call and forwards its answer.
async fn stream_answer(
    context: &CallContext<'_>,
    caller: &CallerStream,
    attempt: &mut EngineAttempt,
    permit: SendPermit,
    answer: &mut AnswerStream,
    failover: &mut Failover<'_>,
) -> EngineAttemptEnd {
    let mut head = {
        let start = RunOptions {
            source: attempt.kv.as_ref().map(HeldKv::source),
            reservation: attempt.reservation.as_ref().and_then(Reservation::id),
            last_event_id: answer.events().last_id(),
        };
        call_head(context, attempt.choice(), &ServerTask::Run(start))
    };
    let bytes = CallBytes::new(&mut head, &context.request.body);
    let begun_before = stream_versions::record_sent(context, attempt.choice(), failover.calls_sent);
    let sent_ms = clock::now_ms();
    let timeout_ms = failover.timeout_ms(context, first_event_timeout_ms(context, attempt));
    let started = {
        let mut sending =
            Box::pin(send_call(context, attempt.choice(), bytes, permit, context.remaining_ms()));
        let limit = Duration::from_millis(timeout_ms.0);
        match async_std::future::timeout(limit, sending.as_mut()).await {
            Ok(started) => started,
            Err(_) => match failover.move_call(context).await {
                Some(moved) => return moved,
                None => sending.await,
            },
        }
    };
    let exchange = match started {
        Ok(exchange) => exchange,
        Err(failure) => {
            if !failure.is_sent() {
                context.record_not_run(begun_before);
            }
            return EngineAttemptEnd::Failed(failure);
        }
    };
    if exchange.metadata.is_not_run {
        context.record_not_run(begun_before);
        record_refused_kv(context, attempt);
        let remaining_ms = context.remaining_ms();
        let _ = exchange.read_body(context, attempt.choice().address, remaining_ms).await;
        return EngineAttemptEnd::NotRun;
    }
    if let Some(kv) = &mut attempt.kv {
        kv.mark_taken();
    }
    if let Some(reservation) = &mut attempt.reservation {
        reservation.mark_used();
    }
    if let Err(fault) = check_status(&exchange.head, &exchange.metadata) {
        return EngineAttemptEnd::Failed(fault.into());
    }
    if !exchange.head.is_success() {
        let remaining_ms = context.remaining_ms();
        return match exchange.read_body(context, attempt.choice().address, remaining_ms).await {
            Ok((head, body)) => {
                loss_notices::record_answer(context.shared, context.service, context.fingerprint);
                EngineAttemptEnd::Answered(head, body)
            }
            Err(failure) => EngineAttemptEnd::Failed(failure),
        };
    }
    if let Err(fault) = answer.begin_answer(context, &exchange.head, caller.has_begun()) {
        return EngineAttemptEnd::Failed(fault.into());
    }
    forward_events(context, caller, attempt, answer, exchange, sent_ms, failover).await
}

/// Forwards the events of an answer until it is complete or breaks off.
async fn forward_events(
    context: &CallContext<'_>,
    caller: &CallerStream,
    attempt: &EngineAttempt,
    answer: &mut AnswerStream,
    mut exchange: Exchange,
    sent_ms: Millis,
    failover: &mut Failover<'_>,
) -> EngineAttemptEnd {
    let cut = copy_body(context, caller, attempt, answer, &mut exchange, sent_ms, failover).await;
    log_stream_end(context, attempt, &exchange, answer.events());
    let attempt_events = answer.present_event_count();
    let ended = answer.end_answer(&exchange.head);
    let failed = ended.as_ref().err().map(|failure| EngineAttemptEnd::Failed(*failure));
    if let Some(end) = cut.or(failed) {
        if matches!(end, EngineAttemptEnd::Failed(failure) if failure.is_broken_connection()) {
            if attempt_events <= MAX_LOSS_EVENTS && !context.shared_parts().is_empty() {
                record_parts_loss(context, attempt);
            }
            exchange.break_off();
        }
        return end;
    }
    if !is_end_unstated(&exchange.head) {
        loss_notices::record_survival(context.shared, context.service, context.shared_parts());
        loss_notices::record_answer(context.shared, context.service, context.fingerprint);
    }
    if !caller.write_events(&exchange.head, &ended.unwrap_or_default()).await {
        return EngineAttemptEnd::CallerLost;
    }
    let action = caller.end_events(&exchange.head).await;
    let request_id = Some(context.request_id);
    dispatch::log_answer(context.shared, request_id, "completed", exchange.head.status);
    exchange.return_to_pool(&context.shared.pool, attempt.choice().address);
    EngineAttemptEnd::Complete(action)
}

/// Forwards the whole events of a body until it ends as its framing demands. Returns how the attempt
/// ended if it ended before.
async fn copy_body(
    context: &CallContext<'_>,
    caller: &CallerStream,
    attempt: &EngineAttempt,
    answer: &mut AnswerStream,
    exchange: &mut Exchange,
    sent_ms: Millis,
    failover: &mut Failover<'_>,
) -> Option<EngineAttemptEnd> {
    let failed = |failure| Some(EngineAttemptEnd::Failed(failure));
    let mut decoder = BodyDecoder::new(exchange.head.framing);
    let mut share = context.answer_share();
    let is_first_answer = answer.events().event_count() == 0;
    let (mut is_before_first_event, mut has_survived) = (true, false);
    // Bytes that complete no event don't count as a sign of life.
    let (mut last_event_count, mut last_event_ms) = (0, clock::now_ms());
    let mut timer = GenerationTimer::new(sent_ms);
    loop {
        let mut data = Vec::new();
        let used = match decoder.decode(&exchange.connection.buffer, &mut data) {
            Ok(used) => used,
            Err(error) => return failed(AnswerFault::from(error).into()),
        };
        exchange.connection.buffer.drain(..used);
        let mut whole_events = Vec::new();
        let pushed = answer.push(&data, &mut whole_events);
        if !share.resize(answer.events().partial_bytes()) {
            return failed(CallFailure::Oversized);
        }
        if is_before_first_event && !whole_events.is_empty() {
            is_before_first_event = false;
            exchange.record_first_event();
            context.record_begun(attempt.choice().version.as_ref());
            timer.record_first_event(context, attempt);
        }
        if !has_survived && answer.present_event_count() >= MIN_SURVIVAL_EVENTS {
            has_survived = true;
            loss_notices::record_survival(context.shared, context.service, context.shared_parts());
        }
        let write_began_ms = clock::now_ms();
        if !caller.write_events(&exchange.head, &whole_events).await {
            return Some(EngineAttemptEnd::CallerLost);
        }
        if let Err(error) = pushed {
            return failed(AnswerFault::from(error).into());
        }
        if answer.present_event_count() > last_event_count {
            (last_event_count, last_event_ms) = (answer.present_event_count(), clock::now_ms());
        }
        timer.record_write(write_began_ms);
        if decoder.is_done() {
            if is_first_answer {
                timer.record_end(context, attempt, answer.present_event_count());
            }
            return None;
        }
        if clock::now_ms() > context.deadline_ms + MAX_OVERRUN_MS {
            return failed(CallFailure::Silent);
        }
        let silence_timeout_ms = match is_before_first_event {
            true => first_event_timeout_ms(context, attempt),
            false => gap_timeout_ms(context),
        };
        let silent_ms = clock::now_ms().saturating_sub(last_event_ms);
        let left_ms = silence_timeout_ms.saturating_sub(silent_ms);
        if left_ms == Millis::ZERO
            && failover.is_movable
            && let Some(moved) = failover.move_call(context).await
        {
            return Some(moved);
        }
        let timeout = Duration::from_millis(failover.timeout_ms(context, left_ms).0);
        let filling = async_std::future::timeout(timeout, exchange.connection.fill_fairly());
        match filling.await {
            Ok(Ok(0)) => {
                if let Err(failure) = exchange.connection.end_body(&mut decoder) {
                    return failed(failure);
                }
            }
            Ok(Ok(_)) => {}
            Ok(Err(_)) => return failed(CallFailure::Lost),
            // The engine has been silent for so long that the call moves, if it can.
            Err(_) if failover.is_movable && context.remaining_ms() > Millis::ZERO => {}
            Err(_) => return failed(CallFailure::Silent),
        }
    }
}
