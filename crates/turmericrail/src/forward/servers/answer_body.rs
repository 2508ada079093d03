//! The body of an answer that is held as a whole.

use std::ops::Deref;

use crate::forward::callers::buffer_budget::BufferShare;

/// Bytes of a body, with their share of the memory for answers.
pub struct AnswerBody {
    bytes: Vec<u8>,
    _share: BufferShare,
}

impl AnswerBody {
    pub fn new(bytes: Vec<u8>, share: BufferShare) -> Self {
        Self { bytes, _share: share }
    }
}

impl Deref for AnswerBody {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.bytes
    }
}
