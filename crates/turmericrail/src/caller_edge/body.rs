//! Receives the bodies of requests within limits of size, time and memory.

use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use async_std::io::ReadExt;
use futures_lite::FutureExt;
use serde::de::DeserializeOwned;
use tide::Request;
use turmericrail_core::error_kind::ErrorKind;
use turmericrail_core::units::Bytes;

use super::reply::Refusal;
use crate::daemon::Shared;

/// Memory taken by the bodies of all requests; clones share it.
#[derive(Clone, Debug, Default)]
pub struct BodyBudget {
    used_bytes: Arc<AtomicU64>,
}

/// Memory reserved in the budget, released when dropped.
#[derive(Debug)]
pub struct BodyPermit {
    used_bytes: Arc<AtomicU64>,
    bytes: u64,
}

impl BodyBudget {
    /// Reserves `wanted` bytes, or none if more than `limit` would be in use.
    fn reserve(&self, wanted: Bytes, limit: Bytes) -> Option<BodyPermit> {
        let add = |used: u64| used.checked_add(wanted.0).filter(|used| *used <= limit.0);
        let reserved = self.used_bytes.fetch_update(Ordering::SeqCst, Ordering::SeqCst, add);
        reserved.ok()?;
        Some(BodyPermit { used_bytes: Arc::clone(&self.used_bytes), bytes: wanted.0 })
    }
}

impl Drop for BodyPermit {
    fn drop(&mut self) {
        self.used_bytes.fetch_sub(self.bytes, Ordering::SeqCst);
    }
}

/// A whole body with its memory reservation.
#[expect(missing_docs, reason = "the names say it")]
#[derive(Debug)]
pub struct ReceivedBody {
    pub bytes: Vec<u8>,
    /// To be held until the request is answered.
    pub permit: BodyPermit,
}

/// Receives a body within the limits of the settings.
///
/// Without a declared length, memory for the largest permitted body is reserved.
pub async fn receive_body(request: &mut Request<Arc<Shared>>) -> Result<ReceivedBody, Refusal> {
    let shared = Arc::clone(request.state());
    let limits = &shared.settings.limits;
    let limit = limits.max_body_bytes.0;
    let announced = request.len().map(|length| length as u64);
    if announced.is_some_and(|length| length > limit) {
        return Err(too_large(limit));
    }
    let wanted = Bytes(announced.unwrap_or(limit));
    let permit = shared.body_budget.reserve(wanted, limits.max_buffered_bytes);
    let permit = permit.ok_or_else(|| out_of_memory_budget(limits.max_buffered_bytes))?;
    let timeout = Duration::from_millis(limits.receive_timeout_ms.0);
    let mut bytes = Vec::new();
    let mut limited = request.take(limit + 1);
    let reading = async_std::io::timeout(timeout, limited.read_to_end(&mut bytes));
    // The HTTP library panics on trailers with bytes outside ASCII.
    let result = AssertUnwindSafe(reading).catch_unwind().await;
    let result = result.unwrap_or_else(|_| Err(std::io::Error::other("malformed trailers")));
    result.map_err(|error| read_failure(&error, timeout))?;
    let length = bytes.len() as u64;
    if length > limit {
        return Err(too_large(limit));
    }
    if let Some(announced) = announced.filter(|announced| *announced != length) {
        let detail = format!("The body has {length} of the {announced} bytes announced.");
        return Err(Refusal { kind: ErrorKind::BadRequest, detail });
    }
    Ok(ReceivedBody { bytes, permit })
}

/// Decodes a JSON object; the refusal names the position of the first error.
pub fn decode_body<T: DeserializeOwned>(body: &[u8]) -> Result<T, Refusal> {
    let refusal = |problem: String| Refusal {
        kind: ErrorKind::BadRequest,
        detail: format!("In the JSON body: {problem}."),
    };
    if body.trim_ascii_start().first() == Some(&b'[') {
        return Err(refusal("expected an object, found an array at line 1 column 1".to_owned()));
    }
    serde_json::from_slice(body).map_err(|error| refusal(error.to_string()))
}

fn too_large(limit: u64) -> Refusal {
    let detail = format!("A body may have {limit} bytes at most (limits.max_body_bytes).");
    Refusal { kind: ErrorKind::TooLarge, detail }
}

fn out_of_memory_budget(limit: Bytes) -> Refusal {
    let detail =
        format!("The bodies of all requests may have {limit} (limits.max_buffered_bytes).");
    Refusal { kind: ErrorKind::Overloaded, detail }
}

fn read_failure(error: &std::io::Error, timeout: Duration) -> Refusal {
    if error.kind() == std::io::ErrorKind::TimedOut {
        let detail = format!("Send it within {} ms.", timeout.as_millis());
        return Refusal { kind: ErrorKind::ReceiveTimeout, detail };
    }
    Refusal { kind: ErrorKind::BadRequest, detail: format!("The body can't be read: {error}.") }
}
