//! Callers that wait for answers, with the requests that they sent.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};

use async_channel::{Receiver, Sender, TrySendError};
use turmericrail_core::error_kind::ErrorKind;
use turmericrail_core::event::PlainAnswer;
use turmericrail_core::ids::RequestId;
use turmericrail_core::request::RequestFingerprint;
use turmericrail_core::units::Millis;
use turmericrail_wire::caller::CompletionBody;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Messages queued for one caller before the sender has to wait.
const MESSAGE_QUEUE_LENGTH: usize = 64;

/// Message to a waiting caller, which its handler turns into an HTTP answer.
#[derive(Clone, Debug)]
#[expect(missing_docs, reason = "the names say it")]
pub enum CallerMessage {
    Token {
        /// Index within the answer, from zero.
        index: u64,
        text: String,
        /// Sealed cursor from which the answer can be resumed after this token.
        cursor: String,
    },
    /// End of a complete answer.
    End {
        /// Number of tokens in the whole answer.
        count: u64,
    },
    /// Issued tickets.
    Tickets(Vec<String>),
    /// Answer of a plain service.
    Plain(PlainAnswer),
    /// Final answer of a request that did not complete.
    Error { kind: ErrorKind, retry_after_ms: Option<Millis> },
}

/// Request of a caller, kept for the backend edge and for forwarding to a peer.
///
/// For a model call only the body is set.
#[derive(Clone, Debug, Default)]
#[expect(missing_docs, reason = "the names say it")]
pub struct ReceivedRequest {
    pub method: String,
    /// Path and query.
    pub path: String,
    pub ticket: Option<String>,
    /// Media type of the body; empty if the request names none.
    pub content_type: String,
    /// Body, or the prompt of a model call.
    pub body: Vec<u8>,
}

/// Hash that identifies a plain call, to tell its copies from other calls with the same ticket.
pub fn call_fingerprint(method: &str, path: &str, body: &[u8]) -> u64 {
    RequestFingerprint::of(&[method.as_bytes(), path.as_bytes(), body]).to_u64()
}

/// Hash that ties a cursor to its request: model, version, adapter, workspace, caller kind, token
/// limit and prompt.
pub fn completion_fingerprint(body: &CompletionBody) -> u64 {
    let CompletionBody { model, version, adapter, workspace, caller_kind, max_tokens, .. } = body;
    let version = version.as_ref().map_or("", |version| version.as_str());
    let mut head = format!("{model}/{version}/{workspace}/{caller_kind}/{}", max_tokens.0);
    if let Some(adapter) = adapter {
        head.push_str(&format!("/{adapter}"));
    }
    xxh3_64_with_seed(body.prompt.as_bytes(), xxh3_64_with_seed(head.as_bytes(), 0))
}

#[derive(Clone)]
struct WaitingCaller {
    sender: Sender<CallerMessage>,
    received: Arc<ReceivedRequest>,
}

/// Callers that wait for answers, by request.
#[derive(Default)]
pub struct Callers {
    waiting_callers: Mutex<BTreeMap<RequestId, WaitingCaller>>,
}

impl Callers {
    /// Registers a caller and returns the receiver of its messages.
    pub fn register(
        &self,
        request: RequestId,
        received: ReceivedRequest,
    ) -> Receiver<CallerMessage> {
        let (sender, receiver) = async_channel::bounded(MESSAGE_QUEUE_LENGTH);
        self.waiting_callers()
            .insert(request, WaitingCaller { sender, received: Arc::new(received) });
        receiver
    }

    /// Returns what a waiting caller sent.
    pub fn received_request(&self, request: RequestId) -> Option<Arc<ReceivedRequest>> {
        self.waiting_callers().get(&request).map(|caller| Arc::clone(&caller.received))
    }

    /// Returns the sender of messages to a waiting caller.
    pub fn sender(&self, request: RequestId) -> Option<Sender<CallerMessage>> {
        self.waiting_callers().get(&request).map(|caller| caller.sender.clone())
    }

    /// Sends the final answer and removes the caller; returns whether it was still waiting.
    pub fn finish(&self, request: RequestId, answer: CallerMessage) -> bool {
        let Some(caller) = self.waiting_callers().remove(&request) else {
            return false;
        };
        if let Err(TrySendError::Full(answer)) = caller.sender.try_send(answer) {
            async_std::task::spawn(async move { caller.sender.send(answer).await });
        }
        true
    }

    /// Removes a caller that is gone.
    pub fn remove(&self, request: RequestId) {
        self.waiting_callers().remove(&request);
    }

    /// Number of waiting callers.
    pub fn len(&self) -> usize {
        self.waiting_callers().len()
    }

    /// Whether no caller waits.
    pub fn is_empty(&self) -> bool {
        self.waiting_callers().is_empty()
    }

    fn waiting_callers(&self) -> MutexGuard<'_, BTreeMap<RequestId, WaitingCaller>> {
        self.waiting_callers.lock().unwrap_or_else(|_| std::process::abort())
    }
}
