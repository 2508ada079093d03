//! Runs a whole deployment on one machine: fake engines and services, four instances in two data
//! centres, callers of two organisations, and one instance that is killed during the run.
//!
//! The last line is `completed=N failed=N doubled=N held=N`; the exit code is 1 if a guarantee was
//! violated. Cargo does not build the daemon for an example, so the instances run this same
//! executable, which acts as the daemon when called with `--settings`.

mod calls;
mod stream;
mod tally;
mod workload;

use std::collections::BTreeMap;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::task;
use turmericrail_fakes::{Fleet, FleetPlan};

use crate::tally::Tally;
use crate::workload::{Caller, InstanceAddresses, Kind};

const SEED: u64 = 2_026;
const RUN_DURATION: Duration = Duration::from_secs(12);
const KILL_AFTER: Duration = Duration::from_secs(4);
const PLAIN_MS: u64 = 40;
/// Longest wait at the end for engines to release all streams.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(15);
/// Time between checks of the engines.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

fn main() -> ExitCode {
    let is_daemon = std::env::args().any(|argument| argument == "--settings");
    if is_daemon { run_daemon() } else { task::block_on(run_fleet()) }
}

fn run_daemon() -> ExitCode {
    match turmericrail::run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("turmericrail: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run_fleet() -> ExitCode {
    let executable = std::env::current_exe().expect("an example knows its own path");
    let data_centres = BTreeMap::from([("dakar-1".to_owned(), 2), ("dakar-2".to_owned(), 2)]);
    let plan = FleetPlan { data_centres, ..FleetPlan::small(executable, "local-fleet") };
    let mut fleet = Fleet::start(plan).await.expect("loopback ports are free");
    for plain in fleet.plain.values() {
        plain.state().delay_ms = PLAIN_MS;
    }
    print_fleet(&fleet);
    let addresses = Arc::new(InstanceAddresses::new(&fleet));
    let callers = start_callers(&addresses);
    task::sleep(KILL_AFTER).await;
    let killed = &mut fleet.instances[0];
    killed.kill();
    println!("{:>5.1} s  killed instance {}", KILL_AFTER.as_secs_f64(), killed.id);
    let mut tally = Tally::default();
    for caller in callers {
        tally.add(caller.await);
    }
    let held = wait_until_released(&fleet).await;
    let _ = std::fs::remove_dir_all(&fleet.plan.folder);
    tally.check_executions(&fleet);
    println!("\n{tally}");
    println!("{}", tally.summary(held));
    ExitCode::from(u8::from(tally.has_failures() || held > 0))
}

fn print_fleet(fleet: &Fleet) {
    for instance in &fleet.instances {
        println!(
            "instance {:<10} in {:<8} callers at {}",
            instance.id, instance.data_centre, instance.caller_address
        );
    }
    let engines = fleet.prefill.len() + fleet.decode.len();
    println!("{engines} engines, {} plain services, seed {SEED}\n", fleet.plain.len());
}

fn start_callers(addresses: &Arc<InstanceAddresses>) -> Vec<task::JoinHandle<Tally>> {
    let until = Instant::now() + RUN_DURATION;
    let mut callers = Vec::new();
    for kind in Kind::ALL {
        for number in 0..kind.callers() {
            let caller = Caller::new(Arc::clone(addresses), kind, number, SEED);
            callers.push(task::spawn(caller.run(until)));
        }
    }
    callers
}

/// Waits until no engine holds a stream; returns how many streams are still held.
async fn wait_until_released(fleet: &Fleet) -> usize {
    let until = Instant::now() + RELEASE_TIMEOUT;
    loop {
        let engines = fleet.prefill.values().chain(fleet.decode.values());
        let held = engines.map(|engine| engine.state().streams.len()).sum();
        if held == 0 || Instant::now() >= until {
            return held;
        }
        task::sleep(CHECK_INTERVAL).await;
    }
}
