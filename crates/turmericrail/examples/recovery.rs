//! Measures the time to recover from each fault, with real processes on loopback: `cargo run
//! --release --example recovery`.
//!
//! Each row gives the number of runs, the median and the longest time, and the required bound if
//! there is one. The instances run this same executable, which acts as the daemon when called with
//! `--settings`.

use std::collections::{BTreeMap, BTreeSet};
use std::process::ExitCode;
use std::time::{Duration, Instant};

use async_std::task;
use serde_json::{Value, json};
use turmericrail_fakes::{Fault, FaultScope, Fleet, FleetPlan, StreamCaller, wait_until};

/// Concurrent runs of each fault.
const RUNS: usize = 3;
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(60);
/// Time between status checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time for which effects of a fault are observed or awaited.
const OBSERVATION_TIME: Duration = Duration::from_secs(8);
/// Length of an answer that does not end during a run.
const LONG_ANSWER_TOKENS: u64 = 12_000;

fn main() -> ExitCode {
    if std::env::args().any(|argument| argument == "--settings") {
        return run_daemon();
    }
    task::block_on(async {
        print_row("instance_killed_memory_freed", Some(10_000), holder_killed).await;
        print_row("holder_and_owner_killed_memory_freed", Some(10_000), holder_and_owner_killed)
            .await;
        print_row("data_centre_killed_memory_freed", Some(10_000), data_centre_killed).await;
        print_row("instance_killed_others_know", Some(5_000), death_known_to_others).await;
        print_row("leaving_server_last_new_work", Some(5_000), leaving_server_last_call).await;
        print_row("caller_left_memory_freed", None, caller_disconnected).await;
        print_row("instance_killed_next_token_elsewhere", None, resumed_elsewhere).await;
        print_row("decode_engine_died_next_token", None, engine_died).await;
        print_row("token_connection_silent_next_token", None, token_connection_silent).await;
        print_row("peer_streams_silent_members_known", Some(5_000), peer_connections_silent).await;
        print_row("data_centre_cut_off_others_know", Some(5_000), data_centre_isolated).await;
        print_row("data_centre_back_members_known", Some(5_000), members_after_isolation).await;
        print_row("data_centre_back_version_in_force", Some(8_000), version_after_isolation).await;
        print_row("no_service_in_data_centre_version_in_force", Some(8_000), platform_unreachable)
            .await;
        print_row("watches_silent_version_in_force", Some(8_000), version_with_silent_watches)
            .await;
        print_row("cancel_lost_memory_freed_after", None, cancel_lost).await;
        print_row(
            "holder_killed_reports_silent_memory_freed",
            Some(10_000),
            holder_killed_reports_silent,
        )
        .await;
    });
    ExitCode::SUCCESS
}

