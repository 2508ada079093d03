//! The end of a caller's connection, in order.

use std::net::Shutdown;
use std::time::Duration;

use async_std::io::prelude::*;
use async_std::net::TcpStream;

/// Longest wait for the caller's close.
const CLOSE_LIMIT: Duration = Duration::from_millis(1_000);
/// Bytes read at a time while waiting for it.
const CLOSE_BUFFER_BYTES: usize = 4 * 1024;

/// Closes so that the last answer is not lost to bytes that nobody read; these are read away, at
/// most `max_reads` times.
pub async fn drain_and_close(stream: &TcpStream, max_reads: usize) {
    let _ = stream.shutdown(Shutdown::Write);
    let mut buffer = vec![0; CLOSE_BUFFER_BYTES];
    let draining = async {
        for _ in 0..max_reads {
            match (&*stream).read(&mut buffer).await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
    };
    let _ = async_std::future::timeout(CLOSE_LIMIT, draining).await;
    let _ = stream.shutdown(Shutdown::Both);
}
