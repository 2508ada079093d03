//! Simulation of a rejected design for at-most-once calls: callers choose the idempotency keys, and
//! rendezvous hashing over the platform's instance list assigns each key to one instance, its home.
//!
//! The home executes a key only if every list that it used within the horizon made it the home, so
//! that it would know of an earlier copy; otherwise it refuses. For each mix of faults the program
//! counts the keys that were executed twice nevertheless and those that were never executed. See
//! docs/design/at-most-once.md for the design that was chosen.

use std::collections::{BTreeMap, BTreeSet};

use quickcheck::Gen;
use turmericrail_core::ids::InstanceId;
use turmericrail_core::membership::rendezvous;

const INSTANCE_COUNT: usize = 9;
const KEY_COUNT: u64 = 3_000;
const KEY_INTERVAL_MS: u64 = 100;
const HORIZON_MS: u64 = 20_000;
const LIST_READ_INTERVAL_MS: u64 = 1_000;
const FAILURE_DETECTION_MS: u64 = 3_000;
const SEED_COUNT: u64 = 10;

/// Faults drawn with each new key, and how long they last.
#[derive(Clone, Copy, Default)]
struct FaultMix {
    name: &'static str,
    restart_per_mille: u64,
    pause_per_mille: u64,
    pause_ms: u64,
    stale_list_per_mille: u64,
    stale_ms: u64,
    late_copy_per_mille: u64,
}

#[derive(Clone, Default)]
struct Instance {
    started_ms: u64,
    paused_until_ms: u64,
    stale_list_until_ms: u64,
    lists: Vec<(u64, BTreeSet<usize>)>,
    executed_keys: BTreeSet<u64>,
}

#[derive(Clone, Copy)]
enum Event {
    Copy { index: usize, key: u64, is_forwarded: bool },
    Execute { index: usize, run_started_ms: u64, key: u64 },
    ReadList(usize),
}

struct Simulation {
    mix: FaultMix,
    random: Gen,
    per_mille_values: Vec<u64>,
    now_ms: u64,
    instances: Vec<Instance>,
    queue: BTreeMap<(u64, u64), Event>,
    last_sequence_number: u64,
    executions: BTreeMap<u64, u64>,
}

impl Simulation {
    fn new(mix: FaultMix, seed: u64) -> Self {
        let mut simulation = Self {
            mix,
            random: Gen::from_size_and_seed(100, seed),
            per_mille_values: (0..1_000).collect(),
            now_ms: 0,
            instances: vec![Instance::default(); INSTANCE_COUNT],
            queue: BTreeMap::new(),
            last_sequence_number: 0,
            executions: BTreeMap::new(),
        };
        for index in 0..INSTANCE_COUNT {
            simulation.schedule(0, Event::ReadList(index));
        }
        simulation
    }

    fn next_per_mille(&mut self) -> u64 {
        *self.random.choose(&self.per_mille_values).expect("there are a thousand numbers")
    }

    fn random_instance(&mut self) -> usize {
        self.next_per_mille() as usize * INSTANCE_COUNT / 1_000
    }

    fn schedule(&mut self, delay_ms: u64, event: Event) {
        self.last_sequence_number += 1;
        self.queue.insert((self.now_ms + delay_ms, self.last_sequence_number), event);
    }

    fn run(&mut self) {
        self.advance(HORIZON_MS + FAILURE_DETECTION_MS);
        for key in 0..KEY_COUNT {
            self.inject_faults();
            for copy in 0..2 {
                let index = self.random_instance();
                let is_late = copy == 1 && self.next_per_mille() < self.mix.late_copy_per_mille;
                let delay_ms =
                    if is_late { HORIZON_MS + 10_000 } else { self.next_per_mille() * 5 };
                self.schedule(delay_ms, Event::Copy { index, key, is_forwarded: false });
            }
            self.advance(KEY_INTERVAL_MS);
        }
        self.advance(4 * HORIZON_MS);
    }

