//! Orders that turn idle prefill engines into decode engines while decode memory runs out.
//!
//! Only one instance gives orders: the first seed, and only after it has been that for longer than
//! an engine takes to change, so that no two instances ever order one engine in turn. Where it is
//! down, roles stay as they are. Engines that don't check fencing numbers get no orders.

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
use super::shared::Shared;
use super::side_call;

/// Status with which an engine answers that it knows a higher fencing number.
const STALE_FENCE: u16 = 412;
/// Fencing numbers of one second: more than there are instances.
const INSTANCES: u64 = 1_000_000;
/// Time between two rounds; reports are about as old.
const STEP: Duration = Duration::from_millis(1_000);
/// Time for which an instance must have been the first seed before it orders: longer than a lease
/// of orders and the change that an order begins.
const SETTLE_MS: Millis = Millis(8_000);
/// Time after an order in which its engine gets no other one: longer than a change takes and the
/// registry needs to tell of it.
const ORDERED_MS: Millis = Millis(20_000);

/// What the orders of this instance rest on.
#[derive(Default)]
struct Orders {
    first_since_ms: Option<Millis>,
    fence: Option<FencingNumber>,
    ordered: BTreeMap<ServerRun, Millis>,
    refused: BTreeSet<ServerRun>,
}

/// Looks for engines to change for ever.
pub async fn run(shared: Arc<Shared>) {
    let mut orders = Orders::default();
    loop {
        task::sleep(STEP).await;
        if !may_order(&shared, &mut orders.first_since_ms) {
            continue;
        }
        for service in model_services(&shared) {
            balance(&shared, &service, &mut orders).await;
        }
    }
}

/// Whether this instance is the one that orders, and has been for long enough.
fn may_order(shared: &Shared, first_since_ms: &mut Option<Millis>) -> bool {
    let settings = shared.settings();
    let first_seed = settings.seeds.first().map(|seed| seed.ip());
    let is_first = settings.gives_orders && first_seed == Some(settings.peer_address.ip());
    if !is_first || shared.is_leaving() || shared.is_store_lost() {
        *first_since_ms = None;
        return false;
    }
    let now_ms = clock::now_ms();
    now_ms >= *first_since_ms.get_or_insert(now_ms) + SETTLE_MS
}

fn model_services(shared: &Shared) -> Vec<ServiceId> {
    let table = shared.forwarder().table().cloned();
    let services = table.iter().flat_map(|table| table.services());
    let models = services.filter(|service| service.engine.is_some());
    models.map(|service| service.name.clone()).collect()
}

/// Asks some engines of a service for reports, and orders others to change where these say so.
async fn balance(shared: &Arc<Shared>, service: &ServiceId, orders: &mut Orders) {
    let now_ms = clock::now_ms();
    orders.ordered.retain(|_, at_ms| now_ms < *at_ms + ORDERED_MS);
    let mut changing: Vec<_> = orders.ordered.keys().chain(&orders.refused).cloned().collect();
    let asked = shared.forwarder().engines_to_poll(now_ms, service, &changing, fastrand::u64(..));
    if asked.is_empty() {
        return;
    }
    let reports = ask(shared, asked).await;
    let now_ms = clock::now_ms();
    let Some(load) = shared.forwarder().role_load(now_ms, service, &changing, &reports) else {
        return;
    };
    let count = load.engines_to_convert();
    spdlog::info!(
        "event=role_load service={service} engines={} prefill_engines={} prefill_requests={:.2} \
         decode_fill={:.2} reports={} changing={} outcome=shift_{count}",
        load.engines,
        load.prefill_engines,
        load.prefill_requests,
        load.decode_fill,
        reports.len(),
        changing.len()
    );
    let fence = *orders.fence.get_or_insert_with(|| new_fence(shared));
    for _ in 0..count {
        let engine = shared.forwarder().next_engine_to_convert(clock::now_ms(), service, &changing);
        let Some(engine) = engine else {
            return;
        };
        changing.push(engine.run.clone());
        orders.ordered.insert(engine.run.clone(), clock::now_ms());
        if give(shared, &engine, fence).await == Some(STALE_FENCE) {
            orders.refused.insert(engine.run);
        }
    }
}

/// Reports of the engines that answered.
async fn ask(
    shared: &Arc<Shared>,
    engines: Vec<ChosenServer>,
) -> BTreeMap<ServerRun, EngineReport> {
    let asking: Vec<_> = engines
        .into_iter()
        .map(|engine| task::spawn(ask_engine(Arc::clone(shared), engine)))
        .collect();
    let mut reports = BTreeMap::new();
    for answer in asking {
        reports.extend(answer.await);
    }
    reports
}

async fn ask_engine(
    shared: Arc<Shared>,
    engine: ChosenServer,
) -> Option<(ServerRun, EngineReport)> {
    let server = &engine.run.server;
    let mut bytes = Vec::new();
    report::write_ask(engine.address, server, &mut bytes);
    let Some((200, body)) = side_call::call(&shared, engine.address, "GET", &bytes).await else {
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

/// A number above those of earlier orders, which no other instance has.
fn new_fence(shared: &Shared) -> FencingNumber {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let own = stable_hash(shared.settings().instance.as_str()) % INSTANCES;
    FencingNumber(since_epoch.as_secs() * INSTANCES + own)
}

/// Orders an engine to generate; the status of its answer.
async fn give(shared: &Shared, engine: &ChosenServer, fence: FencingNumber) -> Option<u16> {
    let holder = shared.settings().instance.clone();
    let server = &engine.run.server;
    let role = ServerRole::Decode;
    let mut bytes = Vec::new();
    order::write_role_change(engine.address, server, role, &holder, fence, &mut bytes);
    let answer = side_call::call(shared, engine.address, "POST", &bytes).await;
    let status = answer.map(|(status, _)| status);
    spdlog::info!(
        "event=role_order server={server} role={role} fence={fence} status={}",
        status.unwrap_or_default()
    );
    status
}
