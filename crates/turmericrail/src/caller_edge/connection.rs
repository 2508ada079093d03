//! One caller's connection: its limits and the watch for its close.
//!
//! The HTTP library notices a vanished caller only when it writes, so a clone of the stream is
//! watched for end of file. Waiting bytes of a next request make the look return at once; the
//! watch pauses between looks in any case.

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
use turmericrail_core::error_kind::ErrorKind;
use turmericrail_core::event::Event;
use turmericrail_core::ids::RequestId;
use turmericrail_wire::http1::HeadError;

use super::guarded_stream::{GuardedStream, MAX_HEAD_BYTES};
use super::{App, reply};
use crate::connection_close::drain_and_close;
use crate::daemon::Shared;
use crate::tcp_timeouts::TcpTimeouts;

/// Time between looks for end of file.
const WATCH_STEP: Duration = Duration::from_millis(20);
/// Time of a fresh look for end of file.
const FRESH_LOOK: Duration = Duration::from_millis(5);
/// Callers may be far away: connections end after some lost probes, or ten seconds without an
/// acknowledgement.
const LIVENESS: TcpTimeouts = TcpTimeouts {
    keepalive_interval: Duration::from_secs(5),
    max_unanswered_probes: None,
    user_timeout: Duration::from_secs(10),
};

/// Longest time to write a refusal.
const REFUSAL_LIMIT: Duration = Duration::from_millis(1_000);
/// Most reads while waiting for the caller's close.
const CLOSE_READS: usize = 64;
/// Most connections over the limit that are told so at a time.
const MAX_REFUSING: usize = 64;

/// Connections over the limit that are being told so.
static REFUSING: AtomicUsize = AtomicUsize::new(0);

/// What is wrong with the head of a request.
#[derive(Clone, Copy, Debug)]
enum HeadProblem {
    Slow,
    Malformed,
}

/// The requests in progress on one connection.
#[derive(Clone, Default)]
pub struct Connection {
    requests: Arc<Mutex<BTreeSet<RequestId>>>,
    is_closed: Arc<AtomicBool>,
    stream: Option<TcpStream>,
}

impl Connection {
    /// Adds a request to those that end when the connection closes.
    pub fn add(&self, shared: &Shared, request: RequestId) {
        self.requests.lock().unwrap_or_else(|_| std::process::abort()).insert(request);
        if self.is_closed.load(Ordering::SeqCst) {
            self.close(shared);
        }
    }

    /// Whether the caller has closed the connection, seen by a fresh look: the watch may be behind
    /// where the process was paused.
    pub async fn has_ended(&self) -> bool {
        let Some(stream) = &self.stream else {
            return false;
        };
        let mut byte = [0];
        let looking = async_std::future::timeout(FRESH_LOOK, stream.peek(&mut byte)).await;
        matches!(looking, Ok(Ok(0) | Err(_)))
    }

    /// Removes a request that was answered.
    pub fn remove(&self, request: RequestId) {
        self.requests.lock().unwrap_or_else(|_| std::process::abort()).remove(&request);
    }

    fn close(&self, shared: &Shared) {
        self.is_closed.store(true, Ordering::SeqCst);
        let requests =
            std::mem::take(&mut *self.requests.lock().unwrap_or_else(|_| std::process::abort()));
        for request in requests {
            shared.callers.forget(request);
            shared.tell(Event::CallerGone(request));
        }
    }
}

/// Serves one connection until it closes.
pub fn start(shared: &Arc<Shared>, app: &App, stream: TcpStream) {
    LIVENESS.apply(&stream);
    let connections = &shared.metrics.connections;
    if connections.get() as u64 >= shared.settings.limits.max_connections {
        refuse(shared, stream);
        return;
    }
    connections.inc();
    let connection = Connection { stream: Some(stream.clone()), ..Connection::default() };
    let open = OpenConnection { shared: Arc::clone(shared), connection, stream };
    let app = app.clone();
    task::spawn(async move {
        let OpenConnection { shared, connection, stream } = &open;
        let watch = task::spawn(watch(Arc::clone(shared), connection.clone(), stream.clone()));
        serve(shared, &app, connection, stream).await;
        watch.cancel().await;
        drain_and_close(stream, CLOSE_READS).await;
    });
}

