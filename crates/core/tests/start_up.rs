//! Readiness of a new instance: it accepts no work before it has learned whether its peers know a
//! newer version of the configuration.

use std::collections::BTreeMap;

use serde_json::json;
use turmericrail_core::at_most_once::SealKey;
use turmericrail_core::event::{Event, Now};
use turmericrail_core::ids::{ConfigVersion, Incarnation, InstanceId};
use turmericrail_core::membership::{ListedInstance, ListedState};
use turmericrail_core::message::{Envelope, PeerMessage};
use turmericrail_core::node::{Node, NodeSettings};
use turmericrail_core::report::Holder;
use turmericrail_core::units::{Millis, WallMillis};

const TICK_MS: u64 = 50;
/// Time within which a version must be in force at every reachable instance.
const CONFIG_IN_FORCE_WITHIN_MS: u64 = 8_000;

struct Simulation {
    node: Node,
    now_ms: u64,
}

impl Simulation {
    fn start() -> Self {
        let settings = NodeSettings {
            instance: "i1".parse().unwrap(),
            incarnation: Incarnation(2),
            data_centre: "a".parse().unwrap(),
            peer_address: "127.0.0.1:9".parse().unwrap(),
            seal_key: SealKey::for_run("0123456789abcdef", 1),
        };
        Self { node: Node::new(settings), now_ms: 0 }
    }

    fn handle(&mut self, event: Event) {
        self.now_ms += 1;
        let now = Now { monotonic_ms: Millis(self.now_ms), wall_ms: WallMillis(self.now_ms) };
        self.node.handle(now, event);
    }

    fn receive_document(&mut self, version: u64) {
        let document = json!({"version": version});
        self.handle(Event::ConfigDocument(ConfigVersion(version), document));
    }

    fn receive_instance_list(&mut self, instances: &[&str]) {
        let listed: BTreeMap<InstanceId, ListedInstance> = instances
            .iter()
            .map(|instance| {
                let entry = ListedInstance {
                    data_centre: "a".parse().unwrap(),
                    peer_address: "127.0.0.1:8".parse().unwrap(),
                    state: ListedState::Live,
                };
                (instance.parse().unwrap(), entry)
            })
            .collect();
        self.handle(Event::InstanceList(listed));
    }

    fn receive_peer_version(&mut self, version: u64) {
        let from = Holder { instance: "i2".parse().unwrap(), incarnation: Incarnation(1) };
        let config_version = ConfigVersion(version);
        self.handle(Event::Peer(Envelope {
            from,
            config_version,
            message: PeerMessage::Keepalive,
        }));
    }

    /// Advances the time until the instance is ready, for at most `time_ms`; returns whether it is.
    fn is_ready_within(&mut self, time_ms: u64) -> bool {
        let end_ms = self.now_ms + time_ms;
        while self.now_ms < end_ms {
            if self.node.is_ready() {
                return true;
            }
            self.now_ms += TICK_MS - 1;
            self.handle(Event::Tick);
        }
        self.node.is_ready()
    }
}

#[test]
fn late_instance_list() {
    let mut simulation = Simulation::start();
    simulation.receive_document(1);
    assert!(
        !simulation.is_ready_within(CONFIG_IN_FORCE_WITHIN_MS),
        "ready before it read the instance list"
    );
    simulation.receive_instance_list(&["i1"]);
    assert!(simulation.node.is_ready());
}

#[test]
fn slow_peers() {
    let mut simulation = Simulation::start();
    simulation.receive_instance_list(&["i1", "i2"]);
    simulation.receive_document(1);
    assert!(
        !simulation.is_ready_within(CONFIG_IN_FORCE_WITHIN_MS),
        "ready while peers may know a newer version"
    );
    simulation.receive_peer_version(2);
    assert!(!simulation.is_ready_within(200), "ready with an outdated version");
    simulation.receive_document(2);
    assert!(simulation.node.is_ready());
}

#[test]
fn unreachable_peers() {
    let mut simulation = Simulation::start();
    simulation.receive_instance_list(&["i1", "i2"]);
    simulation.receive_document(1);
    assert!(
        simulation.is_ready_within(2 * CONFIG_IN_FORCE_WITHIN_MS),
        "an instance cut off from its peers becomes ready"
    );
}
