//! Sends one call to a backend server and reads the head of its answer.

use std::net::SocketAddr;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use futures_lite::FutureExt;
use futures_lite::future;
use turmericrail_core::units::Millis;
use turmericrail_platform::answer::{self, AnswerMetadata};
use turmericrail_wire::http1::{FinalHead, ResponseHead};

use super::answer_body::AnswerBody;
use super::answer_fault::AnswerFault;
use super::call_bytes::CallBytes;
use super::call_key::CallKey;
use super::connection_pool::ConnectionPool;
use super::sent_call::SentCall;
use super::server_connection::ServerConnection;
use crate::forward::calls::call_context::CallContext;
use crate::forward::calls::call_failure::CallFailure;

/// Largest answer body that is held in memory.
const MAX_BODY_BYTES: usize = 8 << 20;
/// Most answers to other requests that are skipped on one connection.
const MAX_STALE_ANSWERS: usize = 4;

/// A call as it is sent to a server.
pub struct OutgoingCall<'a> {
    pub address: SocketAddr,
    pub bytes: CallBytes<'a>,
    /// The method, which determines the framing of the answer.
    pub method: &'a str,
    /// The request id that the answer must carry.
    pub request_id: &'a str,
    /// Set once there is a connection, on which the call may be written.
    pub is_connected: &'a AtomicBool,
    /// Called once a new connection is open.
    pub on_opened: &'a (dyn Fn() + Send + Sync),
}

impl OutgoingCall<'_> {
    /// Whether answers have no body. Such a call has a connection of its own: copies of answers to
    /// calls with another method can't be skipped, since the method determines where they end.
    fn is_head(&self) -> bool {
        self.method == "HEAD"
    }
}

/// The head of an answer, whose body is still to be read from the connection.
pub struct Exchange {
    pub connection: ServerConnection,
    pub head: ResponseHead,
    /// The headers of the answer that the router itself evaluates.
    pub metadata: AnswerMetadata,
    is_reusable: bool,
    /// The caller's request that is answered, until its end is known.
    sent: Option<SentCall>,
}

impl Exchange {
    /// Sends a call and waits for the head of its answer, at most for `remaining_ms`.
    pub async fn start(
        pool: &ConnectionPool,
        call: &OutgoingCall<'_>,
        remaining_ms: Millis,
    ) -> Result<Self, CallFailure> {
        let calling = async {
            let key = Some(CallKey::of_request(call.request_id));
            let pooled = if call.is_head() { None } else { pool.take(call.address, key).await };
            let connection = match pooled {
                Some(connection) => connection,
                None => {
                    let connection = ConnectionPool::open(call.address, key).await?;
                    (call.on_opened)();
                    connection
                }
            };
            call.is_connected.store(true, Ordering::Relaxed);
            send_and_read_head(connection, call).await
        };
        match async_std::future::timeout(Duration::from_millis(remaining_ms.0), calling).await {
            Ok(result) => result,
            Err(_) if call.is_connected.load(Ordering::Relaxed) => Err(CallFailure::Silent),
            // A caller with little time left says nothing of the server.
            Err(_) => Err(CallFailure::NoTimeLeft),
        }
    }

    /// Reads the whole body and returns the connection to the pool if it can be reused.
    pub async fn read_body(
        mut self,
        context: &CallContext<'_>,
        address: SocketAddr,
        remaining_ms: Millis,
    ) -> Result<(ResponseHead, AnswerBody), CallFailure> {
        let mut share = context.answer_share();
        let may_hold = |bytes| bytes <= MAX_BODY_BYTES && share.resize(bytes);
        let reading = self.connection.read_body(self.head.framing, may_hold);
        let read = async_std::future::timeout(Duration::from_millis(remaining_ms.0), reading).await;
        let read = read.unwrap_or(Err(CallFailure::Silent));
        if read.as_ref().is_err_and(|failure| failure.is_broken_connection()) {
            self.break_off();
        }
        if read == Err(CallFailure::Oversized) {
            spdlog::warn!("event=answer_oversized address={address}");
        }
        let body = AnswerBody::new(read?, share);
        let head = self.head.clone();
        self.return_to_pool(&context.shared.pool, address);
        Ok((head, body))
    }

    /// Watches how a caller's request ends.
    pub fn watch(&mut self, sent: SentCall) {
        self.sent = Some(sent);
    }

    /// Records that the answer has its first event.
    pub fn record_first_event(&mut self) {
        self.sent.iter_mut().for_each(SentCall::record_first_event);
    }

    /// Records that the connection broke before the end of the answer.
    pub fn break_off(&mut self) {
        self.sent.take().into_iter().for_each(SentCall::break_off);
    }

    /// Returns the connection to the pool if it can be reused. The body must have been read.
    pub fn return_to_pool(mut self, pool: &ConnectionPool, address: SocketAddr) {
        self.sent.take().into_iter().for_each(SentCall::settle);
        if self.is_reusable && self.head.is_kept_alive && self.connection.buffer.is_empty() {
            self.connection.keep_alive_ms = keep_alive_ms(&self.head);
            pool.put(address, self.connection);
        }
    }
}

/// Time for which the server keeps an idle connection; `None` if it doesn't state one.
pub fn keep_alive_ms(head: &ResponseHead) -> Option<Millis> {
    head.headers.keep_alive_s().map(|seconds| Millis(seconds.saturating_mul(1_000)))
}

async fn send_and_read_head(
    mut connection: ServerConnection,
    call: &OutgoingCall<'_>,
) -> Result<Exchange, CallFailure> {
    connection.has_open_call = true;
    let writer = connection.stream.clone();
    let written = OnceLock::new();
    // The server may answer before it has read the body, so the call is written and the answer read
    // at the same time. After a failed write, the read decides what the server answered.
    let writing = async {
        let _ = written.set(call.bytes.write_to(&writer).await);
        future::pending().await
    };
    let mut stale_answers = 0;
    let (head, metadata) =
        writing.or(read_matching_head(&mut connection, call, &mut stale_answers)).await?;
    let written = written.into_inner();
    if let Some(Err(error)) = &written {
        connection.record_write_error(error.kind());
    }
    let is_reusable = matches!(written, Some(Ok(()))) && stale_answers == 0 && !call.is_head();
    Ok(Exchange { connection, head, metadata, is_reusable, sent: None })
}

/// Reads heads up to the one that answers the call. Answers to earlier requests may precede it and
/// are discarded.
async fn read_matching_head(
    connection: &mut ServerConnection,
    call: &OutgoingCall<'_>,
    stale_answers: &mut usize,
) -> Result<(ResponseHead, AnswerMetadata), CallFailure> {
    loop {
        let head = read_head(connection, call.method).await?;
        let metadata = answer::parse(&head);
        if metadata.request_id.as_deref() == Some(call.request_id) {
            return Ok((head, metadata));
        }
        *stale_answers += 1;
        if *stale_answers > MAX_STALE_ANSWERS {
            return Err(AnswerFault::ManyOtherAnswers.into());
        }
        connection.skip_body(head.framing, MAX_BODY_BYTES).await?;
    }
}

/// Reads the head of the next final answer, skipping a few interim ones.
pub async fn read_head(
    connection: &mut ServerConnection,
    method: &str,
) -> Result<ResponseHead, CallFailure> {
    let mut final_head = FinalHead::default();
    loop {
        let taken = final_head.take(&mut connection.buffer, method);
        if let Some(head) = taken.map_err(AnswerFault::from)? {
            return Ok(head);
        }
        if connection.fill_fairly().await.map_err(|_| CallFailure::Lost)? == 0 {
            return Err(CallFailure::Lost);
        }
    }
}
