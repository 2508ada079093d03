//! One stream on an engine.

use async_channel::{Receiver, Sender};
use turmericrail_core::report::Holder;
use turmericrail_core::units::KvPieces;
use turmericrail_core::weights::Weights;

/// Wakes the reader of a stream when a token is there.
#[derive(Clone, Debug)]
pub struct Progress {
    pub(super) sender: Sender<()>,
    pub(super) receiver: Receiver<()>,
}

impl Default for Progress {
    fn default() -> Self {
        let (sender, receiver) = async_channel::bounded(1);
        Self { sender, receiver }
    }
}

/// One stream on the engine.
#[derive(Clone, Debug)]
pub struct EngineStream {
    /// Who holds it.
    pub holder: Holder,
    /// Its memory.
    pub kv_pieces: KvPieces,
    /// What its KV cache was computed with, once known.
    pub weights: Option<Weights>,
    /// The prompt.
    pub prompt: String,
    /// Whether its prefill is done.
    pub is_computed: bool,
    /// Tokens generated so far.
    pub generated_tokens: u64,
    /// Tokens of the whole answer.
    pub max_tokens: u64,
    /// Wakes the reader when a token is there.
    pub progress: Progress,
}
