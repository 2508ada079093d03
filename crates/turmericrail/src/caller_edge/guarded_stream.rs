//! A caller's stream with a check of the head of each request.
//!
//! The HTTP library loses what it has read beyond a request, so this stream hands out a request's
//! bytes alone and keeps those of the next. The library also reads a head line of any length into
//! memory, panics on bytes outside ASCII in a header, takes a transfer coding that it does not know
//! as no body, resolves dot segments into other routes, and after an answer reads an unread body to
//! its end however slowly that comes. This stream fails the last at once and the others before the
//! library sees the end of the head, by the same check that forwarded calls pass.

use std::pin::Pin;
use std::sync::atomic::{AtomicU8, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll, ready};

use async_std::io::{Error, ErrorKind, Read, Result as IoResult, Write};
use async_std::net::TcpStream;
use turmericrail_wire::http1::{HeadError, RequestHead};

/// Longest head of a request, in bytes; the HTTP library's own limit.
pub const MAX_HEAD_BYTES: u64 = 8 * 1024;
/// Length of a body that the head does not tell.
const UNKNOWN_LENGTH: u64 = u64::MAX;

/// End of a head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// The head is arriving.
const HEAD: u8 = 0;
/// The request is with its handler, which bounds the body.
const BODY: u8 = 1;
/// The answer is decided; nothing more is read.
const ANSWER: u8 = 2;

#[derive(Debug, Default)]
struct Guard {
    phase: AtomicU8,
    head_bytes: AtomicU64,
    end_bytes: AtomicUsize,
    body_bytes: AtomicU64,
    /// The head as far as it has come.
    head: Mutex<Vec<u8>>,
    problem: Mutex<Option<HeadError>>,
    next: Mutex<Vec<u8>>,
}

impl Guard {
    /// Checks the next bytes up to the end of the head and returns how many belong to it.
    fn check_head(&self, bytes: &[u8]) -> IoResult<usize> {
        let refusal = |problem| Err(Error::new(ErrorKind::InvalidData, problem));
        let mut matched = self.end_bytes.load(Ordering::SeqCst);
        let mut count = 0;
        let mut is_ascii = true;
        for byte in bytes {
            if matched == HEAD_END.len() {
                break;
            }
            count += 1;
            is_ascii &= byte.is_ascii();
            matched = match *byte == HEAD_END[matched] {
                true => matched + 1,
                false => usize::from(*byte == HEAD_END[0]),
            };
        }
        self.end_bytes.store(matched, Ordering::SeqCst);
        let before = self.head_bytes.fetch_add(count as u64, Ordering::SeqCst);
        if before + count as u64 > MAX_HEAD_BYTES {
            return refusal("the head is too long");
        }
        if !is_ascii {
            return refusal("the head holds a byte outside ASCII");
        }
        let mut head = lock(&self.head);
        head.extend_from_slice(&bytes[..count]);
        if matched < HEAD_END.len() {
            return Ok(count);
        }
        let parsed = std::mem::take(&mut *head);
        match strict_head(&parsed) {
            Ok(_) => Ok(count),
            Err(problem) => {
                *lock(&self.problem) = Some(problem);
                Err(Error::new(ErrorKind::InvalidData, problem))
            }
        }
    }

    /// Takes bytes that were read before.
    fn take_next(&self, buffer: &mut [u8]) -> usize {
        let mut next = lock(&self.next);
        let count = buffer.len().min(next.len());
        buffer[..count].copy_from_slice(&next[..count]);
        next.drain(..count);
        count
    }

    /// Keeps bytes that belong to what follows.
    fn put_back(&self, bytes: &[u8]) {
        lock(&self.next).splice(..0, bytes.iter().copied());
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|_| std::process::abort())
}

/// Checks a whole head.
fn strict_head(bytes: &[u8]) -> Result<RequestHead, HeadError> {
    let (head, _) = RequestHead::parse(bytes)?.ok_or(HeadError::Malformed)?;
    if head.has_dot_segments() { Err(HeadError::DotSegments) } else { Ok(head) }
}

/// The stream.
#[derive(Clone, Debug)]
pub struct GuardedStream {
    stream: TcpStream,
    guard: Arc<Guard>,
}

impl GuardedStream {
    /// A guard around a stream.
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, guard: Arc::default() }
    }

    /// Expects the head of the next request.
    pub fn expect_head(&self) {
        self.guard.head_bytes.store(0, Ordering::SeqCst);
        self.guard.end_bytes.store(0, Ordering::SeqCst);
        lock(&self.guard.head).clear();
        self.guard.phase.store(HEAD, Ordering::SeqCst);
    }

    /// Marks the head as complete; the length of the body is given where the head tells it.
    pub fn start_body(&self, length: Option<u64>) {
        self.guard.body_bytes.store(length.unwrap_or(UNKNOWN_LENGTH), Ordering::SeqCst);
        self.guard.phase.store(BODY, Ordering::SeqCst);
    }

    /// Marks the answer as decided.
    pub fn start_answer(&self) {
        self.guard.phase.store(ANSWER, Ordering::SeqCst);
    }

    /// Whether the head is not complete.
    pub fn is_in_head(&self) -> bool {
        self.guard.phase.load(Ordering::SeqCst) == HEAD
    }

    /// What the check of the whole head found.
    pub fn problem(&self) -> Option<HeadError> {
        *lock(&self.guard.problem)
    }

    /// Bytes of the head that have come.
    pub fn head_bytes(&self) -> u64 {
        self.guard.head_bytes.load(Ordering::SeqCst)
    }
}

impl Read for GuardedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<IoResult<usize>> {
        let phase = self.guard.phase.load(Ordering::SeqCst);
        if phase == ANSWER {
            return Poll::Ready(Err(Error::other("the request was not read to its end")));
        }
        let room = match phase {
            HEAD => buffer.len(),
            _ => self.guard.body_bytes.load(Ordering::SeqCst).min(buffer.len() as u64) as usize,
        };
        let buffer = &mut buffer[..room];
        let mut count = self.guard.take_next(buffer);
        if count == 0 && room > 0 {
            count = ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        }
        if phase == HEAD {
            let of_head = self.guard.check_head(&buffer[..count])?;
            self.guard.put_back(&buffer[of_head..count]);
            count = of_head;
        } else if self.guard.body_bytes.load(Ordering::SeqCst) != UNKNOWN_LENGTH {
            self.guard.body_bytes.fetch_sub(count as u64, Ordering::SeqCst);
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
        Pin::new(&mut self.stream).poll_write(context, buffer)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<IoResult<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<IoResult<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
