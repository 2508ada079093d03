//! Guards against engine memory that stays occupied when the holder of a stream and the owner of
//! its engine are killed at once.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::{WAIT_TIMEOUT, completion, small_fleet_plan};
use turmericrail_core::membership::ListedInstance;
use turmericrail_fakes::{Fleet, StreamCaller, wait_until};

/// Starts a fleet and a stream that its first instance holds.
async fn start_with_stream(name: &str, dc_a_instances: usize) -> (Fleet, StreamCaller) {
    let mut plan = small_fleet_plan(name);
    plan.data_centres =
        BTreeMap::from([("dc-a".to_owned(), dc_a_instances), ("dc-b".to_owned(), 1)]);
    let fleet = Fleet::start(plan).await.unwrap();
    let request = completion("a gift box", 20_000, true);
    let mut caller = StreamCaller::open(fleet.instances[0].caller_address, &request).await.unwrap();
    caller.read_tokens(5).await;
    (fleet, caller)
}

#[async_std::test]
async fn both_killed() {
    let (mut fleet, _caller) = start_with_stream("holder-and-owner", 3).await;
    let server = fleet.busiest_decode_engine().unwrap().0.clone();
    let owner = fleet.owner_of(&server, 1).await.unwrap();
    for index in BTreeSet::from([0, owner]) {
        fleet.instances[index].kill();
    }
    assert!(wait_until(WAIT_TIMEOUT, || fleet.held_streams() == 0).await.is_some(), "memory held");
}

#[async_std::test]
async fn data_centre_killed() {
    let (mut fleet, _caller) = start_with_stream("data-centre-killed", 2).await;
    for instance in &mut fleet.instances {
        if instance.data_centre == "dc-a" {
            instance.kill();
        }
    }
    let is_remaining = |listed: &ListedInstance| listed.data_centre.as_str() != "dc-a";
    fleet.platform.state().instance_list.instances.retain(|_, listed| is_remaining(listed));
    assert!(wait_until(WAIT_TIMEOUT, || fleet.held_streams() == 0).await.is_some(), "memory held");
}
