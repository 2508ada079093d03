//! Measures the time until instances know that one has died, at 5 % message loss, over several
//! seeds of the in-memory simulation.

use std::thread;

use crate::fleet::{Faults, Fleet};

/// Number of data centres, and of instances in each.
const SIZES: [(usize, usize); 3] = [(3, 3), (10, 16), (10, 32)];
const SEEDS: u64 = 12;
const CONCURRENT_SEEDS: usize = 4;
const WARM_UP_MS: u64 = 8_000;
const TIMEOUT_MS: u64 = 20_000;
/// The instance that dies; belongs to the first data centre.
const KILLED_INSTANCE: usize = 1;

/// Times after one death at which others know of it; 0 while they don't.
#[derive(Clone, Copy, Default)]
struct DetectionTimes {
    /// One instance of the same data centre.
    first_ms: u64,
    /// All instances of the same data centre.
    own_data_centre_ms: u64,
    /// All instances of one other data centre.
    first_other_data_centre_ms: u64,
    /// All instances.
    everywhere_ms: u64,
}

/// Runs the measurement and prints its table.
pub fn print() {
    println!("core alone, a death at 5 % loss, {SEEDS} seeds, median and worst in milliseconds");
    println!("instances      first         own data centre   first other whole  everywhere");
    for (data_centres, instances) in SIZES {
        print_row(data_centres, instances);
    }
    println!();
}

fn print_row(data_centres: usize, instances: usize) {
    let sizes = vec![instances; data_centres];
    let seeds: Vec<_> = (1..=SEEDS).collect();
    let mut times = Vec::new();
    for batch in seeds.chunks(CONCURRENT_SEEDS) {
        thread::scope(|scope| {
            let start = |seed: &u64| {
                let (seed, sizes) = (*seed, &sizes);
                scope.spawn(move || measure_death(seed, sizes))
            };
            let running: Vec<_> = batch.iter().map(start).collect();
            times.extend(running.into_iter().map(|run| run.join().expect("a run of the fleet")));
        });
    }
    let median_and_worst = |time: fn(&DetectionTimes) -> u64| {
        let mut values: Vec<_> = times.iter().map(time).collect();
        values.sort();
        format!("{:>6} {:>6}", values[values.len() / 2], values[values.len() - 1])
    };
    println!(
        "{:>9}  {}     {}     {}     {}",
        data_centres * instances,
        median_and_worst(|times| times.first_ms),
        median_and_worst(|times| times.own_data_centre_ms),
        median_and_worst(|times| times.first_other_data_centre_ms),
        median_and_worst(|times| times.everywhere_ms)
    );
}

fn measure_death(seed: u64, sizes: &[usize]) -> DetectionTimes {
    let mut fleet = Fleet::new(seed, sizes, 0);
    fleet.start_all();
    fleet.run_for(WARM_UP_MS);
    fleet.faults = Faults { loss_percent: 5, max_delay_ms: 20, ..Faults::default() };
    fleet.kill(KILLED_INSTANCE);
    let killed_ms = fleet.now_ms;
    let mut times = DetectionTimes::default();
    let count_knowing = |fleet: &Fleet, from: usize, count: usize| {
        let dead = &fleet.members[KILLED_INSTANCE].id;
        (from..from + count)
            .filter(|index| *index != KILLED_INSTANCE && !fleet.live_members(*index).contains(dead))
            .count()
    };
    while times.everywhere_ms == 0 && fleet.now_ms - killed_ms < TIMEOUT_MS {
        fleet.run_for(50);
        let elapsed_ms = fleet.now_ms - killed_ms;
        let own_count = count_knowing(&fleet, 0, sizes[0]);
        if own_count > 0 && times.first_ms == 0 {
            times.first_ms = elapsed_ms;
        }
        if own_count == sizes[0] - 1 && times.own_data_centre_ms == 0 {
            times.own_data_centre_ms = elapsed_ms;
        }
        let all_know_in = |data_centre: usize| {
            count_knowing(&fleet, data_centre * sizes[0], sizes[0]) == sizes[0]
        };
        let complete_data_centres =
            (1..sizes.len()).filter(|data_centre| all_know_in(*data_centre)).count();
        if complete_data_centres > 0 && times.first_other_data_centre_ms == 0 {
            times.first_other_data_centre_ms = elapsed_ms;
        }
        if complete_data_centres == sizes.len() - 1 && own_count == sizes[0] - 1 {
            times.everywhere_ms = elapsed_ms;
        }
    }
    times
}
