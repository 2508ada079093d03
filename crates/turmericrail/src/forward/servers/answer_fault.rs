//! Why an answer of a backend server is refused.

use thiserror::Error;
use turmericrail_wire::http1::{BodyError, EventError, HeadError};

/// Why an answer is refused.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum AnswerFault {
    #[error(transparent)]
    Head(#[from] HeadError),
    #[error("too many answers to other requests")]
    ManyOtherAnswers,
    #[error(transparent)]
    Body(#[from] BodyError),
    /// An answer up to the end of its connection, which failed before.
    #[error("the connection failed while the call was written")]
    FailedConnection,
    #[error(transparent)]
    Event(#[from] EventError),
    /// An answer with this status, after a caller has received a part of another server's.
    #[error("an answer of another kind, with status {0}, doesn't continue the stream")]
    OtherKind(u16),
    /// A success that the server didn't sign, or whose body has a content coding.
    #[error("status {0} without a signature or with a content coding")]
    Unsigned(u16),
    /// A status that says that the call did not run, without the server's statement.
    #[error("status {0} without the statement that the call did not run")]
    UnstatedRefusal(u16),
    /// The body of an answer of the router's own calls.
    #[error("the body can't be decoded")]
    Undecodable,
}

impl AnswerFault {
    /// The label in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            AnswerFault::Head(HeadError::UndefinedStatus(_)) => "undefined_status",
            AnswerFault::Head(HeadError::TooLong) => "long_head",
            AnswerFault::Head(HeadError::TooManyInterim) => "many_interim_answers",
            AnswerFault::Head(_) => "malformed_head",
            AnswerFault::ManyOtherAnswers => "many_other_answers",
            AnswerFault::Body(_) => "malformed_body",
            AnswerFault::FailedConnection => "failed_connection",
            AnswerFault::Event(EventError::TooLong) => "long_event",
            AnswerFault::Event(EventError::OutOfOrder) => "event_order",
            AnswerFault::OtherKind(_) => "other_kind",
            AnswerFault::Unsigned(_) => "unsigned",
            AnswerFault::UnstatedRefusal(_) => "unstated_refusal",
            AnswerFault::Undecodable => "undecodable",
        }
    }
}
