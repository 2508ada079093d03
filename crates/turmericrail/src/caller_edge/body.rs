//! Receives the bodies of requests within limits of size, time and memory.

use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::time::Duration;

use async_std::io::{Read, ReadExt};
use futures_lite::FutureExt;
use serde::de::DeserializeOwned;
use tide::Request;
use turmericrail_core::caller_account::ConnectionPhase;
use turmericrail_core::error_kind::ErrorKind;
use turmericrail_core::units::Bytes;
use turmericrail_wire::buffer_growth::grow_for;

use super::connection::CallerConnection;
use super::reply::Refusal;
use crate::caller_memory::HeldBytes;
use crate::daemon::Shared;
use crate::eager_read::read_with;

/// Memory of a request beside its connection, head and body.
const REQUEST_BYTES: Bytes = Bytes(26 << 10);

/// A whole body with its memory reservation.
#[expect(missing_docs, reason = "the names say it")]
pub struct ReceivedBody {
    pub bytes: Vec<u8>,
    /// To be held until the request is answered.
    pub held: HeldBytes,
}

/// Receives a body within the limits of the settings. It takes memory as it arrives, whatever its head
/// announces.
pub async fn receive_body(request: &mut Request<Arc<Shared>>) -> Result<ReceivedBody, Refusal> {
    let shared = Arc::clone(request.state());
    let limits = &shared.settings.limits;
    let limit = limits.max_body_bytes.0;
    let announced = request.len().map(|length| length as u64);
    if announced.is_some_and(|length| length > limit) {
        return Err(too_large(limit));
    }
    let no_room = || out_of_memory_budget(limits.max_buffered_bytes);
    let connection = request.ext::<CallerConnection>().and_then(CallerConnection::held);
    let connection = connection.ok_or_else(no_room)?;
    let mut held = connection.hold();
    connection.set_phase(ConnectionPhase::Reading);
    let evicted = async {
        connection.evicted().await;
        Err(ReadProblem::NoRoom)
    };
    let timeout = Duration::from_millis(limits.receive_timeout_ms.0);
    let mut limited = request.take(limit + 1);
    let reading = read_whole(&mut limited, &mut held).or(evicted);
    let reading = async_std::future::timeout(timeout, reading);
    // The HTTP library panics on trailers with bytes outside ASCII.
    let result = AssertUnwindSafe(reading).catch_unwind().await;
    let result = result.unwrap_or_else(|_| Ok(Err(malformed_trailers())));
    let bytes = match result.unwrap_or_else(|_| Err(timed_out())) {
        Ok(bytes) => bytes,
        Err(ReadProblem::NoRoom) => return Err(no_room()),
        Err(ReadProblem::Failed(error)) => return Err(read_failure(&error, timeout)),
    };
    connection.start_serving().map_err(|_| no_room())?;
    let length = bytes.len() as u64;
    if length > limit {
        return Err(too_large(limit));
    }
    if let Some(announced) = announced.filter(|announced| *announced != length) {
        let detail = format!("The body has {length} of the {announced} bytes announced.");
        return Err(Refusal { kind: ErrorKind::BadRequest, detail });
    }
    Ok(ReceivedBody { bytes, held })
}

/// Why a body wasn't read.
enum ReadProblem {
    /// There is no room for it.
    NoRoom,
    Failed(std::io::Error),
}

fn malformed_trailers() -> ReadProblem {
    ReadProblem::Failed(std::io::Error::other("malformed trailers"))
}

fn timed_out() -> ReadProblem {
    ReadProblem::Failed(std::io::ErrorKind::TimedOut.into())
}

/// Reads to the end, and counts the memory as it grows.
async fn read_whole(
    reader: &mut (impl Read + Unpin),
    held: &mut HeldBytes,
) -> Result<Vec<u8>, ReadProblem> {
    let mut bytes = Vec::new();
    loop {
        let wanted = REQUEST_BYTES + Bytes(bytes.capacity() as u64);
        held.resize_when_free(wanted).await.map_err(|_| ReadProblem::NoRoom)?;
        let reading = read_with(reader, |read| {
            grow_for(&mut bytes, read.len());
            bytes.extend_from_slice(read);
        });
        if reading.await.map_err(ReadProblem::Failed)? == 0 {
            return Ok(bytes);
        }
    }
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
    let detail = format!("All requests may take {limit} of memory (limits.max_buffered_bytes).");
    Refusal { kind: ErrorKind::Overloaded, detail }
}

fn read_failure(error: &std::io::Error, timeout: Duration) -> Refusal {
    if error.kind() == std::io::ErrorKind::TimedOut {
        let detail = format!("Send it within {} ms.", timeout.as_millis());
        return Refusal { kind: ErrorKind::ReceiveTimeout, detail };
    }
    Refusal { kind: ErrorKind::BadRequest, detail: format!("The body can't be read: {error}.") }
}
