//! One caller's connection: its limits and the watch for its close.
//!
//! The HTTP library notices a vanished caller only when it writes, so a clone of the stream is
//! watched for end of file. Waiting bytes of a next request make the look return at once; the
//! watch pauses between looks in any case.

use std::collections::BTreeSet;
use std::net::Shutdown;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_std::net::TcpStream;
use async_std::task;
use turmericrail_core::event::Event;
use turmericrail_core::ids::RequestId;

use super::App;
use crate::daemon::Shared;

/// Time between looks for end of file.
const WATCH_STEP: Duration = Duration::from_millis(20);
/// Time after which unacknowledged bytes close the connection.
const USER_TIMEOUT: Duration = Duration::from_secs(10);
/// Idle time before keepalive probes.
const KEEPALIVE: Duration = Duration::from_secs(5);

/// The requests in progress on one connection.
#[derive(Clone, Default)]
pub struct Connection {
    requests: Arc<Mutex<BTreeSet<RequestId>>>,
    is_closed: Arc<AtomicBool>,
}

impl Connection {
    /// Adds a request to those that end when the connection closes.
    pub fn add(&self, shared: &Shared, request: RequestId) {
        self.requests.lock().unwrap_or_else(|_| std::process::abort()).insert(request);
        if self.is_closed.load(Ordering::SeqCst) {
            self.close(shared);
        }
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
    let connections = &shared.metrics.connections;
    if connections.get() as u64 >= shared.settings.limits.max_connections {
        return;
    }
    connections.inc();
    set_liveness(&stream);
    let connection = Connection::default();
    let (shared, app) = (Arc::clone(shared), app.clone());
    task::spawn(async move {
        let watch = task::spawn(watch(Arc::clone(&shared), connection.clone(), stream.clone()));
        let accepting = async_h1::accept(stream.clone(), |mut request| {
            request.ext_mut().insert(connection.clone());
            app.respond(request)
        });
        let _ = accepting.await;
        let _ = stream.shutdown(Shutdown::Both);
        watch.cancel().await;
        connection.close(&shared);
        shared.metrics.connections.dec();
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

fn set_liveness(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let socket = socket2::SockRef::from(stream);
    let _ = socket.set_tcp_user_timeout(Some(USER_TIMEOUT));
    let keepalive = socket2::TcpKeepalive::new().with_time(KEEPALIVE).with_interval(KEEPALIVE);
    let _ = socket.set_tcp_keepalive(&keepalive);
}
