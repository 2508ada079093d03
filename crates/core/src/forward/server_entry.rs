//! What a backend server registers about itself.

use std::net::SocketAddr;

use crate::config::ServerRole;
use crate::ids::{DataCentreId, ServerId, ServiceId};
use crate::units::WallMillis;

/// Whether a server takes new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServerState {
    /// It takes new work.
    Ready,
    /// It finishes what it has and leaves.
    Draining,
}

/// What a backend server registers about itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerEntry {
    /// When this run of the server started; another time is another run.
    pub started_ms: WallMillis,
    /// The service that it belongs to.
    pub service: ServiceId,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Where it stands.
    pub data_centre: DataCentreId,
    /// Calls that it runs at a time.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: ServerState,
    /// What it does.
    pub role: ServerRole,
}

/// A change of the registry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerUpdate {
    /// The server.
    pub server: ServerId,
    /// The registry's revision of the change.
    pub revision: u64,
    /// Its entry; nothing where it was removed or can't be used.
    pub entry: Option<ServerEntry>,
}
