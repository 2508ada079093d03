//! Model calls: a prefill at one engine, then the answer in events from another.
//!
//! An engine is asked for the answer once the prompt's KV cache is made. Where that path fails, a
//! decode engine reads the prompt itself. An answer that can be resumed goes on at another engine
//! after its last whole event.

use std::time::Duration;

use async_std::task;
use turmericrail_core::error_kind::ErrorKind;
use turmericrail_core::forward::{CallEnd, Choice, ModelPlan, PlanRefusal, Prompt, ServerRun};
use turmericrail_core::ids::DataCentreId;
use turmericrail_core::units::Millis;
use turmericrail_platform::call::{self, KvSource, Start, Step};
use turmericrail_platform::prefill;
use turmericrail_wire::http1::{BodyDecoder, EventSplitter, ResponseHead};

use super::answer_writer;
use super::call_context::CallContext;
use super::call_guard::CallGuard;
use super::clock;
use super::dispatch::{self, Refusal, Served};
use super::event_relay::CallerStream;
use super::exchange::{Exchange, OutgoingCall};
use super::failure::CallFailure;
use super::held_kv::HeldKv;
use super::plain_call::is_genuine;
use super::reservation::{Asked, Reservation};

/// How much longer than predicted a prefill or first event may take before the engine counts as
/// silent.
const SILENCE_FACTOR: u64 = 3;
/// Added to that, for what other instances have queued there.
const SILENCE_SLACK_MS: Millis = Millis(250);
/// Pauses between events, as a multiple of the wanted one, before an engine counts as silent.
const GAP_FACTOR: u64 = 2;
/// Wait named to a caller whose engine refused: the next plan avoids that engine.
const REFUSED_RETRY_AFTER_MS: Millis = Millis(100);
/// Engines asked for a place in one round.
const MAX_ENGINES_ASKED: usize = 4;
/// Longest wait for a place, as a multiple of the target: callers leave after four times it without
/// an event. Also at most a third of the patience,
/// so that the answer itself still fits in.
const MAX_WAIT_FACTOR: u64 = 2;
/// Mean time between rounds while the target can be met: places become free several times in it.
const PAUSE_MS: Millis = Millis(60);
/// Mean time between rounds once it can't: so long that even many late calls leave most places to
/// those that can still be in time.
const LATE_PAUSE_MS: Millis = Millis(400);
/// Wait named to a caller who found every engine full for long: most bursts have passed by then.
const FULL_RETRY_AFTER_MS: Millis = Millis(4_000);

/// A run of the call at one engine, before it begins.
struct Leg {
    guard: CallGuard,
    place: Option<Reservation>,
    kv: Option<HeldKv>,
}

impl Leg {
    fn choice(&self) -> &Choice {
        self.guard.choice()
    }
}

/// How a leg ended.
enum LegEnd {
    /// The whole answer went to the caller.
    Complete(Served),
    /// The engine ran the call and answered that it failed.
    Answered(ResponseHead, Vec<u8>),
    /// The engine did not run the call.
    NotRun,
    /// The answer did not come, or broke off.
    Failed(CallFailure),
    /// The caller takes no more.
    CallerLost,
}

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
        let choose = |full: &[ServerRun]| choose_alone(context, &[&tried, full].concat());
        leg = match reserve(context, 1.0, &choose).await {
            Some(leg) => leg,
            None => return Err(refusal()),
        };
    }
}

fn prompt(context: &CallContext<'_>) -> Prompt {
    context.request.facts.prompt.unwrap_or_default()
}

/// An engine that runs the whole call.
fn choose_alone(context: &CallContext<'_>, tried: &[ServerRun]) -> Option<Choice> {
    let (now_ms, draw) = (clock::now_ms(), fastrand::u64(..));
    let forwarder = context.shared.forwarder();
    if !context.is_model_call() {
        let is_repeatable = context.route.kind.is_repeatable();
        return forwarder.choose_plain(now_ms, context.service, is_repeatable, tried, draw);
    }
    forwarder.choose_alone(now_ms, context.service, prompt(context), tried, draw)
}

