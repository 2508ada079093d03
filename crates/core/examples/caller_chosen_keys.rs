//! Model of a way that was not taken: keys chosen by callers, one home for each key by hashing.
//!
//! The home of a key is its rendezvous owner in the platform's list. It runs a key only when each
//! list that it had during the last horizon made it the home, so that it would know of an earlier
//! copy; else it refuses. The program counts keys that were executed twice all the same, for each
//! mix of faults, and keys that were refused without need. See docs/design/at-most-once.md.

use std::collections::{BTreeMap, BTreeSet};

use quickcheck::Gen;
use turmericrail_core::ids::InstanceId;
use turmericrail_core::membership::rendezvous;

const INSTANCES: usize = 9;
const KEYS: u64 = 3_000;
const KEY_STEP_MS: u64 = 100;
const HORIZON_MS: u64 = 20_000;
const LIST_STEP_MS: u64 = 1_000;
const DETECTION_MS: u64 = 3_000;
const SEEDS: u64 = 10;

/// Probabilities in thousandths for each new key, and lengths.
#[derive(Clone, Copy, Default)]
struct Mix {
    name: &'static str,
    restart: u64,
    pause: u64,
    pause_ms: u64,
    stale_list: u64,
    stale_ms: u64,
    late_copy: u64,
}

#[derive(Clone, Default)]
struct Instance {
    up_from_ms: u64,
    awake_from_ms: u64,
    list_from_ms: u64,
    lists: Vec<(u64, BTreeSet<usize>)>,
    known: BTreeSet<u64>,
}

#[derive(Clone, Copy)]
enum Step {
    Copy { at: usize, key: u64, is_forwarded: bool },
    Write { at: usize, run_ms: u64, key: u64 },
    ReadList(usize),
}

struct Model {
    mix: Mix,
    dice: Gen,
    per_mille: Vec<u64>,
    now_ms: u64,
    instances: Vec<Instance>,
    queue: BTreeMap<(u64, u64), Step>,
    next: u64,
    executions: BTreeMap<u64, u64>,
}

impl Model {
    fn new(mix: Mix, seed: u64) -> Self {
        let mut model = Self {
            mix,
            dice: Gen::from_size_and_seed(100, seed),
            per_mille: (0..1_000).collect(),
            now_ms: 0,
            instances: vec![Instance::default(); INSTANCES],
            queue: BTreeMap::new(),
            next: 0,
            executions: BTreeMap::new(),
        };
        for at in 0..INSTANCES {
            model.later(0, Step::ReadList(at));
        }
        model
    }

    fn roll(&mut self) -> u64 {
        *self.dice.choose(&self.per_mille).expect("there are a thousand numbers")
    }

    fn any_instance(&mut self) -> usize {
        self.roll() as usize * INSTANCES / 1_000
    }

    fn later(&mut self, delay_ms: u64, step: Step) {
        self.next += 1;
        self.queue.insert((self.now_ms + delay_ms, self.next), step);
    }

    fn run(&mut self) {
        self.advance(HORIZON_MS + DETECTION_MS);
        for key in 0..KEYS {
            self.inject_faults();
            for copy in 0..2 {
                let at = self.any_instance();
                let is_late = copy == 1 && self.roll() < self.mix.late_copy;
                let delay_ms = if is_late { HORIZON_MS + 10_000 } else { self.roll() * 5 };
                self.later(delay_ms, Step::Copy { at, key, is_forwarded: false });
            }
            self.advance(KEY_STEP_MS);
        }
        self.advance(4 * HORIZON_MS);
    }

