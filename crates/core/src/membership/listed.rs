//! The platform's list of entry instances, which lags.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::DataCentreId;

/// State of an instance in the platform's list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedState {
    /// Running, as far as the platform knows.
    Live,
    /// About to be removed.
    Leaving,
}

/// One entry instance in the platform's list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedInstance {
    /// Where it stands.
    pub data_centre: DataCentreId,
    /// IP number and port of its peer edge.
    pub peer_address: SocketAddr,
    /// Its state.
    pub state: ListedState,
}
