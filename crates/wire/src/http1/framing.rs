//! How the end of a body is known.

/// How the end of a body is known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyFraming {
    /// There is no body.
    Empty,
    /// A number of bytes.
    Length(u64),
    /// Chunks up to an empty one.
    Chunked,
    /// All bytes until the connection ends in order.
    UntilClose,
}
