//! The runs of streams that engines reported, as instances tell them to each other.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use async_std::task;
use turmericrail_core::forward::{SeenRun, ServerRun, SoftwareVersion, StreamKey};
use turmericrail_core::request::RequestFingerprint;
use turmericrail_core::units::{Millis, WallMillis};
use turmericrail_wire::relay as wire;

use super::stream_versions;
use crate::forward::clock;
use crate::forward::shared::Shared;

/// What this and other instances have seen of the run of a stream.
pub struct RunEvidence {
    runs: Vec<SeenRun>,
    is_doubtful: bool,
}

impl RunEvidence {
    pub fn here(shared: &Shared, stream: Option<StreamKey>) -> Self {
        let mut forwarder = shared.forwarder();
        let seen = forwarder.seen_runs();
        let run = stream.and_then(|stream| seen.get(stream).cloned());
        let is_doubtful = stream.is_some_and(|stream| seen.is_doubtful(stream));
        Self { runs: run.into_iter().collect(), is_doubtful }
    }

    /// Adds what another instance has seen; a run that can't be read says that several versions may
    /// have run the stream.
    pub fn add(&mut self, now_ms: Millis, run: Option<&wire::SeenRun>) {
        match run.map(|run| from_wire(now_ms, run)) {
            Some(Some(run)) => self.runs.push(run),
            Some(None) => self.is_doubtful = true,
            None => {}
        }
    }

    pub fn version(&self, shared: &Shared) -> Option<SoftwareVersion> {
        let version = shared.forwarder().seen_version(clock::now_ms(), &self.runs);
        version.filter(|_| !self.is_doubtful)
    }
}

/// Addresses of the other instances that keep what engines reported of a stream.
pub fn run_keepers(shared: &Shared, stream: StreamKey) -> Vec<SocketAddr> {
    stream_versions::keepers(shared, RequestFingerprint(stream.0))
}

/// Tells runs that engines reported to the instances that keep them.
pub fn tell_runs(shared: &Arc<Shared>, runs: &[SeenRun]) {
    let now_ms = clock::now_ms();
    let mut by_keeper: BTreeMap<SocketAddr, wire::BegunStreams> = BTreeMap::new();
    for run in runs {
        for keeper in run_keepers(shared, run.stream) {
            by_keeper.entry(keeper).or_default().runs.push(to_wire(now_ms, run));
        }
    }
    for (address, message) in by_keeper {
        task::spawn(stream_versions::notify_again(Arc::clone(shared), address, message));
    }
}

/// Records runs that engines have reported to another instance.
pub fn record_told_runs(shared: &Shared, message: &wire::BegunStreams) {
    let now_ms = clock::now_ms();
    for run in &message.runs {
        match from_wire(now_ms, run) {
            Some(run) => shared.forwarder().seen_runs().record(run),
            None => spdlog::warn!("event=stream_notice_malformed"),
        }
    }
}

/// What this instance has seen of a stream's run; without a version if several were reported.
pub fn run_for_reply(shared: &Shared, stream: StreamKey) -> Option<wire::SeenRun> {
    let mut forwarder = shared.forwarder();
    let seen = forwarder.seen_runs();
    if seen.is_doubtful(stream) {
        return Some(wire::SeenRun::default());
    }
    seen.get(stream).map(|run| to_wire(clock::now_ms(), run))
}

/// A run for a message.
fn to_wire(now_ms: Millis, run: &SeenRun) -> wire::SeenRun {
    let age_ms = now_ms.saturating_sub(run.seen_ms).0;
    wire::SeenRun {
        stream: run.stream.0.to_le_bytes().to_vec(),
        server: run.engine.server.to_string(),
        started_ms: run.engine.started_ms.0,
        version: run.version.to_string(),
        age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
    }
}

/// A run of a message; `None` if it can't be used.
fn from_wire(now_ms: Millis, run: &wire::SeenRun) -> Option<SeenRun> {
    let stream = run.stream.as_slice().try_into().ok().map(u128::from_le_bytes)?;
    let started_ms = WallMillis(run.started_ms);
    Some(SeenRun {
        stream: StreamKey(stream),
        engine: ServerRun { server: run.server.parse().ok()?, started_ms },
        version: run.version.parse().ok()?,
        seen_ms: now_ms.saturating_sub(Millis(u64::from(run.age_ms))),
    })
}