/// A connection that counts until it is dropped, also where its task panics.
struct OpenConnection {
    shared: Arc<Shared>,
    connection: Connection,
    stream: TcpStream,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let _ = self.stream.shutdown(Shutdown::Both);
        self.connection.close(&self.shared);
        self.shared.metrics.connections.dec();
    }
}

async fn serve(shared: &Shared, app: &App, connection: &Connection, stream: &TcpStream) {
    let guarded = GuardedStream::new(stream.clone());
    let mut server = async_h1::server::Server::new(guarded.clone(), |mut request: Request| {
        guarded.start_body(request.len().map(|length| length as u64));
        request.ext_mut().insert(connection.clone());
        let answering = app.respond::<Request, Response>(request);
        let guarded = guarded.clone();
        async move {
            let answer = answering.await;
            guarded.start_answer();
            answer
        }
    });
    let limit = Duration::from_millis(shared.settings.limits.receive_timeout_ms.0);
    loop {
        guarded.expect_head();
        let serving = async { server.accept_one().await.map_err(|_| HeadProblem::Malformed) };
        let status = serving.or(watch_head(&guarded, limit)).await;
        match status {
            Ok(ConnectionStatus::KeepAlive) => {}
            Err(problem) if guarded.is_in_head() && guarded.head_bytes() > 0 => {
                refuse_head(shared, stream, problem, &guarded).await;
                return;
            }
            _ => return,
        }
    }
}

/// Ends with an error when a head does not arrive in time, else never.
async fn watch_head(
    guarded: &GuardedStream,
    limit: Duration,
) -> Result<ConnectionStatus, HeadProblem> {
    task::sleep(limit).await;
    if !guarded.is_in_head() {
        std::future::pending::<()>().await;
    }
    Err(HeadProblem::Slow)
}

async fn refuse_head(
    shared: &Shared,
    stream: &TcpStream,
    problem: HeadProblem,
    guarded: &GuardedStream,
) {
    let limit_ms = shared.settings.limits.receive_timeout_ms;
    let detail = match problem {
        HeadProblem::Slow => format!("it did not arrive within {limit_ms}: send it at once"),
        HeadProblem::Malformed if guarded.head_bytes() >= MAX_HEAD_BYTES => {
            format!("it is longer than {MAX_HEAD_BYTES} bytes: shorten the path or the headers")
        }
        HeadProblem::Malformed => match guarded.problem() {
            Some(problem) if problem != HeadError::Malformed && problem != HeadError::BadHost => {
                format!("{problem}: send one body length or chunks, and a plain path")
            }
            _ => "it is no HTTP/1.1 head: send method, path, HTTP/1.1 and a host header, all in ASCII"
                .to_owned(),
        },
    };
    let kind = ErrorKind::HeadRefused;
    shared.metrics.answers.with_label_values(&[kind.answer().text]).inc();
    let answer = reply::raw_error(shared.next_request(), kind, &detail);
    let _ = async_std::io::timeout(REFUSAL_LIMIT, (&*stream).write_all(&answer)).await;
}

/// Tells a caller that there are too many connections; past a bound, closes without a word.
fn refuse(shared: &Arc<Shared>, stream: TcpStream) {
    let kind = ErrorKind::TooManyConnections;
    shared.metrics.answers.with_label_values(&[kind.answer().text]).inc();
    if REFUSING.fetch_add(1, Ordering::SeqCst) >= MAX_REFUSING {
        REFUSING.fetch_sub(1, Ordering::SeqCst);
        return;
    }
    let answer = reply::raw_error(shared.next_request(), kind, "");
    task::spawn(async move {
        let _ = async_std::io::timeout(REFUSAL_LIMIT, (&stream).write_all(&answer)).await;
        drain_and_close(&stream, CLOSE_READS).await;
        REFUSING.fetch_sub(1, Ordering::SeqCst);
    });
}

async fn watch(shared: Arc<Shared>, connection: Connection, stream: TcpStream) {
    let mut byte = [0];
    loop {
        match stream.peek(&mut byte).await {
            Ok(0) | Err(_) => break,
            Ok(_) => task::sleep(WATCH_STEP).await,
        }
    }
    connection.close(&shared);
    let _ = stream.shutdown(Shutdown::Both);
}
