//! Whether what this instance believes is recent enough to act on.
//!
//! At its start, and after a pause of the process, an instance does not know what it missed. It
//! first hears a peer and takes the highest configuration version that peers name; where no known
//! peer answers, it goes on alone after a time. At its start it has nothing but what the
//! configuration service tells, which can be stale, so that it waits longer, and that no peer is
//! known means something only once the platform's list was read.

use crate::ids::ConfigVersion;
use crate::units::Millis;

/// Longest wait for a peer after a pause.
const MAX_WAIT_AFTER_PAUSE_MS: Millis = Millis(3_000);
/// Longest wait for a peer after the start.
const MAX_WAIT_AFTER_START_MS: Millis = Millis(10_000);

/// Progress since the start or the last pause.
#[derive(Clone, Debug)]
pub(super) struct CatchUp {
    since_ms: Millis,
    max_wait_ms: Millis,
    has_instance_list: bool,
    has_heard_peer: bool,
    is_complete: bool,
    /// Highest configuration version that a peer named.
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
    /// Starts again after a pause; an instance that was not done yet still waits as at its start.
    pub(super) fn restart(&mut self, now_ms: Millis) {
        if self.is_complete {
            self.max_wait_ms = MAX_WAIT_AFTER_PAUSE_MS;
        }
        self.since_ms = now_ms;
        self.has_heard_peer = false;
        self.is_complete = false;
    }

    /// Notes that the platform's list was read.
    pub(super) fn record_instance_list(&mut self) {
        self.has_instance_list = true;
    }

    /// Notes the version that a peer named.
    pub(super) fn record_peer_version(&mut self, version: ConfigVersion) {
        self.has_heard_peer = true;
        self.highest_peer_version = self.highest_peer_version.max(version);
    }

    /// Checks whether enough is known by now.
    pub(super) fn update(&mut self, now_ms: Millis, has_peers: bool, known_version: ConfigVersion) {
        let is_timed_out = now_ms - self.since_ms >= self.max_wait_ms;
        let is_known_alone = self.has_instance_list && !has_peers;
        let has_heard = self.has_heard_peer || is_known_alone;
        let is_current = known_version >= self.highest_peer_version;
        self.is_complete |= (has_heard && is_current) || is_timed_out;
    }

    /// Whether beliefs may be acted on.
    pub(super) fn is_complete(&self) -> bool {
        self.is_complete
    }
}
