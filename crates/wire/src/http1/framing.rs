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

impl BodyFraming {
    /// The value in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            BodyFraming::Empty => "empty",
            BodyFraming::Length(_) => "length",
            BodyFraming::Chunked => "chunked",
            BodyFraming::UntilClose => "until_close",
        }
    }
}
