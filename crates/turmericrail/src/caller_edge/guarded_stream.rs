//! Caller stream that protects the HTTP library from malformed and oversized requests.
//!
//! The HTTP library drops bytes that it has read beyond a request. This stream therefore returns
//! the bytes of one request at a time and keeps those of the next one. It also makes up for these
//! faults of the library:
//!
//! - It buffers a line of the head whatever its length.
//! - It panics on bytes outside ASCII in a header.
//! - It treats a body with an unknown transfer coding as empty.
//! - It resolves dot segments in paths, which leads to other routes.
//! - After the answer it reads an unread body to its end, however slowly that arrives.
//!
//! For the first four, reading fails before the library sees the end of the head: the head is
//! checked like that of a forwarded call. For the last, reading fails as soon as the answer is
//! ready.

use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use async_std::io::{Error, ErrorKind, Read, Result as IoResult, Write};
use async_std::net::TcpStream;
use turmericrail_core::caller_account::ConnectionPhase;
use turmericrail_core::units::Bytes;
use turmericrail_wire::http1::{HeadError, RequestHead};

use crate::caller_memory::{HeldBytes, HeldConnection};

/// Same as the HTTP library's own limit.
pub const MAX_HEAD_BYTES: u64 = 8 * 1024;
/// Stands for a body whose length is not declared in the head.
const UNKNOWN_LENGTH: u64 = u64::MAX;

/// Copies of a head while it arrives: this one and the HTTP library's.
const HEAD_COPIES: u64 = 2;

const HEAD_END_MARK: &[u8] = b"\r\n\r\n";

/// The head is being received.
const PHASE_HEAD: u8 = 0;
/// The handler is running; it limits the body.
const PHASE_BODY: u8 = 1;
/// The answer is ready; nothing more is read.
const PHASE_ANSWER: u8 = 2;

struct RequestState {
    phase: AtomicU8,
    received_head_bytes: AtomicU64,
    /// Bytes of [`HEAD_END_MARK`] matched so far.
    matched_end_bytes: AtomicUsize,
    remaining_body_bytes: AtomicU64,
    /// Bytes of the head received so far.
    head: Mutex<Vec<u8>>,
    problem: Mutex<Option<HeadError>>,
    /// Bytes read beyond the end of the head.
    read_ahead: Mutex<Vec<u8>>,
    /// The connection in the account of what callers hold.
    connection: Arc<HeldConnection>,
    /// The memory of the head.
    held: Mutex<HeldBytes>,
    /// Whether there was no room for the head.
    has_no_room: AtomicBool,
    /// Time since which a write waits for the caller to read.
    unread_since: Mutex<Option<Instant>>,
}

impl RequestState {
    /// Checks bytes up to the end of the head and returns how many belong to the head.
    fn check_head(&self, bytes: &[u8]) -> IoResult<usize> {
        let refusal = |problem| Err(Error::new(ErrorKind::InvalidData, problem));
        let mut matched = self.matched_end_bytes.load(Ordering::SeqCst);
        let mut count = 0;
        let mut is_ascii = true;
        for byte in bytes {
            if matched == HEAD_END_MARK.len() {
                break;
            }
            count += 1;
            is_ascii &= byte.is_ascii();
            matched = match *byte == HEAD_END_MARK[matched] {
                true => matched + 1,
                false => usize::from(*byte == HEAD_END_MARK[0]),
            };
        }
        self.matched_end_bytes.store(matched, Ordering::SeqCst);
        let before = self.received_head_bytes.fetch_add(count as u64, Ordering::SeqCst);
        if before + count as u64 > MAX_HEAD_BYTES {
            return refusal("the head is too long");
        }
        if !is_ascii {
            return refusal("the head holds a byte outside ASCII");
        }
        if !self.hold_head(before + count as u64) {
            self.has_no_room.store(true, Ordering::SeqCst);
            return refusal("there is no room for the head");
        }
        let mut head = lock(&self.head);
        head.extend_from_slice(&bytes[..count]);
        if matched < HEAD_END_MARK.len() {
            return Ok(count);
        }
        let whole_head = std::mem::take(&mut *head);
        match parse_strict_head(&whole_head) {
            Ok(_) => Ok(count),
            Err(problem) => {
                *lock(&self.problem) = Some(problem);
                Err(Error::new(ErrorKind::InvalidData, problem))
            }
        }
    }

    /// Counts the memory of a head; returns whether there is room for it.
    fn hold_head(&self, head_bytes: u64) -> bool {
        lock(&self.held).resize_at_once(Bytes(head_bytes * HEAD_COPIES)).is_ok()
    }

    /// Moves bytes that were read ahead into the buffer and returns their number.
    fn take_read_ahead(&self, buffer: &mut [u8]) -> usize {
        let mut read_ahead = lock(&self.read_ahead);
        let count = buffer.len().min(read_ahead.len());
        buffer[..count].copy_from_slice(&read_ahead[..count]);
        read_ahead.drain(..count);
        count
    }

    /// Keeps bytes that come after the head for the next read.
    fn put_back(&self, bytes: &[u8]) {
        lock(&self.read_ahead).splice(..0, bytes.iter().copied());
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|_| std::process::abort())
}

