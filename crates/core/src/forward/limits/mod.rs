//! Limits on calls, and on requests that are sent again.

mod call_limit;
mod call_limits;
mod call_sends;
mod caller_retry_detector;
mod retry_window;

pub use call_limits::{CallLimits, LimitStatement};
pub use call_sends::{CallSends, SendPermit};
pub use caller_retry_detector::CallerRetryDetector;
pub use retry_window::{RetryBounds, RetryWindow};
