//! Status of an instance, served to operators as JSON.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::ids::{ConfigVersion, InstanceId, ServerId};
use crate::membership::{MemberDigest, ServerLoad};
use crate::node::Node;
use crate::report::Holder;

/// One member as seen by the instance.
#[derive(Clone, Debug, Serialize)]
pub struct MemberStatus {
    /// The newest record of the member.
    #[serde(flatten)]
    pub digest: MemberDigest,
    /// Whether this instance has heard of a recent heartbeat of the member.
    pub is_live: bool,
}

/// One backend server as seen by the instance.
#[derive(Clone, Debug, Serialize)]
pub struct ServerStatus {
    /// Instance that grants access to it; `None` if no live member may own it.
    pub owner: Option<InstanceId>,
    /// Newest known load; `None` if there is none.
    pub load: Option<ServerLoad>,
    /// Number of leases; zero unless this instance is the owner.
    pub leases: usize,
    /// Whether the platform lists it as leaving, so that it gets no new work.
    pub is_leaving: bool,
    /// Whether failures of this instance's plain calls ejected it.
    pub is_ejected: bool,
}

/// The status of an instance.
#[expect(missing_docs, reason = "the names say it")]
#[derive(Clone, Debug, Serialize)]
pub struct NodeStatus {
    pub own: Holder,
    /// Whether it accepts new work.
    pub is_ready: bool,
    /// Whether it is shutting down.
    pub is_leaving: bool,
    /// The configuration version in force; zero before the first.
    pub config_version: ConfigVersion,
    /// The newest version if it failed its checks, with the reason.
    pub config_rejected: Option<(ConfigVersion, String)>,
    /// Number of model requests in flight.
    pub flows: usize,
    /// Number of plain calls in flight.
    pub plain_flows: usize,
    /// Number of tickets on record.
    pub tickets: usize,
    /// Every member heard of, this instance first.
    pub members: Vec<MemberStatus>,
    /// Every backend server of the configuration in force.
    pub servers: BTreeMap<ServerId, ServerStatus>,
}

impl Node {
    /// The status of this instance, its members and the configured servers.
    pub fn status(&self) -> NodeStatus {
        let configured = self.config.in_force().map(|configuration| &configuration.servers);
        let servers = configured.into_iter().flat_map(|servers| servers.keys());
        NodeStatus {
            own: self.members.own_holder(),
            is_ready: self.is_ready(),
            is_leaving: self.is_leaving,
            config_version: self.config.version(),
            config_rejected: self.config.rejected_version().cloned(),
            flows: self.flows.len(),
            plain_flows: self.plain_flows.len(),
            tickets: self.tickets.len(),
            members: self.member_statuses(),
            servers: servers.map(|server| (server.clone(), self.server_status(server))).collect(),
        }
    }

    /// Every member heard of, this instance first.
    pub fn member_statuses(&self) -> Vec<MemberStatus> {
        let members = self.members.status(self.now.monotonic_ms);
        members.into_iter().map(|(digest, is_live)| MemberStatus { digest, is_live }).collect()
    }

    fn server_status(&self, server: &ServerId) -> ServerStatus {
        ServerStatus {
            owner: self.owner_of(server),
            load: self.server_loads.get(server).map(|known_load| known_load.load),
            leases: self
                .lease_tables
                .get(server)
                .map_or(0, |lease_table| lease_table.leases().len()),
            is_leaving: self.leaving_servers.contains(server),
            is_ejected: self
                .plain_server_health
                .get(server)
                .is_some_and(|health| health.is_ejected()),
        }
    }
}
