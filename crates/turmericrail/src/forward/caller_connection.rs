//! One caller's connection: reading of requests within the limits, and the watch for its close.

use std::io;
use std::time::Duration;

use async_std::io::prelude::*;
use async_std::net::TcpStream;
use futures_lite::FutureExt;
use futures_lite::future;
use turmericrail_core::error_kind::ErrorKind;
use turmericrail_core::forward::RequestLimits;
use turmericrail_core::units::Millis;
use turmericrail_platform::request::{self, RequestFacts};
use turmericrail_wire::http1::{BodyDecoder, HeadError, RequestHead};

use super::clock;
use super::server_connection::READ_BYTES;
use super::shared::Shared;
use crate::connection_close::drain_and_close;

/// Most bytes of a next request that are held while an answer is under way.
const MAX_PIPELINED_BYTES: usize = 64 * 1024;
/// Most reads while waiting for the caller's close: those of the largest bodies that are refused.
const CLOSE_READS: usize = 512;
/// Longest time for a body to arrive where the request names no deadline.
const BODY_TIMEOUT_MS: Millis = Millis(10_000);
/// Tells a caller that waits for it to send the body.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// A request that was read whole.
pub struct Request {
    /// The head.
    pub head: RequestHead,
    /// What it says about itself.
    pub facts: RequestFacts,
    /// The body.
    pub body: Vec<u8>,
    /// When its head had arrived.
    pub arrived_ms: Millis,
}

/// What came of waiting for a request.
pub enum Received {
    /// A request.
    Request(Box<Request>),
    /// A request that can't be served, with its id where that is known.
    Refused(ErrorKind, Option<String>),
    /// The connection ended or is to end, and no request was under way.
    Closed,
}

/// One caller's connection.
pub struct CallerConnection {
    /// The stream.
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl CallerConnection {
    /// A connection that was just accepted.
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, buffer: Vec::new() }
    }

    async fn fill(&mut self) -> io::Result<usize> {
        let mut bytes = [0; READ_BYTES];
        let read = (&self.stream).read(&mut bytes).await?;
        self.buffer.extend_from_slice(&bytes[..read]);
        Ok(read)
    }

    /// Waits for the next request and reads it.
    pub async fn receive(&mut self, shared: &Shared) -> Received {
        let limits = shared.limits();
        if self.buffer.is_empty() && !self.wait_for_bytes(shared, &limits).await {
            return Received::Closed;
        }
        let head_timeout = Duration::from_millis(limits.header_timeout_ms.0);
        let reading = self.read_head(&limits);
        let (head, arrived_ms) = match async_std::future::timeout(head_timeout, reading).await {
            Ok(Ok(Some(head))) => (head, clock::now_ms()),
            Ok(Ok(None)) => return Received::Closed,
            Ok(Err(kind)) => return Received::Refused(kind, None),
            Err(_) => return Received::Refused(ErrorKind::ReceiveTimeout, None),
        };
        let facts = request::read(&head.headers);
        let request_id = facts.request_id.clone();
        if head.expects_continue() && self.write(CONTINUE).await.is_err() {
            return Received::Closed;
        }
        let body_timeout_ms = facts.deadline_ms.unwrap_or(BODY_TIMEOUT_MS);
        let reading = self.read_body(&head, &limits);
        let timeout = Duration::from_millis(body_timeout_ms.0);
        let body = match async_std::future::timeout(timeout, reading).await {
            Ok(Ok(Some(body))) => body,
            Ok(Ok(None)) => return Received::Closed,
            Ok(Err(kind)) => return Received::Refused(kind, request_id),
            Err(_) => return Received::Refused(ErrorKind::ReceiveTimeout, request_id),
        };
        Received::Request(Box::new(Request { head, facts, body, arrived_ms }))
    }

    /// Whether the first bytes of a request came before the connection ended or grew too old.
    async fn wait_for_bytes(&mut self, shared: &Shared, limits: &RequestLimits) -> bool {
        let idle_timeout = Duration::from_millis(limits.idle_timeout_ms.0);
        let reading = async { matches!(self.fill().await, Ok(read) if read > 0) };
        let closing = async {
            shared.idle_closing().await;
            false
        };
        let waiting = reading.or(closing);
        async_std::future::timeout(idle_timeout, waiting).await.unwrap_or(false)
    }

    async fn read_head(
        &mut self,
        limits: &RequestLimits,
    ) -> Result<Option<RequestHead>, ErrorKind> {
        loop {
            let parsed = RequestHead::parse(&self.buffer).map_err(head_error)?;
            let limit = limits.max_header_bytes.0 as usize;
            if let Some((head, length)) = parsed {
                if length > limit {
                    return Err(ErrorKind::HeadTooLarge);
                }
                self.buffer.drain(..length);
                return Ok(Some(head));
            }
            if self.buffer.len() > limit {
                return Err(ErrorKind::HeadTooLarge);
            }
            if !matches!(self.fill().await, Ok(read) if read > 0) {
                return Ok(None);
            }
        }
    }

    async fn read_body(
        &mut self,
        head: &RequestHead,
        limits: &RequestLimits,
    ) -> Result<Option<Vec<u8>>, ErrorKind> {
        let mut decoder = BodyDecoder::new(head.framing);
        let mut body = Vec::new();
        loop {
            let used = decoder.decode(&self.buffer, &mut body);
            self.buffer.drain(..used.map_err(|_| ErrorKind::HeadRefused)?);
            let announced = if let BodyDecoder::Length(left) = &decoder { *left } else { 0 };
            if body.len() as u64 + announced > limits.max_body_bytes.0 {
                return Err(ErrorKind::TooLarge);
            }
            if decoder.is_done() {
                return Ok(Some(body));
            }
            if !matches!(self.fill().await, Ok(read) if read > 0) {
                return Ok(None);
            }
        }
    }

    /// Returns once the caller has closed its side. Bytes of a next request are kept meanwhile.
    pub async fn closed(&mut self) {
        while self.buffer.len() < MAX_PIPELINED_BYTES {
            if !matches!(self.fill().await, Ok(read) if read > 0) {
                return;
            }
        }
        future::pending().await
    }

    /// Writes bytes.
    pub async fn write(&self, bytes: &[u8]) -> io::Result<()> {
        (&self.stream).write_all(bytes).await
    }

    /// Closes the connection in order: unread bytes would reset it before the caller has read the
    /// last answer.
    pub async fn close(self) {
        drain_and_close(&self.stream, CLOSE_READS).await;
    }
}

fn head_error(error: HeadError) -> ErrorKind {
    spdlog::info!("event=head_refused problem={:?}", error.to_string());
    ErrorKind::HeadRefused
}
