//! Errors of parsing the head of a message.

use thiserror::Error;

/// Why the head of a message was refused.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum HeadError {
    /// The bytes are not a valid head of HTTP/1.
    #[error("malformed head")]
    Malformed,
    /// A line does not end with carriage return and line feed, or has a carriage return inside.
    #[error("bare line end in the head")]
    BareLineEnd,
    /// There are more header fields than `MAX_HEADERS`.
    #[error("too many header fields")]
    TooManyHeaders,
    /// The length of the body can be read in more than one way, or not at all.
    #[error("ambiguous body length")]
    AmbiguousLength,
    /// The body has a transfer coding other than chunked.
    #[error("unsupported transfer coding")]
    UnsupportedCoding,
    /// HTTP doesn't define the status, which also decides whether a body follows.
    #[error("undefined status {0:03}")]
    UndefinedStatus(u16),
    /// The head is longer than the limit.
    #[error("the head is too long")]
    TooLong,
    /// There are more interim answers before the final one than the limit.
    #[error("too many interim answers")]
    TooManyInterim,
    /// The request has no host or more than one.
    #[error("the request must name one host")]
    BadHost,
    /// The request target is not a path.
    #[error("the request target must be a path")]
    BadTarget,
    /// The path has a segment `.` or `..`, which implementations resolve differently.
    #[error("the path must not hold dot segments")]
    DotSegments,
}
