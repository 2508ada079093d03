//! Why the head of a message was refused.

use thiserror::Error;

/// Why the head of a message was refused.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum HeadError {
    /// The bytes are no head of HTTP/1.
    #[error("malformed head")]
    Malformed,
    /// A line ends without carriage return and line feed.
    #[error("bare line end in the head")]
    BareLineEnd,
    /// More header fields than are taken.
    #[error("too many header fields")]
    TooManyHeaders,
    /// The length of the body is not certain.
    #[error("ambiguous body length")]
    AmbiguousLength,
    /// The body has a transfer coding other than chunked.
    #[error("unsupported transfer coding")]
    UnsupportedCoding,
    /// The request names no host or more than one.
    #[error("the request must name one host")]
    BadHost,
    /// The request's target is no path.
    #[error("the request target must be a path")]
    BadTarget,
    /// The path holds `.` or `..` as a segment, which readers resolve differently.
    #[error("the path must not hold dot segments")]
    DotSegments,
}
