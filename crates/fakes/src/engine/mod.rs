//! Fake model engine with the HTTP interface of prefill and decode engines.
//!
//! It computes one prompt at a time and keeps each result for a short time. For decoding it fetches
//! a result from the prefill engine that holds it and generates tokens at a fixed rate.

mod cancel;
mod orders;
mod prefill;
mod report;
mod settings;
mod state;
mod stream;
mod tokens;
mod transfer;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use async_std::task;
use tide::{Body, Response, Server, StatusCode};

use crate::serve::serve;

pub use settings::EngineSettings;
pub use state::EngineState;
pub use stream::{EngineStream, TokenNotifier};

/// Interval at which waiting requests check the engine's switches.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Fake engine that serves both roles.
#[derive(Clone)]
pub struct FakeEngine {
    /// Listening address.
    pub address: SocketAddr,
    inner: Arc<Inner>,
}

struct Inner {
    settings: EngineSettings,
    state: Mutex<EngineState>,
    compute_lock: async_std::sync::Mutex<()>,
}

impl Inner {
    fn state(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().expect("no holder of the lock panics")
    }

    async fn wait_while_frozen(&self) {
        while self.state().is_frozen {
            task::sleep(POLL_INTERVAL).await;
        }
    }
}

type Shared = Arc<Inner>;

impl FakeEngine {
    /// Starts an engine on a free loopback port.
    pub async fn start(settings: EngineSettings) -> std::io::Result<Self> {
        let inner = Inner { settings, state: Mutex::default(), compute_lock: Default::default() };
        let inner = Arc::new(inner);
        let mut app = Server::with_state(Arc::clone(&inner));
        app.at("/prefill").post(prefill::prefill);
        app.at("/export").post(transfer::export);
        app.at("/import").post(transfer::import);
        app.at("/tokens").get(tokens::tokens);
        app.at("/cancel").post(cancel::cancel);
        app.at("/report").get(report::report);
        app.at("/orders").post(orders::handle_order);
        let address = serve(app).await?;
        Ok(Self { address, inner })
    }

    /// Locks the state, which includes the switches that tests set.
    pub fn state(&self) -> MutexGuard<'_, EngineState> {
        self.inner.state()
    }
}

fn json(value: &impl serde::Serialize) -> tide::Result {
    Ok(Response::builder(200).body(Body::from_json(value)?).build())
}

fn fail_if_down(inner: &Inner) -> tide::Result<()> {
    if inner.state().is_down {
        return Err(tide::Error::from_str(StatusCode::ServiceUnavailable, "down"));
    }
    Ok(())
}

fn gone() -> tide::Result {
    Ok(Response::new(StatusCode::Gone))
}
