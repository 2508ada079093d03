//! Reserves the engines of new model calls where requests of different ranks compete.
//!
//! A call that finds no room waits here, as long as its whole answer can still come before the
//! deadline. While the service is scarce, less urgent calls ask for room less often and need free
//! memory beyond their own. A call past its target goes on waiting behind those that can meet
//! theirs.

use std::time::Duration;

use async_std::task;
use turmericrail_core::error_kind::ErrorKind;
use turmericrail_core::forward::{ModelPlan, ReservationRound, ServerRun, Standing, Urgency};
use turmericrail_core::units::{Millis, Tokens};

use super::call_context::CallContext;
use super::engine_calls::model_call_size;
use super::engine_selection::{
    EngineAttempt, MAX_ENGINES_PER_STEP, choose_planned, log_plan, plan, reserve_round,
};
use super::reserved_prefill::{has_time_for_prefill, prefill_reserved};
use super::waiting_call::WaitingCall;
use crate::forward::callers::dispatch::Refusal;
use crate::forward::clock;

/// Time for which a call doesn't ask an engine again that refused it; a few answers finish in it.
const REFUSAL_HOLD_OFF_MS: Millis = Millis(150);

/// A call that looks for room.
struct RankedCall<'a> {
    context: &'a CallContext<'a>,
    relative_size: f64,
    is_likely_retry: bool,
    is_first_round: bool,
    /// Engines that had no room in the last round, and its time.
    full_engines: (Vec<ServerRun>, Millis),
}

/// Reserves an engine for the call and runs the prefill if the plan has one.
pub async fn reserve_first(
    context: &CallContext<'_>,
    relative_size: f64,
    is_likely_retry: bool,
) -> Result<EngineAttempt, Refusal> {
    if !is_likely_retry {
        context.record_tenant();
    }
    let full_engines = (Vec::new(), Millis::ZERO);
    let mut call =
        RankedCall { context, relative_size, is_likely_retry, is_first_round: true, full_engines };
    loop {
        let plan = plan(context)?;
        let urgency = call.urgency(&plan);
        call.check_time(urgency)?;
        let reserved = match has_time_for_prefill(context, &plan) {
            true => call.reserve(&plan, urgency).await,
            false => None,
        };
        let Some(mut attempt) = reserved else {
            call.wait(urgency).await?;
            continue;
        };
        log_plan(context, &plan, &attempt);
        if let Some(engine) = &plan.prefill {
            attempt = prefill_reserved(context, attempt, engine).await;
        }
        return Ok(attempt);
    }
}

