//! Calls of the router's own to engines: reservations, releases, reports and role orders.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use turmericrail_core::forward::ServerRun;
use turmericrail_core::units::Millis;
use turmericrail_platform::answer::{self, AnswerMetadata};
use turmericrail_wire::http1::ResponseHead;

use super::answer_fault::AnswerFault;
use super::call_key::CallKey;
use super::connection_pool::ConnectionPool;
use super::exchange;
use super::refused_answers;
use super::server_connection::ServerConnection;
use super::server_notices;
use crate::forward::calls::call_failure::CallFailure;
use crate::forward::clock;
use crate::forward::handover::reach_probes;
use crate::forward::shared::Shared;

/// Longest wait for the answer. Engines answer these calls at once, without queueing them.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// Method of the calls that an engine grants.
const GRANTING_METHOD: &str = "POST";
/// Status of an engine that grants a call.
const GRANTED_STATUS: u16 = 200;

/// Longest answer; these are a few hundred bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// Most late copies of answers that are skipped.
const MAX_SKIPPED_ANSWERS: usize = 4;

/// Makes a call; returns status and body of the answer, or `None` if none came or the engine wants
/// no calls at present.
pub async fn call(
    shared: &Arc<Shared>,
    engine: &ServerRun,
    address: SocketAddr,
    method: &str,
    bytes: &[u8],
) -> Option<(u16, Vec<u8>)> {
    let sent_ms = clock::now_ms();
    if !shared.forwarder().try_take_call(sent_ms, engine) {
        spdlog::info!("event=call_withheld server={}", engine.server);
        return None;
    }
    let calling = async {
        let pooled = match method == GRANTING_METHOD {
            true => shared.pool.take_for_grant(address).await,
            false => shared.pool.take(address, None).await,
        };
        if let Some(connection) = pooled {
            match exchange_on(shared, (engine, address), connection, method, bytes, sent_ms).await {
                Exchanged::Answered(status, body) => return Some((status, body)),
                Exchanged::Failed => return None,
                // The answer to this call was still to come.
                Exchanged::Repeated => {}
            }
        }
        let opened = ConnectionPool::open(address, None).await;
        reach_probes::record_opened(shared, engine, &opened);
        let connection = opened.ok()?;
        match exchange_on(shared, (engine, address), connection, method, bytes, sent_ms).await {
            Exchanged::Answered(status, body) => Some((status, body)),
            Exchanged::Failed | Exchanged::Repeated => None,
        }
    };
    let called = async_std::future::timeout(CALL_TIMEOUT, calling).await;
    if called.is_err() {
        reach_probes::probe_silent_engine(shared, engine, address);
    }
    let answered = called.ok().flatten();
    if answered.is_some() {
        reach_probes::record_engine_answer(shared, engine);
    }
    answered
}

/// What came of a call on one connection.
enum Exchanged {
    Answered(u16, Vec<u8>),
    /// The answer was a late copy of an earlier one.
    Repeated,
    Failed,
}

async fn exchange_on(
    shared: &Shared,
    (engine, address): (&ServerRun, SocketAddr),
    mut connection: ServerConnection,
    method: &str,
    bytes: &[u8],
    sent_ms: Millis,
) -> Exchanged {
    if connection.write(bytes).await.is_err() {
        return Exchanged::Failed;
    }
    let failed = |failure| {
        refused_answers::record(shared, &engine.server, failure);
        Exchanged::Failed
    };
    let (head, metadata, has_skipped) = match read_own_head(&mut connection, method).await {
        Ok(read) => read,
        Err(failure) => return failed(failure),
    };
    server_notices::record(shared, engine, &metadata, sent_ms);
    // Engines that state no speed are predicted from the answers to callers' requests alone.
    let uses_speeds = shared.settings().uses_stated_speeds;
    if uses_speeds && metadata.load.is_some_and(|load| load.work_time.is_some()) {
        server_notices::record_load(shared, engine, &metadata);
    }
    let may_hold = |bytes| bytes <= MAX_BODY_BYTES;
    let body = match connection.read_body(head.framing, may_hold).await {
        Ok(body) => body,
        Err(failure) => return failed(failure),
    };
    if method == GRANTING_METHOD && head.status == GRANTED_STATUS {
        let grant = CallKey::of_grant(&body);
        if connection.carried_calls.contains(&grant) {
            spdlog::warn!("event=grant_repeated server={}", engine.server);
            return Exchanged::Repeated;
        }
        connection.carried_calls.push(grant);
        connection.last_grant_ms = Some(clock::now_ms());
    }
    if head.is_kept_alive && connection.buffer.is_empty() && !has_skipped {
        connection.keep_alive_ms = exchange::keep_alive_ms(&head);
        shared.pool.put(address, connection);
    }
    Exchanged::Answered(head.status, body)
}

/// Reads the head of the next answer that names no request which the connection has carried, and
/// returns whether others preceded it. These calls have no request id, so that an answer with the id
/// of an earlier request is a late copy.
async fn read_own_head(
    connection: &mut ServerConnection,
    method: &str,
) -> Result<(ResponseHead, AnswerMetadata, bool), CallFailure> {
    for skipped_answers in 0..=MAX_SKIPPED_ANSWERS {
        let head = exchange::read_head(connection, method).await?;
        let metadata = answer::parse(&head);
        let key = metadata.request_id.as_deref().map(CallKey::of_request);
        if !key.is_some_and(|key| connection.carried_calls.contains(&key)) {
            return Ok((head, metadata, skipped_answers > 0));
        }
        connection.skip_body(head.framing, MAX_BODY_BYTES).await?;
    }
    Err(AnswerFault::ManyOtherAnswers.into())
}
