//! Events of a simulated fleet in the order of their times, and the messages that get lost.

use std::collections::BTreeMap;

use turmericrail_core::forward::{Member, UsageLevels, UsageReply, UsageRequest};
use turmericrail_core::ids::InstanceId;

use super::{DATA_CENTRES, Plan};
use crate::forward_support::mixed;

/// Share of messages that take long, and the longest time that they take.
const SLOW_PERMILLE: u64 = 20;
const SLOW_MS: u64 = 90;

#[derive(Clone)]
pub enum Message {
    Reserve(UsageRequest),
    Fetch(InstanceId),
}

pub enum Reply {
    Usage(UsageReply),
    Redirect(Member),
    Unable,
    Levels(UsageLevels),
}

pub enum Event {
    Demand,
    Exchange { instance: usize },
    Arrive { question: usize },
    Call { id: u64, to: usize, message: Message },
    Reply { id: u64, reply: Reply },
    Timeout { id: u64 },
    FetchEnd { instance: usize, start: u64 },
    Report { instance: usize },
    DeputyReport { instance: usize },
    KillAll,
    KillFirst,
    PauseFirst,
    Restart { instance: usize },
}

pub struct Network {
    plan: Plan,
    random: u64,
    events: BTreeMap<(u64, u64), Event>,
    event_count: u64,
    pub start_ms: u64,
    demand_us: f64,
}

impl Network {
    pub fn new(seed: u64, plan: Plan) -> Self {
        Self {
            plan,
            random: mixed(seed),
            events: BTreeMap::new(),
            event_count: 0,
            start_ms: 0,
            demand_us: 0.0,
        }
    }

    pub fn draw(&mut self, below: u64) -> u64 {
        self.random = mixed(self.random);
        (self.random >> 8) % below
    }

    pub fn add(&mut self, at_ms: u64, event: Event) {
        self.event_count += 1;
        self.events.insert((at_ms, self.event_count), event);
    }

    pub fn next(&mut self) -> Option<(u64, Event)> {
        self.events.pop_first().map(|((at_ms, _), event)| (at_ms, event))
    }

    /// Time of the next demand; several may come in one millisecond.
    pub fn next_demand(&mut self, interval_us: f64) -> u64 {
        self.demand_us += interval_us;
        self.start_ms + (self.demand_us / 1e3) as u64
    }

    pub fn is_connected(&self, now_ms: u64, one: usize, other: usize) -> bool {
        let (from_ms, until_ms) = self.plan.partition_ms;
        let elapsed_ms = now_ms.saturating_sub(self.start_ms);
        let is_cut = from_ms <= elapsed_ms && elapsed_ms < until_ms;
        let is_last = |number: usize| number % DATA_CENTRES == DATA_CENTRES - 1;
        !is_cut || is_last(one) == is_last(other)
    }

    /// Times at which a message arrives: none if it is lost, two if it is repeated.
    pub fn deliveries(&mut self, now_ms: u64, from: usize, to: usize) -> Vec<u64> {
        if !self.is_connected(now_ms, from, to) || self.draw(1_000) < self.plan.lost_permille {
            return Vec::new();
        }
        let mut delay_ms = 1 + self.draw(2);
        if self.plan.lost_permille > 0 && self.draw(1_000) < SLOW_PERMILLE {
            delay_ms += self.draw(SLOW_MS);
        }
        let mut deliveries = vec![now_ms + delay_ms];
        if self.draw(1_000) < self.plan.repeated_permille {
            deliveries.push(now_ms + delay_ms + self.draw(SLOW_MS));
        }
        deliveries
    }
}
