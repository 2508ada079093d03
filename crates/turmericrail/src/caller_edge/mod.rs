//! HTTP towards callers, operators and the balancer.

pub mod body;
mod completions;
mod connection;
mod guarded_stream;
mod pages;
mod plain;
pub mod prefixes;
mod reply;

use std::sync::Arc;
use std::time::Duration;

use async_std::net::TcpListener;
use async_std::stream::StreamExt;
use async_std::task::{self, JoinHandle};
use tide::Server;

use crate::daemon::Shared;
use crate::error::StartError;

/// Longest wait for the last bytes to reach callers at shutdown.
const DRAIN_LIMIT: Duration = Duration::from_millis(2_000);
/// Time between looks while draining.
const DRAIN_STEP: Duration = Duration::from_millis(20);

/// Looks without a waiting caller after which the last answers count as written.
const QUIET_STEPS: usize = 5;

type App = Server<Arc<Shared>>;

fn app(shared: &Arc<Shared>) -> App {
    let mut app = Server::with_state(Arc::clone(shared));
    app.at("/v1/completions").post(completions::complete);
    app.at("/v1/completions/resume")
        .get(completions::resume)
        .post(completions::resume_with_request);
    app.at("/v1/tickets").post(plain::issue_tickets);
    app.at("/health").get(pages::health);
    app.at("/ready").get(pages::ready);
    app.at("/metrics").get(pages::metrics);
    app.at("/status").get(pages::status);
    app.at("/decisions/:request").get(pages::decisions);
    app.at("/*").all(plain::call);
    app
}

/// Listens for callers until the task is cancelled.
pub async fn listen(shared: &Arc<Shared>) -> Result<JoinHandle<()>, StartError> {
    let address = shared.settings.caller_address;
    let listener = TcpListener::bind(address).await;
    let listener = listener.map_err(|source| StartError::Listen { address, source })?;
    let app = app(shared);
    let shared = Arc::clone(shared);
    let listening = task::spawn(async move {
        let mut incoming = listener.incoming();
        while let Some(stream) = incoming.next().await {
            let Ok(stream) = stream else {
                task::sleep(DRAIN_STEP).await;
                continue;
            };
            connection::start(&shared, &app, stream);
        }
    });
    Ok(listening)
}

/// Waits for the last requests to arrive and their answers to be written.
pub async fn drain(shared: &Arc<Shared>) {
    let waiting = async {
        let mut quiet_steps = 0;
        while quiet_steps < QUIET_STEPS {
            quiet_steps = if shared.callers.is_empty() { quiet_steps + 1 } else { 0 };
            task::sleep(DRAIN_STEP).await;
        }
    };
    let _ = async_std::future::timeout(DRAIN_LIMIT, waiting).await;
}