    fn advance(&mut self, span_ms: u64) {
        let until_ms = self.now_ms + span_ms;
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > until_ms {
                break;
            }
            let ((at_ms, _), event) = entry.remove_entry();
            self.now_ms = at_ms;
            self.handle(event);
        }
        self.now_ms = until_ms;
    }

    fn inject_faults(&mut self) {
        let index = self.random_instance();
        let now_ms = self.now_ms;
        if self.next_per_mille() < self.mix.restart_per_mille {
            let started_ms = now_ms + 5_000;
            self.instances[index] =
                Instance { started_ms, paused_until_ms: started_ms, ..Instance::default() };
        }
        if self.next_per_mille() < self.mix.pause_per_mille {
            self.instances[index].paused_until_ms = now_ms + self.mix.pause_ms;
        }
        if self.next_per_mille() < self.mix.stale_list_per_mille {
            self.instances[index].stale_list_until_ms = now_ms + self.mix.stale_ms;
        }
    }

    fn handle(&mut self, event: Event) {
        let (Event::Copy { index, .. } | Event::Execute { index, .. } | Event::ReadList(index)) =
            event;
        let instance = &self.instances[index];
        if self.now_ms < instance.paused_until_ms {
            self.schedule(instance.paused_until_ms - self.now_ms, event);
            return;
        }
        match event {
            Event::ReadList(index) => self.read_list(index),
            Event::Copy { index, key, is_forwarded } => self.handle_copy(index, key, is_forwarded),
            Event::Execute { index, run_started_ms, key }
                if self.instances[index].started_ms == run_started_ms =>
            {
                *self.executions.entry(key).or_default() += 1;
            }
            Event::Execute { .. } => {}
        }
    }

    /// Reads the platform's list, which leaves out instances that were down or paused for longer than
    /// the platform takes to detect it.
    fn read_list(&mut self, index: usize) {
        self.schedule(LIST_READ_INTERVAL_MS, Event::ReadList(index));
        if self.now_ms < self.instances[index].stale_list_until_ms {
            return;
        }
        let now_ms = self.now_ms;
        let is_listed = |index: &usize| {
            let instance = &self.instances[*index];
            instance.paused_until_ms.max(instance.started_ms) <= now_ms + FAILURE_DETECTION_MS
        };
        let list: BTreeSet<_> = (0..INSTANCE_COUNT).filter(is_listed).collect();
        let instance = &mut self.instances[index];
        if instance.lists.last().is_none_or(|(_, last)| *last != list) {
            instance.lists.push((now_ms, list));
        }
    }

    fn home(list: &BTreeSet<usize>, key: u64) -> Option<usize> {
        let name = |index: &usize| -> InstanceId { format!("i-{index}").parse().expect("valid") };
        let names: Vec<_> = list.iter().map(name).collect();
        let owner = rendezvous::owner(&key.to_string(), &names)?;
        list.iter().copied().find(|index| name(index) == *owner)
    }

    fn handle_copy(&mut self, index: usize, key: u64, is_forwarded: bool) {
        let instance = &self.instances[index];
        let Some((_, list)) = instance.lists.last() else {
            return;
        };
        let Some(home) = Self::home(list, key) else {
            return;
        };
        if home != index {
            if !is_forwarded && self.now_ms >= self.instances[home].started_ms {
                self.schedule(2, Event::Copy { index: home, key, is_forwarded: true });
            }
            return;
        }
        if instance.executed_keys.contains(&key) || !self.was_home_throughout_horizon(index, key) {
            return;
        }
        let run_started_ms = instance.started_ms;
        self.instances[index].executed_keys.insert(key);
        self.schedule(1, Event::Execute { index, run_started_ms, key });
    }

    /// Whether every list that this instance used within the horizon made it the home of the key.
    fn was_home_throughout_horizon(&self, index: usize, key: u64) -> bool {
        let instance = &self.instances[index];
        let horizon_start_ms = self.now_ms.saturating_sub(HORIZON_MS);
        let first_ms = instance.lists.first().map_or(u64::MAX, |(since_ms, _)| *since_ms);
        if first_ms > horizon_start_ms {
            return false;
        }
        let ends = instance.lists.iter().skip(1).map(|(since_ms, _)| *since_ms);
        let ends = ends.chain(std::iter::once(u64::MAX));
        let mut recent =
            instance.lists.iter().zip(ends).filter(|(_, end_ms)| *end_ms > horizon_start_ms);
        recent.all(|((_, list), _)| Self::home(list, key) == Some(index))
    }
}

fn fault_mixes() -> Vec<FaultMix> {
    let none = FaultMix::default();
    vec![
        FaultMix { name: "none", ..none },
        FaultMix { name: "restart", restart_per_mille: 5, ..none },
        FaultMix {
            name: "restart, late copy",
            restart_per_mille: 5,
            late_copy_per_mille: 50,
            ..none
        },
        FaultMix { name: "pause within horizon", pause_per_mille: 10, pause_ms: 10_000, ..none },
        FaultMix { name: "pause past horizon", pause_per_mille: 10, pause_ms: 60_000, ..none },
        FaultMix {
            name: "restart, old list",
            restart_per_mille: 5,
            stale_list_per_mille: 5,
            stale_ms: 60_000,
            ..none
        },
    ]
}

fn main() {
    println!("mix, keys, executed twice, never executed");
    for mix in fault_mixes() {
        let (mut executed_twice, mut never_executed) = (0, 0);
        for seed in 1..=SEED_COUNT {
            let mut simulation = Simulation::new(mix, seed);
            simulation.run();
            executed_twice +=
                simulation.executions.values().filter(|count| **count > 1).count() as u64;
            never_executed += KEY_COUNT - simulation.executions.len() as u64;
        }
        println!("{}, {}, {executed_twice}, {never_executed}", mix.name, KEY_COUNT * SEED_COUNT);
    }
}
