//! Where a model call goes.

use super::ChosenServer;
use crate::units::Millis;

/// Where a model call goes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ModelPlan {
    /// The engine that reads the prompt; nothing where the decode engine reads it itself.
    pub prefill: Option<ChosenServer>,
    /// The engine that generates the answer.
    pub decode: ChosenServer,
}

impl ModelPlan {
    /// Expected time to the first event.
    pub fn predicted_ms(&self) -> Millis {
        let prefill_ms = self.prefill.as_ref().map_or(Millis::ZERO, |choice| choice.predicted_ms);
        prefill_ms + self.decode.predicted_ms
    }
}

/// Why a call has no place.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlanRefusal {
    /// No server serves it.
    NoServer,
    /// The first event would come after the deadline.
    DeadlineUnreachable {
        /// When the backlog will have shrunk enough.
        retry_after_ms: Millis,
    },
}

impl PlanRefusal {
    /// The reason as it stands in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            PlanRefusal::NoServer => "no_server",
            PlanRefusal::DeadlineUnreachable { .. } => "deadline_unreachable",
        }
    }
}
