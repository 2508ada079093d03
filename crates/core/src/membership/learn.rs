//! What a view learns from others: digests, beats, summaries and direct messages.

use std::collections::BTreeSet;

use crate::ids::{DataCentreId, Incarnation, InstanceId, MemberKey};
use crate::membership::digest::{MemberBeat, MemberDigest};
use crate::membership::heard::{Heard, MEMBER_TIMEOUT_MS};
use crate::membership::summary::{RemoteDataCentre, Summary, SummaryHead};
use crate::membership::view::{DATA_CENTRE_TIMEOUT_MS, MemberView};
use crate::report::Holder;
use crate::units::Millis;

/// Silence after which a member that another no longer counts as live is not counted here either.
const SUSPECT_AFTER_MS: Millis = Millis(1_000);
/// Heartbeats that carry a change of a member.
const CHANGE_SENDS: u32 = 8;
/// Age of a run within which it may take a higher incarnation.
const RAISE_WITHIN_MS: Millis = Millis(10_000);
/// Low bits of an incarnation, chosen at random by each run. They keep two runs apart whose clocks
/// agree or that rose above the same predecessor.
pub const INCARNATION_RANDOM_BITS: u32 = 22;

/// What a digest of the own instance says about this run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OwnNews {
    /// This run took a higher incarnation, as its predecessor's clock was ahead.
    Raised(Incarnation),
    /// Another run of the same instance took this one's place.
    Replaced(Incarnation),
}

impl MemberView {
    /// Takes digests that others give of members, which are no signs of life of members already
    /// known; returns what they say about this run itself.
    pub fn take_digests(
        &mut self,
        now_ms: Millis,
        digests: impl IntoIterator<Item = MemberDigest>,
    ) -> Option<OwnNews> {
        let mut news = None;
        for digest in digests {
            if digest.instance == self.own.instance {
                news = self.take_own(now_ms, &digest).or(news);
                continue;
            }
            self.take_digest(now_ms, digest);
        }
        news
    }

    /// Takes the digest that the sender of a heartbeat gives of itself.
    pub fn take_sender(&mut self, now_ms: Millis, own: MemberDigest) -> Option<OwnNews> {
        let holder = own.holder();
        let beat = MemberBeat { key: own.key(), beat: own.beat };
        let news = self.take_digests(now_ms, [own]);
        self.take_beats(now_ms, &[beat]);
        self.note_direct(now_ms, &holder);
        news
    }

    /// Notes a message straight from a member.
    pub fn note_direct(&mut self, now_ms: Millis, from: &Holder) {
        let Some(heard) = self.heard.get_mut(&from.instance) else {
            return;
        };
        if heard.digest.incarnation == from.incarnation {
            self.is_stale |= !heard.is_fresh(now_ms);
            heard.direct_ms = Some(now_ms);
            heard.seen_ms = now_ms;
        }
    }

    /// Takes beats; returns the keys that are not known.
    pub fn take_beats(&mut self, now_ms: Millis, beats: &[MemberBeat]) -> Vec<MemberKey> {
        let mut unknown = Vec::new();
        for MemberBeat { key, beat } in beats {
            if *key == self.own_key {
                continue;
            }
            let Some((instance, incarnation)) = self.keys.get(key) else {
                unknown.push(*key);
                continue;
            };
            let Some(heard) = self.heard.get_mut(instance) else {
                continue;
            };
            if heard.digest.incarnation != *incarnation || heard.digest.beat >= *beat {
                continue;
            }
            self.is_stale |= !heard.is_fresh(now_ms);
            heard.digest.beat = *beat;
            heard.heard_ms = Some(now_ms);
            heard.seen_ms = now_ms;
        }
        unknown
    }

    /// Ends the sign of life of members of this data centre that have been silent for some time and
    /// that another member, which told all that it counts as live, no longer names.
    pub fn take_absence(&mut self, now_ms: Millis, sender: &InstanceId, beats: &[MemberBeat]) {
        let named: BTreeSet<MemberKey> = beats.iter().map(|beat| beat.key).collect();
        for (instance, heard) in &mut self.heard {
            let is_near = heard.digest.data_centre == self.own.data_centre;
            if !is_near || instance == sender || named.contains(&heard.key) {
                continue;
            }
            let last_ms = heard.heard_ms.max(heard.direct_ms);
            if last_ms.is_some_and(|last_ms| now_ms - last_ms > SUSPECT_AFTER_MS) {
                (heard.heard_ms, heard.direct_ms) = (None, None);
                self.is_stale = true;
            }
        }
    }

