//! State of single requests: model requests, plain calls, cursors and retry budgets.

pub mod binding;
pub mod cursor;
pub mod fingerprint;
pub mod flow;
pub mod plain_flow;
pub mod retry_budget;

pub use binding::RequestBinding;
pub use cursor::Cursor;
pub use fingerprint::RequestFingerprint;
pub use flow::{Flow, Stage};
pub use plain_flow::{PlainCaller, PlainFlow};
pub use retry_budget::RetryBudget;
