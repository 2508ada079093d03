//! Why a call to a backend server brought no answer.

use turmericrail_core::forward::CallEnd;

/// Why a call to a backend server brought no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallFailure {
    /// The server was not reached; nothing was written.
    NotSent,
    /// Something was written, then the connection broke or what came was no answer.
    Lost,
    /// Something was written and nothing came in time.
    Silent,
}

impl CallFailure {
    /// How it counts for the server's health.
    pub fn call_end(self) -> CallEnd {
        match self {
            CallFailure::NotSent => CallEnd::Unreachable,
            CallFailure::Silent => CallEnd::TimedOut,
            CallFailure::Lost => CallEnd::ConnectionLost,
        }
    }

    /// The failure as it stands in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            CallFailure::NotSent => "not_sent",
            CallFailure::Lost => "lost",
            CallFailure::Silent => "silent",
        }
    }
}
