//! The links of a fleet: one before each peer edge, each engine, and the platform of each instance.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::fault_proxy::{Fault, FaultProxy, FaultScope};
use crate::fleet_instance::FleetInstance;

/// Links by the instance or server that they belong to.
#[derive(Clone, Default)]
pub struct FleetProxies {
    /// Links before peer edges.
    pub peers: BTreeMap<String, FaultProxy>,
    /// Links between an instance and the platform.
    pub platforms: BTreeMap<String, FaultProxy>,
    /// Links before engines.
    pub engines: BTreeMap<String, FaultProxy>,
}

impl FleetProxies {
    /// Adds the links of the instances.
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

    /// Adds the link of an engine and returns its address.
    pub async fn add_engine(
        &mut self,
        id: &str,
        address: SocketAddr,
    ) -> std::io::Result<SocketAddr> {
        let link = FaultProxy::start(address).await?;
        let address = link.address;
        self.engines.insert(id.to_owned(), link);
        Ok(address)
    }

    /// Where others reach an instance.
    pub fn peer_address(&self, id: &str, direct: SocketAddr) -> SocketAddr {
        self.peers.get(id).map_or(direct, |link| link.address)
    }

    /// Where an instance reaches the platform.
    pub fn platform_address(&self, id: &str, direct: SocketAddr) -> SocketAddr {
        self.platforms.get(id).map_or(direct, |link| link.address)
    }

    /// Adds a fault between one instance and another in both directions.
    pub fn add_fault_between(&self, one: &str, other: &str, fault: Fault, reach: FaultScope) {
        let ids: Vec<_> = self.peers.keys().cloned().collect();
        for (receiver, sender) in [(one, other), (other, one)] {
            let (ids, sender, itself) = (ids.clone(), sender.to_owned(), receiver.to_owned());
            let is_sender = move |head: &[u8]| {
                let others = ids.iter().filter(|id| **id != itself);
                let found = others.filter_map(|id| Some((position(head, id)?, id)));
                found.min().is_some_and(|(_, first)| *first == sender)
            };
            self.peers[receiver].add_fault(fault, reach, is_sender);
        }
    }

    /// Cuts a data centre off from the others and from the platform, all in silence.
    pub fn isolate_data_centre(&self, data_centre: &str) {
        let is_inside = |id: &&String| id.starts_with(data_centre);
        let (inside, outside): (Vec<_>, Vec<_>) = self.peers.keys().partition(is_inside);
        for id in &inside {
            self.platforms[*id].add_fault(Fault::DropAll, FaultScope::All, |_| true);
            for other in &outside {
                self.add_fault_between(id, other, Fault::DropAll, FaultScope::All);
            }
        }
        for (engine, link) in &self.engines {
            let others = if is_inside(&engine) { &outside } else { &inside };
            let names: Vec<String> = others.iter().map(|id| (*id).clone()).collect();
            let is_foreign =
                move |head: &[u8]| names.iter().any(|name| position(head, name).is_some());
            link.add_fault(Fault::DropAll, FaultScope::All, is_foreign);
        }
    }

    /// Ends all faults.
    pub fn clear_faults(&self) {
        let proxies = self.peers.values().chain(self.platforms.values());
        proxies.chain(self.engines.values()).for_each(FaultProxy::clear_faults);
    }
}

/// Where a text begins within bytes.
fn position(bytes: &[u8], text: &str) -> Option<usize> {
    bytes.windows(text.len()).position(|window| window == text.as_bytes())
}
