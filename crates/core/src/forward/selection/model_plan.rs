//! Plans of model calls, and why a call gets none.

use crate::forward::ChosenServer;
use crate::units::Millis;

/// The engines chosen for a model call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ModelPlan {
    /// The engine that processes the prompt; `None` if the decode engine does it.
    pub prefill: Option<ChosenServer>,
    /// The engine that generates the answer.
    pub decode: ChosenServer,
}

impl ModelPlan {
    /// Expected time to the first event: the sum of both engines' predictions.
    pub fn predicted_latency_ms(&self) -> Millis {
        let prefill_ms =
            self.prefill.as_ref().map_or(Millis::ZERO, |choice| choice.predicted_latency_ms);
        prefill_ms + self.decode.predicted_latency_ms
    }
}

/// Why no plan could be made.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlanRefusal {
    /// No server of the service accepts the call.
    NoServer,
    /// The first event is expected after the deadline.
    DeadlineUnreachable {
        /// Time until the backlog has shrunk enough.
        retry_after_ms: Millis,
    },
}

impl PlanRefusal {
    /// The value in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            PlanRefusal::NoServer => "no_server",
            PlanRefusal::DeadlineUnreachable { .. } => "deadline_unreachable",
        }
    }
}
