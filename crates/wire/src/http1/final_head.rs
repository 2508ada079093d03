//! Finds the head of a final answer after interim ones.

use super::{HeadError, ResponseHead};

/// Longest head of an answer.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Most interim heads before a final one.
const MAX_INTERIM_HEADS: usize = 16;

/// Takes heads from a buffer up to the final one, skipping a few interim ones.
#[derive(Clone, Debug, Default)]
pub struct FinalHead {
    interim_heads: usize,
}

impl FinalHead {
    /// Removes the heads at the start of the buffer up to the final one, and returns that; `None` if
    /// more bytes are needed. `method` is that of the request.
    pub fn take(
        &mut self,
        buffer: &mut Vec<u8>,
        method: &str,
    ) -> Result<Option<ResponseHead>, HeadError> {
        while let Some((head, length)) = ResponseHead::parse(buffer, method)? {
            buffer.drain(..length);
            if !head.is_interim() {
                return Ok(Some(head));
            }
            self.interim_heads += 1;
            if self.interim_heads > MAX_INTERIM_HEADS {
                return Err(HeadError::TooManyInterim);
            }
        }
        if buffer.len() > MAX_HEAD_BYTES { Err(HeadError::TooLong) } else { Ok(None) }
    }
}