fn run_daemon() -> ExitCode {
    if let Err(error) = turmericrail::run() {
        eprintln!("turmericrail: {error}");
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}

async fn print_row<F>(fault: &str, bound_ms: Option<u64>, measure: fn(Fleet) -> F)
where
    F: Future<Output = Option<Duration>> + Send + 'static,
{
    let mut running = Vec::new();
    for run in 0..RUNS {
        let executable = std::env::current_exe().expect("an example knows its own path");
        let mut plan = FleetPlan::small(executable, &format!("{fault}-{run}"));
        plan.data_centres = BTreeMap::from([("dc-a".to_owned(), 3), ("dc-b".to_owned(), 1)]);
        plan.has_proxies = true;
        let fleet = Fleet::start(plan).await.expect("loopback ports are free");
        running.push(task::spawn(measure(fleet)));
    }
    let mut times_ms = Vec::new();
    for run in running {
        times_ms.extend(run.await.map(|time| time.as_millis()));
    }
    times_ms.sort_unstable();
    let median_ms = times_ms.get(times_ms.len() / 2).copied().unwrap_or_default();
    let worst_ms = times_ms.last().copied().unwrap_or_default();
    let bound = bound_ms.map_or_else(|| "none".to_owned(), |bound_ms| bound_ms.to_string());
    println!(
        "fault={fault} runs={} median_ms={median_ms} worst_ms={worst_ms} bound_ms={bound} failed={}",
        times_ms.len(),
        RUNS - times_ms.len()
    );
}

fn completion(tokens: u64) -> Value {
    json!({
        "model": "quote", "prompt": "a folding carton for a bakery", "max_tokens": tokens,
        "stream": true, "workspace": "w1", "caller_kind": "printer",
    })
}

async fn start_stream(fleet: &Fleet, instance: usize) -> StreamCaller {
    let address = fleet.instances[instance].caller_address;
    let opened = StreamCaller::open(address, &completion(LONG_ANSWER_TOKENS)).await;
    let mut caller = opened.expect("a fleet without faults answers");
    caller.read_tokens(20).await;
    caller
}

async fn wait_until_released(fleet: &Fleet) -> Option<Duration> {
    wait_until(RECOVERY_TIMEOUT, || fleet.held_streams() == 0).await
}

async fn holder_killed(mut fleet: Fleet) -> Option<Duration> {
    let _caller = start_stream(&fleet, 0).await;
    fleet.instances[0].kill();
    wait_until_released(&fleet).await
}

async fn holder_and_owner_killed(mut fleet: Fleet) -> Option<Duration> {
    let _caller = start_stream(&fleet, 0).await;
    let server = fleet.busiest_decode_engine()?.0.clone();
    let owner = fleet.owner_of(&server, 1).await?;
    for index in BTreeSet::from([0, owner]) {
        fleet.instances[index].kill();
    }
    wait_until_released(&fleet).await
}

async fn data_centre_killed(mut fleet: Fleet) -> Option<Duration> {
    let _caller = start_stream(&fleet, 0).await;
    for instance in &mut fleet.instances {
        if instance.data_centre == "dc-a" {
            instance.kill();
        }
    }
    fleet
        .platform
        .state()
        .instance_list
        .instances
        .retain(|_, listed| listed.data_centre.as_str() != "dc-a");
    wait_until_released(&fleet).await
}

async fn death_known_to_others(mut fleet: Fleet) -> Option<Duration> {
    let id = fleet.instances[0].id.to_string();
    fleet.instances[0].kill();
    let started = Instant::now();
    for index in 1..fleet.instances.len() {
        while counts_as_live(&fleet, index, &id).await {
            if started.elapsed() > RECOVERY_TIMEOUT {
                return None;
            }
            task::sleep(CHECK_INTERVAL).await;
        }
    }
    Some(started.elapsed())
}

async fn counts_as_live(fleet: &Fleet, index: usize, id: &str) -> bool {
    let status = fleet.status(index).await.unwrap_or_default();
    let members = status["members"].as_array().cloned().unwrap_or_default();
    members.iter().any(|member| member["instance"] == id && member["is_live"] == true)
}

/// Returns the time from the listing to the last stream opened at the leaving server.
async fn leaving_server_last_call(fleet: Fleet) -> Option<Duration> {
    let leaving = "dc-a-decode-1";
    fleet.platform.state().instance_list.leaving_servers = vec![leaving.parse().ok()?];
    let started = Instant::now();
    let mut last = Duration::ZERO;
    let mut readers = fleet.decode[leaving].state().reader_count;
    while started.elapsed() < Duration::from_secs(8) {
        for instance in &fleet.instances {
            let request = completion(2);
            let mut caller = StreamCaller::open(instance.caller_address, &request).await?;
            caller.read_all().await;
        }
        let now = fleet.decode[leaving].state().reader_count;
        if now > readers {
            last = started.elapsed();
            readers = now;
        }
    }
    Some(last)
}

async fn caller_disconnected(fleet: Fleet) -> Option<Duration> {
    drop(start_stream(&fleet, 0).await);
    wait_until_released(&fleet).await
}

async fn resumed_elsewhere(mut fleet: Fleet) -> Option<Duration> {
    let mut caller = start_stream(&fleet, 0).await;
    fleet.instances[0].kill();
    let started = Instant::now();
    caller.read_all().await;
    let count = caller.tokens.len();
    let mut caller = caller.resume(fleet.instances[1].caller_address).await?;
    caller.read_tokens(count + 1).await;
    caller.end.is_none().then(|| started.elapsed())
}

/// Returns the longest wait for a token, in a stream whose engine fails.
async fn longest_gap(fleet: &Fleet, mut caller: StreamCaller) -> Option<Duration> {
    let mut longest = Duration::ZERO;
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(8) {
        let wait_started = Instant::now();
        let count = caller.tokens.len();
        caller.read_tokens(count + 1).await;
        longest = longest.max(wait_started.elapsed());
        if caller.end.is_some() {
            return None;
        }
    }
    drop(caller);
    wait_until_released(fleet).await.map(|_| longest)
}

async fn engine_died(fleet: Fleet) -> Option<Duration> {
    let caller = start_stream(&fleet, 0).await;
    fleet.busiest_decode_engine()?.1.state().crash();
    longest_gap(&fleet, caller).await
}

async fn token_connection_silent(fleet: Fleet) -> Option<Duration> {
    let caller = start_stream(&fleet, 0).await;
    fleet.busiest_decode_engine()?.1.state().stall_readers();
    longest_gap(&fleet, caller).await
}

/// Returns the number of live members that each instance sees.
async fn live_member_counts(fleet: &Fleet) -> Vec<usize> {
    let mut counts = Vec::new();
    for index in 0..fleet.instances.len() {
        let status = fleet.status(index).await.unwrap_or_default();
        let members = status["members"].as_array().cloned().unwrap_or_default();
        counts.push(members.iter().filter(|member| member["is_live"] == true).count());
    }
    counts
}

/// Returns the time until each instance sees the expected number of live members.
async fn wait_for_live_counts(fleet: &Fleet, expected: &[usize]) -> Option<Duration> {
    let started = Instant::now();
    while live_member_counts(fleet).await != expected {
        if started.elapsed() > RECOVERY_TIMEOUT {
            return None;
        }
        task::sleep(CHECK_INTERVAL).await;
    }
    Some(started.elapsed())
}

/// Returns the time until each instance has a configuration version in force.
async fn wait_for_version(fleet: &Fleet, version: u64) -> Option<Duration> {
    let started = Instant::now();
    for index in 0..fleet.instances.len() {
        while fleet.status(index).await.unwrap_or_default()["config_version"] != version {
            if started.elapsed() > RECOVERY_TIMEOUT {
                return None;
            }
            task::sleep(CHECK_INTERVAL).await;
        }
    }
    Some(started.elapsed())
}

fn accept_change(fleet: &Fleet) -> u64 {
    fleet.platform.accept(json!({"limits": {"queue_limit_requests": 400}})).0
}

/// Returns the last time at which an instance did not see all others as live; `None` if that is
/// still so at the end of the observation.
async fn peer_connections_silent(fleet: Fleet) -> Option<Duration> {
    let ids: Vec<_> = fleet.proxies.peers.keys().collect();
    for (index, one) in ids.iter().enumerate() {
        for other in &ids[index + 1..] {
            fleet.proxies.add_fault_between(one, other, Fault::DropAll, FaultScope::Existing);
        }
    }
    let started = Instant::now();
    let mut last = Duration::ZERO;
    while started.elapsed() < OBSERVATION_TIME {
        if live_member_counts(&fleet).await != [4, 4, 4, 4] {
            last = started.elapsed();
        }
        task::sleep(CHECK_INTERVAL).await;
    }
    (last + CHECK_INTERVAL * 4 < OBSERVATION_TIME).then_some(last)
}

async fn data_centre_isolated(fleet: Fleet) -> Option<Duration> {
    fleet.proxies.isolate_data_centre("dc-b");
    wait_for_live_counts(&fleet, &[3, 3, 3, 1]).await
}

async fn members_after_isolation(fleet: Fleet) -> Option<Duration> {
    fleet.proxies.isolate_data_centre("dc-b");
    wait_for_live_counts(&fleet, &[3, 3, 3, 1]).await?;
    fleet.proxies.clear_faults();
    wait_for_live_counts(&fleet, &[4, 4, 4, 4]).await
}

async fn version_after_isolation(fleet: Fleet) -> Option<Duration> {
    fleet.proxies.isolate_data_centre("dc-b");
    wait_for_live_counts(&fleet, &[3, 3, 3, 1]).await?;
    let version = accept_change(&fleet);
    task::sleep(OBSERVATION_TIME).await;
    fleet.proxies.clear_faults();
    wait_for_version(&fleet, version).await
}

async fn platform_unreachable(fleet: Fleet) -> Option<Duration> {
    fleet.proxies.platforms["dc-b-1"].add_fault(Fault::DropAll, FaultScope::All, |_| true);
    wait_for_version(&fleet, accept_change(&fleet)).await
}

async fn version_with_silent_watches(fleet: Fleet) -> Option<Duration> {
    for proxy in fleet.proxies.platforms.values() {
        proxy.add_fault(Fault::DropAll, FaultScope::Existing, |_| true);
    }
    wait_for_version(&fleet, accept_change(&fleet)).await
}

/// Returns the time to release the stream, counted from the end of the fault.
async fn cancel_lost(fleet: Fleet) -> Option<Duration> {
    let caller = start_stream(&fleet, 0).await;
    for proxy in fleet.proxies.engines.values() {
        proxy.add_fault(Fault::DropAll, FaultScope::All, |head| head.starts_with(b"POST /cancel"));
    }
    drop(caller);
    task::sleep(OBSERVATION_TIME).await;
    fleet.proxies.clear_faults();
    wait_until_released(&fleet).await
}

async fn holder_killed_reports_silent(mut fleet: Fleet) -> Option<Duration> {
    let _caller = start_stream(&fleet, 0).await;
    for proxy in fleet.proxies.engines.values() {
        proxy.add_fault(Fault::DropAll, FaultScope::Existing, |head| {
            head.starts_with(b"GET /report")
        });
    }
    fleet.instances[0].kill();
    wait_until_released(&fleet).await
}
