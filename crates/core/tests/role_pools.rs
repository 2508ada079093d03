//! Pools of engines follow the role schedule of each engine.

use serde_json::json;
use turmericrail_core::config::document::ServerRole;
use turmericrail_core::config::parse_value;
use turmericrail_core::route::Pools;
use turmericrail_core::units::WallMillis;
use turmericrail_core::weights::Weights;

/// Noon and midnight of one day in UTC.
const NOON: WallMillis = WallMillis(1_764_763_200_000);
const MIDNIGHT: WallMillis = WallMillis(1_764_806_400_000);

#[test]
fn pools_follow_role_schedule() {
    let night = json!({"from": "22:00", "until": "06:00", "role": "decode"});
    let document = json!({
        "version": 3,
        "models": {"quote": {
            "default_version": "v1", "versions": {"v1": {"servers": ["engine-1"]}},
        }},
        "servers": {"engine-1": {
            "data_centre": "dc-a", "address": "127.0.0.1:9001", "role": "prefill",
            "checks_fencing": true,
            "role_schedule": {"time_zone": "Africa/Dakar", "windows": {"night": night}},
        }},
    });
    let configuration = parse_value(&document).unwrap();
    let weights = Weights::of_version("quote".parse().unwrap(), "v1".parse().unwrap());
    let mut pools = Pools::default();
    let mut pool_roles = Vec::new();
    for wall_ms in [NOON, MIDNIGHT, NOON] {
        pools.refresh(&configuration, wall_ms);
        let has_engine = |role| pools.pool(&weights, role).is_some_and(|pool| pool.len() == 1);
        pool_roles.push((has_engine(ServerRole::Prefill), has_engine(ServerRole::Decode)));
    }
    assert_eq!(pool_roles, [(true, false), (false, true), (true, false)]);
}

#[test]
fn schedule_needs_fencing() {
    let document = json!({
        "version": 3,
        "servers": {"engine-1": {
            "data_centre": "dc-a", "address": "127.0.0.1:9001", "role": "prefill",
            "role_schedule": {"time_zone": "Africa/Dakar", "windows": {}},
        }},
    });
    let error = parse_value(&document).unwrap_err().to_string();
    assert!(error.contains("checks_fencing"), "{error}");
}
