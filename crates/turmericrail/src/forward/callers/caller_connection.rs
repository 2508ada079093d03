//! Reads requests from a caller's connection within the configured limits and detects when the
//! caller closes it.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use async_std::io::prelude::*;
use async_std::net::TcpStream;
use async_std::task;
use futures_lite::FutureExt;
use futures_lite::future;
use socket2::SockRef;
use turmericrail_core::caller_account::ConnectionPhase;
use turmericrail_core::error_kind::ErrorKind;
use turmericrail_core::forward::RequestLimits;
use turmericrail_core::units::{Bytes, Millis};
use turmericrail_platform::request::{self, RequestMetadata};
use turmericrail_wire::buffer_growth::grown_capacity;
use turmericrail_wire::http1::{BodyDecoder, HeadError, RequestHead};

use super::connection_end::ConnectionEnd;
use super::request::{Request, head_memory};
use super::unread::Unread;
use crate::caller_memory::{HeldBytes, HeldConnection};
use crate::connection_close::{close_now, drain_and_close, reset_on_drop};
use crate::eager_read;
use crate::forward::clock;
use crate::forward::handover::{Origin, taking};
use crate::forward::shared::Shared;
use crate::tcp_timeouts::log_refusal;

/// Largest amount of a pipelined request that is buffered while an answer is under way.
const MAX_PIPELINED_BYTES: usize = 64 * 1024;
/// First part of a body that is decoded at once. The rest is decoded in turn with other long bodies,
/// so that many of them don't keep this process from short requests.
const MAX_UNTURNED_BYTES: usize = 16 * 1024;
/// Most reads while waiting for the caller to close; enough to drain the largest refused body.
const MAX_CLOSE_READS: usize = 512;
/// Time for which a connection waits for a request after it was to be closed, since a request may be
/// under way: a caller that finds its connection closed can't know whether its request has run.
const LATE_REQUEST_TIME: Duration = Duration::from_millis(1_500);
/// Time for a body and its answer if the request names no deadline.
const DEFAULT_ANSWER_TIME_MS: Millis = Millis(10_000);
/// Time beyond the caller's deadline for which bytes written to it may stay unread. Its link may hold
/// packets for seconds.
const UNREAD_MARGIN_MS: Millis = Millis(5_000);
/// Memory of a connection beside its buffers: the task, the socket and the timers.
const CONNECTION_BYTES: Bytes = Bytes(6 * 1024);
/// Memory of a request beside its head and body while it is served, with the first part of its
/// answer.
const SERVING_BYTES: Bytes = Bytes(24 * 1024);
const CONTINUE_ANSWER: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

pub struct CallerConnection {
    pub stream: TcpStream,
    /// The connection in the account of what callers hold.
    held: Arc<HeldConnection>,
    buffer: Vec<u8>,
    buffer_held: HeldBytes,
    /// Bytes that the system may keep until they are read.
    receive_buffer: Bytes,
    is_of_instance: bool,
    /// Monotonic time of the accept, or of the last bytes.
    last_read_ms: Millis,
    /// Bytes read after the last whole request.
    unfinished_bytes: u64,
    /// Whole requests that were read.
    request_count: u64,
    /// Monotonic time of the accept, or at which the last head was complete.
    arrived_ms: Millis,
    /// Monotonic time until which the caller may leave answers unread.
    unread_until_ms: Millis,
}

impl CallerConnection {
    /// Wraps a newly accepted connection; `None` if there is no room for it.
    pub fn accept(shared: &Shared, stream: TcpStream) -> Option<Self> {
        let now_ms = clock::now_ms();
        let held = shared.caller_account.open(CONNECTION_BYTES).ok()?;
        Some(Self {
            stream,
            buffer: Vec::new(),
            buffer_held: held.hold(),
            held,
            receive_buffer: shared.settings().receive_buffer_bytes,
            is_of_instance: false,
            last_read_ms: now_ms,
            unfinished_bytes: 0,
            request_count: 0,
            arrived_ms: now_ms,
            unread_until_ms: now_ms + UNREAD_MARGIN_MS,
        })
    }

    /// Wraps a newly accepted connection of another instance; `None` if there is no room for it.
    pub fn accept_instance(shared: &Shared, stream: TcpStream) -> Option<Self> {
        Some(Self { is_of_instance: true, ..Self::accept(shared, stream)? })
    }

    /// Whether the connection gives way to another one.
    pub fn is_evicted(&self) -> bool {
        self.held.is_evicted()
    }

    /// Returns once the connection gives way to another one.
    async fn evicted<T>(held: Arc<HeldConnection>, end: T) -> T {
        held.evicted().await;
        end
    }