/// Parses a whole head and refuses what the HTTP library would misread.
fn parse_strict_head(bytes: &[u8]) -> Result<RequestHead, HeadError> {
    let (head, _) = RequestHead::parse(bytes)?.ok_or(HeadError::Malformed)?;
    if head.has_dot_segments() { Err(HeadError::DotSegments) } else { Ok(head) }
}

/// Stream of a caller's connection; clones share the state of the current request.
#[derive(Clone)]
pub struct GuardedStream {
    stream: TcpStream,
    request: Arc<RequestState>,
}

impl GuardedStream {
    /// Wraps the stream of a connection.
    pub fn new(stream: TcpStream, connection: &Arc<HeldConnection>) -> Self {
        let request = RequestState {
            phase: AtomicU8::default(),
            received_head_bytes: AtomicU64::default(),
            matched_end_bytes: AtomicUsize::default(),
            remaining_body_bytes: AtomicU64::default(),
            head: Mutex::default(),
            problem: Mutex::default(),
            read_ahead: Mutex::default(),
            connection: Arc::clone(connection),
            held: Mutex::new(connection.hold()),
            has_no_room: AtomicBool::default(),
            unread_since: Mutex::default(),
        };
        Self { stream, request: Arc::new(request) }
    }

    /// Starts to receive the head of the next request.
    pub fn expect_head(&self) {
        self.request.received_head_bytes.store(0, Ordering::SeqCst);
        self.request.matched_end_bytes.store(0, Ordering::SeqCst);
        *lock(&self.request.head) = Vec::new();
        self.request.hold_head(0);
        self.request.phase.store(PHASE_HEAD, Ordering::SeqCst);
    }

    /// Returns once there is something to read, or the connection has ended.
    pub async fn wait_for_bytes(&self) {
        if lock(&self.request.read_ahead).is_empty() {
            let _ = self.stream.peek(&mut [0]).await;
        }
    }

    /// Marks the head as complete; `length` is that of the body, if the head declares it.
    pub fn start_body(&self, length: Option<u64>) {
        self.request.remaining_body_bytes.store(length.unwrap_or(UNKNOWN_LENGTH), Ordering::SeqCst);
        self.request.phase.store(PHASE_BODY, Ordering::SeqCst);
    }

    /// Marks the answer as ready, after which reads fail.
    pub fn start_answer(&self) {
        self.request.phase.store(PHASE_ANSWER, Ordering::SeqCst);
    }

    /// Whether the head is still being received.
    pub fn is_in_head(&self) -> bool {
        self.request.phase.load(Ordering::SeqCst) == PHASE_HEAD
    }

    /// Whether there was no room for the head.
    pub fn has_no_room(&self) -> bool {
        self.request.has_no_room.load(Ordering::SeqCst)
    }

    /// Whether the answer is being written.
    pub fn is_in_answer(&self) -> bool {
        self.request.phase.load(Ordering::SeqCst) == PHASE_ANSWER
    }

    /// Time for which a write has waited for the caller to read; zero if none waits.
    pub fn unread_time(&self) -> Duration {
        lock(&self.request.unread_since).map_or(Duration::ZERO, |since| since.elapsed())
    }

    /// Returns the error that the check of a whole head found.
    pub fn problem(&self) -> Option<HeadError> {
        *lock(&self.request.problem)
    }

    /// Returns the number of bytes of the head received so far.
    pub fn received_head_bytes(&self) -> u64 {
        self.request.received_head_bytes.load(Ordering::SeqCst)
    }
}

impl Read for GuardedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<IoResult<usize>> {
        let phase = self.request.phase.load(Ordering::SeqCst);
        if phase == PHASE_ANSWER {
            return Poll::Ready(Err(Error::other("the request was not read to its end")));
        }
        let max_count = match phase {
            PHASE_HEAD => buffer.len(),
            _ => self.request.remaining_body_bytes.load(Ordering::SeqCst).min(buffer.len() as u64)
                as usize,
        };
        let buffer = &mut buffer[..max_count];
        let mut count = self.request.take_read_ahead(buffer);
        if count == 0 && max_count > 0 {
            count = ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        }
        if phase == PHASE_HEAD {
            let head_count = self.request.check_head(&buffer[..count])?;
            self.request.put_back(&buffer[head_count..count]);
            count = head_count;
        } else if self.request.remaining_body_bytes.load(Ordering::SeqCst) != UNKNOWN_LENGTH {
            self.request.remaining_body_bytes.fetch_sub(count as u64, Ordering::SeqCst);
        }
        Poll::Ready(Ok(count))
    }
}

impl Write for GuardedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<IoResult<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, buffer);
        let mut unread_since = lock(&self.request.unread_since);
        if written.is_pending() != unread_since.is_some() {
            let (since, phase) = match written.is_pending() {
                true => (Some(Instant::now()), ConnectionPhase::Unread),
                false => (None, ConnectionPhase::Serving),
            };
            *unread_since = since;
            self.request.connection.set_phase(phase);
        }
        drop(unread_since);
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<IoResult<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<IoResult<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
