//! Time until a death is known at 5 % loss, in memory, over several seeds.

use std::thread;

use crate::fleet::{Faults, Fleet};

/// Data centres and instances in each.
const SIZES: [(usize, usize); 3] = [(3, 3), (10, 16), (10, 32)];
/// Seeds of each row.
const SEEDS: u64 = 12;
/// Seeds that run at a time.
const AT_A_TIME: usize = 4;
/// Simulated time before the death.
const SETTLE_MS: u64 = 8_000;
/// Longest time waited for.
const LIMIT_MS: u64 = 20_000;
/// The instance that dies, of the first data centre.
const DYING: usize = 1;

/// Times of one death, in milliseconds.
#[derive(Clone, Copy, Default)]
struct Times {
    /// Until the first instance of its data centre knows.
    first: u64,
    /// Until its data centre knows.
    own: u64,
    /// Until the first data centre beside its own knows.
    first_other: u64,
    /// Until all know.
    all: u64,
}

/// Prints the rows.
pub fn print() {
    println!("core alone, a death at 5 % loss, {SEEDS} seeds, median and worst in milliseconds");
    println!("instances      first         own data centre   first other whole  everywhere");
    for (data_centres, instances) in SIZES {
        row(data_centres, instances);
    }
    println!();
}

fn row(data_centres: usize, instances: usize) {
    let sizes = vec![instances; data_centres];
    let seeds: Vec<_> = (1..=SEEDS).collect();
    let mut times = Vec::new();
    for some in seeds.chunks(AT_A_TIME) {
        thread::scope(|scope| {
            let start = |seed: &u64| {
                let (seed, sizes) = (*seed, &sizes);
                scope.spawn(move || death(seed, sizes))
            };
            let running: Vec<_> = some.iter().map(start).collect();
            times.extend(running.into_iter().map(|run| run.join().expect("a run of the fleet")));
        });
    }
    let both = |time: fn(&Times) -> u64| {
        let mut values: Vec<_> = times.iter().map(time).collect();
        values.sort();
        format!("{:>6} {:>6}", values[values.len() / 2], values[values.len() - 1])
    };
    println!(
        "{:>9}  {}     {}     {}     {}",
        data_centres * instances,
        both(|times| times.first),
        both(|times| times.own),
        both(|times| times.first_other),
        both(|times| times.all)
    );
}

fn death(seed: u64, sizes: &[usize]) -> Times {
    let mut fleet = Fleet::new(seed, sizes, 0);
    fleet.start_all();
    fleet.run_for(SETTLE_MS);
    fleet.faults = Faults { loss_percent: 5, max_delay_ms: 20, ..Faults::default() };
    fleet.kill(DYING);
    let killed_ms = fleet.now_ms;
    let mut times = Times::default();
    let known_in = |fleet: &Fleet, from: usize, count: usize| {
        let dead = &fleet.members[DYING].id;
        (from..from + count)
            .filter(|index| *index != DYING && !fleet.live_members(*index).contains(dead))
            .count()
    };
    while times.all == 0 && fleet.now_ms - killed_ms < LIMIT_MS {
        fleet.run_for(50);
        let now = fleet.now_ms - killed_ms;
        let own = known_in(&fleet, 0, sizes[0]);
        if own > 0 && times.first == 0 {
            times.first = now;
        }
        if own == sizes[0] - 1 && times.own == 0 {
            times.own = now;
        }
        let is_whole = |place: usize| known_in(&fleet, place * sizes[0], sizes[0]) == sizes[0];
        let whole = (1..sizes.len()).filter(|place| is_whole(*place)).count();
        if whole > 0 && times.first_other == 0 {
            times.first_other = now;
        }
        if whole == sizes.len() - 1 && own == sizes[0] - 1 {
            times.all = now;
        }
    }
    times
}
