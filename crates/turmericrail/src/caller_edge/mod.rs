//! HTTP server for callers, operators and the load balancer.

pub mod body;
mod completions;
mod connection;
mod guarded_stream;
mod held_body;
mod operator_pages;
mod plain;
pub mod prefixes;
mod reply;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_std::net::TcpListener;
use async_std::task;
use tide::Server;

use crate::accept_loop::{self, AcceptLoop};
use crate::daemon::Shared;
use crate::error::StartError;
use crate::tcp_timeouts::limit_receive_buffer;

/// Longest wait at shutdown for the last answers to be written.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Time between checks for waiting callers while draining.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Consecutive checks without a waiting caller after which the last answers count as written.
const QUIET_CHECKS: usize = 5;

type App = Server<Arc<Shared>>;

fn app(shared: &Arc<Shared>) -> App {
    let mut app = Server::with_state(Arc::clone(shared));
    app.at("/v1/completions").post(completions::complete);
    app.at("/v1/completions/resume")
        .get(completions::resume)
        .post(completions::resume_with_request);
    app.at("/v1/tickets").post(plain::issue_tickets);
    app.at("/health").get(operator_pages::health);
    app.at("/ready").get(operator_pages::ready);
    app.at("/metrics").get(operator_pages::metrics);
    app.at("/status").get(operator_pages::status);
    app.at("/decisions/:request").get(operator_pages::decisions);
    app.at("/*").all(plain::call);
    app
}

/// Binds the caller address and accepts connections until the returned loop is stopped.
pub async fn listen(shared: &Arc<Shared>) -> Result<AcceptLoop, StartError> {
    let address = shared.settings.caller_address;
    let listener = TcpListener::bind(address).await;
    let listener = listener.map_err(|source| StartError::Listen { address, source })?;
    limit_receive_buffer(&listener, shared.settings.limits.receive_buffer_bytes);
    let app = app(shared);
    let shared = Arc::clone(shared);
    Ok(accept_loop::start(listener, move |stream| connection::start(&shared, &app, stream)))
}

/// Waits until the requests on the accepted connections have arrived and are answered, for at most
/// `DRAIN_TIMEOUT`.
pub async fn drain(shared: &Arc<Shared>) {
    let waiting = async {
        let mut quiet_checks = 0;
        while quiet_checks < QUIET_CHECKS {
            let is_quiet =
                shared.callers.is_empty() && shared.silent_connections.load(Ordering::SeqCst) == 0;
            quiet_checks = if is_quiet { quiet_checks + 1 } else { 0 };
            task::sleep(DRAIN_CHECK_INTERVAL).await;
        }
    };
    let _ = async_std::future::timeout(DRAIN_TIMEOUT, waiting).await;
}