/// Finds a place for the call and makes its KV cache where the plan says so.
async fn first_leg(context: &CallContext<'_>) -> Result<Leg, Refusal> {
    if !context.is_model_call() {
        let choice = choose_alone(context, &[]).ok_or(ErrorKind::NoServer)?;
        return Ok(unreserved(context, &choice));
    }
    let mut is_new = true;
    let size = context.shared.forwarder().relative_size(context.service, prompt(context));
    loop {
        let plan = plan(context)?;
        let near = plan.prefill.as_ref().map(|engine| engine.data_centre.clone());
        let choose = |full: &[ServerRun]| match &near {
            Some(near) => choose_decode(context, near, full),
            None => choose_alone(context, full),
        };
        let is_late = context.elapsed_ms() + plan.predicted_ms() > context.route.target_ms;
        if is_late && context.shared.forwarder().is_scarce(clock::now_ms(), context.service) {
            wait_for_place(context, is_late, size).await?;
            continue;
        }
        let reserved = reserve(context, size, &choose).await;
        if std::mem::take(&mut is_new) {
            let has_place = reserved.is_some();
            context.shared.forwarder().note_place(clock::now_ms(), context.service, has_place);
        }
        let Some(mut leg) = reserved else {
            wait_for_place(context, is_late, size).await?;
            continue;
        };
        log_plan(context, &plan, &leg);
        if let Some(engine) = &plan.prefill {
            leg.kv = make_kv(context, engine).await;
        }
        return Ok(leg);
    }
}

fn plan(context: &CallContext<'_>) -> Result<ModelPlan, Refusal> {
    let planned = context.shared.forwarder().plan_model(
        clock::now_ms(),
        context.service,
        prompt(context),
        context.left_ms(),
        &[],
        fastrand::u64(..),
    );
    if let Err(refusal) = &planned {
        let revision = context.shared.forwarder().registry().revision();
        spdlog::info!(
            "event=plan_refused request={} service={} reason={} left_ms={} registry_revision={revision} \
             config_version={}",
            context.request_id,
            context.service,
            refusal.as_str(),
            context.left_ms().0,
            context.table.version()
        );
    }
    planned.map_err(|refusal| match refusal {
        PlanRefusal::NoServer => ErrorKind::NoServer.into(),
        PlanRefusal::DeadlineUnreachable { retry_after_ms } => {
            Refusal { kind: ErrorKind::DeadlineUnreachable, retry_after_ms: Some(retry_after_ms) }
        }
    })
}

fn log_plan(context: &CallContext<'_>, plan: &ModelPlan, leg: &Leg) {
    context.observe_step("place", context.elapsed_ms());
    let prefill = plan.prefill.as_ref().map_or("none", |engine| engine.run.server.as_str());
    let prompt = prompt(context);
    spdlog::info!(
        "event=plan request={} prefill={prefill} decode={} is_reserved={} prompt_tokens={} \
         expected_output_tokens={} since_arrival_ms={}",
        context.request_id,
        leg.choice().run.server,
        leg.place.is_some(),
        prompt.prompt_tokens.0,
        prompt.expected_output_tokens.0,
        context.elapsed_ms().0
    );
}

/// An engine that goes on from a KV cache made in the data centre `near`.
fn choose_decode(
    context: &CallContext<'_>,
    near: &DataCentreId,
    full: &[ServerRun],
) -> Option<Choice> {
    let (now_ms, draw) = (clock::now_ms(), fastrand::u64(..));
    let forwarder = context.shared.forwarder();
    forwarder.choose_decode(now_ms, context.service, prompt(context), Some(near), full, draw)
}

fn unreserved(context: &CallContext<'_>, choice: &Choice) -> Leg {
    Leg { guard: CallGuard::start(context.shared, choice), place: None, kv: None }
}

/// Reserves a place at the best engine that has one; nothing where all that were asked are full.
async fn reserve(
    context: &CallContext<'_>,
    size: f64,
    choose: &impl Fn(&[ServerRun]) -> Option<Choice>,
) -> Option<Leg> {
    let engine = context.table.service(context.service).and_then(|service| service.engine);
    let ttl_ms = engine.map_or(Millis::ZERO, |engine| engine.reservation_ms);
    if ttl_ms == Millis::ZERO {
        return choose(&[]).map(|choice| unreserved(context, &choice));
    }
    let mut full = Vec::new();
    let most_asked = (MAX_ENGINES_ASKED as f64 * size).ceil() as usize;
    while full.len() < most_asked {
        let choice = choose(&full)?;
        let mut leg = unreserved(context, &choice);
        let asked =
            Reservation::ask(context.shared, &choice, prompt(context).kv_tokens(), ttl_ms).await;
        match asked {
            Asked::Reserved(place) => {
                leg.place = Some(place);
                return Some(leg);
            }
            Asked::Full => context.shared.forwarder().note_full(clock::now_ms(), &choice),
            Asked::Failed => leg.guard.end(CallEnd::Silent),
        }
        full.push(choice.run);
    }
    None
}

