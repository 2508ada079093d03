//! Orders at the engine stand-in: fencing numbers, roles and loaded versions.

use turmericrail_core::config::document::ServerRole;
use turmericrail_core::ids::{FencingNumber, ModelId, ModelVersion};
use turmericrail_core::placement::{EngineOrder, OrderKind};

/// What orders did to an engine.
#[derive(Debug, Default)]
pub struct OrderState {
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
    /// Whether prompts of versions that are not loaded are refused.
    pub requires_loaded: bool,
    /// Its role, where it tells one.
    pub role: Option<ServerRole>,
    /// Versions loaded.
    pub loaded: Vec<(ModelId, ModelVersion)>,
    /// Highest fencing number accepted.
    pub fencing_number: FencingNumber,
    /// Orders accepted, oldest first.
    pub accepted: Vec<EngineOrder>,
    /// Orders refused.
    pub refused: u64,
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
            OrderKind::Load { model, version } => {
                let loaded = (model.clone(), version.clone());
                if !self.loaded.contains(&loaded) {
                    self.loaded.push(loaded);
                }
            }
        }
        self.accepted.push(order);
        true
    }

    /// Whether prompts of a version are taken.
    pub fn serves(&self, model: &ModelId, version: &ModelVersion) -> bool {
        !self.requires_loaded || self.loaded.contains(&(model.clone(), version.clone()))
    }
}
