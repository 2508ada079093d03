//! Framing of the bodies of requests and answers.

/// How the length of a body is determined.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyFraming {
    /// There is no body.
    Empty,
    /// The body has this many bytes.
    Length(u64),
    /// Chunked transfer coding; an empty chunk ends the body.
    Chunked,
    /// The body lasts until the connection ends without an error.
    UntilClose,
}
