//! Owners order engines to load versions and change roles.

mod common;

use std::time::Duration;

use common::start_fleet;
use serde_json::json;
use turmericrail_core::config::document::ServerRole;
use turmericrail_core::ids::FencingNumber;
use turmericrail_core::placement::OrderKind;
use turmericrail_core::units::BytesPerSecond;
use turmericrail_fakes::{FakeEngine, wait_until};

/// Longest wait for orders; no test asserts a time.
const PATIENCE: Duration = Duration::from_secs(60);

fn is_loaded(engine: &FakeEngine) -> bool {
    engine.state().orders.loaded.iter().any(|(_, version)| version.as_str() == "v2")
}

#[async_std::test]
async fn new_version() {
    let fleet = start_fleet("new-version").await;
    fleet.platform.state().weight_rate = BytesPerSecond(100_000_000);
    let engines: Vec<_> = fleet.prefill.iter().chain(&fleet.decode).collect();
    let servers: Vec<_> = engines.iter().map(|(id, _)| id.as_str()).collect();
    fleet.platform.accept(json!({
        "models": {"quote": {"versions": {"v2": {"servers": servers, "weights_bytes": "1MB"}}}},
    }));
    let found = wait_until(PATIENCE, || engines.iter().all(|(_, engine)| is_loaded(engine))).await;
    assert!(found.is_some(), "an engine was not told to load v2");
    for (id, engine) in engines {
        let state = engine.state();
        let is_load = |kind: &OrderKind| matches!(kind, OrderKind::Load { .. });
        assert!(state.orders.accepted.iter().all(|order| is_load(&order.kind)), "{id}");
    }
}

#[async_std::test]
async fn scheduled_role() {
    let fleet = start_fleet("scheduled-role").await;
    let (id, engine) = fleet.decode.first_key_value().unwrap();
    {
        let mut state = engine.state();
        state.orders.checks_fencing = true;
        state.orders.role = Some(ServerRole::Decode);
        state.orders.fencing_number = FencingNumber(7);
    }
    let all_day = json!({"from": "00:00", "until": "24:00", "role": "prefill"});
    fleet.platform.accept(json!({
        "servers": {id: {
            "checks_fencing": true,
            "role_schedule": {"time_zone": "Asia/Taipei", "windows": {"all": all_day}},
        }},
    }));
    let is_changed = || engine.state().orders.role == Some(ServerRole::Prefill);
    assert!(wait_until(PATIENCE, is_changed).await.is_some(), "the role was not changed");
    let state = engine.state();
    let numbers: Vec<_> = state.orders.accepted.iter().map(|order| order.fencing_number).collect();
    assert_eq!(numbers, [FencingNumber(8)]);
}
