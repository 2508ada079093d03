//! Which backend servers this instance owns. The answer is kept until the live members or the
//! configured servers change, as it takes a hash for each pair of server and member.

use std::collections::BTreeSet;

use crate::config::document::ServerRole;
use crate::ids::{ConfigVersion, DataCentreId, InstanceId, ServerId};
use crate::node::Node;

/// Servers owned under one view of members and one version of the configured servers.
#[derive(Clone, Debug, Default)]
pub(super) struct OwnedServers {
    under: Option<(u64, ConfigVersion)>,
    servers: BTreeSet<ServerId>,
}

impl OwnedServers {
    /// Whether a backend server is among them.
    pub(super) fn contains(&self, server: &ServerId) -> bool {
        self.servers.contains(server)
    }
}

impl Node {
    /// Owned backend servers that are engines.
    pub(super) fn owned_engines(&self) -> Vec<ServerId> {
        let Some(configuration) = self.config.in_force() else {
            return Vec::new();
        };
        let is_engine = |server: &&ServerId| {
            let known = configuration.servers.get(*server);
            known.is_some_and(|known| known.role != ServerRole::Plain)
        };
        self.owned.servers.iter().filter(is_engine).cloned().collect()
    }

    /// Owner of a backend server: a live member of the server's data centre, or of any other
    /// where that one has no live member and the platform lists none. One that is listed but not
    /// heard may be cut off from here and still serve its callers.
    pub(super) fn owner_of(&self, server: &ServerId) -> Option<InstanceId> {
        let known = self.config.in_force()?.servers.get(server)?;
        self.owner_in(server, &known.data_centre).cloned()
    }

    fn owner_in(&self, server: &ServerId, data_centre: &DataCentreId) -> Option<&InstanceId> {
        let near = self.members.owner_of(server.as_str(), data_centre);
        if near.is_some() || self.members.has_listed_live_instance(data_centre) {
            return near;
        }
        self.members.owner_in_any_data_centre(server.as_str())
    }

    /// Whether this instance owns a backend server.
    pub(super) fn owns(&self, server: &ServerId) -> bool {
        self.owned.contains(server)
    }

    pub(super) fn is_in_own_data_centre(&self, server: &ServerId) -> bool {
        let known = self.config.in_force().and_then(|known| known.servers.get(server));
        known.is_some_and(|known| known.data_centre == *self.members.own_data_centre())
    }

    /// Works out the owned servers again where members or configuration changed.
    pub(super) fn refresh_owned(&mut self) {
        let under = Some((self.members.generation(), self.config.servers_version()));
        if self.owned.under == under {
            return;
        }
        let own = self.members.own_holder().instance;
        let own_data_centre = self.members.own_data_centre();
        let mut servers = BTreeSet::new();
        for (server, known) in self.config.in_force().into_iter().flat_map(|known| &known.servers) {
            let is_near = known.data_centre == *own_data_centre;
            if !is_near && !self.members.members_of(&known.data_centre).is_empty() {
                continue;
            }
            if self.owner_in(server, &known.data_centre) == Some(&own) {
                servers.insert(server.clone());
            }
        }
        self.owned = OwnedServers { under, servers };
    }
}
