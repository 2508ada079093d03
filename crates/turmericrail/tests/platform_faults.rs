//! Guards against lost requests and old configuration versions when the configuration service and
//! the list of instances are down, silent or stale under load.

mod load_support;
mod plain_support;

use std::time::Duration;

use async_std::task;
use load_support::{
    LoadGenerator, caller_addresses, config_version, proxied_plan, wait_for_version,
};
use serde_json::{Value, json};
use turmericrail_fakes::{Fault, FaultScope, Fleet};

/// Time within which an accepted version must be in force on every reachable instance.
const PROPAGATION_TIME_LIMIT: Duration = Duration::from_secs(8);
/// Interval at which the status of a starting instance is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

fn queue_limit_patch(requests: u64) -> Value {
    json!({"limits": {"queue_limit_requests": requests}})
}

/// Restarts an instance and returns the configuration version in force when it becomes ready.
async fn restart_instance(fleet: &mut Fleet, index: usize) -> u64 {
    fleet.instances[index].kill();
    fleet.start_instance(index).unwrap();
    let waiting = async {
        loop {
            let status = fleet.status(index).await.unwrap_or_default();
            if status["is_ready"] == true {
                return status["config_version"].as_u64().unwrap_or_default();
            }
            task::sleep(POLL_INTERVAL).await;
        }
    };
    async_std::future::timeout(load_support::WAIT_TIMEOUT, waiting)
        .await
        .expect("the instance becomes ready")
}

#[async_std::test]
async fn service_lost() {
    let mut fleet = Fleet::start(proxied_plan("service-lost")).await.unwrap();
    let addresses = caller_addresses(&fleet);
    let remaining = [addresses[0], addresses[2]];
    fleet.platform.accept(queue_limit_patch(400));
    wait_for_version(&fleet, 0..3, 2).await;
    let load = LoadGenerator::start(&remaining).with_bookings(&remaining);

    fleet.platform.state().instance_list.instances.retain(|id, _| id.as_str() != "dc-a-2");
    fleet.platform.state().max_served_version = Some(1);
    assert_eq!(restart_instance(&mut fleet, 1).await, 2, "stale service");
    fleet.platform.state().is_down = true;
    assert_eq!(restart_instance(&mut fleet, 1).await, 2, "service down");
    fleet.platform.state().is_down = false;
    fleet.proxies.platforms["dc-a-2"].add_fault(Fault::DropAll, FaultScope::All, |_| true);
    assert_eq!(restart_instance(&mut fleet, 1).await, 2, "service silent");

    fleet.proxies.clear_faults();
    fleet.platform.state().max_served_version = None;
    fleet.platform.accept(queue_limit_patch(500));
    wait_for_version(&fleet, 0..3, 3).await;
    let results = load.stop().await;
    results.assert_all_complete();
    assert!(results.assert_booking_outcomes(&fleet) > 0);
}

#[async_std::test]
async fn changes_under_load() {
    let fleet = Fleet::start(proxied_plan("config-under-load")).await.unwrap();
    let addresses = caller_addresses(&fleet);
    let load = LoadGenerator::start(&addresses).with_bookings(&addresses);
    for requests in 401..=410 {
        fleet.platform.accept(queue_limit_patch(requests));
        task::sleep(POLL_INTERVAL * 10).await;
    }
    wait_for_version(&fleet, 0..3, 11).await;

    fleet.proxies.platforms["dc-b-1"].add_fault(Fault::DropAll, FaultScope::All, |_| true);
    fleet.platform.accept(queue_limit_patch(411));
    task::sleep(PROPAGATION_TIME_LIMIT).await;
    for index in 0..3 {
        assert_eq!(config_version(&fleet, index).await, 12, "instance {index}");
    }

    fleet.platform.accept(json!({"limits": {"queue_limit_requests": "many"}}));
    task::sleep(PROPAGATION_TIME_LIMIT / 4).await;
    for index in 0..3 {
        let status = fleet.status(index).await.unwrap();
        assert_eq!(status["config_version"], 12, "instance {index}: {status}");
        assert_eq!(status["config_rejected"][0], 13, "instance {index}: {status}");
    }
    fleet.platform.accept(queue_limit_patch(414));
    wait_for_version(&fleet, 0..3, 14).await;

    fleet.proxies.clear_faults();
    for proxy in fleet.proxies.platforms.values() {
        proxy.add_fault(Fault::DropAll, FaultScope::Existing, |_| true);
    }
    fleet.platform.accept(queue_limit_patch(415));
    task::sleep(PROPAGATION_TIME_LIMIT).await;
    for index in 0..3 {
        assert_eq!(config_version(&fleet, index).await, 15, "instance {index}");
    }
    let results = load.stop().await;
    results.assert_all_complete();
    assert!(results.assert_booking_outcomes(&fleet) > 0);
}
