//! Event-driven simulation of engines.
//!
//! An engine computes one prompt at a time by priority. Its decode steps take longer with a larger
//! batch, its memory is limited, and its prefill results expire.

use std::collections::{BTreeMap, BTreeSet};

use turmericrail_core::ids::StreamId;
use turmericrail_core::report::{HeldStream, Holder, LoadReport};
use turmericrail_core::units::{KvPieces, Streams, Tokens};

use crate::workload::{
    DECODE_STEP_BASE_MS, DECODE_STEP_PER_STREAM_MS, PIECES_PER_ENGINE, PREFILL_TOKENS_PER_MS,
    STREAMS_PER_ENGINE, TOKENS_PER_BLOCK, TOKENS_PER_PIECE,
};

/// Capacity of the prefix cache of a prefill engine.
const PREFIX_CACHE_BLOCKS: usize = 600;

/// A prompt on a prefill engine; `index` is the request, `instance` the caller.
#[derive(Clone)]
pub struct PrefillJob {
    pub stream: StreamId,
    pub holder: Holder,
    pub index: usize,
    pub instance: usize,
    pub priority: u64,
    pub prompt_tokens: u64,
    pub prefix_hashes: Vec<u64>,
    pub cached_tokens: u64,
    pub computed_ms: f64,
}

/// An answer on a decode engine; `index` is the request, `instance` the reader.
#[derive(Clone)]
pub struct DecodeStream {
    pub holder: Holder,
    pub index: usize,
    pub instance: usize,
    pub kv_pieces: u64,
    pub remaining_tokens: u64,
    pub is_generating: bool,
}

/// One engine; the calls that it receives decide its role. `slowdown` multiplies all its times.
#[derive(Default)]
pub struct Engine {
    pub data_centre: usize,
    pub is_dead: bool,
    pub is_failing: bool,
    pub slowdown: f64,
    pub waiting: Vec<PrefillJob>,
    pub running: Option<PrefillJob>,
    pub finished: BTreeMap<StreamId, PrefillJob>,
    pub decode_streams: BTreeMap<StreamId, DecodeStream>,
    pub is_stepping: bool,
    pub computed_ms: f64,
    pub wasted_ms: f64,
    last_use_by_block: BTreeMap<u64, u64>,
    blocks_by_last_use: BTreeSet<(u64, u64)>,
    use_count: u64,
}

impl Engine {
    /// Creates an engine at normal speed.
    pub fn new(data_centre: usize) -> Self {
        Self { data_centre, slowdown: 1.0, ..Self::default() }
    }

    /// Starts the queued prompt of the lowest priority value; returns its stream and its time in
    /// milliseconds.
    pub fn start_next_prefill(&mut self) -> Option<(StreamId, u64)> {
        if self.running.is_some() {
            return None;
        }
        let order = self.waiting.iter().enumerate();
        let (position, _) = order.min_by_key(|(position, job)| (job.priority, *position))?;
        let mut job = self.waiting.remove(position);
        job.cached_tokens = self.use_cached_prefix(&job.prefix_hashes);
        let computed = job.prompt_tokens.saturating_sub(job.cached_tokens).max(1) as f64;
        job.computed_ms = computed / PREFILL_TOKENS_PER_MS * self.slowdown;
        let started = (job.stream.clone(), job.computed_ms.ceil() as u64);
        self.running = Some(job);
        Some(started)
    }

    /// Finishes the running prompt and keeps its result.
    pub fn finish_running(&mut self, stream: &StreamId) -> Option<PrefillJob> {
        let job = self.running.take_if(|job| job.stream == *stream)?;
        self.computed_ms += job.computed_ms;
        for hash in &job.prefix_hashes {
            self.touch_block(*hash);
        }
        self.finished.insert(stream.clone(), job.clone());
        Some(job)
    }

    /// Discards an unused result and counts its time as wasted.
    pub fn discard_result(&mut self, stream: &StreamId) {
        if let Some(job) = self.finished.remove(stream) {
            self.wasted_ms += job.computed_ms;
        }
    }

    /// Frees all memory of a stream; returns whether its prompt was running. `done_fraction` gives
    /// how far a running prompt has been computed.
    pub fn cancel(
        &mut self,
        stream: &StreamId,
        done_fraction: impl Fn(&PrefillJob) -> f64,
    ) -> bool {
        self.waiting.retain(|job| job.stream != *stream);
        self.decode_streams.remove(stream);
        self.discard_result(stream);
        let Some(job) = self.running.take_if(|job| job.stream == *stream) else {
            return false;
        };
        let spent_ms = job.computed_ms * done_fraction(&job);
        self.computed_ms += spent_ms;
        self.wasted_ms += spent_ms;
        true
    }

    /// Whether an answer of this size fits into the batch and the memory.
    pub fn has_room(&self, kv_pieces: u64) -> bool {
        let used: u64 = self.decode_streams.values().map(|answer| answer.kv_pieces).sum();
        (self.decode_streams.len() as u64) < STREAMS_PER_ENGINE
            && used + kv_pieces <= PIECES_PER_ENGINE
    }

    pub fn step_ms(&self) -> u64 {
        let batch =
            self.decode_streams.values().filter(|answer| answer.is_generating).count() as f64;
        ((DECODE_STEP_BASE_MS + DECODE_STEP_PER_STREAM_MS * batch) * self.slowdown).round() as u64
    }

    pub fn report(&self) -> LoadReport {
        let decoding = self.decode_streams.iter().map(|(stream, answer)| {
            let kv_pieces = KvPieces(answer.kv_pieces);
            (stream.clone(), HeldStream { holder: answer.holder.clone(), kv_pieces })
        });
        let jobs = self.waiting.iter().chain(&self.running).chain(self.finished.values());
        let jobs = jobs.map(|job| {
            let kv_pieces = KvPieces(job.prompt_tokens.div_ceil(TOKENS_PER_PIECE));
            (job.stream.clone(), HeldStream { holder: job.holder.clone(), kv_pieces })
        });
        let held: BTreeMap<_, _> = decoding.chain(jobs).collect();
        let used: u64 = held.values().map(|held| held.kv_pieces.0).sum();
        let queued = self.waiting.iter().chain(&self.running).map(|job| job.prompt_tokens).sum();
        LoadReport {
            held,
            stream_limit_streams: Streams(STREAMS_PER_ENGINE),
            kv_total_pieces: KvPieces(PIECES_PER_ENGINE),
            kv_free_pieces: KvPieces(PIECES_PER_ENGINE.saturating_sub(used)),
            queued_tokens: Tokens(queued),
            ..LoadReport::default()
        }
    }

    fn use_cached_prefix(&mut self, prefix_hashes: &[u64]) -> u64 {
        let found = prefix_hashes
            .iter()
            .take_while(|hash| self.last_use_by_block.contains_key(hash))
            .count();
        for hash in &prefix_hashes[..found] {
            self.touch_block(*hash);
        }
        found as u64 * TOKENS_PER_BLOCK
    }

    fn touch_block(&mut self, hash: u64) {
        self.use_count += 1;
        if let Some(used) = self.last_use_by_block.insert(hash, self.use_count) {
            self.blocks_by_last_use.remove(&(used, hash));
        }
        self.blocks_by_last_use.insert((self.use_count, hash));
        while self.last_use_by_block.len() > PREFIX_CACHE_BLOCKS {
            let Some((_, oldest)) = self.blocks_by_last_use.pop_first() else {
                return;
            };
            self.last_use_by_block.remove(&oldest);
        }
    }
}
