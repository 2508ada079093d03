//! When one member was heard, and until when it counts as live.

use crate::ids::MemberKey;
use crate::membership::digest::MemberDigest;
use crate::units::Millis;

/// Silence after which a member no longer counts as live.
pub const MEMBER_TIMEOUT_MS: Millis = Millis(2_500);

/// One member and its signs of life.
#[derive(Clone, Debug)]
pub(super) struct MemberState {
    pub(super) digest: MemberDigest,
    /// Key of the digest.
    pub(super) key: MemberKey,
    /// Silence of others about it after which it no longer counts as live.
    pub(super) timeout_ms: Millis,
    /// Last sign of life through others.
    pub(super) last_indirect_ms: Option<Millis>,
    /// Last message straight from it.
    pub(super) last_direct_ms: Option<Millis>,
    /// When it was last heard in any way.
    pub(super) last_seen_ms: Millis,
}

impl MemberState {
    /// When it stops to count as live.
    pub(super) fn expires_ms(&self) -> Option<Millis> {
        let indirect = self.last_indirect_ms.map(|indirect_ms| indirect_ms + self.timeout_ms);
        indirect.max(self.last_direct_ms.map(|direct_ms| direct_ms + MEMBER_TIMEOUT_MS))
    }

    pub(super) fn is_live_at(&self, now_ms: Millis) -> bool {
        self.expires_ms().is_some_and(|expires_ms| now_ms < expires_ms)
    }
}
