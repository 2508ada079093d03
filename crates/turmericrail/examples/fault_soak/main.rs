//! Soak test with overlapping faults: `cargo run --release --example fault_soak -- --seed N
//! --minutes M`.
//!
//! Real forwarding instances run as processes on loopback between test callers and fake servers.
//! The router's guarantees are checked against what callers and servers saw. The last line gives
//! the totals; the exit code is 1 if a guarantee was violated. The instances run this same
//! executable, which acts as the daemon when called with `--forward`.

mod call_counts;
mod callers;
mod checks;
mod crowd;
mod fault;
mod fault_run;
mod instance;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use argh::FromArgs;
use instance::Programs;

/// Runs forwarding instances under injected faults.
#[derive(FromArgs)]
struct Arguments {
    /// seed of the faults and requests
    #[argh(option, default = "1")]
    seed: u64,

    /// length of the run in minutes
    #[argh(option, default = "1.0")]
    minutes: f64,

    /// number of instances
    #[argh(option, default = "4")]
    instances: usize,

    /// program of an earlier version that every other instance runs
    #[argh(option)]
    earlier: Option<PathBuf>,
}

fn main() -> ExitCode {
    if std::env::args().any(|argument| argument == "--forward") {
        return match turmericrail::run() {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("turmericrail: {error}");
                ExitCode::FAILURE
            }
        };
    }
    let arguments: Arguments = argh::from_env();
    let own = std::env::current_exe().expect("an example knows its own path");
    let programs = Programs { own, earlier: arguments.earlier };
    let end = Instant::now() + Duration::from_secs_f64(arguments.minutes * 60.0);
    let answer_faults = &fault::ANSWER_FAULTS;
    let totals = fault_run::run(programs, arguments.seed, arguments.instances, end, answer_faults);
    println!(
        "seed={} requests={} faults={} violations={}",
        arguments.seed,
        totals.requests,
        totals.faults,
        totals.violations.len()
    );
    if totals.violations.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
