//! Admission control: which waiting requests are served, in which order, and which are rejected
//! early because they can't meet their target.

pub mod mechanisms;
pub mod plan;
pub mod prefill_queue;
pub mod seat_grant_rate;
pub mod state;
pub mod transfer_schedule;
pub mod workspace_usage;

pub use mechanisms::Mechanisms;
pub use plan::{Plan, WaitingRequest, keep_all, plan};
pub use prefill_queue::{PrefillQueue, SlotAnswer, SlotRequest};
pub use seat_grant_rate::SeatGrantRate;
pub use state::AdmissionState;
pub use transfer_schedule::TransferSchedule;
pub use workspace_usage::WorkspaceUsage;
