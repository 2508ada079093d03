//! Registry entries of backend servers.

use std::net::SocketAddr;

use crate::config::ServerRole;
use crate::forward::SoftwareVersion;
use crate::ids::{DataCentreId, ServerId, ServiceId};
use crate::units::WallMillis;

/// Whether a server accepts new calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServerState {
    /// The server accepts new calls.
    Ready,
    /// The server finishes its running calls and then leaves.
    Draining,
}

/// The entry that a backend server registers for itself.
#[derive(Clone, Debug, Eq, PartialEq)]
#[expect(missing_docs, reason = "the names say it")]
pub struct ServerEntry {
    /// Start time of this run; a different time means a different run.
    pub started_ms: WallMillis,
    pub service: ServiceId,
    pub address: SocketAddr,
    pub data_centre: DataCentreId,
    /// Number of calls that it runs concurrently.
    pub max_concurrent_calls: u32,
    pub state: ServerState,
    pub role: ServerRole,
    /// Version of its software; `None` if it states none that can be read.
    pub version: Option<SoftwareVersion>,
}

/// One change of the server registry.
#[derive(Clone, Debug, Eq, PartialEq)]
#[expect(missing_docs, reason = "the names say it")]
pub struct ServerUpdate {
    pub server: ServerId,
    /// Revision of the registry at this change.
    pub revision: u64,
    /// `None` if the entry was removed or is invalid.
    pub entry: Option<ServerEntry>,
}
