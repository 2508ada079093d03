//! Orders that change the roles of model engines, so that prompts and answers find room alike.
//!
//! Only one instance gives orders: the first seed, and only after it has been that for longer than
//! an engine takes to change, so that no two instances ever order one engine in turn. Where it is
//! down, roles stay as they are.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use async_std::task;
use turmericrail_core::forward::{RoleChange, ServerRun};
use turmericrail_core::ids::{FencingNumber, ServiceId};
use turmericrail_core::units::Millis;
use turmericrail_platform::order;

use super::clock;
use super::shared::Shared;
use super::side_call;

/// Time between looks at the balance of roles.
const STEP: Duration = Duration::from_millis(500);
/// Time for which an instance must have been the first seed before it orders: longer than a lease
/// of orders and the change that an order begins.
const SETTLE_MS: Millis = Millis(8_000);
/// Time after an order in which its engine gets no other one.
const ORDERED_MS: Millis = Millis(20_000);

/// Looks at the balance of roles for ever.
pub async fn run(shared: Arc<Shared>) {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    // Later runs of this instance have higher numbers, and all runs of one have the same.
    let fence = FencingNumber(since_epoch.as_secs());
    let mut first_since_ms = None;
    let mut ordered: BTreeMap<ServerRun, Millis> = BTreeMap::new();
    loop {
        task::sleep(STEP).await;
        let now_ms = clock::now_ms();
        if !is_first_seed(&shared) || shared.is_leaving() {
            first_since_ms = None;
            continue;
        }
        let since_ms = *first_since_ms.get_or_insert(now_ms);
        if now_ms < since_ms + SETTLE_MS || shared.is_store_lost() {
            continue;
        }
        ordered.retain(|_, at_ms| now_ms < *at_ms + ORDERED_MS);
        for service in model_services(&shared) {
            let skipped: Vec<_> = ordered.keys().cloned().collect();
            let changes = shared.forwarder().role_changes(now_ms, &service, &skipped);
            for change in changes {
                ordered.insert(change.run.clone(), now_ms);
                give(&shared, &change, fence).await;
            }
        }
    }
}

fn is_first_seed(shared: &Shared) -> bool {
    let settings = shared.settings();
    settings.seeds.first() == Some(&settings.peer_address)
}

fn model_services(shared: &Shared) -> Vec<ServiceId> {
    let table = shared.forwarder().table().cloned();
    let table = table.iter().flat_map(|table| table.services());
    let models = table.filter(|service| service.engine.is_some());
    models.map(|service| service.name.clone()).collect()
}

async fn give(shared: &Shared, change: &RoleChange, fence: FencingNumber) {
    let holder = shared.settings().instance.clone();
    let server = &change.run.server;
    let mut bytes = Vec::new();
    order::write_role_change(change.address, server, change.role, &holder, fence, &mut bytes);
    let answer = side_call::call(shared, change.address, "POST", &bytes).await;
    let status = answer.map(|(status, _)| status).unwrap_or_default();
    spdlog::info!(
        "event=role_order server={server} role={} fence={fence} prefill={} decode={} surplus={} \
         status={status}",
        change.role,
        change.prefill,
        change.decode,
        change.surplus
    );
}
