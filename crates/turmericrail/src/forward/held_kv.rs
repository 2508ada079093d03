//! A KV cache that waits at a prefill engine.

use std::sync::Arc;

use async_std::task;
use turmericrail_core::forward::ServerRun;
use turmericrail_core::units::Millis;
use turmericrail_platform::call::{self, KvSource};

use super::clock;
use super::control_call;
use super::shared::Shared;

/// A KV cache that waits at a prefill engine; freed there if nobody takes it.
pub struct HeldKv {
    shared: Arc<Shared>,
    source: KvSource,
    run: ServerRun,
    made_ms: Millis,
    is_done: bool,
}

impl HeldKv {
    /// The result of a prefill that has just ended.
    pub fn new(shared: &Arc<Shared>, source: KvSource, run: ServerRun) -> Self {
        let made_ms = clock::now_ms();
        Self { shared: Arc::clone(shared), source, run, made_ms, is_done: false }
    }

    /// Where it is.
    pub fn source(&self) -> &KvSource {
        &self.source
    }

    /// The engine that holds it.
    pub fn run(&self) -> &ServerRun {
        &self.run
    }

    /// Time since it was made.
    pub fn age_ms(&self) -> Millis {
        clock::now_ms().saturating_sub(self.made_ms)
    }

    /// Notes that an engine has taken it, or that it is gone.
    pub fn forget(&mut self) {
        self.is_done = true;
    }
}

impl Drop for HeldKv {
    fn drop(&mut self) {
        if !self.is_done {
            let (shared, source) = (Arc::clone(&self.shared), self.source.clone());
            task::spawn(release(shared, source, self.run.clone()));
        }
    }
}

/// Frees a KV cache. It expires within a second in any case, so that a failure is only logged.
async fn release(shared: Arc<Shared>, source: KvSource, run: ServerRun) {
    let mut bytes = Vec::new();
    call::write_release(&source, &run.server, &mut bytes);
    let answer = control_call::call(&shared, source.address, "DELETE", &bytes).await;
    let status = answer.map(|(status, _)| status).unwrap_or_default();
    spdlog::info!("event=kv_released server={} status={status}", run.server);
}
