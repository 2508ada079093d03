//! Reads requests from a caller's connection within the configured limits and detects when the
//! caller closes it.

use std::io;
use std::time::Duration;

use async_std::io::prelude::*;
use async_std::net::TcpStream;
use async_std::task;
use futures_lite::FutureExt;
use futures_lite::future;
use turmericrail_core::error_kind::ErrorKind;
use turmericrail_core::forward::{RequestLimits, Tenant};
use turmericrail_core::request::RequestFingerprint;
use turmericrail_core::units::Millis;
use turmericrail_platform::request::{self, RequestMetadata};
use turmericrail_wire::http1::{BodyDecoder, HeadError, RequestHead};

use crate::connection_close::drain_and_close;
use crate::forward::clock;
use crate::forward::handover::{Origin, taking};
use crate::forward::servers::server_connection::READ_SIZE_BYTES;
use crate::forward::shared::Shared;

/// Largest amount of a pipelined request that is buffered while an answer is under way.
const MAX_PIPELINED_BYTES: usize = 64 * 1024;
/// Most reads while waiting for the caller to close; enough to drain the largest refused body.
const MAX_CLOSE_READS: usize = 512;
/// Time for which a connection waits for a request after it was to be closed, since a request may be
/// under way: a caller that finds its connection closed can't know whether its request has run.
const LATE_REQUEST_TIME: Duration = Duration::from_millis(1_500);
/// Time limit for a body if the request names no deadline.
const DEFAULT_BODY_TIMEOUT_MS: Millis = Millis(10_000);
const CONTINUE_ANSWER: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// A request that was read completely.
pub struct Request {
    pub head: RequestHead,
    /// The headers that the router itself evaluates.
    pub metadata: RequestMetadata,
    pub body: Vec<u8>,
    /// Monotonic time at which the head was complete.
    pub arrived_ms: Millis,
    pub origin: Origin,
}

impl Request {
    /// What the repeats of the request have in common, by caller, path and body. Ids of attempts,
    /// deadlines and positions in a stream differ between repeats.
    /// Tenants count in place of their keys, of which one may follow the other.
    pub fn fingerprint(&self, tenant: Option<&Tenant>) -> RequestFingerprint {
        let credentials = self.metadata.credentials.as_deref().unwrap_or_default();
        let caller = tenant.map_or(credentials, |tenant| tenant.name.as_str());
        let texts = [&self.head.method, &self.head.host, &self.head.target, caller];
        let [method, host, target, caller] = texts.map(str::as_bytes);
        RequestFingerprint::of(&[method, host, target, caller, &self.body])
    }
}

/// The result of waiting for a request.
pub enum Received {
    Request(Box<Request>),
    /// A request that can't be served, with its id if that is known.
    Refused(ErrorKind, Option<String>),
    /// The connection ended or is to be closed, and no complete request was read.
    Closed,
}

pub struct CallerConnection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
    is_of_instance: bool,
}

