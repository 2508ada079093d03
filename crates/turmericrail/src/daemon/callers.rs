//! Callers that wait for answers, and what they sent.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};

use async_channel::{Receiver, Sender, TrySendError};
use turmericrail_core::error_kind::ErrorKind;
use turmericrail_core::event::PlainAnswer;
use turmericrail_core::ids::RequestId;
use turmericrail_core::units::Millis;
use turmericrail_wire::caller::CompletionBody;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Messages to one caller that are held before its reader is waited for.
const HELD_MESSAGES: usize = 64;

/// What a caller gets.
#[derive(Clone, Debug)]
pub enum ToCaller {
    /// A token and the cursor behind it.
    Token {
        /// Index within the answer.
        index: u64,
        /// The token's text.
        text: String,
        /// Where the answer can be continued.
        cursor: String,
    },
    /// The explicit end.
    End {
        /// Tokens of the whole answer.
        count: u64,
    },
    /// Tickets.
    Tickets(Vec<String>),
    /// The answer of a plain service.
    Plain(PlainAnswer),
    /// The final answer of a request that did not complete.
    Error {
        /// Why.
        kind: ErrorKind,
        /// When to come back.
        retry_after_ms: Option<Millis>,
    },
}

/// What a caller sent, kept for the backend edge.
#[derive(Clone, Debug, Default)]
pub struct Sent {
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// The ticket.
    pub ticket: Option<String>,
    /// Media type of the body.
    pub content_type: String,
    /// The body, or the prompt of a model call.
    pub body: Vec<u8>,
}

/// Hash by which copies of a plain call are told from other calls.
pub fn call_fingerprint(method: &str, path: &str, body: &[u8]) -> u64 {
    let head = format!("{method} {path}");
    xxh3_64_with_seed(body, xxh3_64_with_seed(head.as_bytes(), 0))
}

/// Hash by which a cursor is tied to its request: model, version, workspace, caller kind, most
/// tokens and prompt.
pub fn completion_fingerprint(body: &CompletionBody) -> u64 {
    let CompletionBody { model, version, workspace, caller_kind, max_tokens, .. } = body;
    let version = version.as_ref().map_or("", |version| version.as_str());
    let head = format!("{model}/{version}/{workspace}/{caller_kind}/{}", max_tokens.0);
    xxh3_64_with_seed(body.prompt.as_bytes(), xxh3_64_with_seed(head.as_bytes(), 0))
}

#[derive(Clone)]
struct Caller {
    sender: Sender<ToCaller>,
    sent: Arc<Sent>,
}

/// Callers that wait for answers.
#[derive(Default)]
pub struct Callers {
    waiting: Mutex<BTreeMap<RequestId, Caller>>,
}

impl Callers {
    /// Registers a caller and returns where its answer will come.
    pub fn register(&self, request: RequestId, sent: Sent) -> Receiver<ToCaller> {
        let (sender, receiver) = async_channel::bounded(HELD_MESSAGES);
        self.waiting().insert(request, Caller { sender, sent: Arc::new(sent) });
        receiver
    }

    /// What a caller sent, while it waits.
    pub fn sent(&self, request: RequestId) -> Option<Arc<Sent>> {
        self.waiting().get(&request).map(|caller| Arc::clone(&caller.sent))
    }

    /// Where a caller's tokens go, while it waits.
    pub fn sender(&self, request: RequestId) -> Option<Sender<ToCaller>> {
        self.waiting().get(&request).map(|caller| caller.sender.clone())
    }

    /// Gives a final answer, once; returns whether the caller was still waiting.
    pub fn finish(&self, request: RequestId, answer: ToCaller) -> bool {
        let Some(caller) = self.waiting().remove(&request) else {
            return false;
        };
        if let Err(TrySendError::Full(answer)) = caller.sender.try_send(answer) {
            async_std::task::spawn(async move { caller.sender.send(answer).await });
        }
        true
    }

    /// Forgets a caller that is gone.
    pub fn forget(&self, request: RequestId) {
        self.waiting().remove(&request);
    }

    /// Callers that wait.
    pub fn len(&self) -> usize {
        self.waiting().len()
    }

    /// Whether no caller waits.
    pub fn is_empty(&self) -> bool {
        self.waiting().is_empty()
    }

    fn waiting(&self) -> MutexGuard<'_, BTreeMap<RequestId, Caller>> {
        self.waiting.lock().unwrap_or_else(|_| std::process::abort())
    }
}
