//! Failures of calls to backend servers, with their names in logs and their effect on the server's
//! health.

use turmericrail_core::forward::CallEnd;

use crate::forward::servers::answer_fault::AnswerFault;

/// Why a call to a backend server brought no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallFailure {
    /// The server wasn't reached; nothing was written.
    NotSent,
    /// No process listens at the server's address; nothing was written.
    ConnectionRefused,
    /// The server takes no calls of this instance at present; nothing was written.
    Withheld,
    /// The caller's deadline passed before there was a connection, or this process stood still while it
    /// was opened; nothing was written.
    NoTimeLeft,
    /// The call may have been written, but the connection broke before the end of the answer.
    Lost,
    /// The answer is refused.
    Malformed(AnswerFault),
    /// The answer is longer than may be held.
    Oversized,
    /// The call may have been written, but nothing came in time.
    Silent,
}

impl From<AnswerFault> for CallFailure {
    fn from(fault: AnswerFault) -> Self {
        CallFailure::Malformed(fault)
    }
}

impl CallFailure {
    /// How the failure counts for the server's health.
    pub fn call_end(self) -> CallEnd {
        match self {
            CallFailure::NotSent | CallFailure::ConnectionRefused => CallEnd::Unreachable,
            CallFailure::Withheld | CallFailure::NoTimeLeft => CallEnd::Cancelled,
            CallFailure::Silent => CallEnd::TimedOut,
            CallFailure::Lost | CallFailure::Malformed(_) | CallFailure::Oversized => {
                CallEnd::ConnectionLost
            }
        }
    }

    /// Whether the connection broke before the end of the answer.
    pub fn is_broken_connection(self) -> bool {
        matches!(self, CallFailure::Lost | CallFailure::Malformed(AnswerFault::FailedConnection))
    }

    /// Whether the call may have reached the server.
    pub fn is_sent(self) -> bool {
        !matches!(
            self,
            CallFailure::NotSent
                | CallFailure::ConnectionRefused
                | CallFailure::Withheld
                | CallFailure::NoTimeLeft
        )
    }

    /// The fixed value for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            CallFailure::NotSent => "not_sent",
            CallFailure::ConnectionRefused => "connection_refused",
            CallFailure::Withheld => "withheld",
            CallFailure::NoTimeLeft => "no_time_left",
            CallFailure::Lost => "lost",
            CallFailure::Malformed(_) => "malformed",
            CallFailure::Oversized => "oversized",
            CallFailure::Silent => "silent",
        }
    }
}
