//! Measures instances as real processes on loopback that serve no requests.

use std::collections::BTreeMap;
use std::time::Duration;

use async_std::task;
use turmericrail_fakes::{Fleet, FleetPlan};
use turmericrail_wire::client::Call;

use crate::framing::FRAMING_BYTES;
use crate::growth_exponent;
use crate::process::{processor_ms, resident_bytes};

/// Instances of each row, spread over three data centres.
const SIZES: [usize; 5] = [3, 6, 12, 24, 48];
/// Engines of each data centre, all owned by its single instance.
const ENGINE_COUNTS: [usize; 3] = [2, 40, 80];
const WARM_UP: Duration = Duration::from_secs(4);
const MEASUREMENT: Duration = Duration::from_secs(6);
const PAGE_TIMEOUT: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Default)]
struct Usage {
    messages: f64,
    bytes: f64,
    calls: f64,
    processor_ms: f64,
}

/// Runs the measurement and prints its table.
pub async fn print() {
    println!(
        "processes, a second and instance: messages and bytes to peers, calls of the platform, \
         processor time with {} engines polled by their owners; memory",
        3 * 3
    );
    println!("instances  messages   bytes  framed  platform_calls  processor_ms  memory_bytes");
    let mut rows = Vec::new();
    for size in SIZES {
        let usage = print_row(size).await;
        rows.push((size as f64, usage.bytes + usage.messages * FRAMING_BYTES as f64));
    }
    println!("exponent of framed bytes {:.2}\n", growth_exponent(rows[0], rows[rows.len() - 1]));
}

/// Measures the processor time by the number of engines, and prints its table.
pub async fn print_engines() {
    println!("3 processes, each: engines owned, processor time a second");
    println!("engines  processor_ms");
    for engines in ENGINE_COUNTS {
        print_engine_row(engines).await;
    }
    println!();
}

async fn print_engine_row(engines: usize) {
    let mut plan = plan(3, "engines");
    plan.decode_engines = engines - plan.prefill_engines;
    let fleet = Fleet::start(plan).await.expect("loopback ports are free");
    task::sleep(WARM_UP).await;
    let before: f64 = process_ids(&fleet).into_iter().map(processor_ms).sum();
    task::sleep(MEASUREMENT).await;
    let after: f64 = process_ids(&fleet).into_iter().map(processor_ms).sum();
    println!("{engines:>7}  {:>12.2}", (after - before) / 3.0 / MEASUREMENT.as_secs_f64());
}

/// Returns a plan with instances spread over three data centres.
pub fn plan(instances: usize, name: &str) -> FleetPlan {
    let mut plan = FleetPlan::small(env!("CARGO_BIN_EXE_turmericrail"), name);
    let names = ["dc-a", "dc-b", "dc-c"].map(str::to_owned);
    plan.data_centres = names.into_iter().map(|name| (name, instances / 3)).collect();
    plan
}

async fn print_row(instances: usize) -> Usage {
    let fleet = Fleet::start(plan(instances, "slopes")).await.expect("loopback ports are free");
    task::sleep(WARM_UP).await;
    let before = read_usage(&fleet).await;
    task::sleep(MEASUREMENT).await;
    let after = read_usage(&fleet).await;
    let per_second = instances as f64 * MEASUREMENT.as_secs_f64();
    let usage = Usage {
        messages: (after.messages - before.messages) / per_second,
        bytes: (after.bytes - before.bytes) / per_second,
        calls: (after.calls - before.calls) / per_second,
        processor_ms: (after.processor_ms - before.processor_ms) / per_second,
    };
    let memory: f64 =
        process_ids(&fleet).into_iter().map(resident_bytes).sum::<f64>() / instances as f64;
    println!(
        "{instances:>9}  {:>8.2}  {:>6.0}  {:>6.0}  {:>14.2}  {:>12.2}  {memory:>12.0}",
        usage.messages,
        usage.bytes,
        usage.bytes + usage.messages * FRAMING_BYTES as f64,
        usage.calls,
        usage.processor_ms,
    );
    usage
}

/// Returns the process ids of the running instances.
pub fn process_ids(fleet: &Fleet) -> Vec<u32> {
    let processes = fleet.instances.iter().filter_map(|instance| instance.process.as_ref());
    processes.map(std::process::Child::id).collect()
}

async fn read_usage(fleet: &Fleet) -> Usage {
    let mut usage = Usage::default();
    for instance in &fleet.instances {
        let call = Call::get(instance.caller_address, "/metrics", PAGE_TIMEOUT);
        let (_, body) = call.send().await.expect("the instance answers");
        let sums = sum_metrics(&String::from_utf8_lossy(&body));
        let sum = |name: &str| sums.get(name).copied().unwrap_or(0.0);
        usage.messages += sum("turmericrail_peer_messages_total");
        usage.bytes += sum("turmericrail_peer_bytes_total");
        usage.calls += sum("turmericrail_platform_calls_total");
    }
    usage.processor_ms = process_ids(fleet).into_iter().map(processor_ms).sum();
    usage
}

/// Returns the sum of each metric over all its labels, from the text of a metrics page.
pub fn sum_metrics(text: &str) -> BTreeMap<String, f64> {
    let mut sums = BTreeMap::new();
    for line in text.lines().filter(|line| !line.starts_with('#')) {
        let Some((name, value)) = line.rsplit_once(' ') else {
            continue;
        };
        let name = name.split('{').next().unwrap_or_default();
        *sums.entry(name.to_owned()).or_insert(0.0) += value.parse::<f64>().unwrap_or(0.0);
    }
    sums
}
