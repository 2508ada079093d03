//! Memory and processor time of real processes whose configuration is large and changes every two
//! seconds.

use std::time::Duration;

use async_std::task;
use serde_json::{Value, json};
use turmericrail_fakes::Fleet;

use crate::process::{processor_ms, resident_bytes};
use crate::processes::{ids, plan};

/// Instances.
const INSTANCES: usize = 3;
/// Backend servers added in each row, which are not polled.
const SERVERS: [usize; 4] = [0, 1_000, 9_000, 12_000];
/// Time between changes, as with 43,000 a day.
const CHANGE_EVERY: Duration = Duration::from_secs(2);
/// Changes measured in each row.
const CHANGES: u64 = 5;

/// Prints the rows.
pub async fn print() {
    println!("3 processes with a large configuration and a change every 2 s, each");
    println!("servers_added  document_bytes  processor_ms_per_second  memory_bytes");
    let fleet = Fleet::start(plan(INSTANCES, "documents")).await.expect("loopback ports are free");
    for servers in SERVERS {
        row(&fleet, servers).await;
    }
    println!();
}

async fn row(fleet: &Fleet, servers: usize) {
    fleet.platform.accept(json!({"servers": added(servers)}));
    task::sleep(CHANGE_EVERY * 2).await;
    let size = fleet.platform.state().document.to_string().len();
    let before: f64 = ids(fleet).into_iter().map(processor_ms).sum();
    for number in 0..CHANGES {
        fleet.platform.accept(json!({"limits": {"queue_limit_requests": 400 + number}}));
        task::sleep(CHANGE_EVERY).await;
    }
    let after: f64 = ids(fleet).into_iter().map(processor_ms).sum();
    let seconds = CHANGE_EVERY.as_secs_f64() * CHANGES as f64 * INSTANCES as f64;
    let memory: f64 = ids(fleet).into_iter().map(resident_bytes).sum::<f64>() / INSTANCES as f64;
    println!("{servers:>13}  {size:>14}  {:>23.2}  {memory:>12.0}", (after - before) / seconds);
}

fn added(count: usize) -> serde_json::Map<String, Value> {
    let server = |number: usize| {
        let address = format!("10.{}.{}.1:9000", number / 250, number % 250);
        let server = json!({"data_centre": "dc-a", "address": address, "role": "plain"});
        (format!("added-{number}"), server)
    };
    (0..count).map(server).collect()
}
