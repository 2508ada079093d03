//! Merges what other instances send into the view: digests, heartbeat counters, summaries and
//! direct messages.

use std::collections::BTreeSet;

use crate::ids::{DataCentreId, Incarnation, InstanceId, MemberKey};
use crate::membership::digest::{MemberBeat, MemberDigest};
use crate::membership::member_state::{MEMBER_TIMEOUT_MS, MemberState};
use crate::membership::summary::{RemoteDataCentre, Summary, SummaryHead};
use crate::membership::view::{DATA_CENTRE_TIMEOUT_MS, MemberView};
use crate::report::Holder;
use crate::units::Millis;

/// A member silent for longer than this stops counting as live here as soon as another member no
/// longer counts it as live.
const SUSPECT_AFTER_MS: Millis = Millis(1_000);
/// Heartbeats that carry the record of a changed member.
const HEARTBEATS_PER_CHANGE: u32 = 8;
/// Time after its start in which a run may raise its incarnation above that of its predecessor.
const INCARNATION_RAISE_WINDOW_MS: Millis = Millis(10_000);
/// Low bits of an incarnation, chosen at random by each run. They distinguish two runs whose clocks
/// agree or that both rose above the same predecessor.
pub const INCARNATION_RANDOM_BITS: u32 = 22;

/// Result of receiving a digest of this instance with a higher incarnation than this run's.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum IncarnationConflict {
    /// This run raised its incarnation to this value, since its predecessor's clock was ahead.
    Raised(Incarnation),
    /// Another run of this instance, with this incarnation, has replaced this one.
    Replaced(Incarnation),
}

impl MemberView {
    /// Merges digests of members. A member whose run is already known does not count as heard from
    /// because a digest of it arrives. Reports if a digest shows a newer run of this instance.
    pub fn merge_digests(
        &mut self,
        now_ms: Millis,
        digests: impl IntoIterator<Item = MemberDigest>,
    ) -> Option<IncarnationConflict> {
        let mut conflict = None;
        for digest in digests {
            if digest.instance == self.own.instance {
                conflict = self.merge_own_digest(now_ms, &digest).or(conflict);
                continue;
            }
            self.merge_digest(now_ms, digest);
        }
        conflict
    }

    /// Merges the digest of a heartbeat's sender, which counts as heard from directly.
    pub fn merge_sender(
        &mut self,
        now_ms: Millis,
        own: MemberDigest,
    ) -> Option<IncarnationConflict> {
        let holder = own.holder();
        let beat = MemberBeat { key: own.key(), beat: own.beat };
        let conflict = self.merge_digests(now_ms, [own]);
        self.merge_beats(now_ms, &[beat]);
        self.record_direct_message(now_ms, &holder);
        conflict
    }

    /// Records that a message arrived directly from a member.
    pub fn record_direct_message(&mut self, now_ms: Millis, from: &Holder) {
        let Some(member) = self.members.get_mut(&from.instance) else {
            return;
        };
        if member.digest.incarnation == from.incarnation {
            self.is_stale |= !member.is_live_at(now_ms);
            member.last_direct_ms = Some(now_ms);
            member.last_seen_ms = now_ms;
        }
    }

    /// Merges heartbeat counters; returns the keys that are not known.
    pub fn merge_beats(&mut self, now_ms: Millis, beats: &[MemberBeat]) -> Vec<MemberKey> {
        let mut unknown = Vec::new();
        for MemberBeat { key, beat } in beats {
            if *key == self.own_key {
                continue;
            }
            let Some((instance, incarnation)) = self.keys.get(key) else {
                unknown.push(*key);
                continue;
            };
            let Some(member) = self.members.get_mut(instance) else {
                continue;
            };
            if member.digest.incarnation != *incarnation || member.digest.beat >= *beat {
                continue;
            }
            self.is_stale |= !member.is_live_at(now_ms);
            member.digest.beat = *beat;
            member.last_indirect_ms = Some(now_ms);
            member.last_seen_ms = now_ms;
        }
        unknown
    }

    /// Stops counting a member of this data centre as live if it has been silent for some time and
    /// `beats` does not name it. `beats` must name all members that the sender counts as live.
    pub fn expire_unconfirmed(
        &mut self,
        now_ms: Millis,
        sender: &InstanceId,
        beats: &[MemberBeat],
    ) {
        let named: BTreeSet<MemberKey> = beats.iter().map(|beat| beat.key).collect();
        for (instance, member) in &mut self.members {
            let is_local = member.digest.data_centre == self.own.data_centre;
            if !is_local || instance == sender || named.contains(&member.key) {
                continue;
            }
            let last_ms = member.last_indirect_ms.max(member.last_direct_ms);
            if last_ms.is_some_and(|last_ms| now_ms - last_ms > SUSPECT_AFTER_MS) {
                (member.last_indirect_ms, member.last_direct_ms) = (None, None);
                self.is_stale = true;
            }
        }
    }

