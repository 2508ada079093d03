//! A server that was chosen for a call.

use std::net::SocketAddr;

use crate::ids::{DataCentreId, ServerId, ServiceId};
use crate::units::{Millis, Tokens, WallMillis};

/// One run of a server.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ServerRun {
    /// The server.
    pub server: ServerId,
    /// When the run started.
    pub started_ms: WallMillis,
}

/// A server that was chosen for a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChosenServer {
    /// The run of the server.
    pub run: ServerRun,
    /// The service that it belongs to.
    pub service: ServiceId,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Where it stands.
    pub data_centre: DataCentreId,
    /// Tokens that the call counts for.
    pub tokens: Tokens,
    /// Expected time to its answer or first event, were it of normal pace.
    pub baseline_ms: Millis,
    /// Expected time to its answer or first event.
    pub predicted_ms: Millis,
    /// Servers that were compared.
    pub candidate_count: usize,
    /// Revision of the registry that the choice rests on.
    pub registry_revision: u64,
}
