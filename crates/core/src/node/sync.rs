//! Whether what this instance believes is recent enough to act on.
//!
//! At its start, and after a pause of the process, an instance does not know what it missed. It
//! first hears a peer and takes the highest configuration version that peers name; where no known
//! peer answers, it goes on alone after a time.

use crate::ids::ConfigVersion;
use crate::units::Millis;

/// Longest wait for a peer.
const ALONE_AFTER_MS: Millis = Millis(3_000);

/// Progress since the start or the last pause.
#[derive(Clone, Debug, Default)]
pub(super) struct SyncState {
    since_ms: Millis,
    has_heard_peer: bool,
    is_done: bool,
    /// Highest configuration version that a peer named.
    pub(super) peer_version: ConfigVersion,
}

impl SyncState {
    /// Starts again after a pause.
    pub(super) fn restart(&mut self, now_ms: Millis) {
        let peer_version = self.peer_version;
        *self = Self { since_ms: now_ms, peer_version, ..Self::default() };
    }

    /// Notes the version that a peer named.
    pub(super) fn hear(&mut self, version: ConfigVersion) {
        self.has_heard_peer = true;
        self.peer_version = self.peer_version.max(version);
    }

    /// Checks whether enough is known by now. Nobody known means nothing before a configuration is,
    /// as the list of instances is read first.
    pub(super) fn advance(&mut self, now_ms: Millis, has_peers: bool, known: ConfigVersion) {
        let is_late = now_ms - self.since_ms >= ALONE_AFTER_MS;
        let is_alone = !has_peers && known > ConfigVersion(0);
        let has_heard = self.has_heard_peer || is_alone;
        let is_current = known >= self.peer_version;
        self.is_done |= (has_heard && is_current) || is_late;
    }

    /// Whether beliefs may be acted on.
    pub(super) fn is_done(&self) -> bool {
        self.is_done
    }
}
