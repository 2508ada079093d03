//! A prefill during which the decode engine's memory stays reserved.
//!
//! A reservation and a KV cache last for a limited time. A prefill that outlasts the reservation
//! would end without room for its result, and the prompt would be read again. So the reservation is
//! renewed while the prefill runs, and where that fails, room is looked for at all decode engines as
//! long as the KV cache is kept.

use std::time::Duration;

use async_std::task;
use turmericrail_core::forward::{ChosenServer, ModelPlan, ReservationRound, ServerRun};
use turmericrail_core::units::{Millis, Tokens};

use super::call_context::CallContext;
use super::engine_calls::{model_call_size, prefill_prompt};
use super::engine_selection::{
    EngineAttempt, MAX_ENGINES_PER_STEP, choose_decode, choose_engine, reservation_ttl_ms,
    reserve_round,
};
use super::held_kv::HeldKv;
use super::reservation::Reservation;
use crate::forward::clock;

/// Time before the end of a reservation at which it is renewed: several round trips.
const RENEWAL_TIME_MS: Millis = Millis(100);
/// Greatest part of a reservation's time that is left when it is renewed.
const MAX_RENEWAL_SHARE: u64 = 4;
/// Time of a reservation that has to be left for the call to reach the engine.
const MIN_REMAINING_MS: Millis = Millis(30);
/// Time between two searches for room for a KV cache that is kept for half a second.
const SEARCH_INTERVAL: Duration = Duration::from_millis(30);

/// Whether the prefill is expected to end within the reservation that is made for it, or waiting
/// for shorter queues would not help.
pub fn has_time_for_prefill(context: &CallContext<'_>, plan: &ModelPlan) -> bool {
    let ttl_ms = reservation_ttl_ms(context);
    let Some(prefill) = plan.prefill.as_ref().filter(|_| ttl_ms > Millis::ZERO) else {
        return true;
    };
    let longest_ms = ttl_ms.saturating_sub(renewal_time_ms(ttl_ms));
    let now_ms = clock::now_ms();
    let forwarder = context.shared.forwarder();
    let own_ms = forwarder.unqueued_prefill_ms(now_ms, prefill);
    prefill.predicted_latency_ms <= longest_ms || own_ms > longest_ms
}

/// Runs the prefill of a call. The attempt that is returned has another decode engine if the room at
/// the first one was lost.
pub async fn prefill_reserved(
    context: &CallContext<'_>,
    mut attempt: EngineAttempt,
    engine: &ChosenServer,
) -> EngineAttempt {
    let had_reservation = attempt.reservation.is_some();
    let kv = prefill_renewing(context, &mut attempt, engine).await;
    let is_reserved = |reservation: &Reservation| reservation.remaining_ms() > MIN_REMAINING_MS;
    if !had_reservation || attempt.reservation.as_ref().is_some_and(is_reserved) {
        attempt.kv = kv;
        return attempt;
    }
    // The old reservation ends here, so that it takes no room from the new one.
    attempt.reservation = None;
    let mut found = search_room(context, kv.as_ref()).await.unwrap_or(attempt);
    spdlog::info!(
        "event=room_searched request={} server={} is_reserved={} has_kv={}",
        context.request_id,
        found.choice().run.server,
        found.reservation.is_some(),
        kv.is_some()
    );
    found.kv = kv;
    found
}

/// Runs the prefill and renews the reservation while it runs.
async fn prefill_renewing(
    context: &CallContext<'_>,
    attempt: &mut EngineAttempt,
    engine: &ChosenServer,
) -> Option<HeldKv> {
    let version = attempt.choice().version.clone();
    let renewal_ms = renewal_time_ms(reservation_ttl_ms(context));
    let mut prefilling = Box::pin(prefill_prompt(context, engine, version.as_ref()));
    loop {
        let Some(reservation) = &mut attempt.reservation else {
            return prefilling.await;
        };
        let wait_ms = reservation.remaining_ms().saturating_sub(renewal_ms);
        let limit = Duration::from_millis(wait_ms.0);
        if let Ok(kv) = async_std::future::timeout(limit, prefilling.as_mut()).await {
            return kv;
        }
        if !reservation.renew().await {
            attempt.reservation = None;
        }
    }
}

fn renewal_time_ms(ttl_ms: Millis) -> Millis {
    RENEWAL_TIME_MS.min(Millis(ttl_ms.0 / MAX_RENEWAL_SHARE))
}

/// Reserves a decode engine for a KV cache as long as that is kept; one round of requests if there
/// is none.
async fn search_room(context: &CallContext<'_>, kv: Option<&HeldKv>) -> Option<EngineAttempt> {
    let choose = |full_engines: &[ServerRun]| match kv {
        Some(kv) => choose_decode(context, kv.engine(), full_engines),
        None => choose_engine(context, full_engines),
    };
    loop {
        let size = model_call_size(context);
        let mut round = ReservationRound::without_roomy_steps(size, MAX_ENGINES_PER_STEP);
        let found = reserve_round(context, &mut round, &|_| Tokens::ZERO, &choose).await;
        let may_go_on = kv.is_some_and(|kv| kv.is_usable(context));
        if found.is_some() || !may_go_on {
            return found;
        }
        task::sleep(SEARCH_INTERVAL).await;
    }
}
