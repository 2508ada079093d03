//! Mixes of faults and their injection.

use turmericrail_core::event::Event;

use super::delivery::Delivery;
use super::{INSTANCE_COUNT, Simulation, config_event, document};

/// Probabilities of faults. Those up to `lost_after_execution_per_mille` are drawn for each message,
/// call or instance list, `clock_back_per_mille` for each start of an instance, the others for each
/// new booking.
#[derive(Clone, Copy, Debug, Default)]
pub struct FaultMix {
    pub name: &'static str,
    pub loss_per_mille: u64,
    pub duplication_per_mille: u64,
    pub long_delay_per_mille: u64,
    pub stale_list_per_mille: u64,
    pub server_down_per_mille: u64,
    pub lost_before_execution_per_mille: u64,
    pub lost_after_execution_per_mille: u64,
    pub crash_per_mille: u64,
    pub clock_back_per_mille: u64,
    pub shutdown_per_mille: u64,
    pub pause_per_mille: u64,
    pub partition_per_mille: u64,
    pub config_change_per_mille: u64,
}

impl FaultMix {
    pub fn all() -> Vec<FaultMix> {
        let none = FaultMix::default();
        vec![
            FaultMix { name: "none", ..none },
            FaultMix { name: "loss", loss_per_mille: 50, long_delay_per_mille: 100, ..none },
            FaultMix {
                name: "duplication",
                duplication_per_mille: 200,
                long_delay_per_mille: 300,
                ..none
            },
            FaultMix { name: "old_list", stale_list_per_mille: 500, ..none },
            FaultMix { name: "crash", crash_per_mille: 20, long_delay_per_mille: 200, ..none },
            FaultMix {
                name: "clock_back",
                crash_per_mille: 20,
                clock_back_per_mille: 1_000,
                long_delay_per_mille: 200,
                ..none
            },
            FaultMix {
                name: "shutdown",
                shutdown_per_mille: 20,
                long_delay_per_mille: 200,
                ..none
            },
            FaultMix { name: "pause", pause_per_mille: 30, long_delay_per_mille: 50, ..none },
            FaultMix { name: "partition", partition_per_mille: 30, ..none },
            FaultMix { name: "server_down", server_down_per_mille: 300, ..none },
            FaultMix {
                name: "cut_call",
                lost_before_execution_per_mille: 50,
                lost_after_execution_per_mille: 50,
                ..none
            },
            FaultMix { name: "config_change", config_change_per_mille: 50, ..none },
            FaultMix {
                name: "all",
                loss_per_mille: 20,
                duplication_per_mille: 50,
                long_delay_per_mille: 100,
                stale_list_per_mille: 200,
                server_down_per_mille: 150,
                lost_before_execution_per_mille: 20,
                lost_after_execution_per_mille: 20,
                crash_per_mille: 10,
                clock_back_per_mille: 100,
                shutdown_per_mille: 10,
                pause_per_mille: 20,
                partition_per_mille: 15,
                config_change_per_mille: 20,
            },
        ]
    }
}

impl Simulation {
    pub(super) fn inject_faults(&mut self) {
        let instance = self.random.below(INSTANCE_COUNT) as usize;
        let is_up = self.instances[instance].node.is_some();
        if is_up && self.random.chance_per_mille(self.mix.crash_per_mille) {
            self.crash_instance(instance);
        } else if is_up && self.random.chance_per_mille(self.mix.shutdown_per_mille) {
            let incarnation = self.instances[instance].incarnation;
            self.schedule(1, Delivery::ToNode(instance, incarnation, Event::Shutdown));
        } else if self.random.chance_per_mille(self.mix.pause_per_mille) {
            self.instances[instance].paused_until_ms =
                self.now_ms + 500 + self.random.below(1_000) * 8;
        }
        if self.random.chance_per_mille(self.mix.partition_per_mille) {
            self.is_partitioned = !self.is_partitioned;
        }
        if self.mix.stale_list_per_mille > 0 && self.random.chance_per_mille(100) {
            let list = Event::InstanceList(self.instance_list());
            let incarnation = self.instances[instance].incarnation;
            self.schedule(1, Delivery::ToNode(instance, incarnation, list));
        }
        if self.random.chance_per_mille(self.mix.config_change_per_mille) {
            self.change_config();
        }
    }

    pub(super) fn end_faults(&mut self) {
        self.is_partitioned = false;
        let name = self.mix.name;
        self.mix = FaultMix { name, ..FaultMix::default() };
    }

    /// Publishes a new configuration version, which reaches each instance after a random delay.
    fn change_config(&mut self) {
        self.config_version += 1;
        let has_route = self.random.chance_per_mille(800);
        let is_idempotent = self.random.chance_per_mille(200);
        let servers = 1 + self.random.below(3);
        self.documents.push(document(self.config_version, has_route, is_idempotent, servers));
        for instance in 0..INSTANCE_COUNT as usize {
            let event = config_event(&self.documents, self.config_version);
            let incarnation = self.instances[instance].incarnation;
            let delay_ms = self.random.below(1_000) * 4;
            self.schedule(delay_ms, Delivery::ToNode(instance, incarnation, event));
        }
    }
}
