//! Heartbeats and the digests of load that they carry.

use std::collections::BTreeMap;

use crate::ids::ServerId;
use crate::membership::{Heartbeat, ServerLoad};
use crate::message::PeerMessage;
use crate::node::{KnownLoad, Node};
use crate::units::Millis;

/// Time between heartbeats.
pub const BEAT_MS: Millis = Millis(500);

impl Node {
    pub(super) fn beat(&mut self) {
        if self.now.mono_ms < self.next_beat_ms {
            return;
        }
        self.next_beat_ms = self.now.mono_ms + BEAT_MS;
        let members = self.members.beat(self.now.mono_ms);
        let heartbeat = Heartbeat {
            from: self.members.own_holder(),
            config_version: self.config.version(),
            members,
            loads: self.owned_loads(),
        };
        let peers: Vec<_> = self.members.peers().into_keys().collect();
        for peer in peers {
            self.send(&peer, PeerMessage::Heartbeat(heartbeat.clone()));
        }
    }

    pub(super) fn take_heartbeat(&mut self, heartbeat: Heartbeat) {
        self.members.take_digests(self.now.mono_ms, heartbeat.members);
        let learned_ms = self.now.mono_ms;
        for (server, load) in heartbeat.loads {
            self.loads.insert(server, KnownLoad { load, learned_ms });
        }
    }

    fn owned_loads(&self) -> BTreeMap<ServerId, ServerLoad> {
        let owned = self.ledgers.keys().filter(|server| self.owns(server));
        owned.filter_map(|server| Some((server.clone(), self.loads.get(server)?.load))).collect()
    }
}
