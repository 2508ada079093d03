//! Guards against lost answers and untrue booking outcomes while every instance is restarted in
//! turn under load: model requests end complete or are refused by an instance that starts or stops.

mod load_support;
mod plain_support;

use std::time::Duration;

use async_std::task;
use load_support::{LoadGenerator, WAIT_TIMEOUT, caller_addresses};
use turmericrail_fakes::{Fleet, FleetPlan, wait_until};

/// Time for which an instance is down, and between two restarts.
const DOWN_TIME: Duration = Duration::from_millis(500);
const DATA_CENTRES: [&str; 3] = ["dc-a", "dc-b", "dc-c"];

fn has_exited(fleet: &mut Fleet, index: usize) -> bool {
    let process = fleet.instances[index].process.as_mut().unwrap();
    process.try_wait().unwrap().is_some_and(|status| status.success())
}

#[async_std::test]
async fn mixed_load() {
    let mut plan = FleetPlan::small(env!("CARGO_BIN_EXE_turmericrail"), "both-replaced");
    plan.data_centres = DATA_CENTRES.iter().map(|name| (name.to_string(), 2)).collect();
    plan.decode_engines = 1;
    let mut fleet = Fleet::start(plan).await.unwrap();
    let addresses = caller_addresses(&fleet);
    let load = LoadGenerator::start(&addresses).with_bookings(&addresses);
    for index in 0..fleet.instances.len() {
        fleet.instances[index].signal("TERM");
        let exited = wait_until(WAIT_TIMEOUT, || has_exited(&mut fleet, index)).await;
        assert!(exited.is_some(), "instance {index} did not exit");
        fleet.instances[index].process = None;
        task::sleep(DOWN_TIME).await;
        fleet.start_instance(index).unwrap();
        fleet.wait_ready().await;
        task::sleep(DOWN_TIME).await;
    }
    let results = load.stop().await;
    let completed = results.assert_booking_outcomes(&fleet);
    let booking_count = results.bookings.len();
    println!(
        "{} complete, {} refused, {completed} of {booking_count} bookings",
        results.complete_count,
        results.refused.len()
    );
    assert!(results.complete_count > 0 && completed > 0);
    assert_eq!(results.incomplete, Vec::<String>::new());
    let is_expected_refusal = |answer: &String| {
        let kinds = ["\"not_ready\"", "\"shutting_down\""];
        answer.starts_with("not sent") || kinds.iter().any(|kind| answer.contains(kind))
    };
    assert!(results.refused.iter().all(is_expected_refusal), "{:?}", results.refused);
    assert!(wait_until(WAIT_TIMEOUT, || fleet.held_streams() == 0).await.is_some(), "memory held");
}
