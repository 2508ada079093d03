//! A short soak test with faults and a fixed seed; see the example of the same name for long runs.

#[path = "../examples/fault_soak/callers.rs"]
mod callers;
#[path = "../examples/fault_soak/checks.rs"]
mod checks;
#[path = "../examples/fault_soak/fault.rs"]
mod fault;
#[path = "../examples/fault_soak/fault_run.rs"]
mod fault_run;
#[path = "../examples/fault_soak/instance.rs"]
mod instance;

use std::time::{Duration, Instant};

/// Time after which no new fault episode begins.
const DURATION: Duration = Duration::from_secs(8);

fn soak(seed: u64) {
    let program = env!("CARGO_BIN_EXE_turmericrail").into();
    let totals = fault_run::run(program, seed, 3, Instant::now() + DURATION);
    assert!(totals.requests > 0 && totals.faults > 0);
    assert!(totals.violations.is_empty(), "{:?}", totals.violations);
}

/// Guards against instances that keep sending calls to a server that has left until other instances
/// tell them of it, because their watches of the store have failed silently.
#[test]
fn silent_watches() {
    soak(3);
}