    fn advance(&mut self, span_ms: u64) {
        let until_ms = self.now_ms + span_ms;
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > until_ms {
                break;
            }
            let ((at_ms, _), step) = entry.remove_entry();
            self.now_ms = at_ms;
            self.take(step);
        }
        self.now_ms = until_ms;
    }

    fn inject_faults(&mut self) {
        let at = self.any_instance();
        let now_ms = self.now_ms;
        if self.roll() < self.mix.restart {
            let up_from_ms = now_ms + 5_000;
            self.instances[at] =
                Instance { up_from_ms, awake_from_ms: up_from_ms, ..Instance::default() };
        }
        if self.roll() < self.mix.pause {
            self.instances[at].awake_from_ms = now_ms + self.mix.pause_ms;
        }
        if self.roll() < self.mix.stale_list {
            self.instances[at].list_from_ms = now_ms + self.mix.stale_ms;
        }
    }

    fn take(&mut self, step: Step) {
        let (Step::Copy { at, .. } | Step::Write { at, .. } | Step::ReadList(at)) = step;
        let instance = &self.instances[at];
        if self.now_ms < instance.awake_from_ms {
            self.later(instance.awake_from_ms - self.now_ms, step);
            return;
        }
        match step {
            Step::ReadList(at) => self.read_list(at),
            Step::Copy { at, key, is_forwarded } => self.take_copy(at, key, is_forwarded),
            Step::Write { at, run_ms, key } if self.instances[at].up_from_ms == run_ms => {
                *self.executions.entry(key).or_default() += 1;
            }
            Step::Write { .. } => {}
        }
    }

    /// The platform's list lacks who was silent for a while.
    fn read_list(&mut self, at: usize) {
        self.later(LIST_STEP_MS, Step::ReadList(at));
        if self.now_ms < self.instances[at].list_from_ms {
            return;
        }
        let now_ms = self.now_ms;
        let is_listed = |index: &usize| {
            let instance = &self.instances[*index];
            instance.awake_from_ms.max(instance.up_from_ms) <= now_ms + DETECTION_MS
        };
        let list: BTreeSet<_> = (0..INSTANCES).filter(is_listed).collect();
        let instance = &mut self.instances[at];
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

    fn take_copy(&mut self, at: usize, key: u64, is_forwarded: bool) {
        let instance = &self.instances[at];
        let Some((_, list)) = instance.lists.last() else {
            return;
        };
        let Some(home) = Self::home(list, key) else {
            return;
        };
        if home != at {
            if !is_forwarded && self.now_ms >= self.instances[home].up_from_ms {
                self.later(2, Step::Copy { at: home, key, is_forwarded: true });
            }
            return;
        }
        if instance.known.contains(&key) || !self.covers(at, key) {
            return;
        }
        let run_ms = instance.up_from_ms;
        self.instances[at].known.insert(key);
        self.later(1, Step::Write { at, run_ms, key });
    }

    /// Whether each list of the last horizon made this instance the home.
    fn covers(&self, at: usize, key: u64) -> bool {
        let instance = &self.instances[at];
        let from_ms = self.now_ms.saturating_sub(HORIZON_MS);
        let first_ms = instance.lists.first().map_or(u64::MAX, |(since_ms, _)| *since_ms);
        if first_ms > from_ms {
            return false;
        }
        let ends = instance.lists.iter().skip(1).map(|(since_ms, _)| *since_ms);
        let ends = ends.chain(std::iter::once(u64::MAX));
        let mut recent = instance.lists.iter().zip(ends).filter(|(_, end_ms)| *end_ms > from_ms);
        recent.all(|((_, list), _)| Self::home(list, key) == Some(at))
    }
}

fn mixes() -> Vec<Mix> {
    let none = Mix::default();
    vec![
        Mix { name: "none", ..none },
        Mix { name: "restart", restart: 5, ..none },
        Mix { name: "restart, late copy", restart: 5, late_copy: 50, ..none },
        Mix { name: "pause within horizon", pause: 10, pause_ms: 10_000, ..none },
        Mix { name: "pause past horizon", pause: 10, pause_ms: 60_000, ..none },
        Mix { name: "restart, old list", restart: 5, stale_list: 5, stale_ms: 60_000, ..none },
    ]
}

fn main() {
    println!("mix, keys, executed twice, never executed");
    for mix in mixes() {
        let (mut twice, mut never) = (0, 0);
        for seed in 1..=SEEDS {
            let mut model = Model::new(mix, seed);
            model.run();
            twice += model.executions.values().filter(|count| **count > 1).count() as u64;
            never += KEYS - model.executions.len() as u64;
        }
        println!("{}, {}, {twice}, {never}", mix.name, KEYS * SEEDS);
    }
}
