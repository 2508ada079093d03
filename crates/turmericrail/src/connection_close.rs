//! Closes a caller's connection without losing the last answer, or so that it looks broken.

use std::net::Shutdown;
use std::time::Duration;

use async_std::io::prelude::*;
use async_std::net::TcpStream;
use socket2::SockRef;

use crate::tcp_timeouts::log_refusal;

/// Longest wait for the caller to close its side.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Bytes discarded per read while waiting.
const DRAIN_BUFFER_BYTES: usize = 4 * 1024;

/// Shuts down the write half, reads and discards what the caller still sends, and closes.
///
/// Closing a socket with unread bytes resets the connection, which can destroy the last answer on
/// its way to the caller. At most `max_reads` reads are done. Returns the number of bytes discarded.
pub async fn drain_and_close(stream: &TcpStream, max_reads: usize) -> u64 {
    let _ = stream.shutdown(Shutdown::Write);
    let mut buffer = vec![0; DRAIN_BUFFER_BYTES];
    let mut discarded_bytes = 0;
    let draining = async {
        for _ in 0..max_reads {
            match (&*stream).read(&mut buffer).await {
                Ok(0) | Err(_) => return,
                Ok(read) => discarded_bytes += read as u64,
            }
        }
    };
    let _ = async_std::future::timeout(CLOSE_TIMEOUT, draining).await;
    let _ = stream.shutdown(Shutdown::Both);
    discarded_bytes
}

/// Has the connection reset once it is dropped, so that an answer that ends with it doesn't look
/// complete.
pub fn reset_on_drop(stream: &TcpStream) {
    log_refusal(SockRef::from(stream).set_linger(Some(Duration::ZERO)));
}