/// Waits a moment while every engine is full. Calls that can still meet their target ask often;
/// those that can't ask seldom, and not at all while new calls find no place either, so that places
/// go to answers that are worth most to their callers. Large calls ask more often and more engines
/// than small ones, since a place that suits them is free less often.
async fn wait_for_place(
    context: &CallContext<'_>,
    is_late: bool,
    size: f64,
) -> Result<(), Refusal> {
    let elapsed_ms = context.elapsed_ms();
    let patience_ms = context.deadline_ms.saturating_sub(context.request.arrived_ms);
    let target_ms = context.route.target_ms;
    let longest_ms = Millis(target_ms.0 * MAX_WAIT_FACTOR).min(Millis(patience_ms.0 / 3));
    if elapsed_ms > longest_ms {
        let is_scarce = context.shared.forwarder().is_scarce(clock::now_ms(), context.service);
        spdlog::info!(
            "event=place_refused request={} service={} waited_ms={} longest_ms={} target_ms={} \
             is_scarce={is_scarce} size={size:.2} config_version={}",
            context.request_id,
            context.service,
            elapsed_ms.0,
            longest_ms.0,
            target_ms.0,
            context.table.version()
        );
        let refusal =
            Refusal { kind: ErrorKind::Overloaded, retry_after_ms: Some(FULL_RETRY_AFTER_MS) };
        return Err(refusal);
    }
    let pause_ms = if is_late { LATE_PAUSE_MS } else { PAUSE_MS };
    let pause = Duration::from_millis(pause_ms.0).mul_f64((0.5 + fastrand::f64()) / size);
    task::sleep(pause).await;
    Ok(())
}

/// Time after which an engine counts as silent.
fn silence_ms(choice: &Choice) -> Millis {
    Millis(choice.predicted_ms.0 * SILENCE_FACTOR) + SILENCE_SLACK_MS
}

/// Has an engine read the prompt; nothing where it did not. A prefill is no run of the call, so
/// that a lost one does no harm.
async fn make_kv(context: &CallContext<'_>, engine: &Choice) -> Option<HeldKv> {
    let guard = CallGuard::start(context.shared, engine);
    let limit_ms = silence_ms(engine).min(context.left_ms());
    let prefilled = call_prefill(context, engine, limit_ms).await;
    let elapsed_ms = guard.elapsed_ms();
    let end = match &prefilled {
        Ok(Some(_)) => CallEnd::Answered,
        Ok(None) => CallEnd::Refused,
        Err(failure) => failure.call_end(),
    };
    log_call(context, "prefill_call", engine, end, elapsed_ms);
    if end == CallEnd::Answered {
        context.shared.forwarder().note_prefill(clock::now_ms(), engine, elapsed_ms);
    }
    guard.end(end);
    let handle = prefilled.ok().flatten()?;
    let source = KvSource { address: engine.address, handle };
    Some(HeldKv::new(context.shared, source, engine.run.clone()))
}

async fn call_prefill(
    context: &CallContext<'_>,
    engine: &Choice,
    limit_ms: Millis,
) -> Result<Option<String>, CallFailure> {
    let started_ms = clock::now_ms();
    let bytes = call_bytes(context, engine, &Step::Prefill);
    let exchange = begin(context, engine, &bytes, limit_ms).await?;
    let facts = exchange.facts.clone();
    let left_ms = (started_ms + limit_ms).saturating_sub(clock::now_ms());
    let (head, body) = exchange.read_body(&context.shared.pool, engine.address, left_ms).await?;
    if facts.is_not_run || !head.is_success() {
        return Ok(None);
    }
    match prefill::decode(&body) {
        Ok(prefilled) => Ok(Some(prefilled.handle)),
        Err(error) => {
            spdlog::warn!(
                "event=prefill_malformed request={} server={} error={:?}",
                context.request_id,
                engine.run.server,
                error.to_string()
            );
            Err(CallFailure::Lost)
        }
    }
}

