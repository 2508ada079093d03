//! Orders that turn idle prefill engines into decode engines when decode memory runs out.
//!
//! Only one instance gives orders: the first seed, and only once it has been the first for longer
//! than an engine takes to change its role, so that two instances never order the same engine in
//! turn. If it is down, the roles stay as they are. Engines that don't check fencing numbers get no
//! orders.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use async_std::task;
use turmericrail_core::config::ServerRole;
use turmericrail_core::forward::{ChosenServer, EngineReport, ServerRun};
use turmericrail_core::ids::{FencingNumber, ServiceId};
use turmericrail_core::membership::rendezvous::stable_hash;
use turmericrail_core::units::Millis;
use turmericrail_platform::{order, report};

use super::clock;
use super::control_call;
use super::shared::Shared;

/// Status with which an engine answers if it has seen a higher fencing number.
const STALE_FENCING_NUMBER_STATUS: u16 = 412;
/// Fencing numbers available per second; more than there are instances.
const FENCING_NUMBERS_PER_SECOND: u64 = 1_000_000;
/// Time between two rounds; the reports are about as old.
const ROUND_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time for which an instance must be the first seed before it gives orders: longer than a lease on
/// orders and the role change that an order starts.
const SETTLE_TIME_MS: Millis = Millis(8_000);
/// Time after an order for which its engine gets no other one: longer than a role change takes and
/// the registry needs to show it.
const ORDER_COOLDOWN_MS: Millis = Millis(20_000);

/// What this instance has ordered, and the fencing number that it uses.
#[derive(Default)]
struct OrderState {
    first_seed_since_ms: Option<Millis>,
    fencing_number: Option<FencingNumber>,
    last_order_ms: BTreeMap<ServerRun, Millis>,
    refusing_engines: BTreeSet<ServerRun>,
}

/// Checks in an endless loop whether engines should change their role.
pub async fn run(shared: Arc<Shared>) {
    let mut state = OrderState::default();
    loop {
        task::sleep(ROUND_INTERVAL).await;
        if !may_order(&shared, &mut state.first_seed_since_ms) {
            continue;
        }
        for service in model_services(&shared) {
            balance_roles(&shared, &service, &mut state).await;
        }
    }
}

/// Whether this instance is the one that gives orders, and has been for long enough.
fn may_order(shared: &Shared, first_seed_since_ms: &mut Option<Millis>) -> bool {
    let settings = shared.settings();
    let first_seed = settings.seeds.first().map(|seed| seed.ip());
    let is_first = settings.gives_orders && first_seed == Some(settings.peer_address.ip());
    if !is_first || shared.is_shutting_down() || shared.is_store_lost() {
        *first_seed_since_ms = None;
        return false;
    }
    let now_ms = clock::now_ms();
    now_ms >= *first_seed_since_ms.get_or_insert(now_ms) + SETTLE_TIME_MS
}

fn model_services(shared: &Shared) -> Vec<ServiceId> {
    let table = shared.forwarder().table().cloned();
    let services = table.iter().flat_map(|table| table.services());
    let with_engines = services.filter(|service| service.engine.is_some());
    with_engines.map(|service| service.name.clone()).collect()
}

/// Asks some engines of a service for reports, and orders others to change their role if the load
/// calls for it.
async fn balance_roles(shared: &Arc<Shared>, service: &ServiceId, state: &mut OrderState) {
    let now_ms = clock::now_ms();
    state.last_order_ms.retain(|_, at_ms| now_ms < *at_ms + ORDER_COOLDOWN_MS);
    let mut changing: Vec<_> =
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
    let fencing_number = *state.fencing_number.get_or_insert_with(|| new_fencing_number(shared));
    for _ in 0..count {
        let engine = shared.forwarder().next_engine_to_convert(clock::now_ms(), service, &changing);
        let Some(engine) = engine else {
            return;
        };
        changing.push(engine.run.clone());
        state.last_order_ms.insert(engine.run.clone(), clock::now_ms());
        if send_order(shared, &engine, fencing_number).await == Some(STALE_FENCING_NUMBER_STATUS) {
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
    let Some((200, body)) = control_call::call(&shared, engine.address, "GET", &bytes).await else {
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

/// A number above those of earlier orders. Its offset is a hash of the instance's name, so that two
/// instances hardly ever use the same number.
fn new_fencing_number(shared: &Shared) -> FencingNumber {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let instance_offset =
        stable_hash(shared.settings().instance.as_str()) % FENCING_NUMBERS_PER_SECOND;
    FencingNumber(since_epoch.as_secs() * FENCING_NUMBERS_PER_SECOND + instance_offset)
}

/// Orders an engine to take the decode role; returns the status of its answer.
async fn send_order(
    shared: &Shared,
    engine: &ChosenServer,
    fencing_number: FencingNumber,
) -> Option<u16> {
    let holder = shared.settings().instance.clone();
    let server = &engine.run.server;
    let role = ServerRole::Decode;
    let mut bytes = Vec::new();
    order::write_role_change(engine.address, server, role, &holder, fencing_number, &mut bytes);
    let answer = control_call::call(shared, engine.address, "POST", &bytes).await;
    let status = answer.map(|(status, _)| status);
    spdlog::info!(
        "event=role_order server={server} role={role} fence={fencing_number} status={}",
        status.unwrap_or_default()
    );
    status
}
