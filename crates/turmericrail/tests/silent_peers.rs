//! Connections between instances that fall silent or break, while their processes run on.

mod load_support;
mod plain_support;

use std::time::Duration;

use async_std::task;
use load_support::{Load, PATIENCE, caller_addresses, linked_plan};
use turmericrail_fakes::{Fault, Fleet, Reach, wait_until};

/// Time after which members must know of each other again.
const MEMBER_BOUND: Duration = Duration::from_secs(5);

/// Whether an instance counts all instances as live.
async fn sees_all(fleet: &Fleet, index: usize) -> bool {
    let status = fleet.status(index).await.unwrap_or_default();
    let members = status["members"].as_array().cloned().unwrap_or_default();
    let live = members.iter().filter(|member| member["is_live"] == true).count();
    status["is_ready"] == true && live == fleet.instances.len()
}

async fn fail_streams(name: &str, fault: Fault) {
    let fleet = Fleet::start(linked_plan(name)).await.unwrap();
    let addresses = caller_addresses(&fleet);
    let load = Load::start(&addresses);
    task::sleep(Duration::from_secs(1)).await;
    for (one, other) in [("dc-a-1", "dc-a-2"), ("dc-a-1", "dc-b-1"), ("dc-a-2", "dc-b-1")] {
        fleet.links.fail_between(one, other, fault, Reach::Existing);
    }
    task::sleep(MEMBER_BOUND).await;
    for index in 0..fleet.instances.len() {
        assert!(sees_all(&fleet, index).await, "{:?}", fleet.status(index).await);
    }
    load.end().await.check_all_whole();
    assert!(wait_until(PATIENCE, || fleet.held_streams() == 0).await.is_some(), "memory held");
}

#[async_std::test]
async fn streams_silent() {
    fail_streams("streams-silent", Fault::Silent).await;
}

#[async_std::test]
async fn streams_cut() {
    fail_streams("streams-cut", Fault::Cut).await;
}
