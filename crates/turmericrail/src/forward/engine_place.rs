//! A place for a model call: which engines serve it, and a reservation at the one that generates.

use std::time::Duration;

use async_std::task;
use turmericrail_core::error_kind::ErrorKind;
use turmericrail_core::forward::{
    CallEnd, ChosenServer, KvOrigin, ModelPlan, PlanRefusal, ServerRun,
};
use turmericrail_core::ids::DataCentreId;
use turmericrail_core::units::Millis;

use super::call_context::CallContext;
use super::call_guard::CallGuard;
use super::clock;
use super::dispatch::Refusal;
use super::engine_calls::{make_kv, prompt};
use super::held_kv::HeldKv;
use super::reservation::{Asked, Reservation};

/// Engines asked for a place in one round.
const MAX_ENGINES_ASKED: usize = 4;
/// Longest wait for a place, as a multiple of the target: callers leave after four times it without
/// an event, and the prefill follows. Also at most a third of the patience, so that the answer
/// itself still fits in.
const MAX_WAIT_FACTOR: u64 = 2;
/// Mean time between rounds while the target can be met: places become free several times in it.
const PAUSE_MS: Millis = Millis(60);
/// Mean time between rounds once it can't; about a sixth of the time of an answer.
const LATE_PAUSE_MS: Millis = Millis(400);
/// Wait named to a caller who found every engine full for long: most bursts have passed by then.
const FULL_RETRY_AFTER_MS: Millis = Millis(4_000);

/// A run of the call at one engine, before it begins.
pub struct Leg {
    /// The account of the call at the engine.
    pub guard: CallGuard,
    /// The place that is reserved there.
    pub place: Option<Reservation>,
    /// The KV cache that the run starts from.
    pub kv: Option<HeldKv>,
}

impl Leg {
    /// The engine.
    pub fn choice(&self) -> &ChosenServer {
        self.guard.choice()
    }
}

/// An engine that runs the whole call.
pub fn choose_alone(context: &CallContext<'_>, tried: &[ServerRun]) -> Option<ChosenServer> {
    let (now_ms, draw) = (clock::now_ms(), fastrand::u64(..));
    let forwarder = context.shared.forwarder();
    if !context.is_model_call() {
        let is_repeatable = context.route.kind.is_repeatable();
        return forwarder.choose_plain(now_ms, context.service, is_repeatable, tried, draw);
    }
    let (service, prompt) = (context.service, prompt(context));
    forwarder.choose_decode(now_ms, service, prompt, KvOrigin::DecodeEngine, tried, draw)
}

/// Finds a place for the call and makes its KV cache where the plan says so.
pub async fn first_leg(context: &CallContext<'_>) -> Result<Leg, Refusal> {
    if !context.is_model_call() {
        let choice = choose_alone(context, &[]).ok_or(ErrorKind::NoServer)?;
        return Ok(unreserved(context, &choice));
    }
    let mut is_new = true;
    let (size, is_returning) = {
        let mut forwarder = context.shared.forwarder();
        let size = forwarder.relative_size(context.service, prompt(context));
        // The caller's own word, which a change of the route's timeout leaves as it was.
        let is_returning = context.request.facts.deadline_ms.is_some_and(|patience_ms| {
            forwarder.is_likely_retry(clock::now_ms(), &context.route.name, patience_ms)
        });
        (size, is_returning)
    };
    loop {
        let plan = plan(context)?;
        let choose = |full: &[ServerRun]| match &plan.prefill {
            _ if full.is_empty() => Some(plan.decode.clone()),
            Some(engine) => choose_decode(context, &engine.data_centre, full),
            None => choose_alone(context, full),
        };
        let is_late =
            is_returning || context.elapsed_ms() + plan.predicted_ms() > context.route.target_ms;
        if is_late && context.shared.forwarder().is_scarce(clock::now_ms(), context.service) {
            wait_for_place(context, is_late, size).await?;
            continue;
        }
        let reserved = reserve(context, size, &choose).await;
        if std::mem::take(&mut is_new) {
            let has_place = reserved.is_some();
            context.shared.forwarder().record_reservation_result(
                clock::now_ms(),
                context.service,
                has_place,
            );
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
         expected_output_tokens={} patience_ms={} since_arrival_ms={}",
        context.request_id,
        leg.choice().run.server,
        leg.place.is_some(),
        prompt.prompt_tokens.0,
        prompt.expected_output_tokens.0,
        context.patience_ms().0,
        context.elapsed_ms().0
    );
}

/// An engine that goes on from a KV cache made in the data centre `near`.
fn choose_decode(
    context: &CallContext<'_>,
    near: &DataCentreId,
    full: &[ServerRun],
) -> Option<ChosenServer> {
    let (now_ms, draw) = (clock::now_ms(), fastrand::u64(..));
    let forwarder = context.shared.forwarder();
    let origin = KvOrigin::PrefillEngineIn(near);
    forwarder.choose_decode(now_ms, context.service, prompt(context), origin, full, draw)
}

fn unreserved(context: &CallContext<'_>, choice: &ChosenServer) -> Leg {
    Leg { guard: CallGuard::start(context.shared, choice), place: None, kv: None }
}

/// Reserves a place at the best engine that has one; nothing where all that were asked are full.
pub async fn reserve(
    context: &CallContext<'_>,
    size: f64,
    choose: &impl Fn(&[ServerRun]) -> Option<ChosenServer>,
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
            Reservation::ask(context.shared, &choice, prompt(context).expected_kv_tokens(), ttl_ms)
                .await;
        match asked {
            Asked::Reserved(place) => {
                leg.place = Some(place);
                return Some(leg);
            }
            Asked::Full => context.shared.forwarder().record_full(clock::now_ms(), &choice),
            Asked::Failed => leg.guard.end(CallEnd::TimedOut),
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
    let patience_ms = context.patience_ms();
    let target_ms = context.route.target_ms;
    let longest_ms = Millis(target_ms.0 * MAX_WAIT_FACTOR).min(Millis(patience_ms.0 / 3));
    if elapsed_ms > longest_ms {
        let is_scarce = context.shared.forwarder().is_scarce(clock::now_ms(), context.service);
        spdlog::info!(
            "event=place_refused request={} service={} waited_ms={} longest_ms={} target_ms={} patience_ms={} \
             is_scarce={is_scarce} size={size:.2} config_version={}",
            context.request_id,
            context.service,
            elapsed_ms.0,
            longest_ms.0,
            target_ms.0,
            patience_ms.0,
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
