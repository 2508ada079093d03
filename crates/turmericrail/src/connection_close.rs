//! Closes a caller's connection without losing the last answer, or so that it looks broken.

use std::net::Shutdown;
use std::time::Duration;

use async_std::net::TcpStream;
use futures_lite::future;
use socket2::SockRef;

use crate::eager_read::read_with;
use crate::tcp_timeouts::log_refusal;

/// Longest wait for the caller to close its side.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Most reads of what has arrived before a connection is closed without waiting.
const MAX_READS_AT_ONCE: usize = 16;

/// Shuts down the write half, reads and discards what the caller still sends, and closes.
///
/// Closing a socket with unread bytes resets the connection, which can destroy the last answer on
/// its way to the caller. At most `max_reads` reads are done. Returns the number of bytes discarded.
pub async fn drain_and_close(stream: &TcpStream, max_reads: usize) -> u64 {
    let _ = stream.shutdown(Shutdown::Write);
    let mut discarded_bytes = 0;
    let draining = drain(stream, max_reads, &mut discarded_bytes);
    let _ = async_std::future::timeout(CLOSE_TIMEOUT, draining).await;
    let _ = stream.shutdown(Shutdown::Both);
    discarded_bytes
}

/// Closes a connection at once. What has arrived is read before, so that the last answer isn't
/// destroyed where the caller sends nothing more.
pub async fn close_now(stream: &TcpStream) {
    let _ = stream.shutdown(Shutdown::Write);
    future::poll_once(drain(stream, MAX_READS_AT_ONCE, &mut 0)).await;
    let _ = stream.shutdown(Shutdown::Both);
}

async fn drain(mut stream: &TcpStream, max_reads: usize, discarded_bytes: &mut u64) {
    for _ in 0..max_reads {
        match read_with(&mut stream, |_| {}).await {
            Ok(0) | Err(_) => return,
            Ok(read) => *discarded_bytes += read as u64,
        }
    }
}

/// Has the connection reset once it is dropped, so that an answer that ends with it doesn't look
/// complete.
pub fn reset_on_drop(stream: &TcpStream) {
    log_refusal(SockRef::from(stream).set_linger(Some(Duration::ZERO)));
}
