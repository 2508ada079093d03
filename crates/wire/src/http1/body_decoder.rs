//! Decoding of a body by its framing.

use thiserror::Error;

use super::{BodyFraming, ChunkDecoder};

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum BodyError {
    /// The chunks are no chunks.
    #[error("malformed chunk")]
    Malformed,
    /// The connection ended before the body.
    #[error("the connection ended before the body")]
    Truncated,
}

/// Decodes a body as it arrives.
#[derive(Clone, Debug)]
pub enum BodyDecoder {
    /// This many bytes are left.
    Length(u64),
    /// Chunks.
    Chunks(ChunkDecoder),
    /// All bytes until the end; whether that was reached.
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

    /// Whether the whole body was read.
    pub fn is_done(&self) -> bool {
        match self {
            Self::Length(left) => *left == 0,
            Self::Chunks(chunks) => chunks.is_done(),
            Self::UntilClose(is_ended) => *is_ended,
        }
    }

    /// Appends what `input` holds of the body to `out`; returns how much of it was used.
    pub fn decode(&mut self, input: &[u8], out: &mut Vec<u8>) -> Result<usize, BodyError> {
        match self {
            Self::Length(left) => {
                let taken = usize::try_from(*left).unwrap_or(usize::MAX).min(input.len());
                out.extend_from_slice(&input[..taken]);
                *left -= taken as u64;
                Ok(taken)
            }
            Self::Chunks(chunks) => chunks.decode(input, out),
            Self::UntilClose(_) => {
                out.extend_from_slice(input);
                Ok(input.len())
            }
        }
    }

    /// Notes that the connection ended in order.
    pub fn end_of_input(&mut self) -> Result<(), BodyError> {
        if let Self::UntilClose(is_ended) = self {
            *is_ended = true;
        }
        if self.is_done() { Ok(()) } else { Err(BodyError::Truncated) }
    }
}
