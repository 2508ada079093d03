//! Passes the answer of another instance on to the caller.

use std::net::SocketAddr;
use std::time::Duration;

use turmericrail_core::units::Millis;
use turmericrail_wire::http1::BodyDecoder;

use crate::forward::callers::caller_stream::CallerStream;
use crate::forward::callers::dispatch::{self, ConnectionAction};
use crate::forward::calls::answer_stream::{AnswerStream, is_event_stream};
use crate::forward::calls::call_context::CallContext;
use crate::forward::calls::call_failure::CallFailure;
use crate::forward::clock;
use crate::forward::servers::answer_fault::AnswerFault;
use crate::forward::servers::exchange::Exchange;

/// Time after the deadline for which events are passed on; the other instance ends the stream
/// before.
const MAX_OVERRUN_MS: Millis = Millis(500);

/// How the answer of another instance ended.
pub enum HopEnd {
    /// The caller has all that it gets.
    Complete(ConnectionAction),
    /// The connection broke or fell silent within the answer.
    Broken(CallFailure),
}

/// Passes an answer on: as a whole, or event by event.
pub async fn pass_on(
    context: &CallContext<'_>,
    caller: &CallerStream,
    exchange: Exchange,
    address: SocketAddr,
    answer: &mut AnswerStream,
) -> HopEnd {
    let (status, request_id) = (exchange.head.status, Some(context.request_id));
    if exchange.head.is_success() && is_event_stream(context, &exchange.head) {
        return pass_events(context, caller, exchange, address, answer).await;
    }
    match exchange.read_body(context, address, context.remaining_ms() + MAX_OVERRUN_MS).await {
        Ok(_) if caller.has_begun() => HopEnd::Complete(caller.abort()),
        Ok((head, body)) => {
            dispatch::log_answer(context.shared, request_id, "handed_over", status);
            let is_head_call = context.request.head.method == "HEAD";
            HopEnd::Complete(caller.finish_answer(&head, &body, is_head_call).await)
        }
        Err(failure) => HopEnd::Broken(failure),
    }
}

async fn pass_events(
    context: &CallContext<'_>,
    caller: &CallerStream,
    mut exchange: Exchange,
    address: SocketAddr,
    answer: &mut AnswerStream,
) -> HopEnd {
    if let Err(fault) = answer.begin_answer(context, &exchange.head, caller.has_begun()) {
        return HopEnd::Broken(fault.into());
    }
    let copied = copy_events(context, caller, &mut exchange, answer).await;
    let ended = answer.end_answer(&exchange.head);
    let rest = match (copied, ended) {
        (Ok(false), _) => return HopEnd::Complete(caller.abort()),
        (Ok(true), Ok(rest)) => rest,
        (Err(failure), _) | (_, Err(failure)) => return HopEnd::Broken(failure),
    };
    if !caller.write_events(&exchange.head, &rest).await {
        return HopEnd::Complete(caller.abort());
    }
    let action = caller.end_events(&exchange.head).await;
    let request_id = Some(context.request_id);
    dispatch::log_answer(context.shared, request_id, "handed_over", exchange.head.status);
    exchange.return_to_pool(&context.shared.pool, address);
    HopEnd::Complete(action)
}

/// Copies whole events until the body ends; returns whether the caller still takes them.
async fn copy_events(
    context: &CallContext<'_>,
    caller: &CallerStream,
    exchange: &mut Exchange,
    answer: &mut AnswerStream,
) -> Result<bool, CallFailure> {
    let mut decoder = BodyDecoder::new(exchange.head.framing);
    let mut share = context.answer_share();
    loop {
        let mut data = Vec::new();
        let used = decoder.decode(&exchange.connection.buffer, &mut data);
        exchange.connection.buffer.drain(..used.map_err(AnswerFault::from)?);
        let mut whole_events = Vec::new();
        let pushed = answer.push(&data, &mut whole_events);
        if !share.resize(answer.events().partial_bytes()) {
            return Err(CallFailure::Oversized);
        }
        if !caller.write_events(&exchange.head, &whole_events).await {
            return Ok(false);
        }
        pushed.map_err(AnswerFault::from)?;
        if decoder.is_done() {
            return Ok(true);
        }
        let left_ms = (context.deadline_ms + MAX_OVERRUN_MS).saturating_sub(clock::now_ms());
        let filling = exchange.connection.fill_fairly();
        match async_std::future::timeout(Duration::from_millis(left_ms.0), filling).await {
            Ok(Ok(read)) if read > 0 => {}
            Ok(_) => return Err(CallFailure::Lost),
            Err(_) => return Err(CallFailure::Silent),
        }
    }
}
