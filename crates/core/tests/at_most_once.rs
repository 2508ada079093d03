//! Calls with tickets are executed at most once and `not_run` is never said of what may have run.

mod once_world;

use once_world::{FaultMix, Tally, World};

/// Bookings of one run.
const BOOKINGS: u64 = 150;
/// Runs of each fault mix.
const SEEDS: u64 = 10;
/// Variable that asks for another number of runs.
const SEEDS_VARIABLE: &str = "TURMERICRAIL_SEEDS";

fn seeds() -> u64 {
    let asked = std::env::var(SEEDS_VARIABLE).ok();
    asked.map_or(SEEDS, |asked| asked.parse().expect("a number of runs"))
}

#[test]
fn random_faults() {
    println!("mix bookings executed completed not_run unknown_executed unknown_idle no_answer");
    for mix in FaultMix::all() {
        let mut sum = Tally::default();
        for seed in 1..=seeds() {
            println!("running mix={} seed={seed}", mix.name);
            add(&mut sum, World::new(seed, mix).run(BOOKINGS));
        }
        println!(
            "{} {} {} {} {} {} {} {}",
            mix.name,
            sum.bookings,
            sum.executed,
            sum.told_completed,
            sum.told_not_run,
            sum.unknown_executed,
            sum.unknown_not_executed,
            sum.never_told,
        );
        if mix.name == "none" {
            assert_eq!(sum.told_completed, sum.bookings, "a call without any fault was refused");
        }
    }
}

fn add(sum: &mut Tally, tally: Tally) {
    sum.bookings += tally.bookings;
    sum.executed += tally.executed;
    sum.told_completed += tally.told_completed;
    sum.told_not_run += tally.told_not_run;
    sum.unknown_executed += tally.unknown_executed;
    sum.unknown_not_executed += tally.unknown_not_executed;
    sum.never_told += tally.never_told;
}
