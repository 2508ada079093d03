//! Serves one caller's connection, enforces the settings' limits on it and detects when the caller
//! closes it.
//!
//! The HTTP library notices that a caller is gone only when it writes. A separate task therefore
//! peeks at a clone of the stream for end of file. Peeking returns at once while bytes of a next
//! request wait, so the task sleeps between two peeks.

use std::collections::BTreeSet;
use std::net::Shutdown;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_h1::server::ConnectionStatus;
use async_std::io::prelude::*;
use async_std::net::TcpStream;
use async_std::task;
use futures_lite::FutureExt;
use http_types::{Request, Response};
use socket2::SockRef;
use turmericrail_core::caller_account::ConnectionPhase;
use turmericrail_core::error_kind::ErrorKind;
use turmericrail_core::event::Event;
use turmericrail_core::ids::RequestId;
use turmericrail_core::units::Bytes;
use turmericrail_wire::http1::HeadError;

use super::guarded_stream::{GuardedStream, MAX_HEAD_BYTES};
use super::{App, reply};
use crate::caller_memory::HeldConnection;
use crate::connection_close::{close_now, drain_and_close, reset_on_drop};
use crate::daemon::Shared;
use crate::tcp_timeouts::log_refusal;

/// Time between two peeks for end of file.
const PEEK_INTERVAL: Duration = Duration::from_millis(20);
/// Longest wait for end of file in [`CallerConnection::is_closed_by_caller`].
const PEEK_TIMEOUT: Duration = Duration::from_millis(5);
/// Time beyond the limit on unread answers after which the system gives up bytes that nobody
/// acknowledges: those of short answers never make a write wait.
const UNACKNOWLEDGED_MARGIN: Duration = Duration::from_millis(5_000);
/// Memory of a connection: its tasks, the socket and the timers.
const CONNECTION_BYTES: Bytes = Bytes(6 << 10);
/// Memory of a connection that reads a request beside the head and the body: the HTTP library's state
/// and buffer.
const READING_BYTES: Bytes = Bytes(16 << 10);
const REFUSAL_WRITE_TIMEOUT: Duration = Duration::from_millis(1_000);
const MAX_CLOSE_READS: usize = 64;
/// Connections beyond the limit that are sent a refusal at the same time.
const MAX_CONCURRENT_REFUSALS: usize = 64;

/// Number of refusals in progress.
static CONCURRENT_REFUSALS: AtomicUsize = AtomicUsize::new(0);

/// Why the head of a request is refused.
#[derive(Clone, Copy, Debug)]
enum HeadProblem {
    TimedOut,
    Malformed,
    /// There is no room to read it.
    NoRoom,
}

/// Why a connection is served no longer.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ServeEnd {
    /// It was closed, or refused or answered for the last time.
    Finished,
    /// The caller read nothing of its answer for too long, or while others had no room.
    AnswerUnread,
    /// It gave way to other connections.
    Evicted,
}

/// A caller's connection and its requests in progress; clones share them.
#[derive(Clone, Default)]
pub struct CallerConnection {
    requests: Arc<Mutex<BTreeSet<RequestId>>>,
    is_closed: Arc<AtomicBool>,
    has_sent_request: Arc<AtomicBool>,
    stream: Option<TcpStream>,
    held: Option<Arc<HeldConnection>>,
}

impl CallerConnection {
    /// Adds a request, which is cancelled when the connection closes.
    pub fn add_request(&self, shared: &Shared, request: RequestId) {
        self.requests.lock().unwrap_or_else(|_| std::process::abort()).insert(request);
        if self.is_closed.load(Ordering::SeqCst) {
            self.close(shared);
        }
    }

    /// The connection in the account of what callers hold; `None` without a connection.
    pub fn held(&self) -> Option<Arc<HeldConnection>> {
        self.held.clone()
    }

    /// Checks the stream itself for end of file.
    ///
    /// After a pause of the process the task that watches for it may not have run yet.
    pub async fn is_closed_by_caller(&self) -> bool {
        let Some(stream) = &self.stream else {
            return false;
        };
        let mut byte = [0];
        let peeked = async_std::future::timeout(PEEK_TIMEOUT, stream.peek(&mut byte)).await;
        matches!(peeked, Ok(Ok(0) | Err(_)))
    }

    /// Removes a request that was answered.
    pub fn remove_request(&self, request: RequestId) {
        self.requests.lock().unwrap_or_else(|_| std::process::abort()).remove(&request);
    }

    /// Records that the head of a request has arrived, or that none will.
    fn record_first_request(&self, shared: &Shared) {
        if !self.has_sent_request.swap(true, Ordering::SeqCst) {
            shared.silent_connections.fetch_sub(1, Ordering::SeqCst);
        }
    }

