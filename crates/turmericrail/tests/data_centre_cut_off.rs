//! A data centre that can reach neither the others nor the platform serves its callers on its own
//! servers, and takes the higher configuration version once it is back.

mod load_support;
mod plain_support;

use std::time::Duration;

use async_std::task;
use load_support::{Load, PATIENCE, caller_addresses, linked_plan, version_of, wait_version};
use serde_json::json;
use turmericrail_fakes::{Fleet, wait_until};

/// Time after which the separation must be known.
const MEMBER_BOUND: Duration = Duration::from_secs(5);
/// Time for which callers of both sides are served apart.
const APART: Duration = Duration::from_secs(4);
/// Index of the instance in the data centre cut off.
const ALONE: usize = 2;

#[async_std::test]
async fn serves_alone() {
    let mut plan = linked_plan("cut-off");
    plan.plain_services = 4;
    let fleet = Fleet::start(plan).await.unwrap();
    let addresses = caller_addresses(&fleet);
    let early = [Load::start(&addresses[..ALONE]), Load::start(&addresses[ALONE..])];
    fleet.proxies.isolate_data_centre("dc-b");
    fleet.platform.accept(json!({"limits": {"queue_limit_requests": 400}}));
    task::sleep(MEMBER_BOUND).await;
    for load in early {
        let seen = load.end().await;
        println!("first 5 s: {} whole, {:?}", seen.whole, seen.refused);
        assert_eq!(seen.broken, Vec::<String>::new());
    }
    wait_version(&fleet, 0..ALONE, 2).await;
    assert_eq!(version_of(&fleet, ALONE).await, 1);

    let inside = Load::start(&addresses[ALONE..]).with_bookings(&addresses[ALONE..]);
    let outside = Load::start(&addresses[..ALONE]).with_bookings(&addresses[..ALONE]);
    task::sleep(APART).await;
    for load in [inside, outside] {
        let seen = load.end().await;
        seen.check_all_whole();
        assert!(seen.check_bookings(&fleet) > 0);
    }

    fleet.proxies.clear_faults();
    let load = Load::start(&addresses).with_bookings(&addresses);
    wait_version(&fleet, [ALONE], 2).await;
    fleet.wait_ready().await;
    let seen = load.end().await;
    println!("healing: {} whole, {:?}", seen.whole, seen.refused);
    assert_eq!(seen.broken, Vec::<String>::new());
    assert!(seen.check_bookings(&fleet) > 0);
    assert!(wait_until(PATIENCE, || fleet.held_streams() == 0).await.is_some(), "memory held");
}
