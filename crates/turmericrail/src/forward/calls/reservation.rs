//! Room at a decode engine that is reserved before the prompt is read.

use std::sync::Arc;

use async_std::task;
use turmericrail_core::forward::ChosenServer;
use turmericrail_core::units::{Millis, Tokens};
use turmericrail_platform::reservation;

use crate::forward::clock;
use crate::forward::servers::control_call;
use crate::forward::shared::Shared;

/// The result of a reservation request.
pub enum ReservationResult {
    Reserved(Box<Reservation>),
    /// The engine is full.
    Full,
    /// The engine didn't answer, or its answer can't be used.
    Failed,
}

/// Room reserved at a decode engine; dropping it releases the room if no run has used it.
pub struct Reservation {
    shared: Arc<Shared>,
    choice: ChosenServer,
    id: String,
    tokens: Tokens,
    ttl_ms: Millis,
    expires_ms: Millis,
    is_used: bool,
}

impl Reservation {
    /// Requests a reservation for `tokens` of KV cache from an engine.
    pub async fn request(
        shared: &Arc<Shared>,
        choice: &ChosenServer,
        tokens: Tokens,
        ttl_ms: Millis,
    ) -> ReservationResult {
        let mut bytes = Vec::new();
        let server = &choice.run.server;
        reservation::write_request(choice.address, server, tokens, ttl_ms, &mut bytes);
        let requested_ms = clock::now_ms();
        let answer = control_call::call(shared, &choice.run, choice.address, "POST", &bytes).await;
        let (status, body) = answer.unwrap_or_default();
        spdlog::debug!("event=reservation server={server} tokens={} status={status}", tokens.0);
        match status {
            200 => {}
            503 => return ReservationResult::Full,
            _ => return ReservationResult::Failed,
        }
        match reservation::decode_id(&body) {
            Ok(id) => ReservationResult::Reserved(Box::new(Self {
                shared: Arc::clone(shared),
                choice: choice.clone(),
                id,
                tokens,
                ttl_ms,
                expires_ms: requested_ms + ttl_ms,
                is_used: false,
            })),
            Err(error) => {
                let error = error.to_string();
                spdlog::warn!("event=reservation_malformed server={server} error={error:?}");
                ReservationResult::Failed
            }
        }
    }

    /// Requests a reservation for `tokens` from an engine that has `free_tokens` of free memory.
    /// The engine tells its free memory only by granting or refusing, so the larger reservation is
    /// made first and replaced by the smaller one.
    pub async fn request_with_room(
        shared: &Arc<Shared>,
        choice: &ChosenServer,
        tokens: Tokens,
        free_tokens: Tokens,
        ttl_ms: Millis,
    ) -> ReservationResult {
        let result = Self::request(shared, choice, free_tokens, ttl_ms).await;
        let ReservationResult::Reserved(mut roomy) = result else {
            return result;
        };
        if free_tokens <= tokens {
            return ReservationResult::Reserved(roomy);
        }
        roomy.is_used = true;
        release(shared, choice, &roomy.id).await;
        Self::request(shared, choice, tokens, ttl_ms).await
    }

    /// The id that a run of the call names; `None` once the reservation has expired.
    pub fn id(&self) -> Option<&str> {
        (clock::now_ms() < self.expires_ms).then_some(self.id.as_str())
    }

    /// Time until it expires.
    pub fn remaining_ms(&self) -> Millis {
        self.expires_ms.saturating_sub(clock::now_ms())
    }

    /// Replaces it by one that has just begun; returns whether the room is still reserved. An engine
    /// without room for both gives up the old one first, which another call may take.
    pub async fn renew(&mut self) -> bool {
        let (shared, choice) = (Arc::clone(&self.shared), self.choice.clone());
        let (tokens, ttl_ms) = (self.tokens, self.ttl_ms);
        let mut result = Self::request(&shared, &choice, tokens, ttl_ms).await;
        if matches!(result, ReservationResult::Full) {
            self.is_used = true;
            release(&shared, &choice, &self.id).await;
            result = Self::request(&shared, &choice, tokens, ttl_ms).await;
        }
        let is_reserved = matches!(result, ReservationResult::Reserved(_));
        let server = &choice.run.server;
        spdlog::info!("event=reservation_renewed server={server} is_reserved={is_reserved}");
        if let ReservationResult::Reserved(renewed) = result {
            *self = *renewed;
        }
        is_reserved
    }

    /// Marks it as used by a run, so that dropping it releases nothing.
    pub fn mark_used(&mut self) {
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
            let status = release(&shared, &choice, &id).await;
            let server = &choice.run.server;
            spdlog::info!("event=reservation_dropped server={server} status={status}");
        });
    }
}

/// Releases a reservation; returns the status of the answer, zero if none came.
async fn release(shared: &Arc<Shared>, choice: &ChosenServer, id: &str) -> u16 {
    let mut bytes = Vec::new();
    reservation::write_release(choice.address, &choice.run.server, id, &mut bytes);
    let answer = control_call::call(shared, &choice.run, choice.address, "DELETE", &bytes).await;
    answer.map(|(status, _)| status).unwrap_or_default()
}
