//! The shared parts of prompts whose answers went on lately, as seen by this instance.

use std::collections::BTreeMap;

use crate::ids::{PromptPartId, ServiceId};
use crate::units::Millis;

/// Most parts of a service in one generation.
const MAX_GENERATION_PARTS: usize = 4_096;

type Generation = BTreeMap<PromptPartId, Millis>;

/// Bounded memory of parts: the older of two generations is dropped once the newer one is full or
/// old.
#[derive(Clone, Debug, Default)]
pub struct PartSurvivals {
    by_service: BTreeMap<ServiceId, [Generation; 2]>,
    generation_began_ms: Millis,
}

impl PartSurvivals {
    /// Records an answer to a prompt with these parts.
    pub fn record(&mut self, now_ms: Millis, service: &ServiceId, parts: &[PromptPartId]) {
        let generations = self.by_service.entry(service.clone()).or_default();
        for part in parts {
            generations[0].insert(*part, now_ms);
        }
        if generations[0].len() > MAX_GENERATION_PARTS {
            generations[1] = std::mem::take(&mut generations[0]);
        }
    }

    /// When an answer to a prompt with this part went on last.
    pub fn latest_ms(&self, service: &ServiceId, part: PromptPartId) -> Option<Millis> {
        let generations = self.by_service.get(service)?;
        generations.iter().filter_map(|generation| generation.get(&part)).max().copied()
    }

    /// Drops what is older than `ttl_ms`, and at times keeps it up to twice as long.
    pub fn expire(&mut self, now_ms: Millis, ttl_ms: Millis) {
        if now_ms < self.generation_began_ms + ttl_ms {
            return;
        }
        self.generation_began_ms = now_ms;
        for generations in self.by_service.values_mut() {
            generations[1] = std::mem::take(&mut generations[0]);
        }
        self.by_service.retain(|_, generations| !generations.iter().all(Generation::is_empty));
    }
}
