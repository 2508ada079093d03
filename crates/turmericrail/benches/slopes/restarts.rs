//! A full replacement of instances, a start while the platform's services are down, and a change
//! of the configuration, with real processes.

use std::time::{Duration, Instant};

use async_std::task;
use serde_json::json;
use turmericrail_fakes::Fleet;

use crate::processes::plan;

/// Instances.
const INSTANCES: usize = 9;
/// Longest wait for a condition.
const LIMIT: Duration = Duration::from_secs(20);
/// Time between looks.
const STEP: Duration = Duration::from_millis(10);

/// Prints the rows.
pub async fn print() {
    let mut fleet =
        Fleet::start(plan(INSTANCES, "restarts")).await.expect("loopback ports are free");
    println!("9 processes: times in milliseconds");
    for _ in 0..3 {
        let version = fleet.platform.accept(json!({"limits": {"retry_percent": 21}})).0;
        println!(
            "change in force everywhere        {}",
            wait(&fleet, async |fleet| has(fleet, version).await).await
        );
    }
    fleet.platform.state().is_down = true;
    println!("ready without platform services   {}", replace(&mut fleet, 4).await);
    fleet.platform.state().is_down = false;
    let mut longest = 0;
    let started = Instant::now();
    for index in 0..INSTANCES {
        longest = longest.max(replace(&mut fleet, index).await);
    }
    println!("replacement of all, one by one    {}", started.elapsed().as_millis());
    println!("longest start to ready            {longest}");
    let version = fleet.platform.accept(json!({"limits": {"retry_percent": 22}})).0;
    println!(
        "change after the replacement      {}",
        wait(&fleet, async |fleet| has(fleet, version).await).await
    );
}

/// Kills an instance and starts it again; returns the time until it is ready.
async fn replace(fleet: &mut Fleet, index: usize) -> u128 {
    fleet.instances[index].kill();
    let started = Instant::now();
    fleet.start_instance(index).expect("the daemon starts");
    while !is_ready(fleet, index).await && started.elapsed() < LIMIT {
        task::sleep(STEP).await;
    }
    started.elapsed().as_millis()
}

async fn is_ready(fleet: &Fleet, index: usize) -> bool {
    fleet.status(index).await.is_some_and(|status| status["is_ready"] == true)
}

async fn wait(fleet: &Fleet, is_met: impl AsyncFn(&Fleet) -> bool) -> u128 {
    let started = Instant::now();
    while !is_met(fleet).await && started.elapsed() < LIMIT {
        task::sleep(STEP).await;
    }
    started.elapsed().as_millis()
}

async fn has(fleet: &Fleet, version: u64) -> bool {
    for index in 0..fleet.instances.len() {
        let status = fleet.status(index).await;
        if status.is_none_or(|status| status["config_version"].as_u64() < Some(version)) {
            return false;
        }
    }
    true
}
