//! Finds the shared parts of prompts that explain why engines were lost.

use std::collections::{BTreeMap, BTreeSet};

use super::{PartLoss, ServerRun};
use crate::ids::{PromptPartId, ServiceId};
use crate::units::Millis;

/// Parts that the prompts of several lost answers have in common.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LossCause {
    /// Service of the engines.
    pub service: ServiceId,
    /// What the lost prompts have in common.
    pub parts: BTreeSet<PromptPartId>,
    /// Whether a lost prompt had no other parts. If none had, these parts alone may be sound.
    pub is_lost_alone: bool,
    /// Number of engines that were lost.
    pub engine_count: usize,
    /// When the latest one was lost.
    pub last_loss_ms: Millis,
}

impl LossCause {
    /// Whether a prompt is meant: it holds all of the parts, and others too unless a prompt without
    /// others was lost.
    pub fn is_in(&self, service: &ServiceId, parts: &[PromptPartId]) -> bool {
        let has_others = || parts.iter().any(|part| !self.parts.contains(part));
        self.service == *service
            && self.parts.iter().all(|part| parts.contains(part))
            && (self.is_lost_alone || has_others())
    }

    /// The causes that explain at least `min_engines` lost engines each.
    ///
    /// A part that only comes together with others is no cause without them: the cause is what all
    /// prompts with the part have in common. The cause with most parts goes first, and the losses
    /// that it explains count for no other one, so that a sound part that prompts with different
    /// causes share isn't blamed for them.
    pub fn find(losses: &[PartLoss], min_engines: usize) -> Vec<Self> {
        let mut unexplained: Vec<&PartLoss> = losses.iter().collect();
        let mut causes = Vec::new();
        while let Some(cause) = most_specific_cause(&unexplained, min_engines) {
            unexplained.retain(|loss| !cause.explains(loss));
            causes.push(cause);
        }
        causes
    }

    fn explains(&self, loss: &PartLoss) -> bool {
        self.service == loss.service && self.parts.is_subset(&loss.parts)
    }
}

fn most_specific_cause(losses: &[&PartLoss], min_engines: usize) -> Option<LossCause> {
    let mut by_part: BTreeMap<(&ServiceId, PromptPartId), Vec<&PartLoss>> = BTreeMap::new();
    for loss in losses {
        for part in &loss.parts {
            by_part.entry((&loss.service, *part)).or_default().push(loss);
        }
    }
    let causes = by_part.into_iter().map(|((service, _), losses)| common_cause(service, &losses));
    let causes = causes.filter(|cause| cause.engine_count >= min_engines);
    causes.max_by_key(|cause| (cause.parts.len(), cause.engine_count))
}

fn common_cause(service: &ServiceId, losses: &[&PartLoss]) -> LossCause {
    let mut parts = losses.first().map(|loss| loss.parts.clone()).unwrap_or_default();
    for loss in losses {
        parts.retain(|part| loss.parts.contains(part));
    }
    let engines: BTreeSet<&ServerRun> = losses.iter().map(|loss| &loss.engine).collect();
    LossCause {
        service: service.clone(),
        is_lost_alone: losses.iter().any(|loss| loss.parts == parts),
        parts,
        engine_count: engines.len(),
        last_loss_ms: losses.iter().map(|loss| loss.lost_ms).max().unwrap_or_default(),
    }
}
