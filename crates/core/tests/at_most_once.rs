//! Calls with tickets under random faults: each booking is executed at most once, and no call that
//! ran is answered `not_run`.
//!
//! Guards against duplicate bookings, which come about when copies of a call reach several
//! instances, or when a caller takes a new ticket after a wrong `not_run`.

mod booking_simulation;

use booking_simulation::{FaultMix, Simulation, Tally};

/// Bookings made in one run.
const BOOKINGS_PER_RUN: u64 = 150;
/// Runs of each fault mix, each with its own seed.
const SEED_COUNT: u64 = 10;
/// Environment variable that overrides `SEED_COUNT`.
const SEED_COUNT_VARIABLE: &str = "TURMERICRAIL_SEEDS";

fn seed_count() -> u64 {
    let value = std::env::var(SEED_COUNT_VARIABLE).ok();
    value.map_or(SEED_COUNT, |value| value.parse().expect("the number of runs is an integer"))
}

#[test]
fn random_faults() {
    println!("mix bookings executed completed not_run unknown_executed unknown_idle no_answer");
    for mix in FaultMix::all() {
        let mut sum = Tally::default();
        for seed in 1..=seed_count() {
            println!("running mix={} seed={seed}", mix.name);
            add(&mut sum, Simulation::new(seed, mix).run(BOOKINGS_PER_RUN));
        }
        println!(
            "{} {} {} {} {} {} {} {}",
            mix.name,
            sum.bookings,
            sum.executed,
            sum.answered_completed,
            sum.answered_not_run,
            sum.unknown_executed,
            sum.unknown_not_executed,
            sum.unanswered,
        );
        if mix.name == "none" {
            assert_eq!(
                sum.answered_completed, sum.bookings,
                "a call was refused although there were no faults"
            );
        }
    }
}

fn add(sum: &mut Tally, tally: Tally) {
    sum.bookings += tally.bookings;
    sum.executed += tally.executed;
    sum.answered_completed += tally.answered_completed;
    sum.answered_not_run += tally.answered_not_run;
    sum.unknown_executed += tally.unknown_executed;
    sum.unknown_not_executed += tally.unknown_not_executed;
    sum.unanswered += tally.unanswered;
}
