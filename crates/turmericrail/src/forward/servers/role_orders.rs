//! Orders that turn idle prefill engines into decode engines when decode memory runs out.
//!
//! Only seeds give orders, each to its own part of the engines ([`order_right`]), and only once
//! they have run for longer than an engine takes to change its role. An order names the number of
//! orders that the engine has accepted, so that a delayed one is refused. Where a seed is down, its
//! engines keep their roles.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use turmericrail_core::config::ServerRole;
use turmericrail_core::forward::{ChosenServer, EngineReport, ServerRun, order_right};
use turmericrail_core::ids::ServiceId;
use turmericrail_core::units::Millis;
use turmericrail_platform::{order, report};

use super::control_call;
use crate::forward::clock;
use crate::forward::shared::Shared;

/// Status with which an engine answers if it has seen a higher fencing number.
const STALE_FENCING_NUMBER_STATUS: u16 = 412;
/// Time between two rounds; the reports are about as old.
const ROUND_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time for which an instance must be a seed before it gives orders: longer than a lease on orders
/// and the role change that an order starts.
const SETTLE_TIME_MS: Millis = Millis(8_000);
/// Time after an order for which its engine gets no other one: longer than a role change takes and
/// the registry needs to show it.
const ORDER_COOLDOWN_MS: Millis = Millis(20_000);

/// What this instance may order and has ordered.
#[derive(Default)]
struct OrderState {
    /// Position among the seeds, and since when.
    seed: Option<(Seed, Millis)>,
    last_order_ms: BTreeMap<ServerRun, Millis>,
    refusing_engines: BTreeSet<ServerRun>,
}

/// Checks in an endless loop whether engines should change their role.
pub async fn run(shared: Arc<Shared>) {
    let mut state = OrderState::default();
    loop {
        task::sleep(ROUND_INTERVAL).await;
        let Some(seed) = settled_seed(&shared, &mut state.seed) else {
            continue;
        };
        for service in model_services(&shared) {
            balance_roles(&shared, &service, seed, &mut state).await;
        }
    }
}

/// The position of this instance among the seeds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Seed {
    position: usize,
    seed_count: usize,
}

/// This instance's position among the seeds if it has had that for long enough to give orders.
fn settled_seed(shared: &Shared, known: &mut Option<(Seed, Millis)>) -> Option<Seed> {
    let settings = shared.settings();
    let own_ip = settings.peer_address.ip();
    let position = settings.seeds.iter().position(|seed| seed.ip() == own_ip);
    let seed = position.map(|position| Seed { position, seed_count: settings.seeds.len() });
    let may_order = settings.gives_orders && !shared.is_shutting_down() && !shared.is_store_lost();
    let Some(seed) = seed.filter(|_| may_order) else {
        *known = None;
        return None;
    };
    let now_ms = clock::now_ms();
    let (_, since_ms) = known.filter(|(known, _)| *known == seed).unwrap_or((seed, now_ms));
    *known = Some((seed, since_ms));
    (now_ms >= since_ms + SETTLE_TIME_MS).then_some(seed)
}

fn model_services(shared: &Shared) -> Vec<ServiceId> {
    let table = shared.forwarder().table().cloned();
    let services = table.iter().flat_map(|table| table.services());
    let with_engines = services.filter(|service| service.engine.is_some());
    with_engines.map(|service| service.name.clone()).collect()
}

