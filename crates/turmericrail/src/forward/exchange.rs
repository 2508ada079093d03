//! One call to a backend server and the head of its answer.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use async_std::io::prelude::*;
use futures_lite::FutureExt;
use futures_lite::future;
use turmericrail_core::units::Millis;
use turmericrail_platform::answer::{self, AnswerFacts};
use turmericrail_wire::http1::ResponseHead;

use super::call_failure::CallFailure;
use super::connection_pool::ConnectionPool;
use super::server_connection::ServerConnection;

/// Largest head of an answer.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Largest body that is held in memory.
pub const MAX_BODY_BYTES: usize = 8 << 20;
/// Answers to other requests that are passed over on one connection.
const MAX_FOREIGN_ANSWERS: usize = 4;

/// A call as it goes to a server.
pub struct OutgoingCall<'a> {
    /// The server's address.
    pub address: SocketAddr,
    /// Head and body.
    pub bytes: &'a [u8],
    /// The method, which decides on the answer's framing.
    pub method: &'a str,
    /// The request that the answer must name.
    pub request_id: &'a str,
}

/// The head of an answer; its body follows on the connection.
pub struct Exchange {
    /// The connection.
    pub connection: ServerConnection,
    /// The head.
    pub head: ResponseHead,
    /// What the answer says about itself.
    pub facts: AnswerFacts,
    is_reusable: bool,
}

impl Exchange {
    /// Sends a call and waits for the head of its answer, for `left_ms` at the most.
    pub async fn begin(
        pool: &ConnectionPool,
        call: &OutgoingCall<'_>,
        left_ms: Millis,
    ) -> Result<Self, CallFailure> {
        let is_begun = AtomicBool::new(false);
        let calling = async {
            let connection = match pool.take(call.address).await {
                Some(connection) => connection,
                None => ServerConnection::open(call.address).await?,
            };
            is_begun.store(true, Ordering::Relaxed);
            send(connection, call).await
        };
        match async_std::future::timeout(Duration::from_millis(left_ms.0), calling).await {
            Ok(result) => result,
            Err(_) if is_begun.load(Ordering::Relaxed) => Err(CallFailure::Silent),
            Err(_) => Err(CallFailure::NotSent),
        }
    }

    /// Reads the whole body and keeps the connection where it can be used again.
    pub async fn read_body(
        mut self,
        pool: &ConnectionPool,
        address: SocketAddr,
        left_ms: Millis,
    ) -> Result<(ResponseHead, Vec<u8>), CallFailure> {
        let reading = self.connection.read_body(self.head.framing, MAX_BODY_BYTES);
        let read = async_std::future::timeout(Duration::from_millis(left_ms.0), reading).await;
        let body = read.map_err(|_| CallFailure::Silent)??;
        let head = self.head.clone();
        self.keep(pool, address);
        Ok((head, body))
    }

    /// Keeps the connection after the whole body was read, where it can be used again.
    pub fn keep(mut self, pool: &ConnectionPool, address: SocketAddr) {
        if self.is_reusable && self.head.is_kept_alive && self.connection.buffer.is_empty() {
            self.connection.keep_alive_ms = keep_alive_ms(&self.head);
            pool.put(address, self.connection);
        }
    }
}

/// Time for which the server keeps an idle connection, where it says so.
pub fn keep_alive_ms(head: &ResponseHead) -> Option<Millis> {
    head.headers.keep_alive_s().map(|seconds| Millis(seconds * 1_000))
}

async fn send(
    mut connection: ServerConnection,
    call: &OutgoingCall<'_>,
) -> Result<Exchange, CallFailure> {
    let writer = connection.stream.clone();
    let is_written = AtomicBool::new(false);
    // The server may answer before it has read the body, so both directions go on at once. A write
    // that fails leaves it to the reading side to find out what the server said.
    let writing = async {
        if (&writer).write_all(call.bytes).await.is_ok() {
            is_written.store(true, Ordering::Relaxed);
        }
        future::pending().await
    };
    let mut skipped = 0;
    let (head, facts) = writing.or(read_own_head(&mut connection, call, &mut skipped)).await?;
    let is_reusable = is_written.load(Ordering::Relaxed) && skipped == 0;
    Ok(Exchange { connection, head, facts, is_reusable })
}

/// Reads heads up to the one that answers the call. An answer to an earlier request may lie before
/// it and belongs to nobody any more.
async fn read_own_head(
    connection: &mut ServerConnection,
    call: &OutgoingCall<'_>,
    skipped: &mut usize,
) -> Result<(ResponseHead, AnswerFacts), CallFailure> {
    loop {
        let head = read_head(connection, call.method).await?;
        let facts = answer::read(&head);
        if facts.request_id.as_deref() == Some(call.request_id) {
            return Ok((head, facts));
        }
        *skipped += 1;
        if *skipped > MAX_FOREIGN_ANSWERS {
            return Err(CallFailure::Lost);
        }
        connection.read_body(head.framing, MAX_BODY_BYTES).await?;
    }
}

/// Reads the head of the next final answer.
pub async fn read_head(
    connection: &mut ServerConnection,
    method: &str,
) -> Result<ResponseHead, CallFailure> {
    loop {
        let parsed = ResponseHead::parse(&connection.buffer, method);
        if let Some((head, length)) = parsed.map_err(|_| CallFailure::Lost)? {
            connection.buffer.drain(..length);
            if !head.is_interim() {
                return Ok(head);
            }
            continue;
        }
        if connection.buffer.len() > MAX_HEAD_BYTES {
            return Err(CallFailure::Lost);
        }
        if connection.fill().await.map_err(|_| CallFailure::Lost)? == 0 {
            return Err(CallFailure::Lost);
        }
    }
}
