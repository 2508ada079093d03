//! Calls of the platform's store on one kept connection.

use std::net::SocketAddr;
use std::time::Duration;

use async_std::io::prelude::*;
use thiserror::Error;
use turmericrail_platform::DecodeError;

use super::call_failure::CallFailure;
use super::exchange;
use super::server_connection::ServerConnection;

/// Largest body of an answer: a page holds a megabyte of values, a third more in base64.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Why a call of the store failed.
#[derive(Debug, Error)]
pub enum StoreError {
    /// No whole answer came.
    #[error("no answer ({})", .0.as_str())]
    Unreachable(CallFailure),
    /// It refused the call.
    #[error("status {0}")]
    Status(u16),
    /// Others were told of this revision, and this instance was not.
    #[error("behind revision {0}")]
    Behind(u64),
    /// Its answer can't be decoded.
    #[error(transparent)]
    Decode(#[from] DecodeError),
}

/// The store, as one task reads it.
#[derive(Default)]
pub struct StoreClient {
    connection: Option<ServerConnection>,
}

impl StoreClient {
    /// Gets a target; the body of a 200.
    pub async fn get(
        &mut self,
        address: SocketAddr,
        target: &str,
        timeout: Duration,
    ) -> Result<Vec<u8>, StoreError> {
        // A call that is given up leaves its connection behind: its answer may still come.
        let connection = self.connection.take();
        let calling = call(connection, address, target);
        let called = async_std::future::timeout(timeout, calling).await;
        let (connection, status, body) =
            called.unwrap_or(Err(CallFailure::Silent)).map_err(StoreError::Unreachable)?;
        self.connection = connection;
        if status != 200 {
            return Err(StoreError::Status(status));
        }
        Ok(body)
    }
}

async fn call(
    connection: Option<ServerConnection>,
    address: SocketAddr,
    target: &str,
) -> Result<(Option<ServerConnection>, u16, Vec<u8>), CallFailure> {
    let mut connection = match connection {
        Some(connection) => connection,
        None => ServerConnection::open(address).await?,
    };
    if !connection.is_clean().await {
        connection = ServerConnection::open(address).await?;
    }
    let request = format!("GET {target} HTTP/1.1\r\nHost: {address}\r\n\r\n");
    let written = (&connection.stream).write_all(request.as_bytes()).await;
    written.map_err(|_| CallFailure::Lost)?;
    let head = exchange::read_head(&mut connection, "GET").await?;
    let body = connection.read_body(head.framing, MAX_BODY_BYTES).await?;
    let is_kept = head.is_kept_alive && connection.buffer.is_empty();
    Ok((is_kept.then_some(connection), head.status, body))
}