fn call_bytes(context: &CallContext<'_>, choice: &Choice, step: &Step<'_>) -> Vec<u8> {
    let request = context.request;
    let mut bytes = Vec::new();
    let left_ms = context.left_ms();
    let length = request.body.len();
    call::write_head(&request.head, length, &choice.run.server, left_ms, step, &mut bytes);
    bytes.extend_from_slice(&request.body);
    bytes
}

async fn begin(
    context: &CallContext<'_>,
    choice: &Choice,
    bytes: &[u8],
    limit_ms: Millis,
) -> Result<Exchange, CallFailure> {
    let outgoing = OutgoingCall {
        address: choice.address,
        bytes,
        method: &context.request.head.method,
        request_id: context.request_id,
    };
    let exchange = Exchange::begin(&context.shared.pool, &outgoing, limit_ms).await?;
    if let Some(load) = exchange.facts.load {
        context.shared.forwarder().report(clock::now_ms(), &choice.run, load);
    }
    Ok(exchange)
}

fn log_call(
    context: &CallContext<'_>,
    event: &'static str,
    choice: &Choice,
    end: CallEnd,
    elapsed_ms: Millis,
) {
    context.observe_step(event, elapsed_ms);
    spdlog::info!(
        "event={event} request={} server={} predicted_ms={} looked_at={} registry_revision={} \
         config_version={} outcome={} elapsed_ms={}",
        context.request_id,
        choice.run.server,
        choice.predicted_ms.0,
        choice.looked_at,
        choice.registry_revision,
        context.table.version(),
        end.as_str(),
        elapsed_ms.0
    );
}

/// Runs the call, or what is left of it, at one engine.
async fn run_leg(
    context: &CallContext<'_>,
    caller: &CallerStream,
    mut leg: Leg,
    events: &mut EventSplitter,
    tried: &[ServerRun],
    sent: u32,
) -> LegEnd {
    let is_movable = context.route.kind.is_repeatable()
        && sent + 1 < context.route.max_attempts
        && choose_alone(context, tried).is_some();
    let started_ms = clock::now_ms();
    let end = relay(context, caller, &mut leg, events, is_movable).await;
    let call_end = match &end {
        LegEnd::Complete(_) => CallEnd::Answered,
        LegEnd::Answered(head, _) if head.status >= 500 => CallEnd::Failed,
        LegEnd::Answered(..) => CallEnd::Answered,
        LegEnd::NotRun => CallEnd::Refused,
        LegEnd::Failed(failure) => failure.call_end(),
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

async fn relay(
    context: &CallContext<'_>,
    caller: &CallerStream,
    leg: &mut Leg,
    events: &mut EventSplitter,
    is_movable: bool,
) -> LegEnd {
    let limit_ms = |silence_ms: Millis| {
        let left_ms = context.left_ms();
        if is_movable { left_ms.min(silence_ms) } else { left_ms }
    };
    let bytes = {
        let start = Start {
            source: leg.kv.as_ref().map(HeldKv::source),
            reservation: leg.place.as_ref().and_then(Reservation::id),
            last_event_id: events.last_id(),
        };
        call_bytes(context, leg.choice(), &Step::Run(start))
    };
    let sent_ms = clock::now_ms();
    let first_event_ms = silence_ms(leg.choice()).max(context.route.target_ms);
    let begun = begin(context, leg.choice(), &bytes, limit_ms(first_event_ms)).await;
    let mut exchange = match begun {
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
        let silence_ms = if is_first { first_event_ms } else { gap_ms };
        let timeout = Duration::from_millis(limit_ms(silence_ms).0);
        let filling = async_std::future::timeout(timeout, exchange.connection.fill());
        let failure = match filling.await {
            Ok(Ok(0)) if decoder.end_of_input().is_ok() => None,
            Ok(Ok(read)) if read > 0 => None,
            Ok(_) => Some(CallFailure::Lost),
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
        context.shared.forwarder().note_first_event(now_ms, leg.choice(), elapsed_ms);
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
        context.shared.forwarder().note_kv_lost(clock::now_ms(), kv.run());
    }
}
