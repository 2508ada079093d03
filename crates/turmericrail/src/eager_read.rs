//! Reads without a buffer of each waiting reader.

use std::cell::RefCell;
use std::future;
use std::io;
use std::pin::Pin;
use std::task::{Poll, ready};

use async_std::io::Read;
use async_std::net::TcpStream;
use turmericrail_wire::buffer_growth::grow_for;

/// Most bytes of one read.
const READ_SIZE_BYTES: usize = 8 * 1024;

thread_local! {
    static BYTES: RefCell<Vec<u8>> = RefCell::new(vec![0; READ_SIZE_BYTES]);
}

/// Waits for bytes and passes them on; returns their number, zero at the end of the stream. Dropping
/// the future loses no bytes.
pub async fn read_with(
    reader: &mut (impl Read + Unpin),
    mut take: impl FnMut(&[u8]),
) -> io::Result<usize> {
    future::poll_fn(|context| {
        BYTES.with_borrow_mut(|bytes| {
            let count = ready!(Pin::new(&mut *reader).poll_read(context, bytes))?;
            take(&bytes[..count]);
            Poll::Ready(Ok(count))
        })
    })
    .await
}

/// Waits for bytes and appends them to a buffer.
pub async fn read_into(mut stream: &TcpStream, buffer: &mut Vec<u8>) -> io::Result<usize> {
    read_with(&mut stream, |bytes| {
        grow_for(buffer, bytes.len());
        buffer.extend_from_slice(bytes);
    })
    .await
}
