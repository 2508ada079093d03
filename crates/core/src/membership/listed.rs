//! The platform's list of instances. It lags behind the real state.

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

/// One instance in the platform's list.
#[expect(missing_docs, reason = "the names say it")]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedInstance {
    pub data_centre: DataCentreId,
    /// Where other instances connect to it.
    pub peer_address: SocketAddr,
    pub state: ListedState,
}
