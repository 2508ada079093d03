//! When a new instance takes work: not before it heard whether peers know a newer version.

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
/// Within it a version must be in force everywhere reachable.
const CONFIG_BOUND_MS: u64 = 8_000;

struct World {
    node: Node,
    now_ms: u64,
}

impl World {
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

    fn tell(&mut self, event: Event) {
        self.now_ms += 1;
        let now = Now { mono_ms: Millis(self.now_ms), wall_ms: WallMillis(self.now_ms) };
        self.node.handle(now, event);
    }

    fn tell_document(&mut self, version: u64) {
        let document = json!({"version": version});
        self.tell(Event::ConfigDocument(ConfigVersion(version), document));
    }

    fn tell_list(&mut self, instances: &[&str]) {
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
        self.tell(Event::InstanceList(listed));
    }

    fn hear(&mut self, version: u64) {
        let from = Holder { instance: "i2".parse().unwrap(), incarnation: Incarnation(1) };
        let config_version = ConfigVersion(version);
        self.tell(Event::Peer(Envelope { from, config_version, message: PeerMessage::Keepalive }));
    }

    /// Whether it is ready at any moment of the time given.
    fn is_ready_within(&mut self, for_ms: u64) -> bool {
        let until_ms = self.now_ms + for_ms;
        while self.now_ms < until_ms {
            if self.node.is_ready() {
                return true;
            }
            self.now_ms += TICK_MS - 1;
            self.tell(Event::Tick);
        }
        self.node.is_ready()
    }
}

#[test]
fn list_comes_late() {
    let mut world = World::start();
    world.tell_document(1);
    assert!(!world.is_ready_within(CONFIG_BOUND_MS), "took work before it read the list");
    world.tell_list(&["i1"]);
    assert!(world.node.is_ready());
}

#[test]
fn slow_peers() {
    let mut world = World::start();
    world.tell_list(&["i1", "i2"]);
    world.tell_document(1);
    assert!(!world.is_ready_within(CONFIG_BOUND_MS), "went on alone while peers may know more");
    world.hear(2);
    assert!(!world.is_ready_within(200), "took work with an older version");
    world.tell_document(2);
    assert!(world.node.is_ready());
}

#[test]
fn peers_gone() {
    let mut world = World::start();
    world.tell_list(&["i1", "i2"]);
    world.tell_document(1);
    assert!(world.is_ready_within(2 * CONFIG_BOUND_MS), "a cut-off instance serves what it can");
}
