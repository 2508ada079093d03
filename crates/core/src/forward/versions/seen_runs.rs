//! Runs of streams that engines have reported to instances that had just started.

use std::collections::BTreeMap;

use crate::forward::{SeenRun, ServerRegistry, SoftwareVersion, StreamKey};
use crate::units::Millis;

/// Time for which a run is remembered: the longest stream, with a margin for its resumption.
const RUN_TTL_MS: Millis = Millis(60_000);
/// Most runs that are remembered.
const MAX_RUNS: usize = 4_096;

/// The reported runs, by stream.
#[derive(Clone, Debug, Default)]
pub struct SeenRuns {
    /// `None` where several versions were reported for one stream.
    runs: BTreeMap<StreamKey, (Millis, Option<SeenRun>)>,
}

impl SeenRuns {
    /// Adds a run. A stream that ran at several versions is not continued at any of them.
    pub fn record(&mut self, run: SeenRun) {
        let known = self.runs.get(&run.stream);
        if known.is_none() && self.runs.len() >= MAX_RUNS {
            return;
        }
        let is_same = |known: &SeenRun| known.version == run.version;
        let is_sure = known.is_none_or(|(_, known)| known.as_ref().is_some_and(is_same));
        self.runs.insert(run.stream, (run.seen_ms, is_sure.then_some(run)));
    }

    /// Whether several versions were reported for a stream.
    pub fn is_doubtful(&self, stream: StreamKey) -> bool {
        self.runs.get(&stream).is_some_and(|(_, run)| run.is_none())
    }

    /// The run of a stream.
    pub fn get(&self, stream: StreamKey) -> Option<&SeenRun> {
        self.runs.get(&stream)?.1.as_ref()
    }

    /// All runs, to be passed on.
    pub fn iter(&self) -> impl Iterator<Item = &SeenRun> {
        self.runs.values().filter_map(|(_, run)| run.as_ref())
    }

    /// The version at which a stream began, by what several instances know of it: `None` if they
    /// don't agree, or if the engine has been started anew, so that another one may have reported.
    pub fn version<'a>(
        now_ms: Millis,
        registry: &ServerRegistry,
        runs: impl IntoIterator<Item = &'a SeenRun>,
    ) -> Option<&'a SoftwareVersion> {
        let mut version: Option<&SoftwareVersion> = None;
        for run in runs {
            let entry = registry.entry(now_ms, &run.engine.server)?;
            let is_current = entry.started_ms == run.engine.started_ms
                && entry.version.as_ref() == Some(&run.version);
            if !is_current || version.is_some_and(|version| *version != run.version) {
                return None;
            }
            version = Some(&run.version);
        }
        version
    }

    /// Drops runs that are over.
    pub fn expire(&mut self, now_ms: Millis) {
        self.runs.retain(|_, (seen_ms, _)| now_ms < *seen_ms + RUN_TTL_MS);
    }
}
