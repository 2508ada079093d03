//! Ends of calls to servers, and how much each counts against the server.

/// How a call to a server ended, as far as it matters for load and health.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[expect(missing_docs, reason = "the names say it")]
pub enum CallEnd {
    Answered,
    /// The server answered with an error.
    Failed,
    /// The server refused the call without running it.
    Refused,
    /// The connection broke, or the answer was malformed.
    ConnectionLost,
    /// No connection could be made.
    Unreachable,
    /// No answer arrived in time.
    TimedOut,
    /// The call was abandoned for a reason unrelated to the server.
    Cancelled,
}

impl CallEnd {
    /// Weight in the failure score; `None` if the end says nothing against the server.
    pub(in crate::forward) fn failure_weight(self) -> Option<f64> {
        match self {
            CallEnd::Answered | CallEnd::Cancelled => None,
            CallEnd::Failed | CallEnd::ConnectionLost => Some(1.0),
            CallEnd::Refused => Some(0.5),
            CallEnd::Unreachable | CallEnd::TimedOut => Some(3.0),
        }
    }

    /// Whether the server did what it was asked; `None` if the end says nothing about it.
    pub(in crate::forward) fn is_answered(self) -> Option<bool> {
        match self {
            CallEnd::Cancelled => None,
            end => Some(end == CallEnd::Answered),
        }
    }

    /// The value in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            CallEnd::Answered => "answered",
            CallEnd::Failed => "failed",
            CallEnd::Refused => "refused",
            CallEnd::ConnectionLost => "lost",
            CallEnd::Unreachable => "unreached",
            CallEnd::TimedOut => "silent",
            CallEnd::Cancelled => "cancelled",
        }
    }
}
