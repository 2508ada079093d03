//! One run of a model call at one engine, and its events on their way to the caller.

use std::time::Duration;

use turmericrail_core::forward::{CallEnd, ServerRun};
use turmericrail_core::units::Millis;
use turmericrail_platform::call::{Start, Step};
use turmericrail_wire::http1::{BodyDecoder, EventSplitter, ResponseHead};

use super::call_context::CallContext;
use super::clock;
use super::dispatch::{self, Served};
use super::engine_calls::silence_ms;
use super::engine_place::{Leg, choose_alone, reserve};
use super::event_relay::CallerStream;
use super::exchange::Exchange;
use super::failure::CallFailure;
use super::held_kv::HeldKv;
use super::plain_call::is_genuine;
use super::reservation::Reservation;
use super::server_calls::{begin, call_bytes, log_call};

/// Pauses between events, as a multiple of the wanted one, before an engine counts as silent.
const GAP_FACTOR: u64 = 2;

/// How a leg ended.
pub enum LegEnd {
    /// The whole answer went to the caller.
    Complete(Served),
    /// The engine ran the call and answered that it failed.
    Answered(ResponseHead, Vec<u8>),
    /// The engine did not run the call.
    NotRun,
    /// The answer did not come, or broke off.
    Failed(CallFailure),
    /// The engine was silent, and a place at another one is secured.
    Moved(Box<Leg>),
    /// The caller takes no more.
    CallerLost,
}

/// Runs the call, or what is left of it, at one engine.
pub async fn run_leg(
    context: &CallContext<'_>,
    caller: &CallerStream,
    mut leg: Leg,
    events: &mut EventSplitter,
    tried: &[ServerRun],
    sent: u32,
) -> LegEnd {
    let is_movable = context.route.kind.is_repeatable() && sent + 1 < context.route.max_attempts;
    let mut spare = Spare { tried, sent: sent + 1, is_movable };
    let started_ms = clock::now_ms();
    let end = relay(context, caller, &mut leg, events, &mut spare).await;
    let call_end = match &end {
        LegEnd::Complete(_) => CallEnd::Answered,
        LegEnd::Answered(head, _) if head.status >= 500 => CallEnd::Failed,
        LegEnd::Answered(..) => CallEnd::Answered,
        LegEnd::NotRun => CallEnd::Refused,
        LegEnd::Failed(failure) => failure.call_end(),
        LegEnd::Moved(_) => CallEnd::TimedOut,
        LegEnd::CallerLost => CallEnd::Cancelled,
    };
    let elapsed_ms = clock::now_ms().saturating_sub(started_ms);
    log_call(context, "server_call", leg.choice(), call_end, elapsed_ms);
    if let LegEnd::Failed(failure) = &end {
        spdlog::info!(
            "event=answer_cut request={} server={} failure={} events={} last_event_id={} \
             is_movable={is_movable} left_ms={}",
            context.request_id,
            leg.choice().run.server,
            failure.as_str(),
            events.events(),
            events.last_id().unwrap_or("none"),
            context.left_ms().0
        );
    }
    leg.guard.end(call_end);
    end
}

/// Time without an answer or first event after which an engine counts as silent.
fn first_event_limit_ms(context: &CallContext<'_>, leg: &Leg) -> Millis {
    silence_ms(leg.choice()).max(context.route.target_ms)
}

/// Where a call can go if its engine falls silent.
struct Spare<'a> {
    tried: &'a [ServerRun],
    sent: u32,
    is_movable: bool,
}

impl Spare<'_> {
    /// Longest wait: the deadline, or the silence where another engine may go on.
    fn limit_ms(&self, context: &CallContext<'_>, silence_ms: Millis) -> Millis {
        let left_ms = context.left_ms();
        if self.is_movable { left_ms.min(silence_ms) } else { left_ms }
    }

    /// Secures a place at another engine. Where there is none, the silent one is waited for: its
    /// silence alone is no reason to end an answer.
    async fn secure(&mut self, context: &CallContext<'_>) -> Option<Box<Leg>> {
        if !std::mem::take(&mut self.is_movable) || context.left_ms() == Millis::ZERO {
            return None;
        }
        let choose = |full: &[ServerRun]| choose_alone(context, &[self.tried, full].concat());
        let leg = reserve(context, 1.0, &choose).await?;
        context.may_send_again(self.sent).then(|| Box::new(leg))
    }
}

