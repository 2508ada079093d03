//! Model weights that an engine loads from the weight store.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ids::{AdapterId, ModelId, ModelVersion};

/// A version of a model, or an adapter of one. A version sorts before its adapters.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[expect(missing_docs, reason = "the names say it")]
pub struct Weights {
    pub model: ModelId,
    pub version: ModelVersion,
    /// `None` means the version itself.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<AdapterId>,
}

impl Weights {
    /// The weights of a version without an adapter.
    pub fn of_version(model: ModelId, version: ModelVersion) -> Self {
        Self { model, version, adapter: None }
    }

    /// The version itself: these weights without their adapter.
    pub fn base(&self) -> Self {
        Self { adapter: None, ..self.clone() }
    }
}

impl fmt::Display for Weights {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.model, self.version)?;
        match &self.adapter {
            Some(adapter) => write!(f, ":{adapter}"),
            None => Ok(()),
        }
    }
}
