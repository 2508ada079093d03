//! Orders at a fake engine: fencing numbers, role and loaded weights.

use std::collections::BTreeSet;

use turmericrail_core::config::document::ServerRole;
use turmericrail_core::ids::{AdapterId, FencingNumber, ModelId, ModelVersion};
use turmericrail_core::placement::{EngineOrder, OrderKind};
use turmericrail_core::weights::Weights;

/// Effect of orders on an engine, with the switches that tests set.
#[derive(Debug, Default)]
pub struct OrderState {
    /// Whether orders are refused unless their fencing number is higher than all before.
    pub checks_fencing: bool,
    /// Whether prompts are refused if their weights are not loaded.
    pub requires_loaded: bool,
    /// Role given in load reports; none until it is ordered or set by a test.
    pub role: Option<ServerRole>,
    /// Weights of model versions, and of adapters together with their version.
    pub loaded_weights: BTreeSet<Weights>,
    /// Highest fencing number accepted.
    pub fencing_number: FencingNumber,
    /// Oldest first.
    pub accepted_orders: Vec<EngineOrder>,
    /// Orders refused because of their fencing number.
    pub refused_order_count: u64,
    /// Prompts refused because their weights were not loaded.
    pub refused_prompt_count: u64,
}

impl OrderState {
    /// Carries out an order; false if it is refused.
    pub fn apply(&mut self, order: EngineOrder) -> bool {
        if self.checks_fencing && order.fencing_number <= self.fencing_number {
            self.refused_order_count += 1;
            return false;
        }
        self.fencing_number = self.fencing_number.max(order.fencing_number);
        match &order.kind {
            OrderKind::ChangeRole { role } => self.role = Some(*role),
            OrderKind::Unload(weights) => {
                self.loaded_weights.remove(weights);
            }
            OrderKind::Load(weights) => {
                self.loaded_weights.insert(weights.clone());
            }
        }
        self.accepted_orders.push(order);
        true
    }

    /// Whether prompts for these weights are accepted.
    pub fn serves(&self, weights: &Weights) -> bool {
        let is_loaded =
            self.loaded_weights.contains(weights) && self.loaded_weights.contains(&weights.base());
        !self.requires_loaded || is_loaded
    }

    /// Loaded versions in the form of a load report.
    pub fn loaded_versions(&self) -> Vec<(ModelId, ModelVersion)> {
        let versions = self.loaded_weights.iter().filter(|weights| weights.adapter.is_none());
        versions.map(|weights| (weights.model.clone(), weights.version.clone())).collect()
    }

    /// Loaded adapters in the form of a load report.
    pub fn loaded_adapters(&self) -> Vec<(ModelId, ModelVersion, AdapterId)> {
        let mut adapters = Vec::new();
        for weights in &self.loaded_weights {
            let Some(adapter) = weights.adapter.clone() else {
                continue;
            };
            adapters.push((weights.model.clone(), weights.version.clone(), adapter));
        }
        adapters
    }
}
