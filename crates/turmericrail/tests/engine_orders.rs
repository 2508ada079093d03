//! Orders of the owners to engines: load and unload model versions and adapters, change roles.

mod common;

use std::time::Duration;

use common::{complete, completion, start_fleet};
use serde_json::json;
use turmericrail_core::config::document::ServerRole;
use turmericrail_core::ids::FencingNumber;
use turmericrail_core::placement::OrderKind;
use turmericrail_core::units::BytesPerSecond;
use turmericrail_core::weights::Weights;
use turmericrail_fakes::{FakeEngine, wait_until};

/// Timeout of every wait. Generous for slow machines, since these tests assert no durations.
const ORDER_TIMEOUT: Duration = Duration::from_secs(60);

/// Most attempts of a call that is retried.
const MAX_ATTEMPTS: usize = 300;
/// Time between attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

fn is_loaded(engine: &FakeEngine) -> bool {
    engine.state().orders.loaded_weights.iter().any(|weights| weights.version.as_str() == "v2")
}

#[async_std::test]
async fn new_version() {
    let fleet = start_fleet("new-version").await;
    fleet.platform.state().weight_store_rate = BytesPerSecond(100_000_000);
    let engines: Vec<_> = fleet.prefill.iter().chain(&fleet.decode).collect();
    let servers: Vec<_> = engines.iter().map(|(id, _)| id.as_str()).collect();
    fleet.platform.accept(json!({
        "models": {"quote": {"versions": {"v2": {"servers": servers, "weights_bytes": "1MB"}}}},
    }));
    let waited =
        wait_until(ORDER_TIMEOUT, || engines.iter().all(|(_, engine)| is_loaded(engine))).await;
    assert!(waited.is_some(), "an engine was not ordered to load v2");
    for (id, engine) in engines {
        let state = engine.state();
        let is_load = |kind: &OrderKind| matches!(kind, OrderKind::Load { .. });
        assert!(state.orders.accepted_orders.iter().all(|order| is_load(&order.kind)), "{id}");
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
    assert!(wait_until(ORDER_TIMEOUT, is_changed).await.is_some(), "the role was not changed");
    let state = engine.state();
    let numbers: Vec<_> =
        state.orders.accepted_orders.iter().map(|order| order.fencing_number).collect();
    assert_eq!(numbers, [FencingNumber(8)]);
}

#[async_std::test]
async fn adapter_load() {
    let fleet = start_fleet("adapter").await;
    let base = Weights::of_version("quote".parse().unwrap(), "v1".parse().unwrap());
    for engine in fleet.prefill.values().chain(fleet.decode.values()) {
        let mut state = engine.state();
        state.orders.requires_loaded = true;
        state.orders.loaded_weights.insert(base.clone());
    }
    let (prefill_id, prefill) = fleet.prefill.first_key_value().unwrap();
    let (decode_id, decode) = fleet.decode.first_key_value().unwrap();
    let served = json!({"servers": [prefill_id, decode_id], "weights_bytes": "1MB"});
    fleet.platform.accept(json!({
        "models": {"quote": {"versions": {"v1": {"adapters": {"kaolack": served}}}}},
    }));
    let mut body = completion("a quote", 5, false);
    body["adapter"] = json!("kaolack");
    let status_once_known = async || {
        let (answer, text) = complete(fleet.instances[0].caller_address, &body).await.unwrap();
        let is_unknown = String::from_utf8_lossy(&text).contains("unknown_adapter");
        (!is_unknown).then_some(answer.status() as u16)
    };
    let status = retry_until_some(&status_once_known).await;
    assert_eq!(status, 503, "no engine can load the adapter while the weight store's rate is 0");
    let total_prefill_tokens =
        || -> u64 { fleet.prefill.values().map(|engine| engine.state().prefill_tokens).sum() };
    let refused_prompts = prefill.state().orders.refused_prompt_count;
    assert_eq!(refused_prompts, 0, "a prompt went to an engine without the adapter");
    fleet.platform.state().weight_store_rate = BytesPerSecond(100_000_000);
    let adapter = Weights { adapter: Some("kaolack".parse().unwrap()), ..base };
    let is_loaded = || {
        [prefill, decode]
            .iter()
            .all(|engine| engine.state().orders.loaded_weights.contains(&adapter))
    };
    assert!(wait_until(ORDER_TIMEOUT, is_loaded).await.is_some(), "the adapter was not loaded");
    let text_once_completed = async || {
        let (answer, text) = complete(fleet.instances[0].caller_address, &body).await.unwrap();
        answer.status().is_success().then_some(text)
    };
    let text = retry_until_some(&text_once_completed).await;
    assert!(String::from_utf8_lossy(&text).contains("\"count\":5"));
    assert!(prefill.state().prefill_tokens > 0);
    assert_eq!(total_prefill_tokens(), prefill.state().prefill_tokens);
    let is_other_engine = |(id, _): &(&String, &FakeEngine)| *id != prefill_id && *id != decode_id;
    let others = fleet.prefill.iter().chain(&fleet.decode).filter(is_other_engine);
    for (id, engine) in others {
        assert!(engine.state().orders.accepted_orders.is_empty(), "{id} was ordered to load it");
    }
}

#[async_std::test]
async fn version_unload() {
    let fleet = start_fleet("unload").await;
    fleet.platform.state().weight_store_rate = BytesPerSecond(100_000_000);
    let base = Weights::of_version("quote".parse().unwrap(), "v1".parse().unwrap());
    let (checking_id, checking) = fleet.decode.first_key_value().unwrap();
    let (ignoring_id, ignoring) = fleet.decode.last_key_value().unwrap();
    for engine in [checking, ignoring] {
        engine.state().orders.loaded_weights.insert(base.clone());
    }
    checking.state().orders.checks_fencing = true;
    let v2 = json!({"servers": [checking_id, ignoring_id], "weights_bytes": "1MB"});
    fleet.platform.accept(json!({
        "models": {"quote": {"versions": {"v2": v2}}},
        "servers": {
            checking_id: {"checks_fencing": true, "weights_memory_bytes": "10MB"},
            ignoring_id: {"weights_memory_bytes": "10MB"},
        },
    }));
    let is_loaded_everywhere = || is_loaded(checking) && is_loaded(ignoring);
    assert!(wait_until(ORDER_TIMEOUT, is_loaded_everywhere).await.is_some(), "v2 was not loaded");
    fleet.platform.accept(json!({"models": {"quote": {"versions": {"v2": null}}}}));
    let waited = wait_until(2 * ORDER_TIMEOUT, || !is_loaded(checking)).await;
    assert!(waited.is_some(), "v2 was not unloaded");
    assert!(
        checking.state().orders.loaded_weights.contains(&base),
        "a version loaded by others was unloaded"
    );
    assert!(is_loaded(ignoring));
    let state = ignoring.state();
    let is_load = |kind: &OrderKind| matches!(kind, OrderKind::Load(_));
    assert!(state.orders.accepted_orders.iter().all(|order| is_load(&order.kind)));
}

/// Retries a call until it returns a value.
async fn retry_until_some<T>(call: &impl AsyncFn() -> Option<T>) -> T {
    for _ in 0..MAX_ATTEMPTS {
        if let Some(value) = call().await {
            return value;
        }
        async_std::task::sleep(RETRY_INTERVAL).await;
    }
    panic!("no value after {MAX_ATTEMPTS} attempts");
}
