//! Admission: which waiting requests are served, in which order, and which are given up at once.

pub mod mechanisms;
pub mod plan;
pub mod prefill_slots;
pub mod retry_budget;
pub mod state;
pub mod usage;

pub use mechanisms::Mechanisms;
pub use plan::{Plan, WaitingRequest, plan};
pub use prefill_slots::{PrefillSlots, SlotAnswer};
pub use retry_budget::RetryBudget;
pub use state::AdmissionState;
pub use usage::Usage;
