//! Writes the answer to one request on the caller's connection.

use std::future::Future;
use std::io;
use std::pin::pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use async_std::future::timeout;
use async_std::io::prelude::*;
use async_std::net::TcpStream;
use futures_lite::future;
use turmericrail_core::caller_account::ConnectionPhase;
use turmericrail_core::units::Millis;
use turmericrail_wire::http1::{ResponseHead, write_chunk, write_last_chunk};

use super::answer_writer;
use super::connection_end::ConnectionEnd;
use super::dispatch::ConnectionAction;
use super::request::Request;
use crate::caller_memory::HeldConnection;
use crate::forward::clock;
use crate::forward::shared::Shared;

/// Most bytes of a body that are written together with its head.
const MAX_JOINED_BYTES: usize = 16 * 1024;

/// The answer to one request on the caller's connection.
pub struct CallerStream {
    shared: Arc<Shared>,
    stream: TcpStream,
    /// The connection in the account of what callers hold.
    connection: Arc<HeldConnection>,
    is_http_10: bool,
    wants_keep_alive: bool,
    has_begun: AtomicBool,
    unread_until_ms: Millis,
    write_failure: OnceLock<ConnectionEnd>,
}

impl CallerStream {
    pub fn new(shared: &Arc<Shared>, stream: TcpStream, request: &Request) -> Self {
        Self {
            shared: Arc::clone(shared),
            stream,
            connection: Arc::clone(&request.connection),
            is_http_10: request.head.is_http_10,
            wants_keep_alive: request.head.is_kept_alive,
            has_begun: AtomicBool::new(false),
            unread_until_ms: request.unread_until_ms,
            write_failure: OnceLock::new(),
        }
    }

    /// Whether a part of the answer was written.
    pub fn has_begun(&self) -> bool {
        self.has_begun.load(Ordering::Relaxed)
    }

    /// Whether the connection stays open after an answer that states its length or is sent in
    /// chunks.
    pub fn is_kept_alive(&self) -> bool {
        self.wants_keep_alive && !self.is_http_10 && !self.shared.is_shutting_down()
    }

    /// IP address at the other end; empty if the connection is gone.
    pub fn peer_ip(&self) -> String {
        self.stream.peer_addr().map(|address| address.ip().to_string()).unwrap_or_default()
    }

    async fn write(&self, bytes: &[u8]) -> bool {
        self.has_begun.store(true, Ordering::Relaxed);
        let mut stream = &self.stream;
        let mut writing = pin!(stream.write_all(bytes));
        let written = match future::poll_once(writing.as_mut()).await {
            Some(written) => written.map_err(|error| ConnectionEnd::WriteFailed(error.kind())),
            None => self.write_unread(writing).await,
        };
        if let Err(end) = written {
            self.write_failure.get_or_init(|| end);
        }
        written.is_ok()
    }

    /// Waits for the caller to read. Meanwhile the connection may give way to others.
    async fn write_unread(
        &self,
        writing: impl Future<Output = io::Result<()>>,
    ) -> Result<(), ConnectionEnd> {
        self.connection.set_phase(ConnectionPhase::Unread);
        let left_ms = self.unread_until_ms.saturating_sub(clock::now_ms());
        let written = timeout(Duration::from_millis(left_ms.0), writing).await;
        self.connection.set_phase(ConnectionPhase::Serving);
        let written = written.map_err(|_| ConnectionEnd::AnswerUnread)?;
        written.map_err(|error| ConnectionEnd::WriteFailed(error.kind()))
    }

    /// Gives up the connection, since a write failed or the answer can't be completed.
    pub fn abort(&self) -> ConnectionAction {
        let end = self.write_failure.get().copied();
        ConnectionAction::Abort(end.unwrap_or(ConnectionEnd::AnswerBroken))
    }

    /// Writes a whole answer, or the last part of one.
    pub async fn finish(&self, bytes: &[u8]) -> ConnectionAction {
        let is_kept = self.is_kept_alive();
        match self.write(bytes).await {
            true if is_kept => ConnectionAction::KeepAlive,
            true => ConnectionAction::Close,
            false => self.abort(),
        }
    }

    /// Writes a whole answer of a backend server. A long body isn't copied.
    pub async fn finish_answer(
        &self,
        head: &ResponseHead,
        body: &[u8],
        is_head_call: bool,
    ) -> ConnectionAction {
        let is_kept = self.is_kept_alive();
        let (mut bytes, body_bytes) =
            answer_writer::server_answer_head(head, body, is_head_call, is_kept);
        let (joined, rest) = body[..body_bytes].split_at(body_bytes.min(MAX_JOINED_BYTES));
        bytes.extend_from_slice(joined);
        let is_written = self.write(&bytes).await && self.write(rest).await;
        match is_written {
            true if is_kept => ConnectionAction::KeepAlive,
            true => ConnectionAction::Close,
            false => self.abort(),
        }
    }

    /// Writes events, preceded by the head if that wasn't written yet. Returns whether the caller
    /// still takes them.
    pub async fn write_events(&self, head: &ResponseHead, events: &[u8]) -> bool {
        if events.is_empty() {
            return true;
        }
        let mut bytes = Vec::new();
        if !self.has_begun() {
            bytes = answer_writer::stream_head(head, !self.is_http_10, self.is_kept_alive());
        }
        if self.is_http_10 {
            bytes.extend_from_slice(events);
        } else {
            write_chunk(events, &mut bytes);
        }
        self.write(&bytes).await
    }

    /// Ends an answer after all its events were written.
    pub async fn end_events(&self, head: &ResponseHead) -> ConnectionAction {
        let mut bytes = Vec::new();
        if !self.has_begun() {
            bytes = answer_writer::stream_head(head, !self.is_http_10, self.is_kept_alive());
        }
        if !self.is_http_10 {
            write_last_chunk(&mut bytes);
        }
        self.finish(&bytes).await
    }
}
