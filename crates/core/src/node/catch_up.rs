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
const ALONE_AFTER_PAUSE_MS: Millis = Millis(3_000);
/// Longest wait for a peer after the start.
const ALONE_AFTER_START_MS: Millis = Millis(10_000);

/// Progress since the start or the last pause.
#[derive(Clone, Debug)]
pub(super) struct SyncState {
    since_ms: Millis,
    alone_after_ms: Millis,
    has_read_list: bool,
    has_heard_peer: bool,
    is_done: bool,
    /// Highest configuration version that a peer named.
    pub(super) peer_version: ConfigVersion,
}

impl Default for SyncState {
    fn default() -> Self {
        Self {
            since_ms: Millis::ZERO,
            alone_after_ms: ALONE_AFTER_START_MS,
            has_read_list: false,
            has_heard_peer: false,
            is_done: false,
            peer_version: ConfigVersion(0),
        }
    }
}

impl SyncState {
    /// Starts again after a pause; an instance that was not done yet still waits as at its start.
    pub(super) fn restart(&mut self, now_ms: Millis) {
        if self.is_done {
            self.alone_after_ms = ALONE_AFTER_PAUSE_MS;
        }
        self.since_ms = now_ms;
        self.has_heard_peer = false;
        self.is_done = false;
    }

    /// Notes that the platform's list was read.
    pub(super) fn note_list(&mut self) {
        self.has_read_list = true;
    }

    /// Notes the version that a peer named.
    pub(super) fn hear(&mut self, version: ConfigVersion) {
        self.has_heard_peer = true;
        self.peer_version = self.peer_version.max(version);
    }

    /// Checks whether enough is known by now.
    pub(super) fn advance(&mut self, now_ms: Millis, has_peers: bool, known: ConfigVersion) {
        let is_late = now_ms - self.since_ms >= self.alone_after_ms;
        let has_no_peer = self.has_read_list && !has_peers;
        let has_heard = self.has_heard_peer || has_no_peer;
        let is_current = known >= self.peer_version;
        self.is_done |= (has_heard && is_current) || is_late;
    }

    /// Whether beliefs may be acted on.
    pub(super) fn is_done(&self) -> bool {
        self.is_done
    }
}
