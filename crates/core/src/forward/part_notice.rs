//! What instances tell each other about the shared parts of prompts.

use std::collections::BTreeSet;

use super::ServerRun;
use crate::ids::{PromptPartId, ServiceId};
use crate::units::Millis;

/// Something that an instance has seen of shared parts of prompts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PartNotice {
    /// An engine was lost as it began an answer.
    Lost(PartLoss),
    /// An answer went on past its first events.
    Survived(PartSurvival),
}

/// An answer whose engine was lost at its first events.
#[derive(Clone, Debug, Eq, PartialEq)]
#[expect(missing_docs, reason = "the names say it")]
pub struct PartLoss {
    pub service: ServiceId,
    pub engine: ServerRun,
    /// Shared parts of the prompt.
    pub parts: BTreeSet<PromptPartId>,
    /// Monotonic time of this instance.
    pub lost_ms: Millis,
}

/// The latest answer, to a prompt with this part, that went on past its first events.
#[derive(Clone, Debug, Eq, PartialEq)]
#[expect(missing_docs, reason = "the names say it")]
pub struct PartSurvival {
    pub service: ServiceId,
    pub part: PromptPartId,
    /// Monotonic time of this instance.
    pub survived_ms: Millis,
}
