//! Chooses the engines of a model call and reserves the decode engine.

use std::time::Duration;

use async_std::task;
use turmericrail_core::error_kind::ErrorKind;
use turmericrail_core::forward::{
    CallEnd, ChosenServer, EngineFilter, KvOrigin, ModelPlan, PlanRefusal, ReservationRound,
    ServerRun, VersionNeed,
};
use turmericrail_core::units::{Millis, Tokens};

use super::begun_version::BegunVersion;
use super::call_context::CallContext;
use super::call_guard::CallGuard;
use super::engine_calls::{model_call_size, prefill_prompt};
use super::held_kv::HeldKv;
use super::ranked_selection;
use super::reservation::{Reservation, ReservationResult};
use crate::forward::callers::dispatch::Refusal;
use crate::forward::clock;
use crate::forward::peers::loss_notices;

/// Most engines from which a reservation is requested in one step of a round, for a call of average
/// size.
pub const MAX_ENGINES_PER_STEP: usize = 4;
/// Mean time between rounds while the target can be met. Several engines become free in this time.
const RETRY_INTERVAL_MS: Millis = Millis(60);
/// Mean time between rounds once the target is missed; about a sixth of the time of an answer.
const LATE_RETRY_INTERVAL_MS: Millis = Millis(400);
/// `Retry-After` if every engine stayed full for the whole wait: most bursts are over by then.
const FULL_RETRY_AFTER_MS: Millis = Millis(4_000);

/// A run of the call at one engine that hasn't been sent yet.
pub struct EngineAttempt {
    /// Counts the call at the engine.
    pub guard: CallGuard,
    /// `None` if the engine takes no reservations.
    pub reservation: Option<Reservation>,
    /// The KV cache from which the run starts.
    pub kv: Option<HeldKv>,
}

impl EngineAttempt {
    pub fn choice(&self) -> &ChosenServer {
        self.guard.choice()
    }
}

/// Chooses an engine that runs the whole call.
pub fn choose_engine(context: &CallContext<'_>, tried: &[ServerRun]) -> Option<ChosenServer> {
    let (now_ms, random) = (clock::now_ms(), fastrand::u64(..));
    let begun = context.begun_version();
    let filter = EngineFilter { excluded: tried, version: begun.need()? };
    let forwarder = context.shared.forwarder();
    if !context.is_model_call() {
        let is_repeatable = context.route.kind.is_repeatable();
        return forwarder.choose_plain(now_ms, context.service, is_repeatable, filter, random);
    }
    let (service, call_size) = (context.service, model_call_size(context));
    forwarder.choose_decode(now_ms, service, call_size, KvOrigin::DecodeEngine, filter, random)
}

/// Reserves an engine for the call and runs the prefill if the plan has one.
pub async fn reserve_first_attempt(context: &CallContext<'_>) -> Result<EngineAttempt, Refusal> {
    if !context.is_model_call() {
        let choice = choose_engine(context, &[]).ok_or_else(|| no_engine_refusal(context))?;
        return Ok(start_unreserved(context, &choice));
    }
    let (relative_size, is_likely_retry) = size_and_retry(context);
    if context.has_ranks() {
        return ranked_selection::reserve_first(context, relative_size, is_likely_retry).await;
    }
    let mut is_first_round = true;
    loop {
        let plan = plan(context)?;
        let choose = |full_engines: &[ServerRun]| choose_planned(context, &plan, full_engines);
        let is_late = is_likely_retry
            || context.elapsed_ms() + plan.predicted_latency_ms() > context.route.target_ms;
        if is_late && context.shared.forwarder().is_scarce(clock::now_ms(), context.service) {
            wait_for_free_engine(context, is_late, relative_size).await?;
            continue;
        }
        let reserved = reserve(context, relative_size, &choose).await;
        if std::mem::take(&mut is_first_round) {
            let has_reservation = reserved.is_some();
            context.shared.forwarder().record_reservation_result(
                clock::now_ms(),
                context.service,
                has_reservation,
            );
        }
        let Some(mut attempt) = reserved else {
            wait_for_free_engine(context, is_late, relative_size).await?;
            continue;
        };
        log_plan(context, &plan, &attempt);
        if let Some(engine) = &plan.prefill {
            let version = attempt.choice().version.clone();
            attempt.kv = prefill_prompt(context, engine, version.as_ref()).await;
        }
        return Ok(attempt);
    }
}

