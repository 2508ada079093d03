//! Short soak test with faults and fixed seeds. The example of the same name runs longer ones.

#[path = "../examples/fault_soak/call_counts.rs"]
mod call_counts;
#[path = "../examples/fault_soak/callers.rs"]
mod callers;
#[path = "../examples/fault_soak/checks.rs"]
mod checks;
#[path = "../examples/fault_soak/crowd.rs"]
mod crowd;
#[path = "../examples/fault_soak/fault.rs"]
mod fault;
#[path = "../examples/fault_soak/fault_run.rs"]
mod fault_run;
#[path = "../examples/fault_soak/instance.rs"]
mod instance;

use std::time::{Duration, Instant};

use instance::Programs;
use turmericrail_fakes::registered::Behaviour;

/// Time after which no new episode of faults begins.
const DURATION: Duration = Duration::from_secs(8);

fn soak(seed: u64, answer_faults: &[Behaviour]) {
    let own = env!("CARGO_BIN_EXE_turmericrail").into();
    let programs = Programs { own, earlier: None };
    let totals = fault_run::run(programs, seed, 3, Instant::now() + DURATION, answer_faults);
    assert!(totals.requests > 0 && totals.faults > 0);
    assert!(totals.violations.is_empty(), "{:?}", totals.violations);
}

/// Guards against calls to a removed server after the store watches of all three instances have
/// died without an error: the calls went on until another instance announced the removal.
#[test]
fn silent_watches() {
    soak(3, &[]);
}

/// Guards against answers that are passed on as whole although they stop before their end, beside
/// other faults.
#[test]
fn unfinished_answers() {
    soak(1, &fault::ANSWER_FAULTS);
}
