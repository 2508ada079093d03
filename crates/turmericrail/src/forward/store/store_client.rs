//! Reads the platform's store over one persistent connection.

use std::net::SocketAddr;
use std::time::Duration;

use async_std::io::prelude::*;
use thiserror::Error;
use turmericrail_platform::{DecodeError, store};
use turmericrail_wire::http1::ResponseHead;

use crate::forward::calls::call_failure::CallFailure;
use crate::forward::servers::exchange;
use crate::forward::servers::refused_answers;
use crate::forward::servers::server_connection::ServerConnection;
use crate::forward::shared::Shared;

/// Largest answer: a page holds a megabyte of values, and base64 adds a third.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Why a call to the store failed.
#[derive(Debug, Error)]
pub enum StoreError {
    /// No whole answer came.
    #[error("no answer ({})", .0.as_str())]
    Unreachable(CallFailure),
    /// The store answered with a status other than 200.
    #[error("status {0}")]
    Status(u16),
    /// The store was restored from a copy since the revision that is known.
    #[error("restored: era {0}")]
    Restored(u64),
    /// The answer is older than what is known: the store was restored since it was written.
    #[error("answer of era {0}")]
    EarlierEra(u64),
    /// Other instances know this revision, and the watch of this instance hasn't returned it.
    #[error("behind revision {0}")]
    Behind(u64),
    /// The answer can't be decoded.
    #[error(transparent)]
    Decode(#[from] DecodeError),
}

/// An answer of the store with status 200.
pub struct StoreAnswer {
    /// The store's era; `None` if the answer states none that can be used.
    pub era: Option<u64>,
    pub body: Vec<u8>,
}

/// A client of the store, used by one task.
#[derive(Default)]
pub struct StoreClient {
    connection: Option<ServerConnection>,
}

impl StoreClient {
    /// Sends a GET request; returns an answer with status 200.
    pub async fn get(
        &mut self,
        shared: &Shared,
        target: &str,
        timeout: Duration,
    ) -> Result<StoreAnswer, StoreError> {
        let address = shared.settings().store_address;
        // If the call times out, the connection is dropped with it: the answer could still arrive
        // later.
        let connection = self.connection.take();
        let calling = call(connection, address, target);
        let called = async_std::future::timeout(timeout, calling).await;
        let called = called.unwrap_or(Err(CallFailure::Silent));
        let (connection, head, body) = called.map_err(|failure| {
            refused_answers::record(shared, "store", failure);
            StoreError::Unreachable(failure)
        })?;
        self.connection = connection;
        if head.status != 200 {
            return Err(StoreError::Status(head.status));
        }
        let era = store::parse_era(&head).unwrap_or_else(|error| {
            shared.metrics.malformed_headers.inc();
            spdlog::warn!("event=header_malformed server=store error={:?}", error.to_string());
            None
        });
        Ok(StoreAnswer { era, body })
    }
}

async fn call(
    connection: Option<ServerConnection>,
    address: SocketAddr,
    target: &str,
) -> Result<(Option<ServerConnection>, ResponseHead, Vec<u8>), CallFailure> {
    let mut connection = match connection {
        Some(connection) => connection,
        None => ServerConnection::open(address).await?,
    };
    if !connection.is_usable().await {
        connection = ServerConnection::open(address).await?;
    }
    let request = format!("GET {target} HTTP/1.1\r\nHost: {address}\r\n\r\n");
    let written = (&connection.stream).write_all(request.as_bytes()).await;
    written.map_err(|_| CallFailure::Lost)?;
    let head = exchange::read_head(&mut connection, "GET").await?;
    let body = connection.read_body(head.framing, |bytes| bytes <= MAX_BODY_BYTES).await?;
    let is_kept = head.is_kept_alive && connection.buffer.is_empty();
    Ok((is_kept.then_some(connection), head, body))
}
