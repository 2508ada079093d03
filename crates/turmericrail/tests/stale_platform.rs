//! The configuration service and the list of instances are down, silent or stale under load.

mod load_support;
mod plain_support;

use std::time::Duration;

use async_std::task;
use load_support::{Load, caller_addresses, linked_plan, version_of, wait_version};
use serde_json::{Value, json};
use turmericrail_fakes::{Fault, FaultScope, Fleet};

/// Time after which an accepted version must be in force everywhere reachable.
const CONFIG_BOUND: Duration = Duration::from_secs(8);
/// Time between looks at an instance that starts.
const LOOK_STEP: Duration = Duration::from_millis(10);

fn queue_limit(requests: u64) -> Value {
    json!({"limits": {"queue_limit_requests": requests}})
}

/// Replaces an instance and returns the version in force when it is first ready.
async fn replace(fleet: &mut Fleet, index: usize) -> u64 {
    fleet.instances[index].kill();
    fleet.start_instance(index).unwrap();
    let waiting = async {
        loop {
            let status = fleet.status(index).await.unwrap_or_default();
            if status["is_ready"] == true {
                return status["config_version"].as_u64().unwrap_or_default();
            }
            task::sleep(LOOK_STEP).await;
        }
    };
    async_std::future::timeout(load_support::PATIENCE, waiting).await.expect("it becomes ready")
}

#[async_std::test]
async fn service_lost() {
    let mut fleet = Fleet::start(linked_plan("service-lost")).await.unwrap();
    let addresses = caller_addresses(&fleet);
    let remaining = [addresses[0], addresses[2]];
    fleet.platform.accept(queue_limit(400));
    wait_version(&fleet, 0..3, 2).await;
    let load = Load::start(&remaining).with_bookings(&remaining);

    fleet.platform.state().instance_list.instances.retain(|id, _| id.as_str() != "dc-a-2");
    fleet.platform.state().max_served_version = Some(1);
    assert_eq!(replace(&mut fleet, 1).await, 2, "stale service");
    fleet.platform.state().is_down = true;
    assert_eq!(replace(&mut fleet, 1).await, 2, "service down");
    fleet.platform.state().is_down = false;
    fleet.proxies.platforms["dc-a-2"].add_fault(Fault::DropAll, FaultScope::All, |_| true);
    assert_eq!(replace(&mut fleet, 1).await, 2, "service silent");

    fleet.proxies.clear_faults();
    fleet.platform.state().max_served_version = None;
    fleet.platform.accept(queue_limit(500));
    wait_version(&fleet, 0..3, 3).await;
    let seen = load.end().await;
    seen.check_all_whole();
    assert!(seen.check_bookings(&fleet) > 0);
}

#[async_std::test]
async fn changes_under_load() {
    let fleet = Fleet::start(linked_plan("config-under-load")).await.unwrap();
    let addresses = caller_addresses(&fleet);
    let load = Load::start(&addresses).with_bookings(&addresses);
    for requests in 401..=410 {
        fleet.platform.accept(queue_limit(requests));
        task::sleep(LOOK_STEP * 10).await;
    }
    wait_version(&fleet, 0..3, 11).await;

    fleet.proxies.platforms["dc-b-1"].add_fault(Fault::DropAll, FaultScope::All, |_| true);
    fleet.platform.accept(queue_limit(411));
    task::sleep(CONFIG_BOUND).await;
    for index in 0..3 {
        assert_eq!(version_of(&fleet, index).await, 12, "instance {index}");
    }

    fleet.platform.accept(json!({"limits": {"queue_limit_requests": "many"}}));
    task::sleep(CONFIG_BOUND / 4).await;
    for index in 0..3 {
        let status = fleet.status(index).await.unwrap();
        assert_eq!(status["config_version"], 12, "instance {index}: {status}");
        assert_eq!(status["config_rejected"][0], 13, "instance {index}: {status}");
    }
    fleet.platform.accept(queue_limit(414));
    wait_version(&fleet, 0..3, 14).await;

    fleet.proxies.clear_faults();
    for link in fleet.proxies.platforms.values() {
        link.add_fault(Fault::DropAll, FaultScope::Existing, |_| true);
    }
    fleet.platform.accept(queue_limit(415));
    task::sleep(CONFIG_BOUND).await;
    for index in 0..3 {
        assert_eq!(version_of(&fleet, index).await, 15, "instance {index}");
    }
    let seen = load.end().await;
    seen.check_all_whole();
    assert!(seen.check_bookings(&fleet) > 0);
}
