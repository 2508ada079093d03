//! A place at a decode engine, reserved before the prompt is read.

use std::sync::Arc;

use async_std::task;
use turmericrail_core::forward::ChosenServer;
use turmericrail_core::units::{Millis, Tokens};
use turmericrail_platform::reservation;

use super::clock;
use super::shared::Shared;
use super::side_call;

/// What came of asking for a place.
pub enum Asked {
    /// It was reserved.
    Reserved(Reservation),
    /// The engine is full.
    Full,
    /// The engine did not answer, or in a way that can't be used.
    Failed,
}

/// A place at a decode engine; given back if nobody uses it.
pub struct Reservation {
    shared: Arc<Shared>,
    choice: ChosenServer,
    id: String,
    expires_ms: Millis,
    is_used: bool,
}

impl Reservation {
    /// Asks an engine for a place.
    pub async fn ask(
        shared: &Arc<Shared>,
        choice: &ChosenServer,
        tokens: Tokens,
        ttl_ms: Millis,
    ) -> Asked {
        let mut bytes = Vec::new();
        let server = &choice.run.server;
        reservation::write_take(choice.address, server, tokens, ttl_ms, &mut bytes);
        let asked_ms = clock::now_ms();
        let answer = side_call::call(shared, choice.address, "POST", &bytes).await;
        let (status, body) = answer.unwrap_or_default();
        spdlog::debug!("event=reservation server={server} tokens={} status={status}", tokens.0);
        match status {
            200 => {}
            503 => return Asked::Full,
            _ => return Asked::Failed,
        }
        match reservation::decode_taken(&body) {
            Ok(id) => Asked::Reserved(Self {
                shared: Arc::clone(shared),
                choice: choice.clone(),
                id,
                expires_ms: asked_ms + ttl_ms,
                is_used: false,
            }),
            Err(error) => {
                let error = error.to_string();
                spdlog::warn!("event=reservation_malformed server={server} error={error:?}");
                Asked::Failed
            }
        }
    }

    /// Its id, which a run of the call names; nothing where it has expired.
    pub fn id(&self) -> Option<&str> {
        (clock::now_ms() < self.expires_ms).then_some(self.id.as_str())
    }

    /// Notes that a run has used it.
    pub fn note_used(&mut self) {
        self.is_used = true;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if self.is_used || clock::now_ms() >= self.expires_ms {
            return;
        }
        let (shared, choice) = (Arc::clone(&self.shared), self.choice.clone());
        let id = std::mem::take(&mut self.id);
        task::spawn(async move {
            let mut bytes = Vec::new();
            let server = &choice.run.server;
            reservation::write_drop(choice.address, server, &id, &mut bytes);
            let answer = side_call::call(&shared, choice.address, "DELETE", &bytes).await;
            let status = answer.map(|(status, _)| status).unwrap_or_default();
            spdlog::info!("event=reservation_dropped server={server} status={status}");
        });
    }
}