/// The size of a call relative to others, and whether its caller comes back after a refusal.
fn size_and_retry(context: &CallContext<'_>) -> (f64, bool) {
    let mut forwarder = context.shared.forwarder();
    let relative_size = forwarder.relative_size(context.service, model_call_size(context));
    // Only the deadline that the caller itself named: a change of the route's timeout must not look
    // like a caller's retry.
    // What another instance leaves of a deadline isn't the caller's own.
    let stated_ms =
        context.request.metadata.deadline_ms.filter(|_| context.request.origin.is_caller());
    let is_likely_retry = stated_ms.is_some_and(|caller_timeout_ms| {
        forwarder.is_likely_retry(clock::now_ms(), &context.route.name, caller_timeout_ms)
    });
    (relative_size, is_likely_retry)
}

/// The refusal of a call that no engine takes.
fn no_engine_refusal(context: &CallContext<'_>) -> Refusal {
    let begun = context.begun_version();
    let has_version = match &begun {
        BegunVersion::None | BegunVersion::SentTo(_) => true,
        BegunVersion::At(version) => {
            let forwarder = context.shared.forwarder();
            forwarder.is_version_served(clock::now_ms(), context.service, version.as_ref())
        }
    };
    if has_version { context.no_server_refusal() } else { ErrorKind::VersionUnavailable.into() }
}

/// The engines of a call by the present load.
pub fn plan(context: &CallContext<'_>) -> Result<ModelPlan, Refusal> {
    let begun = context.begun_version();
    let version = begun.need().ok_or_else(|| no_engine_refusal(context))?;
    let planned = context.shared.forwarder().plan_model(
        clock::now_ms(),
        context.service,
        model_call_size(context),
        version,
        context.remaining_ms(),
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
            context.remaining_ms().0,
            context.table.version()
        );
    }
    planned.map_err(|refusal| match refusal {
        PlanRefusal::NoServer => no_engine_refusal(context),
        PlanRefusal::DeadlineUnreachable { retry_after_ms } => {
            Refusal { kind: ErrorKind::DeadlineUnreachable, retry_after_ms: Some(retry_after_ms) }
        }
    })
}

/// Logs the engines of a call that was placed.
pub fn log_plan(context: &CallContext<'_>, plan: &ModelPlan, attempt: &EngineAttempt) {
    context.observe_step("place", context.elapsed_ms());
    let prefill = plan.prefill.as_ref().map_or("none", |engine| engine.run.server.as_str());
    let call_size = model_call_size(context);
    spdlog::info!(
        "event=plan request={} prefill={prefill} decode={} is_reserved={} prompt_tokens={} \
         expected_output_tokens={} patience_ms={} since_arrival_ms={} shared_parts={}",
        context.request_id,
        attempt.choice().run.server,
        attempt.reservation.is_some(),
        call_size.prompt_tokens.0,
        call_size.expected_output_tokens.0,
        context.caller_timeout_ms().0,
        context.elapsed_ms().0,
        loss_notices::join_parts(context.shared_parts())
    );
}

/// Chooses the decode engine of a plan; another one if engines of the plan are full.
pub fn choose_planned(
    context: &CallContext<'_>,
    plan: &ModelPlan,
    full_engines: &[ServerRun],
) -> Option<ChosenServer> {
    match &plan.prefill {
        _ if full_engines.is_empty() => Some(plan.decode.clone()),
        Some(engine) => choose_decode(context, engine, full_engines),
        None => choose_engine(context, full_engines),
    }
}

/// Chooses an engine that continues from a KV cache made at `prefill`.
pub fn choose_decode(
    context: &CallContext<'_>,
    prefill: &ChosenServer,
    full_engines: &[ServerRun],
) -> Option<ChosenServer> {
    let (now_ms, random) = (clock::now_ms(), fastrand::u64(..));
    let forwarder = context.shared.forwarder();
    let origin = KvOrigin::PrefillEngineIn(&prefill.data_centre);
    let version = VersionNeed::Same(prefill.version.as_ref());
    let filter = EngineFilter { excluded: full_engines, version };
    forwarder.choose_decode(
        now_ms,
        context.service,
        model_call_size(context),
        origin,
        filter,
        random,
    )
}

fn start_unreserved(context: &CallContext<'_>, choice: &ChosenServer) -> EngineAttempt {
    EngineAttempt { guard: CallGuard::start(context.shared, choice), reservation: None, kv: None }
}