/// Sends the call and passes its answer on.
async fn relay(
    context: &CallContext<'_>,
    caller: &CallerStream,
    leg: &mut Leg,
    events: &mut EventSplitter,
    spare: &mut Spare<'_>,
) -> LegEnd {
    let bytes = {
        let start = Start {
            source: leg.kv.as_ref().map(HeldKv::source),
            reservation: leg.place.as_ref().and_then(Reservation::id),
            last_event_id: events.last_id(),
        };
        call_bytes(context, leg.choice(), &Step::Run(start))
    };
    let sent_ms = clock::now_ms();
    let limit_ms = spare.limit_ms(context, first_event_limit_ms(context, leg));
    let begun = {
        let mut beginning = Box::pin(begin(context, leg.choice(), &bytes, context.left_ms()));
        let limit = Duration::from_millis(limit_ms.0);
        match async_std::future::timeout(limit, beginning.as_mut()).await {
            Ok(begun) => begun,
            Err(_) => match spare.secure(context).await {
                Some(next) => return LegEnd::Moved(next),
                None => beginning.await,
            },
        }
    };
    let exchange = match begun {
        Ok(exchange) => exchange,
        Err(failure) => return LegEnd::Failed(failure),
    };
    if exchange.facts.is_not_run {
        refuse_kv(context, leg);
        let left_ms = context.left_ms();
        let _ = exchange.read_body(&context.shared.pool, leg.choice().address, left_ms).await;
        return LegEnd::NotRun;
    }
    if let Some(kv) = &mut leg.kv {
        kv.forget();
    }
    if let Some(place) = &mut leg.place {
        place.note_used();
    }
    if !is_genuine(&exchange.head, &exchange.facts) {
        return LegEnd::Failed(CallFailure::Lost);
    }
    if !exchange.head.is_success() {
        let left_ms = context.left_ms();
        let pool = &context.shared.pool;
        return match exchange.read_body(pool, leg.choice().address, left_ms).await {
            Ok((head, body)) => LegEnd::Answered(head, body),
            Err(failure) => LegEnd::Failed(failure),
        };
    }
    relay_events(context, caller, leg, events, exchange, sent_ms, spare).await
}

/// Passes the events of an answer on until it is whole or breaks off.
async fn relay_events(
    context: &CallContext<'_>,
    caller: &CallerStream,
    leg: &Leg,
    events: &mut EventSplitter,
    mut exchange: Exchange,
    sent_ms: Millis,
    spare: &mut Spare<'_>,
) -> LegEnd {
    let mut decoder = BodyDecoder::new(exchange.head.framing);
    let mut is_first = true;
    loop {
        let mut data = Vec::new();
        let Ok(used) = decoder.decode(&exchange.connection.buffer, &mut data) else {
            events.take_partial();
            return LegEnd::Failed(CallFailure::Lost);
        };
        exchange.connection.buffer.drain(..used);
        let Some(whole) = events.push(&data) else {
            events.take_partial();
            return LegEnd::Failed(CallFailure::Lost);
        };
        if is_first && !whole.is_empty() {
            is_first = false;
            note_first_event(context, leg, sent_ms);
        }
        if !caller.write_events(&exchange.head, &whole).await {
            return LegEnd::CallerLost;
        }
        if decoder.is_done() {
            break;
        }
        let gap_ms = Millis(context.route.gap_target_ms.0 * GAP_FACTOR);
        let silence_ms = if is_first { first_event_limit_ms(context, leg) } else { gap_ms };
        let timeout = Duration::from_millis(spare.limit_ms(context, silence_ms).0);
        let filling = async_std::future::timeout(timeout, exchange.connection.fill());
        let failure = match filling.await {
            Ok(Ok(0)) if decoder.end_of_input().is_ok() => None,
            Ok(Ok(read)) if read > 0 => None,
            Ok(_) => Some(CallFailure::Lost),
            Err(_) if spare.is_movable => match spare.secure(context).await {
                Some(next) => {
                    events.take_partial();
                    return LegEnd::Moved(next);
                }
                None => continue,
            },
            Err(_) => Some(CallFailure::Silent),
        };
        if let Some(failure) = failure {
            events.take_partial();
            return LegEnd::Failed(failure);
        }
    }
    let rest = events.take_partial();
    if !caller.write_events(&exchange.head, &rest).await {
        return LegEnd::CallerLost;
    }
    let served = caller.end_events(&exchange.head).await;
    let request_id = Some(context.request_id);
    dispatch::log_answer(context.shared, request_id, "completed", exchange.head.status);
    exchange.keep(&context.shared.pool, leg.choice().address);
    LegEnd::Complete(served)
}

fn note_first_event(context: &CallContext<'_>, leg: &Leg, sent_ms: Millis) {
    let elapsed_ms = clock::now_ms().saturating_sub(sent_ms);
    context.observe_step("first_event", elapsed_ms);
    context.observe_answer();
    if leg.kv.is_some() {
        let now_ms = clock::now_ms();
        context.shared.forwarder().record_first_event_time(now_ms, leg.choice(), elapsed_ms);
    }
    spdlog::info!(
        "event=first_event request={} server={} after_ms={} since_arrival_ms={}",
        context.request_id,
        leg.choice().run.server,
        elapsed_ms.0,
        context.elapsed_ms().0
    );
}

/// An engine that had reserved a place and refuses a KV cache could not fetch it: that counts
/// against the engine that should have kept it.
fn refuse_kv(context: &CallContext<'_>, leg: &Leg) {
    let Some(kv) = &leg.kv else {
        return;
    };
    spdlog::info!(
        "event=kv_refused request={} server={} source={} age_ms={}",
        context.request_id,
        leg.choice().run.server,
        kv.run().server,
        kv.age_ms().0
    );
    if leg.place.is_some() {
        context.shared.forwarder().record_lost_kv(clock::now_ms(), kv.run());
    }
}
