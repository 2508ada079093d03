//! Orders to engines.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::config::document::ServerRole;
use crate::ids::FencingNumber;
use crate::weights::Weights;

/// What an engine is ordered to do.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// Load a version or an adapter; no effect if it is loaded.
    Load(Weights),
    /// Unload a version or an adapter; no effect if it is not loaded.
    Unload(Weights),
    /// Take another role.
    #[expect(missing_docs, reason = "the names say it")]
    ChangeRole { role: ServerRole },
}

impl fmt::Display for OrderKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            OrderKind::Load(weights) => write!(f, "load:{weights}"),
            OrderKind::Unload(weights) => write!(f, "unload:{weights}"),
            OrderKind::ChangeRole { role } => write!(f, "role:{role}"),
        }
    }
}

/// An order with its fencing number.
#[expect(missing_docs, reason = "the names say it")]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineOrder {
    /// One above the highest number that the engine reported as accepted.
    pub fencing_number: FencingNumber,
    pub kind: OrderKind,
}
