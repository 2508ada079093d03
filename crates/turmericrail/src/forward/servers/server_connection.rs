//! A connection to a backend server or to the store.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use async_std::io::prelude::*;
use async_std::net::TcpStream;
use async_std::task;
use turmericrail_core::units::Millis;
use turmericrail_wire::buffer_growth::grow_for;
use turmericrail_wire::http1::{BodyDecoder, BodyFraming};

use super::answer_fault::AnswerFault;
use super::call_key::CallKey;
use crate::connection_close::reset_on_drop;
use crate::eager_read;
use crate::forward::calls::call_failure::CallFailure;
use crate::forward::clock;
use crate::tcp_timeouts::TcpTimeouts;

/// Reads after which other tasks may run; an answer of usual size takes fewer.
const MAX_READS_BETWEEN_YIELDS: u32 = 32;
/// Longest wait for a connection: a few round trips, and short enough for a retry to be worthwhile.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Time after which a connection wasn't given up in time: this process stood still, which says nothing
/// of the server.
const STALLED_CONNECT_MS: Millis = Millis(350);
/// Detects dead connections to servers and to the store after about three seconds of silence.
const TCP_TIMEOUTS: TcpTimeouts = TcpTimeouts {
    keepalive_interval: Duration::from_secs(1),
    max_unanswered_probes: 2,
    user_timeout: Duration::from_millis(2_500),
};

/// A connection with a read buffer, used for one call at a time.
pub struct ServerConnection {
    pub stream: TcpStream,
    /// Bytes that were read and not consumed yet.
    pub buffer: Vec<u8>,
    /// Monotonic time at which it was opened, or returned to the pool.
    pub last_used_ms: Millis,
    /// Time for which the server keeps it idle; `None` if it doesn't state one.
    pub keep_alive_ms: Option<Millis>,
    /// Whether a call was written whose answer has not been read whole.
    pub has_open_call: bool,
    /// Whether a write met an error of the connection. The system reports such an error only once, and
    /// a later read may find what looks like an orderly end.
    has_failed: bool,
    /// The keys of the calls that it has carried.
    pub carried_calls: Vec<CallKey>,
    /// Monotonic time of the last answer that granted something.
    pub last_grant_ms: Option<Millis>,
    reads_since_yield: u32,
}

/// Resets a connection that is given up with an open call. After an orderly close the system goes on
/// to deliver what a cut link has held back, long after the call was given up.
impl Drop for ServerConnection {
    fn drop(&mut self) {
        if self.has_open_call {
            reset_on_drop(&self.stream);
        }
    }
}

impl ServerConnection {
    pub async fn open(address: SocketAddr) -> Result<Self, CallFailure> {
        let stalled_ms = clock::now_ms() + STALLED_CONNECT_MS;
        let connecting = async_std::future::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
        let stream = match connecting.await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
                return Err(CallFailure::ConnectionRefused);
            }
            Err(_) if clock::now_ms() >= stalled_ms => return Err(CallFailure::NoTimeLeft),
            Ok(Err(_)) | Err(_) => return Err(CallFailure::NotSent),
        };
        TCP_TIMEOUTS.apply(&stream);
        let last_used_ms = clock::now_ms();
        Ok(Self {
            stream,
            buffer: Vec::new(),
            last_used_ms,
            keep_alive_ms: None,
            has_open_call: false,
            has_failed: false,
            carried_calls: Vec::new(),
            last_grant_ms: None,
            reads_since_yield: 0,
        })
    }

    /// Reads more into the buffer; returns the number of bytes, zero at the end of the stream.
    /// Dropping the future loses no bytes.
    pub async fn fill(&mut self) -> io::Result<usize> {
        eager_read::read_into(&self.stream, &mut self.buffer).await
    }

    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.has_open_call = true;
        (&self.stream).write_all(bytes).await
    }

    /// Records the error of a write.
    pub fn record_write_error(&mut self, kind: io::ErrorKind) {
        // A broken pipe means that the server had ended its side in order.
        self.has_failed |= kind != io::ErrorKind::BrokenPipe;
    }

    /// Checks whether a body is whole once a read has found the end of the connection.
    pub fn end_body(&self, decoder: &mut BodyDecoder) -> Result<(), CallFailure> {
        if self.has_failed {
            return Err(AnswerFault::FailedConnection.into());
        }
        decoder.end_of_input().map_err(|_| CallFailure::Lost)
    }

    /// Whether nothing arrived since the last answer and the server hasn't closed it.
    pub async fn is_usable(&mut self) -> bool {
        let read = futures_lite::future::poll_once(self.fill()).await;
        self.buffer.is_empty() && read.is_none()
    }

    /// As `fill`, and lets other tasks run now and then: a server that writes without a pause would
    /// keep them from it.
    pub async fn fill_fairly(&mut self) -> io::Result<usize> {
        self.reads_since_yield += 1;
        if self.reads_since_yield >= MAX_READS_BETWEEN_YIELDS {
            self.reads_since_yield = 0;
            task::yield_now().await;
        }
        self.fill().await
    }

    /// Reads a whole body while `may_hold` allows as many bytes as it takes in memory.
    pub async fn read_body(
        &mut self,
        framing: BodyFraming,
        mut may_hold: impl FnMut(usize) -> bool,
    ) -> Result<Vec<u8>, CallFailure> {
        let mut body = Vec::new();
        self.read_pieces(framing, |piece| {
            grow_for(&mut body, piece.len());
            body.extend_from_slice(piece);
            may_hold(body.capacity())
        })
        .await?;
        Ok(body)
    }

    /// Reads a body of at most `max_bytes` without holding it.
    pub async fn skip_body(
        &mut self,
        framing: BodyFraming,
        max_bytes: usize,
    ) -> Result<(), CallFailure> {
        let mut skipped_bytes = 0;
        self.read_pieces(framing, |piece| {
            skipped_bytes += piece.len();
            skipped_bytes <= max_bytes
        })
        .await
    }

    /// Reads a body in pieces, each of which `take_piece` must accept.
    async fn read_pieces(
        &mut self,
        framing: BodyFraming,
        mut take_piece: impl FnMut(&[u8]) -> bool,
    ) -> Result<(), CallFailure> {
        let mut decoder = BodyDecoder::new(framing);
        let mut piece = Vec::new();
        loop {
            piece.clear();
            let used = decoder.decode(&self.buffer, &mut piece).map_err(AnswerFault::from)?;
            self.buffer.drain(..used);
            if !take_piece(&piece) {
                return Err(CallFailure::Oversized);
            }
            if decoder.is_done() {
                return Ok(());
            }
            if self.fill_fairly().await.map_err(|_| CallFailure::Lost)? == 0 {
                return self.end_body(&mut decoder);
            }
        }
    }
}
