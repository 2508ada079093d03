//! A stream on a fake engine.

use async_channel::{Receiver, Sender};
use turmericrail_core::report::Holder;
use turmericrail_core::units::KvPieces;
use turmericrail_core::weights::Weights;

/// Channel that wakes the reader of a stream when a token has been generated.
#[derive(Clone, Debug)]
pub struct TokenNotifier {
    pub(super) sender: Sender<()>,
    pub(super) receiver: Receiver<()>,
}

impl Default for TokenNotifier {
    fn default() -> Self {
        let (sender, receiver) = async_channel::bounded(1);
        Self { sender, receiver }
    }
}

/// A stream on a fake engine, from its prefill or KV transfer on.
#[derive(Clone, Debug)]
#[expect(missing_docs, reason = "the names say it")]
pub struct EngineStream {
    /// Run of an instance that may cancel the stream.
    pub holder: Holder,
    /// KV memory that the stream occupies.
    pub kv_pieces: KvPieces,
    /// Weights that its KV cache was computed with; absent on a decode engine until the transfer is
    /// done.
    pub weights: Option<Weights>,
    /// Prompt text; empty on a decode engine until the transfer is done.
    pub prompt: String,
    /// Whether this engine has computed the prompt; false on a decode engine.
    pub is_prefill_done: bool,
    pub generated_tokens: u64,
    /// Tokens in the complete answer; 0 on a prefill engine.
    pub max_tokens: u64,
    /// Notified after each generated token.
    pub token_notifier: TokenNotifier,
}
