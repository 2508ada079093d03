//! Orders that turn idle prefill engines into decode engines while places there are scarce.
//!
//! Only one instance gives orders: the first seed, and only after it has been that for longer than
//! an engine takes to change, so that no two instances ever order one engine in turn. Where it is
//! down, roles stay as they are. Engines that don't check fencing numbers get no orders.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use async_std::task;
use turmericrail_core::config::ServerRole;
use turmericrail_core::forward::{Choice, ServerRun};
use turmericrail_core::ids::{FencingNumber, ServiceId};
use turmericrail_core::membership::rendezvous::stable_hash;
use turmericrail_core::units::Millis;
use turmericrail_platform::order;

use super::clock;
use super::shared::Shared;
use super::side_call;

/// Status with which an engine answers that it knows a higher fencing number.
const STALE_FENCE: u16 = 412;
/// Fencing numbers of one second: more than there are instances.
const INSTANCES: u64 = 1_000_000;
/// Time between two orders: engines change one after the other.
const STEP: Duration = Duration::from_millis(500);
/// Time for which an instance must have been the first seed before it orders: longer than a lease
/// of orders and the change that an order begins.
const SETTLE_MS: Millis = Millis(8_000);
/// Time after an order in which its engine gets no other one.
const ORDERED_MS: Millis = Millis(20_000);

/// Looks for engines to change for ever.
pub async fn run(shared: Arc<Shared>) {
    let mut first_since_ms = None;
    let mut fence = None;
    let mut ordered: BTreeMap<ServerRun, Millis> = BTreeMap::new();
    let mut refused: BTreeSet<ServerRun> = BTreeSet::new();
    loop {
        task::sleep(STEP).await;
        let now_ms = clock::now_ms();
        if !is_first_seed(&shared) || shared.is_leaving() || shared.is_store_lost() {
            first_since_ms = None;
            continue;
        }
        let since_ms = *first_since_ms.get_or_insert(now_ms);
        if now_ms < since_ms + SETTLE_MS {
            continue;
        }
        ordered.retain(|_, at_ms| now_ms < *at_ms + ORDERED_MS);
        for service in model_services(&shared) {
            let skipped: Vec<_> = ordered.keys().chain(&refused).cloned().collect();
            let engine = shared.forwarder().engine_to_shift(now_ms, &service, &skipped);
            let Some(engine) = engine else {
                continue;
            };
            ordered.insert(engine.run.clone(), now_ms);
            let fence = *fence.get_or_insert_with(|| new_fence(&shared));
            if give(&shared, &engine, fence).await == Some(STALE_FENCE) {
                refused.insert(engine.run);
            }
        }
    }
}

/// A number above those of earlier orders, which no other instance has.
fn new_fence(shared: &Shared) -> FencingNumber {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let own = stable_hash(shared.settings().instance.as_str()) % INSTANCES;
    FencingNumber(since_epoch.as_secs() * INSTANCES + own)
}

fn is_first_seed(shared: &Shared) -> bool {
    let settings = shared.settings();
    settings.gives_orders && settings.seeds.first() == Some(&settings.peer_address)
}

fn model_services(shared: &Shared) -> Vec<ServiceId> {
    let table = shared.forwarder().table().cloned();
    let table = table.iter().flat_map(|table| table.services());
    let models = table.filter(|service| service.engine.is_some());
    models.map(|service| service.name.clone()).collect()
}

/// Orders an engine to generate; the status of its answer.
async fn give(shared: &Shared, engine: &Choice, fence: FencingNumber) -> Option<u16> {
    let holder = shared.settings().instance.clone();
    let server = &engine.run.server;
    let role = ServerRole::Decode;
    let mut bytes = Vec::new();
    order::write_role_change(engine.address, server, role, &holder, fence, &mut bytes);
    let answer = side_call::call(shared, engine.address, "POST", &bytes).await;
    let status = answer.map(|(status, _)| status);
    spdlog::info!(
        "event=role_order server={server} role={role} fence={fence} prefill_engines={} status={}",
        engine.looked_at,
        status.unwrap_or_default()
    );
    status
}
