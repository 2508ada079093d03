//! A KV cache that a prefill engine holds until a decode engine fetches it.

use std::sync::Arc;

use async_std::task;
use turmericrail_core::forward::{ChosenServer, ServerRun};
use turmericrail_core::units::Millis;
use turmericrail_platform::call::{self, KvSource};

use super::call_context::CallContext;
use crate::forward::clock;
use crate::forward::servers::control_call;
use crate::forward::shared::Shared;

/// Time until an engine that is called has begun to fetch the KV cache.
const FETCH_TIME_MS: Millis = Millis(100);

/// A KV cache held by a prefill engine; dropping it frees the cache unless it was taken.
pub struct HeldKv {
    shared: Arc<Shared>,
    source: KvSource,
    engine: ChosenServer,
    created_ms: Millis,
    is_taken: bool,
}

impl HeldKv {
    /// Wraps the result of a prefill that has just ended.
    pub fn new(shared: &Arc<Shared>, source: KvSource, engine: ChosenServer) -> Self {
        let created_ms = clock::now_ms();
        Self { shared: Arc::clone(shared), source, engine, created_ms, is_taken: false }
    }

    /// The address and handle from which it is fetched.
    pub fn source(&self) -> &KvSource {
        &self.source
    }

    /// The engine that holds it.
    pub fn engine(&self) -> &ChosenServer {
        &self.engine
    }

    /// Time since the prefill ended.
    pub fn age_ms(&self) -> Millis {
        clock::now_ms().saturating_sub(self.created_ms)
    }

    /// Whether an engine that is called now can still fetch it.
    pub fn is_usable(&self, context: &CallContext<'_>) -> bool {
        self.age_ms() + FETCH_TIME_MS < context.handle_ttl_ms()
    }

    /// Marks it as taken by an engine or gone, so that dropping it frees nothing.
    pub fn mark_taken(&mut self) {
        self.is_taken = true;
    }
}

impl Drop for HeldKv {
    fn drop(&mut self) {
        if !self.is_taken {
            let (shared, source) = (Arc::clone(&self.shared), self.source.clone());
            task::spawn(release(shared, source, self.engine.run.clone()));
        }
    }
}

/// Frees a KV cache. A failure is only logged, since the engine drops the cache within a second in
/// any case.
async fn release(shared: Arc<Shared>, source: KvSource, run: ServerRun) {
    let mut bytes = Vec::new();
    call::write_release(&source, &run.server, &mut bytes);
    let answer = control_call::call(&shared, &run, source.address, "DELETE", &bytes).await;
    let status = answer.map(|(status, _)| status).unwrap_or_default();
    spdlog::info!("event=kv_released server={} status={status}", run.server);
}