impl RankedCall<'_> {
    fn urgency(&self, plan: &ModelPlan) -> Urgency {
        let predicted_ms = self.context.elapsed_ms() + plan.predicted_latency_ms();
        let standing = match self.is_likely_retry {
            true => Standing::Returning,
            false if predicted_ms > self.context.route.target_ms => Standing::Late,
            false => Standing::InTime,
        };
        self.context.urgency(standing)
    }

    /// Asks engines for room in one round, and records the result.
    async fn reserve(&mut self, plan: &ModelPlan, urgency: Urgency) -> Option<EngineAttempt> {
        let (context, service) = (self.context, self.context.service);
        let size = model_call_size(context);
        let is_scarce = context.shared.forwarder().is_scarce(clock::now_ms(), service);
        let engines_per_round =
            if is_scarce { urgency.engines_per_round() } else { MAX_ENGINES_PER_STEP };
        let max_engines = (engines_per_round as f64 * self.relative_size).ceil() as usize;
        let mut round = match is_scarce {
            true => ReservationRound::without_roomy_steps(size, max_engines),
            false => ReservationRound::new(size, max_engines),
        };
        let headroom = |engine: &ServerRun| match is_scarce {
            true => context.headroom(urgency, engine),
            false => Tokens::ZERO,
        };
        let held_off = self.held_off_engines();
        let choose = |full_engines: &[ServerRun]| {
            choose_planned(context, plan, &[full_engines, &held_off[..]].concat())
                .or_else(|| choose_planned(context, plan, full_engines))
        };
        let reserved = reserve_round(context, &mut round, &headroom, &choose).await;
        self.full_engines = (round.full_engines().to_vec(), clock::now_ms());
        self.record_round(urgency, reserved.is_some());
        if let Some(attempt) = &reserved {
            self.log_placed(urgency, headroom(&attempt.choice().run));
        }
        reserved
    }

    /// Engines that refused this call a moment ago.
    fn held_off_engines(&self) -> Vec<ServerRun> {
        let (engines, asked_ms) = &self.full_engines;
        let is_recent = clock::now_ms() < *asked_ms + REFUSAL_HOLD_OFF_MS;
        if is_recent { engines.clone() } else { Vec::new() }
    }

    fn record_round(&mut self, urgency: Urgency, is_reserved: bool) {
        let (context, now_ms) = (self.context, clock::now_ms());
        let mut forwarder = context.shared.forwarder();
        if std::mem::take(&mut self.is_first_round) {
            let overload = forwarder.overload(context.service);
            overload.record_first_attempt(now_ms, context.rank(), is_reserved);
            // A late call may fail for its headroom alone, which doesn't mean that others do.
            if is_reserved || urgency.standing() == Standing::InTime {
                forwarder.record_reservation_result(now_ms, context.service, is_reserved);
            }
        }
        if is_reserved {
            forwarder.overload(context.service).record_placement(now_ms);
            drop(forwarder);
            context.record_placement(urgency);
        }
    }

    fn log_placed(&self, urgency: Urgency, headroom_tokens: Tokens) {
        let (context, rank) = (self.context, self.context.rank());
        let mut forwarder = context.shared.forwarder();
        let overload = forwarder.overload(context.service);
        let pressure = overload.pressure(clock::now_ms(), rank);
        let waiting_calls = overload.waiting_calls();
        drop(forwarder);
        spdlog::info!(
            "event=placed request={} service={} rank={rank} standing={} urgency={urgency} headroom_tokens={} \
             pressure={pressure:.2} waiting={waiting_calls} waited_ms={}",
            context.request_id,
            context.service,
            urgency.standing().as_str(),
            headroom_tokens.0,
            context.elapsed_ms().0
        );
    }

    /// Refuses the call before its prefill if its whole answer can't come before the deadline.
    fn check_time(&self, urgency: Urgency) -> Result<(), Refusal> {
        let (context, now_ms) = (self.context, clock::now_ms());
        let mut forwarder = context.shared.forwarder();
        let overload = forwarder.overload(context.service);
        if !overload.is_out_of_time(context.remaining_ms()) {
            return Ok(());
        }
        let longest_ms = overload.longest_wait_ms(context.caller_timeout_ms());
        let retry_after_ms = overload.retry_after_ms(now_ms, urgency);
        drop(forwarder);
        Err(self.refuse(ErrorKind::DeadlineUnreachable, urgency, longest_ms, retry_after_ms))
    }

    /// Waits for the next round, or refuses the call if it can't be served before its deadline.
    async fn wait(&mut self, urgency: Urgency) -> Result<(), Refusal> {
        self.context.check_reach()?;
        let mean_interval_ms = self.retry_interval_ms(urgency)?;
        let interval = Duration::from_millis(mean_interval_ms.0)
            .mul_f64((0.5 + fastrand::f64()) / self.relative_size);
        let _waiting = WaitingCall::new(self.context, urgency);
        task::sleep(interval).await;
        Ok(())
    }

    /// Mean time until the next round. While the instance ends, callers are to ask another one.
    fn retry_interval_ms(&self, urgency: Urgency) -> Result<Millis, Refusal> {
        if self.context.shared.is_refusing_requests() {
            return Err(ErrorKind::ShuttingDown.into());
        }
        let (context, now_ms) = (self.context, clock::now_ms());
        let (rank, waited_ms) = (context.rank(), context.elapsed_ms());
        let mut forwarder = context.shared.forwarder();
        let overload = forwarder.overload(context.service);
        let longest_ms = overload.longest_wait_ms(context.caller_timeout_ms());
        let remaining_ms = longest_ms.saturating_sub(waited_ms);
        let is_over = waited_ms > longest_ms;
        if is_over || overload.is_hopeless(now_ms, urgency, remaining_ms) {
            let retry_after_ms = overload.retry_after_ms(now_ms, urgency);
            drop(forwarder);
            return Err(self.refuse(ErrorKind::Overloaded, urgency, longest_ms, retry_after_ms));
        }
        Ok(overload.retry_interval_ms(now_ms, rank, urgency, context.route.target_ms))
    }

    fn refuse(
        &self,
        kind: ErrorKind,
        urgency: Urgency,
        longest_ms: Millis,
        retry_after_ms: Millis,
    ) -> Refusal {
        let (context, now_ms) = (self.context, clock::now_ms());
        let rank = context.rank();
        let mut forwarder = context.shared.forwarder();
        let is_scarce = forwarder.is_scarce(now_ms, context.service);
        let overload = forwarder.overload(context.service);
        let (pressure, waiting_calls) = (overload.pressure(now_ms, rank), overload.waiting_calls());
        drop(forwarder);
        spdlog::info!(
            "event=place_refused request={} service={} reason={kind} rank={rank} standing={} waited_ms={} longest_ms={} \
             target_ms={} patience_ms={} is_scarce={is_scarce} pressure={pressure:.2} waiting={waiting_calls} \
             retry_after_ms={} size={:.2} config_version={}",
            context.request_id,
            context.service,
            urgency.standing().as_str(),
            context.elapsed_ms().0,
            longest_ms.0,
            context.route.target_ms.0,
            context.caller_timeout_ms().0,
            retry_after_ms.0,
            self.relative_size,
            context.table.version()
        );
        context.shared.metrics.overload_refusals.with_label_values(&[&rank.to_string()]).inc();
        Refusal { kind, retry_after_ms: Some(retry_after_ms) }
    }
}
