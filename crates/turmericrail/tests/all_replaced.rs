//! Every instance is replaced in turn under load with both kinds of work.

mod load_support;
mod plain_support;

use std::time::Duration;

use async_std::task;
use load_support::{Load, PATIENCE, caller_addresses};
use turmericrail_fakes::{Fleet, FleetPlan, wait_until};

/// Time for which an instance is gone, and between two replacements.
const PAUSE: Duration = Duration::from_millis(500);
/// Data centres of the fleet.
const DATA_CENTRES: [&str; 3] = ["dc-a", "dc-b", "dc-c"];

fn has_ended(fleet: &mut Fleet, index: usize) -> bool {
    let process = fleet.instances[index].process.as_mut().unwrap();
    process.try_wait().unwrap().is_some_and(|status| status.success())
}

#[async_std::test]
async fn both_kinds() {
    let mut plan = FleetPlan::small(env!("CARGO_BIN_EXE_turmericrail"), "both-replaced");
    plan.data_centres = DATA_CENTRES.iter().map(|name| (name.to_string(), 2)).collect();
    plan.decode_engines = 1;
    let mut fleet = Fleet::start(plan).await.unwrap();
    let addresses = caller_addresses(&fleet);
    let load = Load::start(&addresses).with_bookings(&addresses);
    for index in 0..fleet.instances.len() {
        fleet.instances[index].signal("TERM");
        let ended = wait_until(PATIENCE, || has_ended(&mut fleet, index)).await;
        assert!(ended.is_some(), "instance {index} did not end");
        fleet.instances[index].process = None;
        task::sleep(PAUSE).await;
        fleet.start_instance(index).unwrap();
        fleet.wait_ready().await;
        task::sleep(PAUSE).await;
    }
    let seen = load.end().await;
    let completed = seen.check_bookings(&fleet);
    let told = seen.bookings.len();
    println!(
        "{} whole, {} refused, {completed} of {told} bookings",
        seen.whole,
        seen.refused.len()
    );
    assert!(seen.whole > 0 && completed > 0);
    assert_eq!(seen.broken, Vec::<String>::new());
    let is_final = |answer: &String| {
        let kinds = ["\"not_ready\"", "\"shutting_down\""];
        answer.starts_with("not sent") || kinds.iter().any(|kind| answer.contains(kind))
    };
    assert!(seen.refused.iter().all(is_final), "{:?}", seen.refused);
    assert!(wait_until(PATIENCE, || fleet.held_streams() == 0).await.is_some(), "memory held");
}
