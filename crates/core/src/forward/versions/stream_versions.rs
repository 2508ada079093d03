//! The software versions at which streams have begun, by the attempt that brought their first event.

use std::collections::{BTreeMap, BTreeSet};

use crate::forward::{SoftwareVersion, StreamKey, StreamVersion};
use crate::request::RequestFingerprint;
use crate::units::Millis;

/// Time for which a stream is remembered: the longest stream, with a margin for its resumption.
const STREAM_TTL_MS: Millis = Millis(60_000);
/// Most streams that are remembered.
const MAX_STREAMS: usize = 8_192;

/// The streams that this instance has begun, or was told of by others.
#[derive(Clone, Debug, Default)]
pub struct StreamVersions {
    streams: BTreeMap<StreamKey, StreamVersion>,
    /// Those that others have begun, of which later attempts may be unknown here.
    told: BTreeSet<StreamKey>,
}

impl StreamVersions {
    /// Records a stream that another instance has begun, unless a later attempt is known.
    pub fn record_told(&mut self, stream: StreamVersion) {
        if !self.streams.contains_key(&stream.stream) {
            self.told.insert(stream.stream);
        }
        self.record(stream);
    }

    /// Whether the stream was begun by this instance, which therefore knows all its attempts.
    pub fn is_own(&self, stream: StreamKey) -> bool {
        self.streams.contains_key(&stream) && !self.told.contains(&stream)
    }

    /// The last known attempt of a stream.
    pub fn last_attempt(&self, stream: StreamKey) -> Option<&StreamVersion> {
        self.streams.get(&stream)
    }

    /// Records the version of a stream unless a later one is known.
    pub fn record(&mut self, stream: StreamVersion) {
        let known = self.streams.get(&stream.stream);
        if known.is_some_and(|known| known.attempt > stream.attempt) {
            return;
        }
        self.streams.insert(stream.stream, stream);
        if self.streams.len() > MAX_STREAMS {
            let oldest = self.streams.values().min_by_key(|stream| stream.sent_ms);
            let oldest = oldest.map(|stream| stream.stream);
            if let Some(oldest) = oldest {
                self.streams.remove(&oldest);
                self.told.remove(&oldest);
            }
        }
    }

    /// The version at which a stream has begun.
    pub fn get(&self, stream: StreamKey) -> Option<&SoftwareVersion> {
        self.streams.get(&stream).map(|stream| &stream.version)
    }

    /// The version at which all known attempts of a request were begun; `None` if none is known, or
    /// several are.
    pub fn of_request(&self, request: RequestFingerprint) -> Option<&SoftwareVersion> {
        let mut same = self.streams.values().filter(|stream| stream.request == request);
        let version = same.next().map(|stream| &stream.version)?;
        same.all(|stream| stream.version == *version).then_some(version)
    }

    /// The streams that may still go on.
    pub fn recent(&self, now_ms: Millis, max_age_ms: Millis) -> Vec<StreamVersion> {
        let is_recent = |stream: &&StreamVersion| now_ms < stream.sent_ms + max_age_ms;
        self.streams.values().filter(is_recent).cloned().collect()
    }

    /// Drops streams that are over.
    pub fn expire(&mut self, now_ms: Millis) {
        self.streams.retain(|_, stream| now_ms < stream.sent_ms + STREAM_TTL_MS);
        self.told.retain(|stream| self.streams.contains_key(stream));
    }
}
