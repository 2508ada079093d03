//! Decodes a body according to its framing.

use thiserror::Error;

use super::{BodyFraming, ChunkDecoder};

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum BodyError {
    /// The bytes don't follow the chunked transfer coding.
    #[error("malformed chunk")]
    Malformed,
    /// The connection ended before the end of the body.
    #[error("the connection ended before the body")]
    Truncated,
}

/// Decodes a body while it arrives.
#[derive(Clone, Debug)]
pub enum BodyDecoder {
    /// Number of bytes that are still to come.
    Length(u64),
    /// Chunked transfer coding.
    Chunks(ChunkDecoder),
    /// All bytes until the connection ends; whether it has ended.
    UntilClose(bool),
}

impl BodyDecoder {
    /// A decoder for a body with this framing.
    pub fn new(framing: BodyFraming) -> Self {
        match framing {
            BodyFraming::Empty => Self::Length(0),
            BodyFraming::Length(length) => Self::Length(length),
            BodyFraming::Chunked => Self::Chunks(ChunkDecoder::default()),
            BodyFraming::UntilClose => Self::UntilClose(false),
        }
    }

    /// Whether the whole body has been decoded.
    pub fn is_done(&self) -> bool {
        match self {
            Self::Length(remaining) => *remaining == 0,
            Self::Chunks(chunks) => chunks.is_done(),
            Self::UntilClose(is_ended) => *is_ended,
        }
    }

    /// Most bytes of the body that so many bytes of input contain.
    pub fn max_body_bytes(&self, input_bytes: usize) -> usize {
        match self {
            Self::Length(remaining) => {
                usize::try_from(*remaining).unwrap_or(usize::MAX).min(input_bytes)
            }
            Self::Chunks(_) | Self::UntilClose(_) => input_bytes,
        }
    }

    /// Whether the trailer fields so far hold ASCII characters alone.
    pub fn has_ascii_trailers(&self) -> bool {
        match self {
            Self::Chunks(chunks) => chunks.has_ascii_trailers(),
            Self::Length(_) | Self::UntilClose(_) => true,
        }
    }

    /// Memory of a line that isn't complete.
    pub fn buffered_bytes(&self) -> usize {
        match self {
            Self::Chunks(chunks) => chunks.buffered_bytes(),
            Self::Length(_) | Self::UntilClose(_) => 0,
        }
    }

    /// Appends the part of the body that `input` contains to `out`; returns how many bytes of
    /// `input` were consumed.
    pub fn decode(&mut self, input: &[u8], out: &mut Vec<u8>) -> Result<usize, BodyError> {
        match self {
            Self::Length(remaining) => {
                let count = usize::try_from(*remaining).unwrap_or(usize::MAX).min(input.len());
                out.extend_from_slice(&input[..count]);
                *remaining -= count as u64;
                Ok(count)
            }
            Self::Chunks(chunks) => chunks.decode(input, out),
            Self::UntilClose(_) => {
                out.extend_from_slice(input);
                Ok(input.len())
            }
        }
    }

    /// Records that the connection ended without an error; fails if the body is incomplete.
    pub fn end_of_input(&mut self) -> Result<(), BodyError> {
        if let Self::UntilClose(is_ended) = self {
            *is_ended = true;
        }
        if self.is_done() { Ok(()) } else { Err(BodyError::Truncated) }
    }
}
