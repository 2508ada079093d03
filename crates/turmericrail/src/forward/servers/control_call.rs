//! Calls of the router's own to engines: reservations, releases, reports and role orders.

use std::net::SocketAddr;
use std::time::Duration;

use turmericrail_core::forward::ServerRun;
use turmericrail_platform::answer;

use super::call_key::CallKey;
use super::connection_pool::ConnectionPool;
use super::exchange;
use super::server_notices;
use crate::forward::clock;
use crate::forward::shared::Shared;

/// Longest wait for the answer. Engines answer these calls at once, without queueing them.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// Method of the calls that an engine grants.
const GRANTING_METHOD: &str = "POST";
/// Status of an engine that grants a call.
const GRANTED_STATUS: u16 = 200;

/// Longest answer; these are a few hundred bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// Makes a call; returns status and body of the answer, or `None` if none came or the engine wants
/// no calls at present.
pub async fn call(
    shared: &Shared,
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
        let mut connection = match shared.pool.take(address, None).await {
            Some(connection) => connection,
            None => ConnectionPool::open(address, None).await.ok()?,
        };
        connection.write(bytes).await.ok()?;
        let head = exchange::read_head(&mut connection, method).await.ok()?;
        let metadata = answer::parse(&head);
        server_notices::record(shared, engine, &metadata, sent_ms);
        // Engines that state no speed are predicted from the answers to callers' requests alone.
        if metadata.load.is_some_and(|load| load.work_time.is_some()) {
            server_notices::record_load(shared, engine, &metadata);
        }
        let may_hold = |bytes| bytes <= MAX_BODY_BYTES;
        let body = connection.read_body(head.framing, may_hold).await.ok()?;
        if method == GRANTING_METHOD && head.status == GRANTED_STATUS {
            let grant = CallKey::of_grant(&body);
            if connection.carried_calls.contains(&grant) {
                spdlog::warn!("event=grant_repeated server={}", engine.server);
                return None;
            }
            connection.carried_calls.push(grant);
        }
        if head.is_kept_alive && connection.buffer.is_empty() {
            connection.keep_alive_ms = exchange::keep_alive_ms(&head);
            shared.pool.put(address, connection);
        }
        Some((head.status, body))
    };
    async_std::future::timeout(CALL_TIMEOUT, calling).await.ok().flatten()
}
