//! A soak with faults: real forwarding instances as processes on loopback, before stand-ins, with
//! faults that overlap: `cargo run --release --example fault_soak -- --seed N --minutes M`.
//!
//! The promises are checked from what callers and servers saw. The last line gives the sums; the
//! exit code is 1 where a promise broke. The example starts itself as the instances.

mod callers;
mod checks;
mod fault;
mod instance;
mod world;

use std::process::ExitCode;
use std::time::{Duration, Instant};

use argh::FromArgs;

/// Runs forwarding instances under faults.
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
    let program = std::env::current_exe().expect("an example knows its own path");
    let end = Instant::now() + Duration::from_secs_f64(arguments.minutes * 60.0);
    let sums = world::run(program, arguments.seed, arguments.instances, end);
    println!(
        "seed={} requests={} faults={} violations={}",
        arguments.seed,
        sums.requests,
        sums.faults,
        sums.violations.len()
    );
    if sums.violations.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
