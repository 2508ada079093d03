//! Measures restarts of real processes: all instances one by one, a start while the platform's
//! services are down, and configuration changes before and after.

use std::time::{Duration, Instant};

use async_std::task;
use serde_json::json;
use turmericrail_fakes::Fleet;

use crate::processes::plan;

const INSTANCES: usize = 9;
const TIMEOUT: Duration = Duration::from_secs(20);
/// Time between checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Runs the measurement and prints its table.
pub async fn print() {
    let mut fleet =
        Fleet::start(plan(INSTANCES, "restarts")).await.expect("loopback ports are free");
    println!("9 processes: times in milliseconds");
    for _ in 0..3 {
        let version = fleet.platform.accept(json!({"limits": {"retry_percent": 21}})).0;
        println!(
            "change in force everywhere        {}",
            time_until(&fleet, async |fleet| has_version(fleet, version).await).await
        );
    }
    fleet.platform.state().is_down = true;
    println!("ready without platform services   {}", restart(&mut fleet, 4).await);
    fleet.platform.state().is_down = false;
    let mut longest = 0;
    let started = Instant::now();
    for index in 0..INSTANCES {
        longest = longest.max(restart(&mut fleet, index).await);
    }
    println!("replacement of all, one by one    {}", started.elapsed().as_millis());
    println!("longest start to ready            {longest}");
    let version = fleet.platform.accept(json!({"limits": {"retry_percent": 22}})).0;
    println!(
        "change after the replacement      {}",
        time_until(&fleet, async |fleet| has_version(fleet, version).await).await
    );
}

/// Kills an instance and starts it again; returns the milliseconds until it is ready.
async fn restart(fleet: &mut Fleet, index: usize) -> u128 {
    fleet.instances[index].kill();
    let started = Instant::now();
    fleet.start_instance(index).expect("the daemon starts");
    while !is_ready(fleet, index).await && started.elapsed() < TIMEOUT {
        task::sleep(CHECK_INTERVAL).await;
    }
    started.elapsed().as_millis()
}

async fn is_ready(fleet: &Fleet, index: usize) -> bool {
    fleet.status(index).await.is_some_and(|status| status["is_ready"] == true)
}

async fn time_until(fleet: &Fleet, is_met: impl AsyncFn(&Fleet) -> bool) -> u128 {
    let started = Instant::now();
    while !is_met(fleet).await && started.elapsed() < TIMEOUT {
        task::sleep(CHECK_INTERVAL).await;
    }
    started.elapsed().as_millis()
}

async fn has_version(fleet: &Fleet, version: u64) -> bool {
    for index in 0..fleet.instances.len() {
        let status = fleet.status(index).await;
        if status.is_none_or(|status| status["config_version"].as_u64() < Some(version)) {
            return false;
        }
    }
    true
}
