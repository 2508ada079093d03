//! Settings of a fake engine, which are fixed at its start.

/// Speed and capacity of a fake engine.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Prompt tokens computed per second.
    pub prefill_tokens_per_second: u64,
    /// Time between two generated tokens of a stream.
    pub token_interval_ms: u64,
    /// Duration of a KV transfer.
    pub transfer_ms: u64,
    /// Time for which a prefill result is kept.
    pub result_lifetime_ms: u64,
    /// Maximum number of concurrent streams.
    pub stream_limit_streams: u64,
    /// KV cache capacity.
    pub kv_total_pieces: u64,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            prefill_tokens_per_second: 20_000,
            token_interval_ms: 10,
            transfer_ms: 5,
            result_lifetime_ms: 900,
            stream_limit_streams: 20,
            kv_total_pieces: 2_000,
        }
    }
}
