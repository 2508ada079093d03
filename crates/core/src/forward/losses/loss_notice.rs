//! What instances tell each other about answers that were lost with their servers.

use std::collections::BTreeSet;

use crate::forward::ServerRun;
use crate::ids::{PromptPartId, ServiceId};
use crate::request::RequestFingerprint;
use crate::units::Millis;

/// Something that an instance has seen of requests that servers may be lost to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LossNotice {
    /// An answer was lost.
    Lost(Loss),
    /// An answer cleared a suspect.
    Survived(Survival),
}

/// An answer that was lost at its server.
#[derive(Clone, Debug, Eq, PartialEq)]
#[expect(missing_docs, reason = "the names say it")]
pub struct Loss {
    pub service: ServiceId,
    pub server: ServerRun,
    pub request: RequestFingerprint,
    /// Shared parts of the prompt, if the answer was lost at its first events.
    pub parts: BTreeSet<PromptPartId>,
    /// Whether the server's process has ended, and not only this answer.
    pub is_server_ended: bool,
    /// Whether the server had been writing the answer for a while.
    pub is_late: bool,
    /// Monotonic time of this instance.
    pub lost_ms: Millis,
}

/// What a lost server may be blamed on.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Suspect {
    /// A shared part of the prompt.
    Part(PromptPartId),
    /// The request as a whole.
    Request(RequestFingerprint),
}

impl Loss {
    /// What the loss may be blamed on.
    pub fn suspects(&self) -> Vec<Suspect> {
        let request = self.is_server_ended.then_some(Suspect::Request(self.request));
        self.parts.iter().copied().map(Suspect::Part).chain(request).collect()
    }
}

/// The latest answer that clears a suspect: one that went on past its first events clears the parts
/// of its prompt, and a whole one its request.
#[derive(Clone, Debug, Eq, PartialEq)]
#[expect(missing_docs, reason = "the names say it")]
pub struct Survival {
    pub service: ServiceId,
    pub suspect: Suspect,
    /// Monotonic time of this instance.
    pub survived_ms: Millis,
}
