//! Requests and prompt parts to which servers were lost.

mod broken_call;
mod broken_calls;
mod loss_cause;
mod loss_notice;
mod loss_records;
mod part_survivals;
mod quarantine;
mod request_traits;

pub use broken_call::{BrokenCall, BrokenKind};
pub use broken_calls::BrokenCalls;
pub use loss_cause::{LossCause, LossSubject};
pub use loss_notice::{Loss, LossNotice, Survival, Suspect};
pub use loss_records::LossRecords;
pub use quarantine::{Admission, Quarantine};
pub use request_traits::RequestTraits;