impl CallerConnection {
    /// Wraps a newly accepted connection.
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, buffer: Vec::new(), is_of_instance: false }
    }

    /// Wraps a newly accepted connection of another instance.
    pub fn of_instance(stream: TcpStream) -> Self {
        Self { is_of_instance: true, ..Self::new(stream) }
    }

    async fn fill(&mut self) -> io::Result<usize> {
        let mut bytes = [0; READ_SIZE_BYTES];
        let read = (&self.stream).read(&mut bytes).await?;
        self.buffer.extend_from_slice(&bytes[..read]);
        Ok(read)
    }

    /// Waits for the next request and reads it.
    pub async fn receive(&mut self, shared: &Shared) -> Received {
        let limits = match self.is_of_instance {
            true => taking::limits(shared.limits()),
            false => shared.limits(),
        };
        if self.buffer.is_empty() && !self.wait_for_bytes(shared, &limits).await {
            return Received::Closed;
        }
        let head_timeout = Duration::from_millis(limits.header_timeout_ms.0);
        let reading = self.read_head(&limits);
        let reading = reading.or(too_late(shared));
        let (mut head, arrived_ms) = match async_std::future::timeout(head_timeout, reading).await {
            Ok(Ok(Some(head))) => (head, clock::now_ms()),
            Ok(Ok(None)) => return Received::Closed,
            Ok(Err(kind)) => return Received::Refused(kind, None),
            Err(_) => return Received::Refused(ErrorKind::ReceiveTimeout, None),
        };
        let origin = match self.is_of_instance {
            true => taking::take_origin(&mut head.headers),
            false => Origin::Caller,
        };
        let metadata = request::parse(&head.headers);
        let request_id = metadata.request_id.clone();
        if head.expects_continue() && self.write(CONTINUE_ANSWER).await.is_err() {
            return Received::Closed;
        }
        let reading = self.read_body(&head, &limits);
        let reading = reading.or(too_late(shared));
        let timeout = body_timeout(shared, &head, &metadata);
        let body = match async_std::future::timeout(timeout, reading).await {
            Ok(Ok(Some(body))) => body,
            Ok(Ok(None)) => return Received::Closed,
            Ok(Err(kind)) => return Received::Refused(kind, request_id),
            Err(_) => return Received::Refused(ErrorKind::ReceiveTimeout, request_id),
        };
        Received::Request(Box::new(Request { head, metadata, body, arrived_ms, origin }))
    }

    /// Whether the first bytes of a request came before the connection ended, idled too long or was
    /// to be closed.
    async fn wait_for_bytes(&mut self, shared: &Shared, limits: &RequestLimits) -> bool {
        let idle_timeout = Duration::from_millis(limits.idle_timeout_ms.0);
        let reading = async { matches!(self.fill().await, Ok(read) if read > 0) };
        let closing = async {
            shared.idle_close.wait().await;
            task::sleep(LATE_REQUEST_TIME).await;
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
            let remaining_bytes =
                if let BodyDecoder::Length(remaining) = &decoder { *remaining } else { 0 };
            if body.len() as u64 + remaining_bytes > limits.max_body_bytes.0 {
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

    /// Returns once the caller has closed its side; buffers bytes of a next request until then.
    pub async fn wait_until_closed(&mut self) {
        while self.buffer.len() < MAX_PIPELINED_BYTES {
            if !matches!(self.fill().await, Ok(read) if read > 0) {
                return;
            }
        }
        future::pending().await
    }

    pub async fn write(&self, bytes: &[u8]) -> io::Result<()> {
        (&self.stream).write_all(bytes).await
    }

    /// Closes the connection without a reset: unread bytes would cause one before the caller has
    /// read the last answer.
    pub async fn close(self) {
        drain_and_close(&self.stream, MAX_CLOSE_READS).await;
    }
}

/// Time limit for the body: the caller's deadline, and at most the time limit of its route.
fn body_timeout(shared: &Shared, head: &RequestHead, metadata: &RequestMetadata) -> Duration {
    let forwarder = shared.forwarder();
    let route = forwarder.table().and_then(|table| table.find(&head.host, head.path()));
    let limit_ms = route.map_or(DEFAULT_BODY_TIMEOUT_MS, |route| route.timeout_ms);
    let requested_ms = metadata.deadline_ms.unwrap_or(DEFAULT_BODY_TIMEOUT_MS);
    Duration::from_millis(requested_ms.min(limit_ms).0)
}

/// Fails once the process is to end.
async fn too_late<T>(shared: &Shared) -> Result<T, ErrorKind> {
    shared.last_answers.wait().await;
    Err(ErrorKind::ReceiveTimeout)
}

fn head_error(error: HeadError) -> ErrorKind {
    spdlog::info!("event=head_refused problem={:?}", error.to_string());
    ErrorKind::HeadRefused
}