/// Reserves an engine with much room for the answer to grow, or else one with enough; `None` if no
/// engine of the round grants a reservation.
/// If the service uses no reservations, the best engine is taken without one.
pub async fn reserve(
    context: &CallContext<'_>,
    relative_size: f64,
    choose: &impl Fn(&[ServerRun]) -> Option<ChosenServer>,
) -> Option<EngineAttempt> {
    let max_engines = (MAX_ENGINES_PER_STEP as f64 * relative_size).ceil() as usize;
    let mut round = ReservationRound::new(model_call_size(context), max_engines);
    reserve_round(context, &mut round, &|_| Tokens::ZERO, choose).await
}

/// Longest duration of a reservation at the engines of the call's service; zero if they take none.
pub fn reservation_ttl_ms(context: &CallContext<'_>) -> Millis {
    context.engine_limits().map_or(Millis::ZERO, |engine| engine.max_reservation_ms)
}

/// Reserves an engine in a round of requests; `headroom` is the free memory that an engine must have
/// beyond what the round asks for.
pub async fn reserve_round(
    context: &CallContext<'_>,
    round: &mut ReservationRound,
    headroom: &impl Fn(&ServerRun) -> Tokens,
    choose: &impl Fn(&[ServerRun]) -> Option<ChosenServer>,
) -> Option<EngineAttempt> {
    let ttl_ms = reservation_ttl_ms(context);
    if ttl_ms == Millis::ZERO {
        return choose(&[]).map(|choice| start_unreserved(context, &choice));
    }
    let needed_tokens = model_call_size(context).expected_kv_tokens();
    while let Some(free_tokens) = round.free_tokens() {
        let Some(choice) = choose(&round.excluded_engines()) else {
            round.end_step();
            continue;
        };
        if context.shared.forwarder().call_limits().is_limited(&choice.run) {
            // A reservation and its release would take two more of the few calls.
            return Some(start_unreserved(context, &choice));
        }
        let mut attempt = start_unreserved(context, &choice);
        let headroom_tokens = headroom(&choice.run);
        let result = Reservation::request_with_room(
            context.shared,
            &choice,
            needed_tokens,
            free_tokens + headroom_tokens,
            ttl_ms,
        )
        .await;
        match result {
            ReservationResult::Reserved(reservation) => {
                attempt.reservation = Some(*reservation);
                return Some(attempt);
            }
            ReservationResult::Full => {
                if round.is_last_step() && headroom_tokens == Tokens::ZERO {
                    context.shared.forwarder().record_full(clock::now_ms(), &choice);
                }
                round.record_refusal(choice.run);
            }
            ReservationResult::Failed => {
                attempt.guard.end(CallEnd::TimedOut);
                round.record_failure(choice.run);
            }
        }
    }
    None
}

/// Waits before the next round while every engine is full. Calls that can still meet their target
/// retry often. Late ones retry seldom, and not at all while new calls get no reservation either,
/// so that capacity goes to the answers that are worth most to their callers. Larger calls retry
/// more often and ask more engines, since an engine with enough room for them is free less often.
async fn wait_for_free_engine(
    context: &CallContext<'_>,
    is_late: bool,
    relative_size: f64,
) -> Result<(), Refusal> {
    context.check_reach()?;
    let elapsed_ms = context.elapsed_ms();
    let caller_timeout_ms = context.caller_timeout_ms();
    let target_ms = context.route.target_ms;
    // A call that has missed its target is refused, so that its caller can plan; a wait of more
    // than a third of the timeout would leave no time for the answer.
    let max_wait_ms = target_ms.min(Millis(caller_timeout_ms.0 / 3));
    if elapsed_ms > max_wait_ms {
        let is_scarce = context.shared.forwarder().is_scarce(clock::now_ms(), context.service);
        spdlog::info!(
            "event=place_refused request={} service={} waited_ms={} longest_ms={} target_ms={} patience_ms={} \
             is_scarce={is_scarce} size={relative_size:.2} config_version={}",
            context.request_id,
            context.service,
            elapsed_ms.0,
            max_wait_ms.0,
            target_ms.0,
            caller_timeout_ms.0,
            context.table.version()
        );
        let refusal =
            Refusal { kind: ErrorKind::Overloaded, retry_after_ms: Some(FULL_RETRY_AFTER_MS) };
        return Err(refusal);
    }
    let mean_interval_ms = if is_late { LATE_RETRY_INTERVAL_MS } else { RETRY_INTERVAL_MS };
    let interval =
        Duration::from_millis(mean_interval_ms.0).mul_f64((0.5 + fastrand::f64()) / relative_size);
    task::sleep(interval).await;
    Ok(())
}
