//! Guards against lost service in a data centre that can reach neither the others nor the platform:
//! it must serve its callers with its own servers, and apply the newer configuration version once
//! the faults are over.

mod load_support;
mod plain_support;

use std::time::Duration;

use async_std::task;
use load_support::{
    LoadGenerator, WAIT_TIMEOUT, caller_addresses, config_version, proxied_plan, wait_for_version,
};
use serde_json::json;
use turmericrail_fakes::{Fleet, wait_until};

/// Time within which members must detect the separation.
const DETECTION_TIME_LIMIT: Duration = Duration::from_secs(5);
/// Time under load on both sides after the separation has been detected.
const SEPARATE_LOAD_TIME: Duration = Duration::from_secs(4);
/// Index of the only instance in the isolated data centre.
const ISOLATED_INSTANCE: usize = 2;

#[async_std::test]
async fn serves_isolated() {
    let mut plan = proxied_plan("cut-off");
    plan.plain_services = 4;
    let fleet = Fleet::start(plan).await.unwrap();
    let addresses = caller_addresses(&fleet);
    let first_loads = [
        LoadGenerator::start(&addresses[..ISOLATED_INSTANCE]),
        LoadGenerator::start(&addresses[ISOLATED_INSTANCE..]),
    ];
    fleet.proxies.isolate_data_centre("dc-b");
    fleet.platform.accept(json!({"limits": {"queue_limit_requests": 400}}));
    task::sleep(DETECTION_TIME_LIMIT).await;
    for load in first_loads {
        let results = load.stop().await;
        println!("first 5 s: {} complete, {:?}", results.complete_count, results.refused);
        assert_eq!(results.incomplete, Vec::<String>::new());
    }
    wait_for_version(&fleet, 0..ISOLATED_INSTANCE, 2).await;
    assert_eq!(config_version(&fleet, ISOLATED_INSTANCE).await, 1);

    let inside = LoadGenerator::start(&addresses[ISOLATED_INSTANCE..])
        .with_bookings(&addresses[ISOLATED_INSTANCE..]);
    let outside = LoadGenerator::start(&addresses[..ISOLATED_INSTANCE])
        .with_bookings(&addresses[..ISOLATED_INSTANCE]);
    task::sleep(SEPARATE_LOAD_TIME).await;
    for load in [inside, outside] {
        let results = load.stop().await;
        results.assert_all_complete();
        assert!(results.assert_booking_outcomes(&fleet) > 0);
    }

    fleet.proxies.clear_faults();
    let load = LoadGenerator::start(&addresses).with_bookings(&addresses);
    wait_for_version(&fleet, [ISOLATED_INSTANCE], 2).await;
    fleet.wait_ready().await;
    let results = load.stop().await;
    println!("after the faults: {} complete, {:?}", results.complete_count, results.refused);
    assert_eq!(results.incomplete, Vec::<String>::new());
    assert!(results.assert_booking_outcomes(&fleet) > 0);
    assert!(wait_until(WAIT_TIMEOUT, || fleet.held_streams() == 0).await.is_some(), "memory held");
}
