//! The holder of a stream and the owner of its engine die together; the memory is freed.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::{PATIENCE, completion, small_plan};
use turmericrail_core::membership::ListedInstance;
use turmericrail_fakes::{Fleet, StreamCaller, wait_until};

async fn start(name: &str, in_first: usize) -> (Fleet, StreamCaller) {
    let mut plan = small_plan(name);
    plan.data_centres = BTreeMap::from([("dc-a".to_owned(), in_first), ("dc-b".to_owned(), 1)]);
    let fleet = Fleet::start(plan).await.unwrap();
    let asked = completion("a gift box", 20_000, true);
    let mut caller = StreamCaller::open(fleet.instances[0].caller_address, &asked).await.unwrap();
    caller.read_tokens(5).await;
    (fleet, caller)
}

#[async_std::test]
async fn both_killed() {
    let (mut fleet, _caller) = start("holder-and-owner", 3).await;
    let server = fleet.busiest_decode_engine().unwrap().0.clone();
    let owner = fleet.owner_of(&server, 1).await.unwrap();
    for index in BTreeSet::from([0, owner]) {
        fleet.instances[index].kill();
    }
    assert!(wait_until(PATIENCE, || fleet.held_streams() == 0).await.is_some(), "memory held");
}

#[async_std::test]
async fn whole_data_centre_killed() {
    let (mut fleet, _caller) = start("data-centre-killed", 2).await;
    for instance in &mut fleet.instances {
        if instance.data_centre == "dc-a" {
            instance.kill();
        }
    }
    let is_left = |listed: &ListedInstance| listed.data_centre.as_str() != "dc-a";
    fleet.platform.state().instance_list.instances.retain(|_, listed| is_left(listed));
    assert!(wait_until(PATIENCE, || fleet.held_streams() == 0).await.is_some(), "memory held");
}