    /// Gives up what was read of a request that is refused.
    pub fn discard(&mut self) {
        self.held.set_phase(ConnectionPhase::Closing);
        self.buffer = Vec::new();
        self.buffer_held.set(Bytes::default());
    }

    /// Reads more into the buffer, or returns why that isn't possible: `closed` where the caller has
    /// closed its side.
    async fn fill(&mut self, closed: ConnectionEnd) -> Result<(), ConnectionEnd> {
        let read = eager_read::read_into(&self.stream, &mut self.buffer).await;
        let read = read.map_err(|error| ConnectionEnd::ReadFailed(error.kind()))?;
        if read == 0 {
            return Err(closed);
        }
        self.last_read_ms = clock::now_ms();
        self.unfinished_bytes += read as u64;
        self.hold_buffer().await
    }

    /// Counts the buffer in the account.
    async fn hold_buffer(&mut self) -> Result<(), ConnectionEnd> {
        if self.buffer.is_empty() {
            self.buffer = Vec::new();
        }
        let bytes = Bytes(self.buffer.capacity() as u64);
        if self.buffer_held.resize_when_free(bytes).await.is_err() {
            self.buffer_held.set(bytes);
            return Err(ConnectionEnd::NoRoom);
        }
        Ok(())
    }

    /// Waits for the next request and reads it.
    pub async fn receive(&mut self, shared: &Shared) -> Result<Request, Unread> {
        let limits = self.limits(shared);
        self.hold_buffer().await?;
        let held = Arc::clone(&self.held);
        if self.buffer.is_empty() {
            if self.request_count > 0 {
                held.set_phase(ConnectionPhase::Idle);
            }
            let evicted = Self::evicted(Arc::clone(&held), Err(ConnectionEnd::Evicted));
            self.wait_for_bytes(shared, &limits).or(evicted).await?;
        }
        held.set_phase(ConnectionPhase::Reading);
        let evicted = Self::evicted(Arc::clone(&held), Err(Unread::from(ConnectionEnd::NoRoom)));
        let head_timeout = Duration::from_millis(limits.header_timeout_ms.0);
        let reading = self.read_head(&limits).or(evicted).or(too_late(shared));
        let reading = async_std::future::timeout(head_timeout, reading);
        let mut head = match reading.await.unwrap_or_else(|_| timed_out()) {
            Err(Unread::Refused { kind, request_id, .. }) => {
                let is_head_call = begins_head_call(&self.buffer);
                return Err(Unread::Refused { kind, request_id, is_head_call });
            }
            head => head?,
        };
        let mut request_held = held.hold();
        request_held.resize_when_free(head_memory(&head)).await?;
        let arrived_ms = clock::now_ms();
        let origin = match self.is_of_instance {
            true => taking::take_origin(&mut head.headers),
            false => Origin::Caller,
        };
        let metadata = request::parse(&head.headers);
        if head.expects_continue()
            && let Err(error) = self.write(CONTINUE_ANSWER).await
        {
            return Err(Unread::Ended(ConnectionEnd::WriteFailed(error.kind())));
        }
        let timeout_ms = answer_time_ms(shared, &head, &metadata);
        self.arrived_ms = arrived_ms;
        self.unread_until_ms = self.unread_until_ms.max(arrived_ms + timeout_ms + UNREAD_MARGIN_MS);
        let timeout = Duration::from_millis(timeout_ms.0);
        let reading = self.read_body(shared, &head, &limits, &mut request_held);
        let evicted = Self::evicted(Arc::clone(&held), Err(Unread::from(ConnectionEnd::NoRoom)));
        let reading = reading.or(evicted).or(too_late(shared));
        let reading = async_std::future::timeout(timeout, reading);
        let body = reading.await.unwrap_or_else(|_| timed_out());
        // Another connection may have had this one give way when the end of the body arrived.
        let body = body.and_then(|body| held.start_serving().map(|()| body).map_err(Unread::from));
        let body = match body {
            Err(Unread::Refused { kind, .. }) => {
                let is_head_call = head.method == "HEAD";
                return Err(Unread::Refused {
                    kind,
                    request_id: metadata.request_id,
                    is_head_call,
                });
            }
            body => body?,
        };
        self.request_count += 1;
        self.unfinished_bytes = self.buffer.len() as u64;
        let unread_until_ms = self.unread_until_ms;
        let (connection, _held) = (held, request_held);
        Ok(Request { head, metadata, body, arrived_ms, unread_until_ms, origin, connection, _held })
    }