/// Asks some engines of a service for reports, and orders others to change their role if the load
/// calls for it.
async fn balance_roles(
    shared: &Arc<Shared>,
    service: &ServiceId,
    seed: Seed,
    state: &mut OrderState,
) {
    let now_ms = clock::now_ms();
    state.last_order_ms.retain(|_, at_ms| now_ms < *at_ms + ORDER_COOLDOWN_MS);
    let changing: Vec<_> =
        state.last_order_ms.keys().chain(&state.refusing_engines).cloned().collect();
    let polled_engines =
        shared.forwarder().engines_to_poll(now_ms, service, &changing, fastrand::u64(..));
    if polled_engines.is_empty() {
        return;
    }
    let reports = fetch_reports(shared, polled_engines).await;
    let now_ms = clock::now_ms();
    let Some(load) = shared.forwarder().role_load(now_ms, service, &changing, &reports) else {
        return;
    };
    let count = load.engines_to_convert();
    spdlog::info!(
        "event=role_load service={service} engines={} prefill_engines={} prefill_requests={:.2} \
         decode_fill={:.2} reports={} changing={} outcome=shift_{count}",
        load.engine_count,
        load.prefill_engine_count,
        load.mean_prefill_requests,
        load.decode_fill,
        reports.len(),
        changing.len()
    );
    // The other seeds order their own engines at the same time.
    let own_count = count.div_ceil(seed.seed_count);
    let convertible = shared.forwarder().convertible_engines(now_ms, service, &changing);
    let is_own = |run: &ServerRun| {
        order_right::orderer_position(run, seed.seed_count) == Some(seed.position)
    };
    let own_limit = shared.forwarder().convertible_in_part(now_ms, service, &changing, is_own);
    let own_engines = convertible.into_iter().filter(|engine| is_own(&engine.run));
    for engine in own_engines.take(own_count.min(own_limit)) {
        state.last_order_ms.insert(engine.run.clone(), clock::now_ms());
        if send_order(shared, &engine).await == Some(STALE_FENCING_NUMBER_STATUS) {
            state.refusing_engines.insert(engine.run);
        }
    }
}

/// The reports of the engines that answered.
async fn fetch_reports(
    shared: &Arc<Shared>,
    engines: Vec<ChosenServer>,
) -> BTreeMap<ServerRun, EngineReport> {
    let fetches: Vec<_> = engines
        .into_iter()
        .map(|engine| task::spawn(fetch_report(Arc::clone(shared), engine)))
        .collect();
    let mut reports = BTreeMap::new();
    for answer in fetches {
        reports.extend(answer.await);
    }
    reports
}

async fn fetch_report(
    shared: Arc<Shared>,
    engine: ChosenServer,
) -> Option<(ServerRun, EngineReport)> {
    let server = &engine.run.server;
    let mut bytes = Vec::new();
    report::write_request(engine.address, server, &mut bytes);
    let Some((200, body)) =
        control_call::call(&shared, &engine.run, engine.address, "GET", &bytes).await
    else {
        spdlog::debug!("event=report_missing server={server}");
        return None;
    };
    match report::decode(&body) {
        Ok(report) => Some((engine.run, report)),
        Err(error) => {
            let error = error.to_string();
            spdlog::warn!("event=report_malformed server={server} error={error:?}");
            None
        }
    }
}

/// Orders a prefill engine to take the decode role; returns the status of its answer, `None` if none
/// came or no order could be sent.
async fn send_order(shared: &Arc<Shared>, engine: &ChosenServer) -> Option<u16> {
    let (_, report) = fetch_report(Arc::clone(shared), engine.clone()).await?;
    if report.is_changing {
        return None;
    }
    let holder = shared.settings().instance.clone();
    let server = &engine.run.server;
    let accepted_orders = report.accepted_orders;
    let fencing_number = order_right::fencing_number(&engine.run, accepted_orders, &holder)?;
    let role = ServerRole::Decode;
    let mut bytes = Vec::new();
    order::write_role_change(
        engine.address,
        server,
        role,
        &holder,
        fencing_number,
        accepted_orders,
        &mut bytes,
    );
    let answer = control_call::call(shared, &engine.run, engine.address, "POST", &bytes).await;
    let status = answer.map(|(status, _)| status);
    spdlog::info!(
        "event=role_order server={server} role={role} fence={fencing_number} \
         accepted_orders={accepted_orders} status={} reason=decode_memory_scarce",
        status.unwrap_or_default()
    );
    status
}
