//! Fault mixes and their injection.

use turmericrail_core::event::Event;

use super::network::Delivery;
use super::{SLOTS, World, config_event, document};

/// Probabilities in thousandths: the first group for each message or call, the second for each
/// new booking.
#[derive(Clone, Copy, Debug, Default)]
pub struct FaultMix {
    pub name: &'static str,
    pub loss: u64,
    pub duplication: u64,
    pub late: u64,
    pub old_list: u64,
    pub server_down: u64,
    pub cut_before_run: u64,
    pub cut_after_run: u64,
    pub crash: u64,
    pub clock_back: u64,
    pub shutdown: u64,
    pub pause: u64,
    pub partition: u64,
    pub config_change: u64,
}

impl FaultMix {
    pub fn all() -> Vec<FaultMix> {
        let none = FaultMix::default();
        vec![
            FaultMix { name: "none", ..none },
            FaultMix { name: "loss", loss: 50, late: 100, ..none },
            FaultMix { name: "duplication", duplication: 200, late: 300, ..none },
            FaultMix { name: "old_list", old_list: 500, ..none },
            FaultMix { name: "crash", crash: 20, late: 200, ..none },
            FaultMix { name: "clock_back", crash: 20, clock_back: 1_000, late: 200, ..none },
            FaultMix { name: "shutdown", shutdown: 20, late: 200, ..none },
            FaultMix { name: "pause", pause: 30, late: 50, ..none },
            FaultMix { name: "partition", partition: 30, ..none },
            FaultMix { name: "server_down", server_down: 300, ..none },
            FaultMix { name: "cut_call", cut_before_run: 50, cut_after_run: 50, ..none },
            FaultMix { name: "config_change", config_change: 50, ..none },
            FaultMix {
                name: "all",
                loss: 20,
                duplication: 50,
                late: 100,
                old_list: 200,
                server_down: 150,
                cut_before_run: 20,
                cut_after_run: 20,
                crash: 10,
                clock_back: 100,
                shutdown: 10,
                pause: 20,
                partition: 15,
                config_change: 20,
            },
        ]
    }
}

impl World {
    pub(super) fn inject_faults(&mut self) {
        let slot = self.dice.below(SLOTS) as usize;
        let is_up = self.slots[slot].node.is_some();
        if is_up && self.dice.happens(self.mix.crash) {
            self.crash_slot(slot);
        } else if is_up && self.dice.happens(self.mix.shutdown) {
            let incarnation = self.slots[slot].incarnation;
            self.later(1, Delivery::ToNode(slot, incarnation, Event::Shutdown));
        } else if self.dice.happens(self.mix.pause) {
            self.slots[slot].paused_until_ms = self.now_ms + 500 + self.dice.below(1_000) * 8;
        }
        if self.dice.happens(self.mix.partition) {
            self.is_partitioned = !self.is_partitioned;
        }
        if self.mix.old_list > 0 && self.dice.happens(100) {
            let list = Event::InstanceList(self.instance_list());
            let incarnation = self.slots[slot].incarnation;
            self.later(1, Delivery::ToNode(slot, incarnation, list));
        }
        if self.dice.happens(self.mix.config_change) {
            self.change_config();
        }
    }

    pub(super) fn end_faults(&mut self) {
        self.is_partitioned = false;
        let name = self.mix.name;
        self.mix = FaultMix { name, ..FaultMix::default() };
    }

    /// A new version reaches each instance at its own time.
    fn change_config(&mut self) {
        self.config_version += 1;
        let has_route = self.dice.happens(800);
        let is_idempotent = self.dice.happens(200);
        let servers = 1 + self.dice.below(3);
        self.documents.push(document(self.config_version, has_route, is_idempotent, servers));
        for slot in 0..SLOTS as usize {
            let event = config_event(&self.documents, self.config_version);
            let incarnation = self.slots[slot].incarnation;
            let delay_ms = self.dice.below(1_000) * 4;
            self.later(delay_ms, Delivery::ToNode(slot, incarnation, event));
        }
    }
}
