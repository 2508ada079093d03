//! Measures the overhead of the router: the same streams through one instance, and directly from
//! the same fake engines.
//!
//! Each row alternates direct and routed phases in one run: only the comparison of the two is
//! meaningful, not the absolute times. A direct stream makes the same three calls to the engines
//! that the router makes.

mod process;
mod streams;
mod summary;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use serde_json::json;
use turmericrail_core::ids::ConfigVersion;
use turmericrail_fakes::{EngineSettings, Fleet, FleetPlan};

use crate::process::ProcessUse;
use crate::streams::{AccessPath, Endpoints, Phase, run_phase};
use crate::summary::Summary;

/// Concurrent streams of each row.
const STREAM_COUNTS: [u64; 3] = [1, 50, 200];
const ANSWER_TOKENS: u64 = 25;
/// Length of the short answers that separate the cost of a request from the cost of a token.
const SHORT_ANSWER_TOKENS: u64 = 5;
/// Time after which the memory is read while streams run.
const MEMORY_SAMPLE_DELAY: Duration = Duration::from_millis(400);
/// Direct and routed phases of each row, of each kind.
const ROUNDS_PER_ROW: u64 = 3;
/// Minimum number of requests in a phase, over all streams.
const MIN_REQUESTS: u64 = 10;
const MIN_REQUESTS_PER_STREAM: u64 = 3;

/// So small that the configured link is never the bottleneck; the transfer time of the fake engines
/// does not depend on a link.
const KV_BYTES_PER_TOKEN: u64 = 1;
/// Time between checks of the configuration version in force.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

fn main() {
    task::block_on(run());
}

async fn run() {
    let fleet = Fleet::start(plan()).await.expect("loopback ports are free");
    let limits = json!({"limits": {"kv_bytes_per_token": KV_BYTES_PER_TOKEN}});
    wait_for_version(&fleet, fleet.platform.accept(limits)).await;
    let process = fleet.instances[0].process.as_ref().expect("the instance runs").id();
    let endpoints = Arc::new(Endpoints::new(&fleet));
    print_memory(&endpoints, process).await;
    println!("{}", Summary::heading());
    for count in STREAM_COUNTS {
        let (mut direct, mut routed) = (Summary::default(), Summary::default());
        for _ in 0..ROUNDS_PER_ROW {
            direct
                .add(run_phase(&endpoints, AccessPath::Direct, phase(count, ANSWER_TOKENS)).await);
            routed
                .add(run_phase(&endpoints, AccessPath::Routed, phase(count, ANSWER_TOKENS)).await);
        }
        println!("{}", Summary::row(count, &direct, &routed));
    }
    print_processor_time(&endpoints, process).await;
    let _ = std::fs::remove_dir_all(&fleet.plan.folder);
}

async fn wait_for_version(fleet: &Fleet, version: ConfigVersion) {
    while fleet.status(0).await.unwrap_or_default()["config_version"] != version.0 {
        task::sleep(CHECK_INTERVAL).await;
    }
}

fn plan() -> FleetPlan {
    let engine = EngineSettings {
        prefill_tokens_per_second: 1_000_000,
        token_interval_ms: 20,
        transfer_ms: 2,
        stream_limit_streams: 1_000,
        kv_total_pieces: 1_000_000,
        ..EngineSettings::default()
    };
    FleetPlan {
        data_centres: BTreeMap::from([("dc-a".to_owned(), 1)]),
        prefill_engines: 1,
        decode_engines: 1,
        plain_services: 1,
        engine,
        ..FleetPlan::small(env!("CARGO_BIN_EXE_turmericrail"), "overhead")
    }
}

fn phase(streams: u64, tokens: u64) -> Phase {
    let requests = MIN_REQUESTS.div_ceil(streams).max(MIN_REQUESTS_PER_STREAM);
    Phase { streams, requests, tokens }
}

/// Prints the processor time of a request and of a token, from phases of long and short answers.
async fn print_processor_time(endpoints: &Arc<Endpoints>, process: u32) {
    let count = STREAM_COUNTS[STREAM_COUNTS.len() - 1];
    let (long, short) = (phase(count, ANSWER_TOKENS), phase(count, SHORT_ANSWER_TOKENS));
    let before_ms = ProcessUse::read(process).processor_ms;
    run_phase(endpoints, AccessPath::Routed, long).await;
    let between_ms = ProcessUse::read(process).processor_ms;
    run_phase(endpoints, AccessPath::Routed, short).await;
    let after_ms = ProcessUse::read(process).processor_ms;
    let requests = (count * long.requests) as f64;
    let long_ms = (between_ms - before_ms) as f64 / requests;
    let short_ms = (after_ms - between_ms) as f64 / requests;
    let token_ms = (long_ms - short_ms) / (ANSWER_TOKENS - SHORT_ANSWER_TOKENS) as f64;
    let request_ms = short_ms - token_ms * SHORT_ANSWER_TOKENS as f64;
    println!("processor time: {:.1} us a token, {request_ms:.2} ms a request", token_ms * 1e3);
}

/// Prints the memory in use after one stream has run, and while all streams run for the first time.
async fn print_memory(endpoints: &Arc<Endpoints>, process: u32) {
    run_phase(endpoints, AccessPath::Routed, phase(1, ANSWER_TOKENS)).await;
    let idle_kib = ProcessUse::read(process).memory_kib;
    let count = STREAM_COUNTS[STREAM_COUNTS.len() - 1];
    let sample = async {
        task::sleep(MEMORY_SAMPLE_DELAY).await;
        ProcessUse::read(process).memory_kib
    };
    let running = run_phase(
        endpoints,
        AccessPath::Routed,
        Phase { requests: 1, ..phase(count, ANSWER_TOKENS) },
    );
    let (_, busy_kib) = futures_lite::future::zip(running, sample).await;
    let stream_kib = busy_kib.saturating_sub(idle_kib) as f64 / count as f64;
    println!(
        "memory: {idle_kib} KiB idle, {busy_kib} KiB with {count} streams, {stream_kib:.1} KiB a stream"
    );
}
