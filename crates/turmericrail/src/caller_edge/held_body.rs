//! The body of an answer that counts as held for its caller until it is written.

use std::pin::Pin;
use std::task::{Context, Poll};

use async_std::io::{BufRead, Cursor, Read, Result as IoResult};
use http_types::Body;
use turmericrail_core::units::Bytes;

use super::connection::CallerConnection;
use crate::caller_memory::HeldBytes;

struct HeldBody {
    bytes: Cursor<Vec<u8>>,
    _held: Option<HeldBytes>,
}

/// A body that counts as held until it is written. It has room in any case, as it was received already.
pub fn held_body(bytes: Vec<u8>, connection: &CallerConnection) -> Body {
    let length = bytes.len();
    let mut held = connection.held().map(|connection| connection.hold());
    if let Some(held) = &mut held {
        held.set(Bytes(length as u64));
    }
    Body::from_reader(HeldBody { bytes: Cursor::new(bytes), _held: held }, Some(length))
}

impl Read for HeldBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<IoResult<usize>> {
        Pin::new(&mut self.bytes).poll_read(context, buffer)
    }
}

impl BufRead for HeldBody {
    fn poll_fill_buf(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<IoResult<&[u8]>> {
        Pin::new(&mut self.get_mut().bytes).poll_fill_buf(context)
    }

    fn consume(mut self: Pin<&mut Self>, count: usize) {
        Pin::new(&mut self.bytes).consume(count);
    }
}
