//! Why a caller's connection ended, as it is logged and counted.

use std::io;

/// Why a caller's connection ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionEnd {
    /// The caller closed it between two requests.
    ClosedIdle,
    ClosedInHead,
    ClosedInBody,
    /// The caller closed it before its answer was written.
    ClosedInAnswer,
    ReadFailed(io::ErrorKind),
    WriteFailed(io::ErrorKind),
    IdleLimit,
    /// The process is to end.
    Stopping,
    /// After the refusal of a request that was not read whole.
    Refused,
    /// After an answer that said so.
    Answered,
    /// An answer that had begun could not be completed.
    AnswerBroken,
    /// The caller didn't read its answer in time.
    AnswerUnread,
    /// There is no room for what the caller sends.
    NoRoom,
    /// It gave way to another connection.
    Evicted,
}

impl ConnectionEnd {
    /// Name in the log and as a metric label.
    pub fn reason(self) -> &'static str {
        match self {
            Self::ClosedIdle => "closed_idle",
            Self::ClosedInHead => "closed_in_head",
            Self::ClosedInBody => "closed_in_body",
            Self::ClosedInAnswer => "closed_in_answer",
            Self::ReadFailed(_) => "read_failed",
            Self::WriteFailed(_) => "write_failed",
            Self::IdleLimit => "idle_limit",
            Self::Stopping => "stopping",
            Self::Refused => "refused",
            Self::Answered => "answered",
            Self::AnswerBroken => "answer_broken",
            Self::AnswerUnread => "answer_unread",
            Self::NoRoom => "no_room",
            Self::Evicted => "evicted",
        }
    }

    /// What the socket said, or `none`.
    pub fn error(self) -> String {
        match self {
            Self::ReadFailed(kind) | Self::WriteFailed(kind) => format!("{kind:?}"),
            _ => "none".to_owned(),
        }
    }
}
