//! Why an answer is refused.

use thiserror::Error;

use crate::http1::HeadError;

/// Why an answer is refused.
#[derive(Clone, Debug, Error)]
pub enum ResponseFault {
    /// The head is none of HTTP.
    #[error(transparent)]
    Head(#[from] HeadError),
    /// A status that has no name.
    #[error("unknown status {0}")]
    UnknownStatus(u16),
    /// A field of the head whose value isn't ASCII.
    #[error("the field {0:?} isn't ASCII")]
    NonAsciiField(String),
    /// Nothing was asked for that has a content coding.
    #[error("the body has a content coding")]
    Encoded,
    /// Only the end of the connection tells the end of the body.
    #[error("neither a length nor chunks, so that the end of the body is unknown")]
    UnstatedLength,
    /// The body isn't framed as its head says.
    #[error("malformed body: {0}")]
    Body(String),
    /// The body is longer than may be held.
    #[error("the body is longer than may be held")]
    Oversized,
}

impl ResponseFault {
    /// The label in metrics.
    pub fn as_str(&self) -> &'static str {
        match self {
            ResponseFault::Head(HeadError::UndefinedStatus(_)) => "undefined_status",
            ResponseFault::Head(_) => "malformed_head",
            ResponseFault::UnknownStatus(_) => "unknown_status",
            ResponseFault::NonAsciiField(_) => "non_ascii_field",
            ResponseFault::Encoded => "encoded",
            ResponseFault::UnstatedLength => "unstated_length",
            ResponseFault::Body(_) => "malformed_body",
            ResponseFault::Oversized => "oversized",
        }
    }
}
