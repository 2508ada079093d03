//! Time to recover from each fault, with real processes on loopback: `cargo run --release --example
//! recovery`. Each row gives the runs, the median and the worst, and the bound where one is stated.
//!
//! The example starts itself as the daemon of each instance.

use std::collections::{BTreeMap, BTreeSet};
use std::process::ExitCode;
use std::time::{Duration, Instant};

use async_std::task;
use serde_json::{Value, json};
use turmericrail_fakes::{Fault, FaultScope, Fleet, FleetPlan, StreamCaller, wait_until};

/// Runs of each fault, side by side.
const RUNS: usize = 3;
/// Longest wait for a recovery.
const LIMIT: Duration = Duration::from_secs(60);
/// Time between looks at something that takes a call.
const LOOK_STEP: Duration = Duration::from_millis(50);
/// Time for which the last moment of trouble is looked for.
const LOOK_TIME: Duration = Duration::from_secs(8);
/// Tokens of an answer that outlasts every run.
const LONG_ANSWER_TOKENS: u64 = 12_000;

fn main() -> ExitCode {
    if std::env::args().any(|argument| argument == "--settings") {
        return run_daemon();
    }
    task::block_on(async {
        print_row("instance_killed_memory_freed", Some(10_000), holder_killed).await;
        print_row("holder_and_owner_killed_memory_freed", Some(10_000), holder_and_owner).await;
        print_row("data_centre_killed_memory_freed", Some(10_000), data_centre_killed).await;
        print_row("instance_killed_others_know", Some(5_000), others_know).await;
        print_row("leaving_server_last_new_work", Some(5_000), leaving_server).await;
        print_row("caller_left_memory_freed", None, caller_left).await;
        print_row("instance_killed_next_token_elsewhere", None, resumed).await;
        print_row("decode_engine_died_next_token", None, engine_died).await;
        print_row("token_connection_silent_next_token", None, reader_silent).await;
        print_row("peer_streams_silent_members_known", Some(5_000), peers_silent).await;
        print_row("data_centre_cut_off_others_know", Some(5_000), cut_off).await;
        print_row("data_centre_back_members_known", Some(5_000), back_members).await;
        print_row("data_centre_back_version_in_force", Some(8_000), back_version).await;
        print_row("no_service_in_data_centre_version_in_force", Some(8_000), no_service).await;
        print_row("watches_silent_version_in_force", Some(8_000), watches_silent).await;
        print_row("cancel_lost_memory_freed_after", None, cancel_lost).await;
        print_row("holder_killed_reports_silent_memory_freed", Some(10_000), reports_silent).await;
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

async fn begin(fleet: &Fleet, instance: usize) -> StreamCaller {
    let address = fleet.instances[instance].caller_address;
    let opened = StreamCaller::open(address, &completion(LONG_ANSWER_TOKENS)).await;
    let mut caller = opened.expect("a fleet without faults answers");
    caller.read_tokens(20).await;
    caller
}

async fn freed(fleet: &Fleet) -> Option<Duration> {
    wait_until(LIMIT, || fleet.held_streams() == 0).await
}

async fn holder_killed(mut fleet: Fleet) -> Option<Duration> {
    let _caller = begin(&fleet, 0).await;
    fleet.instances[0].kill();
    freed(&fleet).await
}

async fn holder_and_owner(mut fleet: Fleet) -> Option<Duration> {
    let _caller = begin(&fleet, 0).await;
    let server = fleet.busiest_decode_engine()?.0.clone();
    let owner = fleet.owner_of(&server, 1).await?;
    for index in BTreeSet::from([0, owner]) {
        fleet.instances[index].kill();
    }
    freed(&fleet).await
}

async fn data_centre_killed(mut fleet: Fleet) -> Option<Duration> {
    let _caller = begin(&fleet, 0).await;
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
    freed(&fleet).await
}

async fn others_know(mut fleet: Fleet) -> Option<Duration> {
    let id = fleet.instances[0].id.to_string();
    fleet.instances[0].kill();
    let started = Instant::now();
    for index in 1..fleet.instances.len() {
        while sees_live(&fleet, index, &id).await {
            if started.elapsed() > LIMIT {
                return None;
            }
            task::sleep(LOOK_STEP).await;
        }
    }
    Some(started.elapsed())
}

async fn sees_live(fleet: &Fleet, index: usize, id: &str) -> bool {
    let status = fleet.status(index).await.unwrap_or_default();
    let members = status["members"].as_array().cloned().unwrap_or_default();
    members.iter().any(|member| member["instance"] == id && member["is_live"] == true)
}

/// Time from the listing to the last reading opened at the leaving server.
async fn leaving_server(fleet: Fleet) -> Option<Duration> {
    let leaving = "dc-a-decode-1";
    fleet.platform.state().instance_list.leaving_servers = vec![leaving.parse().ok()?];
    let started = Instant::now();
    let mut last = Duration::ZERO;
    let mut readers = fleet.decode[leaving].state().reader_count;
    while started.elapsed() < Duration::from_secs(8) {
        for instance in &fleet.instances {
            let asked = completion(2);
            let mut caller = StreamCaller::open(instance.caller_address, &asked).await?;
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

async fn caller_left(fleet: Fleet) -> Option<Duration> {
    drop(begin(&fleet, 0).await);
    freed(&fleet).await
}

async fn resumed(mut fleet: Fleet) -> Option<Duration> {
    let mut caller = begin(&fleet, 0).await;
    fleet.instances[0].kill();
    let started = Instant::now();
    caller.read_all().await;
    let count = caller.tokens.len();
    let mut caller = caller.resume(fleet.instances[1].caller_address).await?;
    caller.read_tokens(count + 1).await;
    caller.end.is_none().then(|| started.elapsed())
}

/// Longest wait for a token after a fault of the engine in use.
async fn longest_gap(fleet: &Fleet, mut caller: StreamCaller) -> Option<Duration> {
    let mut longest = Duration::ZERO;
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(8) {
        let asked = Instant::now();
        let count = caller.tokens.len();
        caller.read_tokens(count + 1).await;
        longest = longest.max(asked.elapsed());
        if caller.end.is_some() {
            return None;
        }
    }
    drop(caller);
    freed(fleet).await.map(|_| longest)
}

async fn engine_died(fleet: Fleet) -> Option<Duration> {
    let caller = begin(&fleet, 0).await;
    fleet.busiest_decode_engine()?.1.state().crash();
    longest_gap(&fleet, caller).await
}

async fn reader_silent(fleet: Fleet) -> Option<Duration> {
    let caller = begin(&fleet, 0).await;
    fleet.busiest_decode_engine()?.1.state().stall_readers();
    longest_gap(&fleet, caller).await
}

/// Live members in the view of each instance.
async fn live_counts(fleet: &Fleet) -> Vec<usize> {
    let mut counts = Vec::new();
    for index in 0..fleet.instances.len() {
        let status = fleet.status(index).await.unwrap_or_default();
        let members = status["members"].as_array().cloned().unwrap_or_default();
        counts.push(members.iter().filter(|member| member["is_live"] == true).count());
    }
    counts
}

/// Time until each instance counts these live members.
async fn counted(fleet: &Fleet, wanted: &[usize]) -> Option<Duration> {
    let started = Instant::now();
    while live_counts(fleet).await != wanted {
        if started.elapsed() > LIMIT {
            return None;
        }
        task::sleep(LOOK_STEP).await;
    }
    Some(started.elapsed())
}

/// Time until each instance has a version of the configuration in force.
async fn in_force(fleet: &Fleet, version: u64) -> Option<Duration> {
    let started = Instant::now();
    for index in 0..fleet.instances.len() {
        while fleet.status(index).await.unwrap_or_default()["config_version"] != version {
            if started.elapsed() > LIMIT {
                return None;
            }
            task::sleep(LOOK_STEP).await;
        }
    }
    Some(started.elapsed())
}

fn change(fleet: &Fleet) -> u64 {
    fleet.platform.accept(json!({"limits": {"queue_limit_requests": 400}})).0
}

/// The last moment at which an instance did not count all others as live.
async fn peers_silent(fleet: Fleet) -> Option<Duration> {
    let ids: Vec<_> = fleet.proxies.peers.keys().collect();
    for (index, one) in ids.iter().enumerate() {
        for other in &ids[index + 1..] {
            fleet.proxies.add_fault_between(one, other, Fault::DropAll, FaultScope::Existing);
        }
    }
    let started = Instant::now();
    let mut last = Duration::ZERO;
    while started.elapsed() < LOOK_TIME {
        if live_counts(&fleet).await != [4, 4, 4, 4] {
            last = started.elapsed();
        }
        task::sleep(LOOK_STEP).await;
    }
    (last + LOOK_STEP * 4 < LOOK_TIME).then_some(last)
}

async fn cut_off(fleet: Fleet) -> Option<Duration> {
    fleet.proxies.isolate_data_centre("dc-b");
    counted(&fleet, &[3, 3, 3, 1]).await
}

async fn back_members(fleet: Fleet) -> Option<Duration> {
    fleet.proxies.isolate_data_centre("dc-b");
    counted(&fleet, &[3, 3, 3, 1]).await?;
    fleet.proxies.clear_faults();
    counted(&fleet, &[4, 4, 4, 4]).await
}

async fn back_version(fleet: Fleet) -> Option<Duration> {
    fleet.proxies.isolate_data_centre("dc-b");
    counted(&fleet, &[3, 3, 3, 1]).await?;
    let version = change(&fleet);
    task::sleep(LOOK_TIME).await;
    fleet.proxies.clear_faults();
    in_force(&fleet, version).await
}

async fn no_service(fleet: Fleet) -> Option<Duration> {
    fleet.proxies.platforms["dc-b-1"].add_fault(Fault::DropAll, FaultScope::All, |_| true);
    in_force(&fleet, change(&fleet)).await
}

async fn watches_silent(fleet: Fleet) -> Option<Duration> {
    for link in fleet.proxies.platforms.values() {
        link.add_fault(Fault::DropAll, FaultScope::Existing, |_| true);
    }
    in_force(&fleet, change(&fleet)).await
}

/// Time from the end of the silence.
async fn cancel_lost(fleet: Fleet) -> Option<Duration> {
    let caller = begin(&fleet, 0).await;
    for link in fleet.proxies.engines.values() {
        link.add_fault(Fault::DropAll, FaultScope::All, |head| head.starts_with(b"POST /cancel"));
    }
    drop(caller);
    task::sleep(LOOK_TIME).await;
    fleet.proxies.clear_faults();
    freed(&fleet).await
}

async fn reports_silent(mut fleet: Fleet) -> Option<Duration> {
    let _caller = begin(&fleet, 0).await;
    for link in fleet.proxies.engines.values() {
        link.add_fault(Fault::DropAll, FaultScope::Existing, |head| {
            head.starts_with(b"GET /report")
        });
    }
    fleet.instances[0].kill();
    freed(&fleet).await
}