    /// Waits for the first bytes of a request, or returns why none came.
    async fn wait_for_bytes(
        &mut self,
        shared: &Shared,
        limits: &RequestLimits,
    ) -> Result<(), ConnectionEnd> {
        let began_ms = clock::now_ms();
        let mut limit_ms = limits.idle_timeout_ms;
        let end = loop {
            match self.wait_until(shared, began_ms + limit_ms).await {
                Err(ConnectionEnd::IdleLimit) => {}
                Err(ConnectionEnd::Stopping) => break ConnectionEnd::Stopping,
                result => return result,
            }
            // Callers go by the newest limit, which may have been raised meanwhile.
            let newest_ms = self.limits(shared).idle_timeout_ms;
            if newest_ms <= limit_ms {
                break ConnectionEnd::IdleLimit;
            }
            limit_ms = newest_ms;
        };
        // A request may have come while this task waited for its turn.
        let last_read = future::poll_once(self.fill(ConnectionEnd::ClosedIdle)).await;
        last_read.unwrap_or(Err(end))
    }

    /// Waits for bytes until a time, or until idle connections are to be closed.
    async fn wait_until(&mut self, shared: &Shared, end_ms: Millis) -> Result<(), ConnectionEnd> {
        let left_ms = end_ms.saturating_sub(clock::now_ms());
        let reading = self.fill(ConnectionEnd::ClosedIdle);
        let closing = async {
            shared.idle_close.wait().await;
            task::sleep(LATE_REQUEST_TIME).await;
            Err(ConnectionEnd::Stopping)
        };
        let waiting = reading.or(closing);
        let waited = async_std::future::timeout(Duration::from_millis(left_ms.0), waiting).await;
        waited.unwrap_or(Err(ConnectionEnd::IdleLimit))
    }

    /// The limits in force for requests on this connection.
    fn limits(&self, shared: &Shared) -> RequestLimits {
        match self.is_of_instance {
            true => taking::limits(shared.limits()),
            false => shared.limits(),
        }
    }

    async fn read_head(&mut self, limits: &RequestLimits) -> Result<RequestHead, Unread> {
        let refused = Unread::refused;
        loop {
            let parsed = RequestHead::parse(&self.buffer).map_err(head_error).map_err(refused)?;
            let limit = limits.max_header_bytes.0 as usize;
            if let Some((head, length)) = parsed {
                if length > limit {
                    return Err(refused(ErrorKind::HeadTooLarge));
                }
                self.buffer.drain(..length);
                return Ok(head);
            }
            if self.buffer.len() > limit {
                return Err(refused(ErrorKind::HeadTooLarge));
            }
            self.fill(ConnectionEnd::ClosedInHead).await?;
        }
    }

    async fn read_body(
        &mut self,
        shared: &Shared,
        head: &RequestHead,
        limits: &RequestLimits,
        held: &mut HeldBytes,
    ) -> Result<Vec<u8>, Unread> {
        let refused = Unread::refused;
        let head_bytes = head_memory(head);
        let mut decoder = BodyDecoder::new(head.framing);
        let mut body = Vec::new();
        loop {
            let capacity = grown_capacity(&body, decoder.max_body_bytes(self.buffer.len()));
            let body_bytes = Bytes((capacity + decoder.buffered_bytes()) as u64);
            held.resize_when_free(head_bytes + body_bytes).await?;
            body.reserve_exact(capacity - body.len());
            let is_in_turn = body.len() > MAX_UNTURNED_BYTES;
            let turn = if is_in_turn { Some(shared.body_turn.lock().await) } else { None };
            let used = decoder.decode(&self.buffer, &mut body);
            drop(turn);
            self.buffer.drain(..used.map_err(|_| refused(ErrorKind::HeadRefused))?);
            let remaining_bytes =
                if let BodyDecoder::Length(remaining) = &decoder { *remaining } else { 0 };
            if body.len() as u64 + remaining_bytes > limits.max_body_bytes.0 {
                return Err(refused(ErrorKind::TooLarge));
            }
            if decoder.is_done() {
                let request_bytes = head_bytes + Bytes(body.capacity() as u64);
                held.resize_when_free(request_bytes + SERVING_BYTES).await?;
                return Ok(body);
            }
            if self.buffer.is_empty() {
                self.hold_buffer().await?;
            }
            self.fill(ConnectionEnd::ClosedInBody).await?;
        }
    }

    /// Returns once the caller has closed its side; buffers bytes of a next request until then.
    pub async fn wait_until_closed(&mut self) -> ConnectionEnd {
        while self.buffer.len() < MAX_PIPELINED_BYTES {
            match self.fill(ConnectionEnd::ClosedInAnswer).await {
                Ok(()) => {}
                // What follows stays with the system until the answer is written.
                Err(ConnectionEnd::NoRoom) => break,
                Err(end) => return end,
            }
        }
        let buffer = Bytes(self.buffer.capacity() as u64);
        self.buffer_held.set(buffer + self.receive_buffer);
        future::pending().await
    }

