//! What an instance tells operators about itself.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::ids::{ConfigVersion, InstanceId, ServerId};
use crate::membership::{MemberDigest, ServerLoad};
use crate::node::Node;
use crate::report::Holder;

/// One member as seen by the instance.
#[derive(Clone, Debug, Serialize)]
pub struct MemberStatus {
    /// The newest digest.
    #[serde(flatten)]
    pub digest: MemberDigest,
    /// Whether its heartbeats arrive.
    pub is_live: bool,
}

/// One backend server as seen by the instance.
#[derive(Clone, Debug, Serialize)]
pub struct ServerStatus {
    /// Its owner.
    pub owner: Option<InstanceId>,
    /// Its load, as far as known.
    pub load: Option<ServerLoad>,
    /// Leases, where this instance is the owner.
    pub leases: usize,
    /// Whether it takes no new work.
    pub is_leaving: bool,
    /// Whether failures of plain calls of this instance ejected it.
    pub is_ejected: bool,
}

/// The status of an instance.
#[derive(Clone, Debug, Serialize)]
pub struct NodeStatus {
    /// The instance and its run.
    pub own: Holder,
    /// Whether it takes new work.
    pub is_ready: bool,
    /// Whether it is shutting down.
    pub is_leaving: bool,
    /// The configuration version in force.
    pub config_version: ConfigVersion,
    /// The newest version that failed its checks, with the reason.
    pub config_rejected: Option<(ConfigVersion, String)>,
    /// Model requests on their way.
    pub flows: usize,
    /// Plain calls on their way.
    pub plain_flows: usize,
    /// Tickets on record.
    pub tickets: usize,
    /// Members.
    pub members: Vec<MemberStatus>,
    /// Backend servers.
    pub servers: BTreeMap<ServerId, ServerStatus>,
}

impl Node {
    /// The present status.
    pub fn status(&self) -> NodeStatus {
        let configured = self.config.in_force().map(|configuration| &configuration.servers);
        let servers = configured.into_iter().flat_map(|servers| servers.keys());
        NodeStatus {
            own: self.members.own_holder(),
            is_ready: self.is_ready(),
            is_leaving: self.is_leaving,
            config_version: self.config.version(),
            config_rejected: self.config.rejected().cloned(),
            flows: self.flows.len(),
            plain_flows: self.plain_flows.len(),
            tickets: self.tickets.len(),
            members: self.members_status(),
            servers: servers.map(|server| (server.clone(), self.server_status(server))).collect(),
        }
    }

    /// Every member heard of.
    pub fn members_status(&self) -> Vec<MemberStatus> {
        let members = self.members.status(self.now.monotonic_ms);
        members.into_iter().map(|(digest, is_live)| MemberStatus { digest, is_live }).collect()
    }

    fn server_status(&self, server: &ServerId) -> ServerStatus {
        ServerStatus {
            owner: self.owner_of(server),
            load: self.loads.get(server).map(|known| known.load),
            leases: self.ledgers.get(server).map_or(0, |ledger| ledger.leases().len()),
            is_leaving: self.leaving_servers.contains(server),
            is_ejected: self.plain_health.get(server).is_some_and(|health| health.is_ejected()),
        }
    }
}
