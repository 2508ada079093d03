//! When a member was last heard from, and until when it counts as live.
//!
//! A member is heard from directly when a message of its own arrives. It is heard from indirectly
//! when another member's heartbeat carries a higher heartbeat counter for it, or when a summary of
//! its data centre lists it.

use crate::ids::MemberKey;
use crate::membership::digest::MemberDigest;
use crate::units::Millis;

/// A member of the own data centre, or one heard from directly, counts as live for this long after
/// it was last heard from.
pub const MEMBER_TIMEOUT_MS: Millis = Millis(2_500);

/// One member and when it was heard from.
#[derive(Clone, Debug)]
pub(super) struct MemberState {
    pub(super) digest: MemberDigest,
    /// Key of `digest`.
    pub(super) key: MemberKey,
    /// Time after `last_indirect_ms` for which the member counts as live.
    pub(super) timeout_ms: Millis,
    /// When it was last heard from indirectly; `None` if never, or once other members no longer
    /// confirm it.
    pub(super) last_indirect_ms: Option<Millis>,
    /// When it was last heard from directly; `None` if no message came from this run, or once
    /// another member no longer confirms it.
    pub(super) last_direct_ms: Option<Millis>,
    /// When it was last heard from, or a newer digest of it arrived.
    pub(super) last_seen_ms: Millis,
}

impl MemberState {
    /// When it stops counting as live.
    pub(super) fn expires_ms(&self) -> Option<Millis> {
        let indirect = self.last_indirect_ms.map(|indirect_ms| indirect_ms + self.timeout_ms);
        indirect.max(self.last_direct_ms.map(|direct_ms| direct_ms + MEMBER_TIMEOUT_MS))
    }

    pub(super) fn is_live_at(&self, now_ms: Millis) -> bool {
        self.expires_ms().is_some_and(|expires_ms| now_ms < expires_ms)
    }
}
