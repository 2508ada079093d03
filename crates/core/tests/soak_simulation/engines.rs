//! Fake engines: the streams that they hold and the progress of each stream.

use std::collections::BTreeMap;

use turmericrail_core::ids::{DataCentreId, StreamId};
use turmericrail_core::report::{HeldStream, Holder, LoadReport};
use turmericrail_core::units::{KvPieces, Streams};

use super::simulation::CLOCK_STEP_MS;

/// Streams that one engine can hold at a time.
pub const STREAM_LIMIT_STREAMS: u64 = 6;
/// Memory of one engine in KV pieces.
pub const KV_TOTAL_PIECES: u64 = 300;
/// Time between two tokens of a stream.
pub const TOKEN_INTERVAL_MS: u64 = 20;
/// Time for which an ended stream can still be read.
const ENDED_STREAM_RETENTION_MS: u64 = 10_000;

/// A stream that an engine holds or that ended there recently.
#[derive(Clone, Debug)]
pub struct Stream {
    pub holder: Holder,
    pub kv_pieces: u64,
    /// Index of the caller whose prompt it answers.
    pub caller: usize,
    pub is_prefilled: bool,
    /// Start of the generation, moved on while the engine is frozen; `None` before the transfer ends.
    pub decode_since_ms: Option<u64>,
    /// Length of the answer; 0 before the transfer.
    pub max_tokens: u64,
}

impl Stream {
    pub fn generated_tokens(&self, now_ms: u64) -> u64 {
        let since_ms = self.decode_since_ms.map_or(0, |from_ms| now_ms.saturating_sub(from_ms));
        (since_ms / TOKEN_INTERVAL_MS).min(self.max_tokens)
    }
}

/// A fake engine, with the times until which its faults last.
#[derive(Clone, Debug)]
pub struct Engine {
    pub data_centre: DataCentreId,
    /// Whether it records who reads a stream, refuses other readers that do not take the stream over,
    /// and cancels for the holder only.
    pub checks_holders: bool,
    /// Streams that occupy memory.
    pub streams: BTreeMap<StreamId, Stream>,
    /// Ended streams that can still be read, with the time of their end.
    pub ended_streams: BTreeMap<StreamId, (u64, Stream)>,
    pub down_until_ms: u64,
    /// Transfers that start before this time do not finish.
    pub transfers_stalled_until_ms: u64,
    /// It generates no tokens until this time.
    pub frozen_until_ms: u64,
    /// Readers opened before this time receive nothing.
    pub readers_stalled_until_ms: u64,
    /// Old report that is returned until the given time.
    pub stale_report: Option<(u64, LoadReport)>,
    /// The platform lists it as leaving until this time.
    pub leaving_until_ms: u64,
}

impl Engine {
    pub fn new(data_centre: DataCentreId, checks_holders: bool) -> Self {
        Self {
            data_centre,
            checks_holders,
            streams: BTreeMap::new(),
            ended_streams: BTreeMap::new(),
            down_until_ms: 0,
            transfers_stalled_until_ms: 0,
            frozen_until_ms: 0,
            readers_stalled_until_ms: 0,
            stale_report: None,
            leaving_until_ms: 0,
        }
    }

    pub fn is_up(&self, now_ms: u64) -> bool {
        now_ms >= self.down_until_ms
    }

    pub fn has_room(&self, kv_pieces: u64) -> bool {
        let used: u64 = self.streams.values().map(|stream| stream.kv_pieces).sum();
        let has_free_stream = (self.streams.len() as u64) < STREAM_LIMIT_STREAMS;
        has_free_stream && used + kv_pieces <= KV_TOTAL_PIECES
    }

    /// Ends the streams that have generated all tokens and drops ended ones after their retention.
    pub fn advance(&mut self, now_ms: u64) {
        if now_ms < self.frozen_until_ms {
            let from_ms =
                |stream: &mut Stream| stream.decode_since_ms.map(|from_ms| from_ms + CLOCK_STEP_MS);
            for stream in self.streams.values_mut() {
                stream.decode_since_ms = from_ms(stream);
            }
        }
        let is_over = |stream: &Stream| {
            stream.decode_since_ms.is_some() && stream.generated_tokens(now_ms) >= stream.max_tokens
        };
        let over = self.streams.iter().filter(|(_, stream)| is_over(stream));
        let over: Vec<_> = over.map(|(id, _)| id.clone()).collect();
        for id in over {
            if let Some(stream) = self.streams.remove(&id) {
                self.ended_streams.insert(id, (now_ms, stream));
            }
        }
        self.ended_streams
            .retain(|_, (ended_ms, _)| now_ms - *ended_ms < ENDED_STREAM_RETENTION_MS);
    }

    /// The stream if it is held or ended recently.
    pub fn find_readable(&mut self, id: &StreamId) -> Option<&mut Stream> {
        match self.streams.get_mut(id) {
            Some(stream) => Some(stream),
            None => self.ended_streams.get_mut(id).map(|(_, stream)| stream),
        }
    }

    /// Frees a stream on behalf of `holder`; returns whether it did.
    pub fn cancel(&mut self, id: &StreamId, holder: &Holder) -> bool {
        let is_allowed = |stream: &Stream| !self.checks_holders || stream.holder == *holder;
        let is_cancelled = self.streams.get(id).is_some_and(is_allowed);
        if is_cancelled {
            self.streams.remove(id);
        }
        is_cancelled
    }

    /// The load report returned at this time.
    pub fn report(&self, now_ms: u64) -> LoadReport {
        if let Some((until_ms, report)) = &self.stale_report
            && now_ms < *until_ms
        {
            return report.clone();
        }
        let held = self.streams.iter().map(|(id, stream)| {
            let kv_pieces = KvPieces(stream.kv_pieces);
            (id.clone(), HeldStream { holder: stream.holder.clone(), kv_pieces })
        });
        let used: u64 = self.streams.values().map(|stream| stream.kv_pieces).sum();
        LoadReport {
            held: held.collect(),
            stream_limit_streams: Streams(STREAM_LIMIT_STREAMS),
            kv_total_pieces: KvPieces(KV_TOTAL_PIECES),
            kv_free_pieces: KvPieces(KV_TOTAL_PIECES.saturating_sub(used)),
            ..LoadReport::default()
        }
    }
}
