//! Admission: which waiting requests are served, in which order, and which are given up at once.

pub mod link_book;
pub mod mechanisms;
pub mod plan;
pub mod prefill_queue;
pub mod state;
pub mod usage;

pub use link_book::LinkBook;
pub use mechanisms::Mechanisms;
pub use plan::{Plan, WaitingRequest, keep_all, plan};
pub use prefill_queue::{PrefillQueue, SlotAnswer, SlotRequest};
pub use state::AdmissionState;
pub use usage::Usage;
