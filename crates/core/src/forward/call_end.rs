//! How a call to a server ended.

/// How a call to a server ended, as far as its load and health go.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallEnd {
    /// It answered.
    Answered,
    /// It answered that it failed.
    Failed,
    /// It refused the call without running it.
    Refused,
    /// The connection broke, or what came was no answer.
    ConnectionLost,
    /// It could not be reached.
    Unreachable,
    /// Nothing came in time.
    TimedOut,
    /// The call was given up for a reason that is not the server's.
    Cancelled,
}

impl CallEnd {
    /// Weight of the failure in the server's score.
    pub(super) fn failure_weight(self) -> Option<f64> {
        match self {
            CallEnd::Answered | CallEnd::Cancelled => None,
            CallEnd::Failed | CallEnd::ConnectionLost => Some(1.0),
            CallEnd::Refused => Some(0.5),
            CallEnd::Unreachable | CallEnd::TimedOut => Some(3.0),
        }
    }

    /// The end as it stands in logs and metrics.
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
