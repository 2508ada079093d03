//! Fault proxies of a fleet: one for each instance's peer address, one for each engine, and one
//! between each instance and the platform.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::fault_proxy::{Fault, FaultProxy, FaultScope};
use crate::fleet_instance::FleetInstance;

/// Fault proxies by the id of the instance or engine.
#[derive(Clone, Default)]
pub struct FleetProxies {
    /// Proxies in front of the peer addresses of instances.
    pub peers: BTreeMap<String, FaultProxy>,
    /// Proxies through which each instance reaches the platform.
    pub platforms: BTreeMap<String, FaultProxy>,
    /// Proxies in front of engines.
    pub engines: BTreeMap<String, FaultProxy>,
}

impl FleetProxies {
    /// Starts the proxies of the instances.
    pub async fn add_instances(
        &mut self,
        instances: &[FleetInstance],
        platform: SocketAddr,
    ) -> std::io::Result<()> {
        for instance in instances {
            let id = instance.id.to_string();
            self.peers.insert(id.clone(), FaultProxy::start(instance.peer_address).await?);
            self.platforms.insert(id, FaultProxy::start(platform).await?);
        }
        Ok(())
    }

    /// Starts the proxy of an engine and returns the proxy's address.
    pub async fn add_engine(
        &mut self,
        id: &str,
        address: SocketAddr,
    ) -> std::io::Result<SocketAddr> {
        let proxy = FaultProxy::start(address).await?;
        let address = proxy.address;
        self.engines.insert(id.to_owned(), proxy);
        Ok(address)
    }

    /// Address at which peers reach an instance: its proxy, or `direct` if it has none.
    pub fn peer_address(&self, id: &str, direct: SocketAddr) -> SocketAddr {
        self.peers.get(id).map_or(direct, |proxy| proxy.address)
    }

    /// Address at which an instance reaches the platform: its proxy, or `direct` if it has none.
    pub fn platform_address(&self, id: &str, direct: SocketAddr) -> SocketAddr {
        self.platforms.get(id).map_or(direct, |proxy| proxy.address)
    }

    /// Adds a fault between two instances for the connections of either to the other.
    pub fn add_fault_between(&self, one: &str, other: &str, fault: Fault, scope: FaultScope) {
        let ids: Vec<_> = self.peers.keys().cloned().collect();
        for (receiver, sender) in [(one, other), (other, one)] {
            let (ids, sender, receiver_id) = (ids.clone(), sender.to_owned(), receiver.to_owned());
            let is_sender = move |head: &[u8]| {
                let others = ids.iter().filter(|id| **id != receiver_id);
                let found = others.filter_map(|id| Some((find_text(head, id)?, id)));
                found.min().is_some_and(|(_, first)| *first == sender)
            };
            self.peers[receiver].add_fault(fault, scope, is_sender);
        }
    }

    /// Drops all bytes between a data centre and the others, and between it and the platform.
    pub fn isolate_data_centre(&self, data_centre: &str) {
        let is_inside = |id: &&String| id.starts_with(data_centre);
        let (inside, outside): (Vec<_>, Vec<_>) = self.peers.keys().partition(is_inside);
        for id in &inside {
            self.platforms[*id].add_fault(Fault::DropAll, FaultScope::All, |_| true);
            for other in &outside {
                self.add_fault_between(id, other, Fault::DropAll, FaultScope::All);
            }
        }
        for (engine, proxy) in &self.engines {
            let others = if is_inside(&engine) { &outside } else { &inside };
            let names: Vec<String> = others.iter().map(|id| (*id).clone()).collect();
            let is_from_other_side =
                move |head: &[u8]| names.iter().any(|name| find_text(head, name).is_some());
            proxy.add_fault(Fault::DropAll, FaultScope::All, is_from_other_side);
        }
    }

    /// Removes all faults of all proxies.
    pub fn clear_faults(&self) {
        let proxies = self.peers.values().chain(self.platforms.values());
        proxies.chain(self.engines.values()).for_each(FaultProxy::clear_faults);
    }
}

/// Offset of the first occurrence of a text.
fn find_text(bytes: &[u8], text: &str) -> Option<usize> {
    bytes.windows(text.len()).position(|window| window == text.as_bytes())
}