    fn close(&self, shared: &Shared) {
        self.is_closed.store(true, Ordering::SeqCst);
        let requests =
            std::mem::take(&mut *self.requests.lock().unwrap_or_else(|_| std::process::abort()));
        for request in requests {
            shared.callers.remove(request);
            shared.send_event(Event::CallerGone(request));
        }
    }
}

/// Starts a task that serves a connection until it closes, or refuses the connection.
pub fn start(shared: &Arc<Shared>, app: &App, stream: TcpStream) {
    set_options(shared, &stream);
    let Ok(held) = shared.caller_account.open(CONNECTION_BYTES) else {
        refuse_connection(shared, stream);
        return;
    };
    shared.metrics.connections.inc();
    shared.silent_connections.fetch_add(1, Ordering::SeqCst);
    let connection = CallerConnection {
        stream: Some(stream.clone()),
        held: Some(Arc::clone(&held)),
        ..CallerConnection::default()
    };
    let open = OpenConnection { shared: Arc::clone(shared), connection, stream };
    let app = app.clone();
    task::spawn(async move {
        let OpenConnection { shared, connection, stream } = &open;
        let close_watch =
            task::spawn(watch_for_close(Arc::clone(shared), connection.clone(), stream.clone()));
        let unread_timeout = Duration::from_millis(shared.settings.limits.stall_timeout_ms.0);
        let guarded_stream = GuardedStream::new(stream.clone(), &held);
        let serving = serve(shared, &app, connection, &held, &guarded_stream, stream);
        let unread = time_out_answer(&guarded_stream, unread_timeout);
        let end = serving.or(unread).or(evicted_in_answer(&held, &guarded_stream)).await;
        close_watch.cancel().await;
        if end == ServeEnd::AnswerUnread {
            spdlog::info!(
                "event=connection_ended reason=answer_unread unread_ms={}",
                guarded_stream.unread_time().as_millis()
            );
            reset_on_drop(stream);
            return;
        }
        if end == ServeEnd::Evicted {
            close_now(stream).await;
            return;
        }
        held.set_phase(ConnectionPhase::Closing);
        let evicted = async {
            held.evicted().await;
            0
        };
        drain_and_close(stream, MAX_CLOSE_READS).or(evicted).await;
    });
}

/// Sets no other timeout of the system: a caller that reads slowly, or whose link holds packets for
/// seconds, is alive.
fn set_options(shared: &Shared, stream: &TcpStream) {
    let unread_timeout = Duration::from_millis(shared.settings.limits.stall_timeout_ms.0);
    let timeout = unread_timeout + UNACKNOWLEDGED_MARGIN;
    log_refusal(SockRef::from(stream).set_tcp_user_timeout(Some(timeout)));
    log_refusal(stream.set_nodelay(true));
}

/// Closes the connection and updates the metric when dropped, even if the task panics.
struct OpenConnection {
    shared: Arc<Shared>,
    connection: CallerConnection,
    stream: TcpStream,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let _ = self.stream.shutdown(Shutdown::Both);
        self.connection.record_first_request(&self.shared);
        self.connection.close(&self.shared);
        self.shared.metrics.connections.dec();
    }
}

async fn serve(
    shared: &Shared,
    app: &App,
    connection: &CallerConnection,
    held: &Arc<HeldConnection>,
    guarded_stream: &GuardedStream,
    stream: &TcpStream,
) -> ServeEnd {
    let mut server =
        async_h1::server::Server::new(guarded_stream.clone(), |mut request: Request| {
            connection.record_first_request(shared);
            held.set_phase(ConnectionPhase::Serving);
            guarded_stream.start_body(request.len().map(|length| length as u64));
            request.ext_mut().insert(connection.clone());
            let answering = app.respond::<Request, Response>(request);
            let guarded_stream = guarded_stream.clone();
            async move {
                let answer = answering.await;
                guarded_stream.start_answer();
                answer
            }
        });
    let timeout = Duration::from_millis(shared.settings.limits.receive_timeout_ms.0);
    loop {
        guarded_stream.expect_head();
        let mut reading_held = held.hold();
        let serving = async {
            guarded_stream.wait_for_bytes().await;
            let room = reading_held.resize_when_free(READING_BYTES).await;
            room.map_err(|_| HeadProblem::NoRoom)?;
            // Boxed, so that a connection without a request doesn't hold the state of serving one.
            Box::pin(server.accept_one()).await.map_err(|_| HeadProblem::Malformed)
        };
        let serving = serving.or(evicted_in_head(held, guarded_stream));
        let status = serving.or(time_out_head(guarded_stream, timeout)).await;
        if held.is_evicted() || guarded_stream.has_no_room() {
            return ServeEnd::Evicted;
        }
        match status {
            Err(HeadProblem::NoRoom) => return ServeEnd::Evicted,
            Ok(ConnectionStatus::KeepAlive) => held.set_phase(ConnectionPhase::Idle),
            Err(problem)
                if guarded_stream.is_in_head() && guarded_stream.received_head_bytes() > 0 =>
            {
                refuse_head(shared, stream, problem, guarded_stream).await;
                return ServeEnd::Finished;
            }
            _ => return ServeEnd::Finished,
        }
    }
}

