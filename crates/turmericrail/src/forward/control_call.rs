//! Calls to engines beside those of callers: reservations and what is given back.

use std::net::SocketAddr;
use std::time::Duration;

use super::exchange;
use super::server_connection::ServerConnection;
use super::shared::Shared;

/// Longest wait for the answer; these calls need no slot, so that they are answered at once.
const TIMEOUT: Duration = Duration::from_millis(400);

/// Makes a call; status and body of the answer, or nothing where none came.
pub async fn call(
    shared: &Shared,
    address: SocketAddr,
    method: &str,
    bytes: &[u8],
) -> Option<(u16, Vec<u8>)> {
    let calling = async {
        let mut connection = match shared.pool.take(address).await {
            Some(connection) => connection,
            None => ServerConnection::open(address).await.ok()?,
        };
        connection.write(bytes).await.ok()?;
        let head = exchange::read_head(&mut connection, method).await.ok()?;
        let body = connection.read_body(head.framing, exchange::MAX_BODY_BYTES).await.ok()?;
        if head.is_kept_alive && connection.buffer.is_empty() {
            connection.keep_alive_ms = exchange::keep_alive_ms(&head);
            shared.pool.put(address, connection);
        }
        Some((head.status, body))
    };
    async_std::future::timeout(TIMEOUT, calling).await.ok().flatten()
}
