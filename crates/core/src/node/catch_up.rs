//! Tracks whether this instance has learned what its peers know since its start or its last pause.
//!
//! After either, an instance does not know what it missed. It waits until it has heard from a peer
//! and holds the highest configuration version that any peer has named. If no peer answers, it
//! stops waiting after a timeout. The timeout is longer after a start, because the instance then
//! has only what the configuration service says, which may be stale. Having no peers counts as
//! having heard from them only once the platform's instance list has been read.

use crate::ids::ConfigVersion;
use crate::units::Millis;

const MAX_WAIT_AFTER_PAUSE_MS: Millis = Millis(3_000);
const MAX_WAIT_AFTER_START_MS: Millis = Millis(10_000);

/// Progress since the start or the last pause.
#[derive(Clone, Debug)]
pub(super) struct CatchUp {
    since_ms: Millis,
    max_wait_ms: Millis,
    has_instance_list: bool,
    has_heard_peer: bool,
    is_complete: bool,
    /// Highest configuration version that a peer has named.
    pub(super) highest_peer_version: ConfigVersion,
}

impl Default for CatchUp {
    fn default() -> Self {
        Self {
            since_ms: Millis::ZERO,
            max_wait_ms: MAX_WAIT_AFTER_START_MS,
            has_instance_list: false,
            has_heard_peer: false,
            is_complete: false,
            highest_peer_version: ConfigVersion(0),
        }
    }
}

impl CatchUp {
    /// Starts again after a pause. An instance that had not yet caught up keeps its start timeout.
    pub(super) fn restart(&mut self, now_ms: Millis) {
        if self.is_complete {
            self.max_wait_ms = MAX_WAIT_AFTER_PAUSE_MS;
        }
        self.since_ms = now_ms;
        self.has_heard_peer = false;
        self.is_complete = false;
    }

    pub(super) fn record_instance_list(&mut self) {
        self.has_instance_list = true;
    }

    pub(super) fn record_peer_version(&mut self, version: ConfigVersion) {
        self.has_heard_peer = true;
        self.highest_peer_version = self.highest_peer_version.max(version);
    }

    /// Decides whether the instance has caught up, given the highest version it knows.
    pub(super) fn update(&mut self, now_ms: Millis, has_peers: bool, known_version: ConfigVersion) {
        let is_timed_out = now_ms - self.since_ms >= self.max_wait_ms;
        let is_known_alone = self.has_instance_list && !has_peers;
        let has_heard = self.has_heard_peer || is_known_alone;
        let is_current = known_version >= self.highest_peer_version;
        self.is_complete |= (has_heard && is_current) || is_timed_out;
    }

    /// Whether peer-dependent state is recent enough to act on.
    pub(super) fn is_complete(&self) -> bool {
        self.is_complete
    }
}
