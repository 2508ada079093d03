//! One connection to a backend server or to the store.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use async_std::io::prelude::*;
use async_std::net::TcpStream;
use turmericrail_core::units::Millis;
use turmericrail_wire::http1::{BodyDecoder, BodyFraming};

use super::clock;
use super::failure::CallFailure;
use crate::tcp_timeouts::TcpTimeouts;

/// Bytes read at a time.
pub const READ_BYTES: usize = 8 * 1024;
/// Longest wait for a connection; some round trips, and below any patience worth a retry.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Connections to servers, to the store and of callers end within about three seconds of silence.
pub const LIVENESS: TcpTimeouts = TcpTimeouts {
    keepalive_interval: Duration::from_secs(1),
    max_unanswered_probes: Some(2),
    user_timeout: Duration::from_millis(2_500),
};

/// One connection, and what was read from it and not used yet.
pub struct ServerConnection {
    /// The stream.
    pub stream: TcpStream,
    /// Bytes that were read and not used.
    pub buffer: Vec<u8>,
    /// Since when it is idle, or when it was opened.
    pub used_ms: Millis,
    /// Time for which the server keeps it idle, where it says so.
    pub keep_alive_ms: Option<Millis>,
}

impl ServerConnection {
    /// Opens a connection.
    pub async fn open(address: SocketAddr) -> Result<Self, CallFailure> {
        let connecting = async_std::future::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
        let stream = match connecting.await {
            Ok(Ok(stream)) => stream,
            Ok(Err(_)) | Err(_) => return Err(CallFailure::NotSent),
        };
        LIVENESS.apply(&stream);
        let used_ms = clock::now_ms();
        Ok(Self { stream, buffer: Vec::new(), used_ms, keep_alive_ms: None })
    }

    /// Reads more into the buffer; returns how much, zero at the end of the stream. Nothing is lost
    /// where the future is dropped.
    pub async fn fill(&mut self) -> io::Result<usize> {
        let mut bytes = [0; READ_BYTES];
        let read = (&self.stream).read(&mut bytes).await?;
        self.buffer.extend_from_slice(&bytes[..read]);
        Ok(read)
    }

    /// Writes bytes.
    pub async fn write(&self, bytes: &[u8]) -> io::Result<()> {
        (&self.stream).write_all(bytes).await
    }

    /// Whether nothing came since the last answer and the server has not closed it.
    pub async fn is_clean(&mut self) -> bool {
        let looked = futures_lite::future::poll_once(self.fill()).await;
        self.buffer.is_empty() && looked.is_none()
    }

    /// Reads a whole body of at most `max_bytes`.
    pub async fn read_body(
        &mut self,
        framing: BodyFraming,
        max_bytes: usize,
    ) -> Result<Vec<u8>, CallFailure> {
        let mut decoder = BodyDecoder::new(framing);
        let mut body = Vec::new();
        loop {
            let used = decoder.decode(&self.buffer, &mut body).map_err(|_| CallFailure::Lost)?;
            self.buffer.drain(..used);
            if body.len() > max_bytes {
                return Err(CallFailure::Lost);
            }
            if decoder.is_done() {
                return Ok(body);
            }
            if self.fill().await.map_err(|_| CallFailure::Lost)? == 0 {
                decoder.end_of_input().map_err(|_| CallFailure::Lost)?;
                return Ok(body);
            }
        }
    }
}
