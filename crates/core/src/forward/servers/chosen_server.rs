//! The server chosen for a call, with the prediction behind the choice.

use std::net::SocketAddr;

use crate::forward::SoftwareVersion;
use crate::ids::{DataCentreId, ServerId, ServiceId};
use crate::units::{Millis, Tokens, WallMillis};

/// One run of a server process; a restart with the same id is another run.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[expect(missing_docs, reason = "the names say it")]
pub struct ServerRun {
    pub server: ServerId,
    /// Start time that the server registered.
    pub started_ms: WallMillis,
}

/// A server chosen for a call.
#[derive(Clone, Debug, Eq, PartialEq)]
#[expect(missing_docs, reason = "the names say it")]
pub struct ChosenServer {
    pub run: ServerRun,
    pub service: ServiceId,
    pub address: SocketAddr,
    pub data_centre: DataCentreId,
    /// Version of its software, as it registered.
    pub version: Option<SoftwareVersion>,
    /// Prompt or KV tokens that the call adds to the load of the server; zero for plain calls.
    pub tokens: Tokens,
    /// Expected time to the answer or first event at a server of average latency.
    pub baseline_latency_ms: Millis,
    /// Expected time to the answer or first event, scaled by the latency ratio of this server.
    pub predicted_latency_ms: Millis,
    /// Number of servers that were compared.
    pub candidate_count: usize,
    /// Revision of the registry at the time of the choice.
    pub registry_revision: u64,
}
