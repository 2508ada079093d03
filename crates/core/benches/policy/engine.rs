//! Event-driven stand-ins of engines: one prompt after another by priority, decode steps that
//! grow with the batch, memory that runs out, results that expire.

use std::collections::{BTreeMap, BTreeSet};

use turmericrail_core::ids::StreamId;
use turmericrail_core::report::{HeldStream, Holder, LoadReport};
use turmericrail_core::units::{KvPieces, Streams, Tokens};

use crate::workload::{
    BLOCK_TOKENS, ENGINE_PIECES, ENGINE_STREAMS, PIECE_TOKENS, PREFILL_TOKENS_PER_MS, STEP_BASE_MS,
    STEP_STREAM_MS,
};

/// Prefix blocks that the cache of a prefill engine holds.
const CACHE_BLOCKS: usize = 600;

/// A prompt on a prefill engine.
#[derive(Clone)]
pub struct Job {
    pub stream: StreamId,
    pub holder: Holder,
    pub index: usize,
    pub instance: usize,
    pub priority: u64,
    pub prompt_tokens: u64,
    pub hashes: Vec<u64>,
    pub cached_tokens: u64,
    pub computed_ms: f64,
}

/// An answer on a decode engine.
#[derive(Clone)]
pub struct Answer {
    pub holder: Holder,
    pub index: usize,
    pub instance: usize,
    pub kv_pieces: u64,
    pub left_tokens: u64,
    pub is_generating: bool,
}

/// One engine; its role is given by what it is asked to do.
#[derive(Default)]
pub struct Engine {
    pub data_centre: usize,
    pub is_dead: bool,
    pub is_failing: bool,
    pub slowness: f64,
    pub waiting: Vec<Job>,
    pub running: Option<Job>,
    pub done: BTreeMap<StreamId, Job>,
    pub answers: BTreeMap<StreamId, Answer>,
    pub is_stepping: bool,
    pub computed_ms: f64,
    pub wasted_ms: f64,
    cached: BTreeMap<u64, u64>,
    by_age: BTreeSet<(u64, u64)>,
    uses: u64,
}

impl Engine {
    /// An engine in a data centre, at its ordinary speed.
    pub fn new(data_centre: usize) -> Self {
        Self { data_centre, slowness: 1.0, ..Self::default() }
    }

    /// Takes the most urgent waiting prompt into work; returns its stream and time.
    pub fn start_next(&mut self) -> Option<(StreamId, u64)> {
        if self.running.is_some() {
            return None;
        }
        let order = self.waiting.iter().enumerate();
        let (place, _) = order.min_by_key(|(place, job)| (job.priority, *place))?;
        let mut job = self.waiting.remove(place);
        job.cached_tokens = self.look_up(&job.hashes);
        let computed = job.prompt_tokens.saturating_sub(job.cached_tokens).max(1) as f64;
        job.computed_ms = computed / PREFILL_TOKENS_PER_MS * self.slowness;
        let started = (job.stream.clone(), job.computed_ms.ceil() as u64);
        self.running = Some(job);
        Some(started)
    }

    /// Ends the running prompt and keeps its result.
    pub fn finish_running(&mut self, stream: &StreamId) -> Option<Job> {
        let job = self.running.take_if(|job| job.stream == *stream)?;
        self.computed_ms += job.computed_ms;
        for hash in &job.hashes {
            self.remember(*hash);
        }
        self.done.insert(stream.clone(), job.clone());
        Some(job)
    }

    /// Discards a result that was not used.
    pub fn waste(&mut self, stream: &StreamId) {
        if let Some(job) = self.done.remove(stream) {
            self.wasted_ms += job.computed_ms;
        }
    }

    /// Frees all memory of a stream.
    pub fn cancel(&mut self, stream: &StreamId, done_part: impl Fn(&Job) -> f64) -> bool {
        self.waiting.retain(|job| job.stream != *stream);
        self.answers.remove(stream);
        self.waste(stream);
        let Some(job) = self.running.take_if(|job| job.stream == *stream) else {
            return false;
        };
        let spent_ms = job.computed_ms * done_part(&job);
        self.computed_ms += spent_ms;
        self.wasted_ms += spent_ms;
        true
    }

    /// Whether an answer of this size can be taken in.
    pub fn has_room(&self, kv_pieces: u64) -> bool {
        let used: u64 = self.answers.values().map(|answer| answer.kv_pieces).sum();
        (self.answers.len() as u64) < ENGINE_STREAMS && used + kv_pieces <= ENGINE_PIECES
    }

    /// Time of the next decode step.
    pub fn step_ms(&self) -> u64 {
        let batch = self.answers.values().filter(|answer| answer.is_generating).count() as f64;
        ((STEP_BASE_MS + STEP_STREAM_MS * batch) * self.slowness).round() as u64
    }

    /// What the engine would report now.
    pub fn report(&self) -> LoadReport {
        let answers = self.answers.iter().map(|(stream, answer)| {
            let kv_pieces = KvPieces(answer.kv_pieces);
            (stream.clone(), HeldStream { holder: answer.holder.clone(), kv_pieces })
        });
        let jobs = self.waiting.iter().chain(&self.running).chain(self.done.values());
        let jobs = jobs.map(|job| {
            let kv_pieces = KvPieces(job.prompt_tokens.div_ceil(PIECE_TOKENS));
            (job.stream.clone(), HeldStream { holder: job.holder.clone(), kv_pieces })
        });
        let held: BTreeMap<_, _> = answers.chain(jobs).collect();
        let used: u64 = held.values().map(|held| held.kv_pieces.0).sum();
        let queued = self.waiting.iter().chain(&self.running).map(|job| job.prompt_tokens).sum();
        LoadReport {
            held,
            stream_limit_streams: Streams(ENGINE_STREAMS),
            kv_total_pieces: KvPieces(ENGINE_PIECES),
            kv_free_pieces: KvPieces(ENGINE_PIECES.saturating_sub(used)),
            queued_tokens: Tokens(queued),
            ..LoadReport::default()
        }
    }

    fn look_up(&mut self, hashes: &[u64]) -> u64 {
        let found = hashes.iter().take_while(|hash| self.cached.contains_key(hash)).count();
        for hash in &hashes[..found] {
            self.remember(*hash);
        }
        found as u64 * BLOCK_TOKENS
    }

    fn remember(&mut self, hash: u64) {
        self.uses += 1;
        if let Some(used) = self.cached.insert(hash, self.uses) {
            self.by_age.remove(&(used, hash));
        }
        self.by_age.insert((self.uses, hash));
        while self.cached.len() > CACHE_BLOCKS {
            let Some((_, oldest)) = self.by_age.pop_first() else {
                return;
            };
            self.cached.remove(&oldest);
        }
    }
}
