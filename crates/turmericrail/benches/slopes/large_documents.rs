//! Measures memory and processor time of real processes with a large configuration that changes
//! every two seconds.

use std::time::Duration;

use async_std::task;
use serde_json::{Value, json};
use turmericrail_fakes::Fleet;

use crate::process::{processor_ms, resident_bytes};
use crate::processes::{plan, process_ids};

const INSTANCES: usize = 3;
/// Backend servers added in each row; they are plain and therefore not polled.
const SERVER_COUNTS: [usize; 4] = [0, 1_000, 9_000, 12_000];
/// Corresponds to 43,000 changes a day.
const CHANGE_INTERVAL: Duration = Duration::from_secs(2);
const CHANGES_PER_ROW: u64 = 5;

/// Runs the measurement and prints its table.
pub async fn print() {
    println!("3 processes with a large configuration and a change every 2 s, each");
    println!("servers_added  document_bytes  processor_ms_per_second  memory_bytes");
    let fleet = Fleet::start(plan(INSTANCES, "documents")).await.expect("loopback ports are free");
    for servers in SERVER_COUNTS {
        print_row(&fleet, servers).await;
    }
    println!();
}

async fn print_row(fleet: &Fleet, servers: usize) {
    fleet.platform.accept(json!({"servers": added_servers(servers)}));
    task::sleep(CHANGE_INTERVAL * 2).await;
    let size = fleet.platform.state().document.to_string().len();
    let before: f64 = process_ids(fleet).into_iter().map(processor_ms).sum();
    for number in 0..CHANGES_PER_ROW {
        fleet.platform.accept(json!({"limits": {"queue_limit_requests": 400 + number}}));
        task::sleep(CHANGE_INTERVAL).await;
    }
    let after: f64 = process_ids(fleet).into_iter().map(processor_ms).sum();
    let seconds = CHANGE_INTERVAL.as_secs_f64() * CHANGES_PER_ROW as f64 * INSTANCES as f64;
    let memory: f64 =
        process_ids(fleet).into_iter().map(resident_bytes).sum::<f64>() / INSTANCES as f64;
    println!("{servers:>13}  {size:>14}  {:>23.2}  {memory:>12.0}", (after - before) / seconds);
}

fn added_servers(count: usize) -> serde_json::Map<String, Value> {
    let server = |number: usize| {
        let address = format!("10.{}.{}.1:9000", number / 250, number % 250);
        let server = json!({"data_centre": "dc-a", "address": address, "role": "plain"});
        (format!("added-{number}"), server)
    };
    (0..count).map(server).collect()
}
