//! Speed and size of an engine.

/// Speed and size of an engine.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Prompt tokens computed a second.
    pub prefill_tokens_per_second: u64,
    /// Time between tokens.
    pub token_interval_ms: u64,
    /// Time of a KV transfer.
    pub transfer_ms: u64,
    /// Time for which a prefill result survives.
    pub result_life_ms: u64,
    /// Most streams at a time.
    pub stream_limit_streams: u64,
    /// KV pieces in all.
    pub kv_total_pieces: u64,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            prefill_tokens_per_second: 20_000,
            token_interval_ms: 10,
            transfer_ms: 5,
            result_life_ms: 900,
            stream_limit_streams: 20,
            kv_total_pieces: 2_000,
        }
    }
}