/// Returns an error if the connection gives way to others before a head is complete. Requests after
/// that are refused by their handlers.
async fn evicted_in_head(
    held: &HeldConnection,
    guarded_stream: &GuardedStream,
) -> Result<ConnectionStatus, HeadProblem> {
    held.evicted().await;
    if !guarded_stream.is_in_head() {
        std::future::pending::<()>().await;
    }
    Err(HeadProblem::TimedOut)
}

/// Returns once the caller has read nothing of an answer for `timeout`, and else never.
async fn time_out_answer(guarded_stream: &GuardedStream, timeout: Duration) -> ServeEnd {
    loop {
        let left = timeout.saturating_sub(guarded_stream.unread_time());
        if left.is_zero() {
            return ServeEnd::AnswerUnread;
        }
        task::sleep(left).await;
    }
}

/// Returns once the connection gives way to others since the caller doesn't read its answer, and else
/// never.
async fn evicted_in_answer(held: &HeldConnection, guarded_stream: &GuardedStream) -> ServeEnd {
    held.evicted().await;
    if !guarded_stream.is_in_answer() {
        std::future::pending::<()>().await;
    }
    ServeEnd::AnswerUnread
}

/// Returns an error if the head does not arrive within `timeout`, and else never returns.
async fn time_out_head(
    guarded_stream: &GuardedStream,
    timeout: Duration,
) -> Result<ConnectionStatus, HeadProblem> {
    task::sleep(timeout).await;
    if !guarded_stream.is_in_head() {
        std::future::pending::<()>().await;
    }
    Err(HeadProblem::TimedOut)
}

async fn refuse_head(
    shared: &Shared,
    stream: &TcpStream,
    problem: HeadProblem,
    guarded_stream: &GuardedStream,
) {
    let limit_ms = shared.settings.limits.receive_timeout_ms;
    let detail = match problem {
        HeadProblem::TimedOut => format!("it did not arrive within {limit_ms}: send it at once"),
        HeadProblem::Malformed if guarded_stream.received_head_bytes() >= MAX_HEAD_BYTES => {
            format!("it is longer than {MAX_HEAD_BYTES} bytes: shorten the path or the headers")
        }
        HeadProblem::Malformed | HeadProblem::NoRoom => match guarded_stream.problem() {
            Some(problem) if problem != HeadError::Malformed && problem != HeadError::BadHost => {
                format!("{problem}: send one body length or chunks, and a plain path")
            }
            _ => "it is no HTTP/1.1 head: send method, path, HTTP/1.1 and a host header, all in ASCII"
                .to_owned(),
        },
    };
    let kind = ErrorKind::HeadRefused;
    shared.metrics.answers.with_label_values(&[kind.answer().text]).inc();
    let answer = reply::raw_error(shared.next_request_id(), kind, &detail);
    let _ = async_std::io::timeout(REFUSAL_WRITE_TIMEOUT, (&*stream).write_all(&answer)).await;
}

/// Answers that there are too many connections.
///
/// Beyond [`MAX_CONCURRENT_REFUSALS`] the connection is closed without an answer.
fn refuse_connection(shared: &Arc<Shared>, stream: TcpStream) {
    let kind = ErrorKind::TooManyConnections;
    shared.metrics.answers.with_label_values(&[kind.answer().text]).inc();
    if CONCURRENT_REFUSALS.fetch_add(1, Ordering::SeqCst) >= MAX_CONCURRENT_REFUSALS {
        CONCURRENT_REFUSALS.fetch_sub(1, Ordering::SeqCst);
        return;
    }
    let answer = reply::raw_error(shared.next_request_id(), kind, "");
    task::spawn(async move {
        let _ = async_std::io::timeout(REFUSAL_WRITE_TIMEOUT, (&stream).write_all(&answer)).await;
        drain_and_close(&stream, MAX_CLOSE_READS).await;
        CONCURRENT_REFUSALS.fetch_sub(1, Ordering::SeqCst);
    });
}

/// Closes the connection on both sides once the caller has closed it.
async fn watch_for_close(shared: Arc<Shared>, connection: CallerConnection, stream: TcpStream) {
    let mut byte = [0];
    loop {
        match stream.peek(&mut byte).await {
            Ok(0) => break,
            Err(error) => {
                let error = error.kind();
                spdlog::info!("event=connection_ended reason=read_failed error={error:?}");
                break;
            }
            Ok(_) => task::sleep(PEEK_INTERVAL).await,
        }
    }
    // Shut down first: the answer to a request that ends here must not reach the caller.
    let _ = stream.shutdown(Shutdown::Both);
    connection.close(&shared);
}
