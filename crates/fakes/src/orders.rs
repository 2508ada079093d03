//! Orders at the engine stand-in: fencing numbers, roles and loaded versions.

use std::collections::BTreeSet;

use turmericrail_core::config::document::ServerRole;
use turmericrail_core::ids::{AdapterId, FencingNumber, ModelId, ModelVersion};
use turmericrail_core::placement::{EngineOrder, OrderKind};
use turmericrail_core::weights::Weights;

/// What orders did to an engine.
#[derive(Debug, Default)]
pub struct OrderState {
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
    /// Whether prompts of versions that are not loaded are refused.
    pub requires_loaded: bool,
    /// Its role, where it tells one.
    pub role: Option<ServerRole>,
    /// Versions and adapters loaded.
    pub loaded: BTreeSet<Weights>,
    /// Highest fencing number accepted.
    pub fencing_number: FencingNumber,
    /// Orders accepted, oldest first.
    pub accepted: Vec<EngineOrder>,
    /// Orders refused.
    pub refused: u64,
    /// Prompts refused for weights that are not loaded.
    pub refused_prompts: u64,
}

impl OrderState {
    /// Obeys an order or refuses it.
    pub fn obey(&mut self, order: EngineOrder) -> bool {
        if self.checks_fencing && order.fencing_number <= self.fencing_number {
            self.refused += 1;
            return false;
        }
        self.fencing_number = self.fencing_number.max(order.fencing_number);
        match &order.kind {
            OrderKind::ChangeRole { role } => self.role = Some(*role),
            OrderKind::Unload(weights) => {
                self.loaded.remove(weights);
            }
            OrderKind::Load(weights) => {
                self.loaded.insert(weights.clone());
            }
        }
        self.accepted.push(order);
        true
    }

    /// Whether work for a version or an adapter is taken.
    pub fn serves(&self, weights: &Weights) -> bool {
        let is_loaded = self.loaded.contains(weights) && self.loaded.contains(&weights.base());
        !self.requires_loaded || is_loaded
    }

    /// Versions loaded, as reports tell them.
    pub fn loaded_versions(&self) -> Vec<(ModelId, ModelVersion)> {
        let versions = self.loaded.iter().filter(|weights| weights.adapter.is_none());
        versions.map(|weights| (weights.model.clone(), weights.version.clone())).collect()
    }

    /// Adapters loaded, as reports tell them.
    pub fn loaded_adapters(&self) -> Vec<(ModelId, ModelVersion, AdapterId)> {
        let mut adapters = Vec::new();
        for weights in &self.loaded {
            let Some(adapter) = weights.adapter.clone() else {
                continue;
            };
            adapters.push((weights.model.clone(), weights.version.clone(), adapter));
        }
        adapters
    }
}
