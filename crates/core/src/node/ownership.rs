//! Ownership of backend servers. The set of owned servers is cached until the members or the
//! configured servers change, since computing it takes a hash per pair of server and member.

use std::collections::BTreeSet;

use crate::config::document::ServerRole;
use crate::ids::{ConfigVersion, DataCentreId, InstanceId, ServerId};
use crate::node::Node;

/// Servers owned under one generation of members and one version of the configured servers.
#[derive(Clone, Debug, Default)]
pub(super) struct OwnedServers {
    computed_for: Option<(u64, ConfigVersion)>,
    servers: BTreeSet<ServerId>,
}

impl OwnedServers {
    pub(super) fn contains(&self, server: &ServerId) -> bool {
        self.servers.contains(server)
    }
}

impl Node {
    pub(super) fn owned_engines(&self) -> Vec<ServerId> {
        let Some(configuration) = self.config.in_force() else {
            return Vec::new();
        };
        let is_engine = |server: &&ServerId| {
            let server_config = configuration.servers.get(*server);
            server_config.is_some_and(|server_config| server_config.role != ServerRole::Plain)
        };
        self.owned_servers.servers.iter().filter(is_engine).cloned().collect()
    }

    /// Owner of a backend server: a live member of the server's data centre, or of any data centre
    /// if that one has no live member and the platform lists no live instance there. A listed
    /// instance that is not heard from may be cut off from this one and still serve its callers.
    pub(super) fn owner_of(&self, server: &ServerId) -> Option<InstanceId> {
        let server_config = self.config.in_force()?.servers.get(server)?;
        self.owner_for_data_centre(server, &server_config.data_centre).cloned()
    }

    fn owner_for_data_centre(
        &self,
        server: &ServerId,
        data_centre: &DataCentreId,
    ) -> Option<&InstanceId> {
        let owner = self.members.owner_of(server.as_str(), data_centre);
        if owner.is_some() || self.members.has_listed_live_instance(data_centre) {
            return owner;
        }
        self.members.owner_in_any_data_centre(server.as_str())
    }

    pub(super) fn owns(&self, server: &ServerId) -> bool {
        self.owned_servers.contains(server)
    }

    pub(super) fn is_in_own_data_centre(&self, server: &ServerId) -> bool {
        let server_config =
            self.config.in_force().and_then(|configuration| configuration.servers.get(server));
        server_config.is_some_and(|server_config| {
            server_config.data_centre == *self.members.own_data_centre()
        })
    }

    /// Recomputes the owned servers if the members or the configured servers have changed.
    pub(super) fn refresh_owned_servers(&mut self) {
        let computed_for = Some((self.members.generation(), self.config.servers_version()));
        if self.owned_servers.computed_for == computed_for {
            return;
        }
        let own = self.members.own_holder().instance;
        let own_data_centre = self.members.own_data_centre();
        let mut servers = BTreeSet::new();
        for (server, server_config) in
            self.config.in_force().into_iter().flat_map(|configuration| &configuration.servers)
        {
            let is_local = server_config.data_centre == *own_data_centre;
            if !is_local && !self.members.members_of(&server_config.data_centre).is_empty() {
                continue;
            }
            if self.owner_for_data_centre(server, &server_config.data_centre) == Some(&own) {
                servers.insert(server.clone());
            }
        }
        self.owned_servers = OwnedServers { computed_for, servers };
    }
}
