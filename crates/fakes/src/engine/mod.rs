//! Prefill and decode engines.
//!
//! A prefill engine computes one prompt at a time and keeps the result for a short while; a decode
//! engine fetches the result from it and generates tokens at a fixed rate.

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
pub use stream::{EngineStream, Progress};

/// Time between looks for new tokens or cancellations.
const STEP: Duration = Duration::from_millis(2);

/// The stand-in for an engine; it takes both roles.
#[derive(Clone)]
pub struct FakeEngine {
    /// Where it listens.
    pub address: SocketAddr,
    inner: Arc<Inner>,
}

struct Inner {
    settings: EngineSettings,
    state: Mutex<EngineState>,
    compute: async_std::sync::Mutex<()>,
}

impl Inner {
    fn state(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().expect("no holder of the lock panics")
    }

    async fn thaw(&self) {
        while self.state().is_frozen {
            task::sleep(STEP).await;
        }
    }
}

type Shared = Arc<Inner>;

impl FakeEngine {
    /// Starts an engine.
    pub async fn start(settings: EngineSettings) -> std::io::Result<Self> {
        let inner = Inner { settings, state: Mutex::default(), compute: Default::default() };
        let inner = Arc::new(inner);
        let mut app = Server::with_state(Arc::clone(&inner));
        app.at("/prefill").post(prefill::prefill);
        app.at("/export").post(transfer::export);
        app.at("/import").post(transfer::import);
        app.at("/tokens").get(tokens::tokens);
        app.at("/cancel").post(cancel::cancel);
        app.at("/report").get(report::report);
        app.at("/orders").post(orders::take_order);
        let address = serve(app).await?;
        Ok(Self { address, inner })
    }

    /// State and switches.
    pub fn state(&self) -> MutexGuard<'_, EngineState> {
        self.inner.state()
    }
}

fn json(value: &impl serde::Serialize) -> tide::Result {
    Ok(Response::builder(200).body(Body::from_json(value)?).build())
}

fn admit(inner: &Inner) -> tide::Result<()> {
    if inner.state().is_down {
        return Err(tide::Error::from_str(StatusCode::ServiceUnavailable, "down"));
    }
    Ok(())
}

fn gone() -> tide::Result {
    Ok(Response::new(StatusCode::Gone))
}