    /// Writes as much as the system takes at once.
    pub async fn write_now(&self, bytes: &[u8]) {
        let _ = future::poll_once((&self.stream).write_all(bytes)).await;
    }

    /// Writes to a caller that may not read; fails if the connection gives way meanwhile.
    pub async fn write(&self, bytes: &[u8]) -> io::Result<()> {
        let timeout = Duration::from_millis(UNREAD_MARGIN_MS.0);
        let evicted = Self::evicted(Arc::clone(&self.held), Err(io::ErrorKind::TimedOut.into()));
        let mut stream = &self.stream;
        let writing = stream.write_all(bytes).or(evicted);
        async_std::io::timeout(timeout, writing).await
    }

    /// Closes the connection without a reset: unread bytes would cause one before the caller has
    /// read the last answer.
    pub async fn close(self, shared: &Shared, end: ConnectionEnd) {
        self.bound_unread_time();
        // No answer is under way, and a request that crosses the close must not be read: a reset tells
        // its caller that it was not.
        if matches!(
            end,
            ConnectionEnd::IdleLimit | ConnectionEnd::Stopping | ConnectionEnd::Evicted
        ) {
            self.log_end(shared, end, self.buffer.len() as u64);
            return;
        }
        self.held.set_phase(ConnectionPhase::Closing);
        let evicted = Self::evicted(Arc::clone(&self.held), 0);
        let drained_bytes = drain_and_close(&self.stream, MAX_CLOSE_READS).or(evicted).await;
        if self.is_evicted() {
            close_now(&self.stream).await;
        }
        self.log_end(shared, end, self.buffer.len() as u64 + drained_bytes);
    }

    /// Drops the connection at once, so that the caller sees that its answer is incomplete: it lacks
    /// the last chunk.
    pub fn abort(self, shared: &Shared, end: ConnectionEnd) {
        self.bound_unread_time();
        if matches!(end, ConnectionEnd::AnswerUnread | ConnectionEnd::Evicted) {
            reset_on_drop(&self.stream);
        }
        self.log_end(shared, end, self.buffer.len() as u64);
    }

    /// Has the system give up what the caller doesn't read of the last answer, once the connection is
    /// closed. It counts from the time at which these bytes were sent.
    fn bound_unread_time(&self) {
        let timeout_ms = self.unread_until_ms.saturating_sub(self.arrived_ms);
        let timeout = Duration::from_millis(timeout_ms.0);
        log_refusal(SockRef::from(&self.stream).set_tcp_user_timeout(Some(timeout)));
    }

    fn log_end(&self, shared: &Shared, end: ConnectionEnd, discarded_bytes: u64) {
        let (reason, error) = (end.reason(), end.error());
        shared.metrics.connection_ends.with_label_values(&[reason, error.as_str()]).inc();
        if matches!(end, ConnectionEnd::ClosedIdle | ConnectionEnd::Evicted) {
            return;
        }
        spdlog::info!(
            "event=connection_ended reason={reason} error={error} since_read_ms={} requests={} \
             unfinished_bytes={} discarded_bytes={discarded_bytes}",
            clock::now_ms().saturating_sub(self.last_read_ms).0,
            self.request_count,
            self.unfinished_bytes,
        );
    }
}

/// Whether the bytes of an unread head are those of a HEAD request.
fn begins_head_call(bytes: &[u8]) -> bool {
    bytes.trim_ascii_start().starts_with(b"HEAD ")
}

/// Longest time for the body and for the answer: the caller's deadline, and at most the time limit of
/// its route.
fn answer_time_ms(shared: &Shared, head: &RequestHead, metadata: &RequestMetadata) -> Millis {
    let forwarder = shared.forwarder();
    let route = forwarder.table().and_then(|table| table.find(&head.host, head.path()));
    let limit_ms = route.map_or(DEFAULT_ANSWER_TIME_MS, |route| route.timeout_ms);
    metadata.deadline_ms.unwrap_or(DEFAULT_ANSWER_TIME_MS).min(limit_ms)
}

/// Fails once the process is to end.
async fn too_late<T>(shared: &Shared) -> Result<T, Unread> {
    shared.last_answers.wait().await;
    timed_out()
}

fn timed_out<T>() -> Result<T, Unread> {
    Err(Unread::refused(ErrorKind::ReceiveTimeout))
}

fn head_error(error: HeadError) -> ErrorKind {
    spdlog::info!("event=head_refused problem={:?}", error.to_string());
    ErrorKind::HeadRefused
}
