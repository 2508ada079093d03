//! The caller's end of an answer.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use async_std::io::prelude::*;
use async_std::net::TcpStream;
use turmericrail_wire::http1::{ResponseHead, write_chunk, write_last_chunk};

use super::answer_writer;
use super::caller_connection::Request;
use super::dispatch::Served;
use super::shared::Shared;

/// The caller's end of an answer.
pub struct CallerStream {
    shared: Arc<Shared>,
    stream: TcpStream,
    is_http_10: bool,
    wants_more: bool,
    has_begun: AtomicBool,
}

impl CallerStream {
    /// The answer to a request, of which nothing is written yet.
    pub fn new(shared: &Arc<Shared>, stream: TcpStream, request: &Request) -> Self {
        Self {
            shared: Arc::clone(shared),
            stream,
            is_http_10: request.head.is_http_10,
            wants_more: request.head.is_kept_alive,
            has_begun: AtomicBool::new(false),
        }
    }

    /// Whether something of the answer was written.
    pub fn has_begun(&self) -> bool {
        self.has_begun.load(Ordering::Relaxed)
    }

    /// Whether the connection stays open after a whole answer that tells its length.
    pub fn is_kept_alive(&self) -> bool {
        self.wants_more && !self.is_http_10 && !self.shared.is_leaving()
    }

    async fn write(&self, bytes: &[u8]) -> bool {
        self.has_begun.store(true, Ordering::Relaxed);
        (&self.stream).write_all(bytes).await.is_ok()
    }

    /// Writes a whole answer.
    pub async fn finish(&self, bytes: &[u8]) -> Served {
        let is_kept = self.is_kept_alive();
        match self.write(bytes).await {
            true if is_kept => Served::Kept,
            true => Served::Closing,
            false => Served::Broken,
        }
    }

    /// Writes events of an answer, after its head where that was not written yet. Tells whether
    /// the caller still takes them.
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

    /// Ends an answer in events, all of which were written.
    pub async fn end_events(&self, head: &ResponseHead) -> Served {
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