    /// Merges the head of a summary; returns whether the full summary is needed.
    pub fn merge_summary_head(&mut self, now_ms: Millis, head: SummaryHead) -> bool {
        if head.data_centre == self.own.data_centre {
            self.clock = self.clock.max(head.clock);
            return false;
        }
        let data_centre = head.data_centre.clone();
        let Some(known) = self.remote.get_mut(&data_centre) else {
            let placeholder = SummaryHead { clock: 0, hash: 0, ..head };
            self.remote.insert(data_centre, RemoteDataCentre::new(placeholder, now_ms));
            return true;
        };
        if head.clock < known.head.clock {
            return false;
        }
        if head.hash != known.head.hash {
            return true;
        }
        if head.clock == known.head.clock {
            return false;
        }
        known.head.clock = head.clock;
        known.last_advanced_ms = now_ms;
        known.heartbeats_sent = 0;
        self.renew_summary_members(now_ms, &data_centre);
        false
    }

    /// Merges a full summary; returns the keys that are not known.
    pub fn merge_summary(&mut self, now_ms: Millis, summary: Summary) -> Vec<MemberKey> {
        let head = summary.head();
        if head.data_centre == self.own.data_centre {
            self.clock = self.clock.max(head.clock);
            return Vec::new();
        }
        let known = self.remote.get(&head.data_centre);
        if known.is_some_and(|known| known.rank() >= summary.rank()) {
            return Vec::new();
        }
        let data_centre = head.data_centre.clone();
        let before = known.map(|known| known.members.clone()).unwrap_or_default();
        let unknown = summary.members.iter().filter(|key| !self.keys.contains_key(key));
        let unknown: Vec<_> = unknown.copied().collect();
        let mut remote = RemoteDataCentre::new(head, now_ms);
        remote.members = summary.members;
        self.expire_removed_members(&before, &remote.members);
        self.remote.insert(data_centre.clone(), remote);
        self.renew_summary_members(now_ms, &data_centre);
        self.is_stale = true;
        unknown
    }

    fn merge_digest(&mut self, now_ms: Millis, digest: MemberDigest) {
        let known = self.members.get(&digest.instance);
        if known.is_some_and(|known| known.digest.rank() >= digest.rank()) {
            return;
        }
        let (instance, key) = (digest.instance.clone(), digest.key());
        let is_local = digest.data_centre == self.own.data_centre;
        let is_same_run = known.is_some_and(|known| known.digest.incarnation == digest.incarnation);
        let timeout_ms = if is_local { MEMBER_TIMEOUT_MS } else { DATA_CENTRE_TIMEOUT_MS };
        let (last_indirect_ms, last_direct_ms, last_seen_ms) = (None, None, now_ms);
        let mut member =
            MemberState { digest, key, timeout_ms, last_indirect_ms, last_direct_ms, last_seen_ms };
        if let Some(known) = known.filter(|_| is_same_run) {
            member.digest.beat = member.digest.beat.max(known.digest.beat);
            (member.last_indirect_ms, member.last_direct_ms) =
                (known.last_indirect_ms, known.last_direct_ms);
        }
        let data_centre = &member.digest.data_centre;
        let is_named =
            self.remote.get(data_centre).is_some_and(|remote| remote.members.contains(&key));
        if (is_local && !is_same_run) || is_named {
            member.last_indirect_ms = Some(now_ms);
        }
        self.keys.insert(key, (instance.clone(), member.digest.incarnation));
        if is_local {
            self.change_sends_left.insert(instance.clone(), HEARTBEATS_PER_CHANGE);
        }
        self.members.insert(instance, member);
        self.is_stale = true;
    }

    fn merge_own_digest(
        &mut self,
        now_ms: Millis,
        digest: &MemberDigest,
    ) -> Option<IncarnationConflict> {
        if digest.incarnation <= self.own.incarnation {
            return None;
        }
        if now_ms >= INCARNATION_RAISE_WINDOW_MS {
            return Some(IncarnationConflict::Replaced(digest.incarnation));
        }
        let time = (digest.incarnation.0 >> INCARNATION_RANDOM_BITS) + 1;
        let random = self.own.incarnation.0 & ((1 << INCARNATION_RANDOM_BITS) - 1);
        self.own.incarnation = Incarnation((time << INCARNATION_RANDOM_BITS) | random);
        self.mark_own_changed();
        Some(IncarnationConflict::Raised(self.own.incarnation))
    }

    /// Records that every member in the summary of a data centre was heard from indirectly.
    fn renew_summary_members(&mut self, now_ms: Millis, data_centre: &DataCentreId) {
        let Some(remote) = self.remote.get(data_centre) else {
            return;
        };
        for key in &remote.members {
            let Some((instance, incarnation)) = self.keys.get(key) else {
                continue;
            };
            let Some(member) = self.members.get_mut(instance) else {
                continue;
            };
            if member.digest.incarnation == *incarnation {
                self.is_stale |= !member.is_live_at(now_ms);
                member.last_indirect_ms = Some(now_ms);
                member.last_seen_ms = now_ms;
            }
        }
    }

    /// Forgets when the members that a newer summary no longer lists were heard from indirectly.
    fn expire_removed_members(&mut self, before: &[MemberKey], after: &[MemberKey]) {
        let after: BTreeSet<_> = after.iter().collect();
        for key in before.iter().filter(|key| !after.contains(key)) {
            let Some((instance, _)) = self.keys.get(key) else {
                continue;
            };
            if let Some(member) = self.members.get_mut(instance) {
                member.last_indirect_ms = None;
                self.is_stale = true;
            }
        }
    }
}