    /// Takes the name of a summary; returns whether its members are not known.
    pub fn take_head(&mut self, now_ms: Millis, head: SummaryHead) -> bool {
        if head.data_centre == self.own.data_centre {
            self.clock = self.clock.max(head.clock);
            return false;
        }
        let data_centre = head.data_centre.clone();
        let Some(known) = self.remote.get_mut(&data_centre) else {
            let nameless = SummaryHead { clock: 0, hash: 0, ..head };
            self.remote.insert(data_centre, RemoteDataCentre::new(nameless, now_ms));
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
        known.heard_ms = now_ms;
        known.sends = 0;
        self.renew_remote(now_ms, &data_centre);
        false
    }

    /// Takes a whole summary; returns the keys that are not known.
    pub fn take_summary(&mut self, now_ms: Millis, summary: Summary) -> Vec<MemberKey> {
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
        self.drop_absent(&before, &remote.members);
        self.remote.insert(data_centre.clone(), remote);
        self.renew_remote(now_ms, &data_centre);
        self.is_stale = true;
        unknown
    }

    fn take_digest(&mut self, now_ms: Millis, digest: MemberDigest) {
        let known = self.heard.get(&digest.instance);
        if known.is_some_and(|known| known.digest.rank() >= digest.rank()) {
            return;
        }
        let (instance, key) = (digest.instance.clone(), digest.key());
        let is_local = digest.data_centre == self.own.data_centre;
        let is_same_run = known.is_some_and(|known| known.digest.incarnation == digest.incarnation);
        let timeout_ms = if is_local { MEMBER_TIMEOUT_MS } else { DATA_CENTRE_TIMEOUT_MS };
        let (heard_ms, direct_ms, seen_ms) = (None, None, now_ms);
        let mut heard = Heard { digest, key, timeout_ms, heard_ms, direct_ms, seen_ms };
        if let Some(known) = known.filter(|_| is_same_run) {
            heard.digest.beat = heard.digest.beat.max(known.digest.beat);
            (heard.heard_ms, heard.direct_ms) = (known.heard_ms, known.direct_ms);
        }
        let data_centre = &heard.digest.data_centre;
        let is_named =
            self.remote.get(data_centre).is_some_and(|remote| remote.members.contains(&key));
        if (is_local && !is_same_run) || is_named {
            heard.heard_ms = Some(now_ms);
        }
        self.keys.insert(key, (instance.clone(), heard.digest.incarnation));
        if is_local {
            self.changes.insert(instance.clone(), CHANGE_SENDS);
        }
        self.heard.insert(instance, heard);
        self.is_stale = true;
    }

    fn take_own(&mut self, now_ms: Millis, digest: &MemberDigest) -> Option<OwnNews> {
        if digest.incarnation <= self.own.incarnation {
            return None;
        }
        if now_ms >= RAISE_WITHIN_MS {
            return Some(OwnNews::Replaced(digest.incarnation));
        }
        let time = (digest.incarnation.0 >> INCARNATION_RANDOM_BITS) + 1;
        let random = self.own.incarnation.0 & ((1 << INCARNATION_RANDOM_BITS) - 1);
        self.own.incarnation = Incarnation((time << INCARNATION_RANDOM_BITS) | random);
        self.note_own_change();
        Some(OwnNews::Raised(self.own.incarnation))
    }

    /// Renews the sign of life of every member that the summary of a data centre names.
    fn renew_remote(&mut self, now_ms: Millis, data_centre: &DataCentreId) {
        let Some(remote) = self.remote.get(data_centre) else {
            return;
        };
        for key in &remote.members {
            let Some((instance, incarnation)) = self.keys.get(key) else {
                continue;
            };
            let Some(heard) = self.heard.get_mut(instance) else {
                continue;
            };
            if heard.digest.incarnation == *incarnation {
                self.is_stale |= !heard.is_fresh(now_ms);
                heard.heard_ms = Some(now_ms);
                heard.seen_ms = now_ms;
            }
        }
    }

    /// Ends the sign of life of members that a newer summary no longer names.
    fn drop_absent(&mut self, before: &[MemberKey], after: &[MemberKey]) {
        let after: BTreeSet<_> = after.iter().collect();
        for key in before.iter().filter(|key| !after.contains(key)) {
            let Some((instance, _)) = self.keys.get(key) else {
                continue;
            };
            if let Some(heard) = self.heard.get_mut(instance) {
                heard.heard_ms = None;
                self.is_stale = true;
            }
        }
    }
}
