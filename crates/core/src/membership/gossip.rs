//! Which members a heartbeat goes to and what it carries: a fixed number of messages of bounded
//! size, whatever the number of instances.
//!
//! At each heartbeat an instance sends two messages around the ring of live members of its data
//! centre, at distances of 1, 2, 4 and so on in turn. Information reaches all n members within half
//! as many heartbeats as n has bits.
//!
//! For each other data centre two members act as representatives, which send it a message with a
//! summary at alternate heartbeats. When the live members change, a message goes to every
//! represented data centre at once.

use crate::ids::{DataCentreId, InstanceId, MemberKey};
use crate::membership::digest::{MemberBeat, MemberDigest};
use crate::membership::heartbeat::{Members, MembersRequest};
use crate::membership::rendezvous;
use crate::membership::summary::{Summary, SummaryHead};
use crate::membership::view::{DATA_CENTRE_TIMEOUT_MS, MemberView};
use crate::units::Millis;

const RING_MESSAGES_PER_BEAT: u64 = 2;
/// Members of the own data centre that send summaries to any one other data centre.
const REPRESENTATIVES_PER_DATA_CENTRE: usize = 2;
const MAX_RECORDS_PER_HEARTBEAT: usize = 4;
pub(crate) const MAX_BEATS_PER_HEARTBEAT: usize = 48;
/// Limit on the heads of other data centres; the head of the own one is added to them.
const MAX_HEADS_PER_HEARTBEAT: usize = 8;
/// Heartbeats that carry a remote head after its clock advanced.
const HEARTBEATS_PER_HEAD: u32 = 3;
/// Interval of the messages to a known local member that is not live.
const PROBE_INTERVAL_BEATS: u64 = 4;
/// Limit on the members, and on the data centres, in the answer to a request.
const MAX_MEMBERS_PER_ANSWER: usize = 64;

/// Limit that holds while the live members of the own data centre don't change.
const MAX_REMOTE_MESSAGES_PER_BEAT: usize = 2;

/// A data centre to which this instance sends summaries.
struct RepresentedDataCentre {
    data_centre: DataCentreId,
    /// Whether a summary goes to it at this heartbeat.
    is_due: bool,
}

impl MemberView {
    /// Advances the heartbeat counter and returns the members to send to.
    pub fn start_heartbeat(&mut self, now_ms: Millis) -> Vec<InstanceId> {
        self.own.beat += 1;
        self.forget_silent_members(now_ms);
        self.refresh_if_stale(now_ms);
        let ring = self.ring();
        let mut receivers = self.ring_receivers(&ring);
        receivers.extend(self.remote_receivers());
        let is_probe = self.own.beat.is_multiple_of(PROBE_INTERVAL_BEATS);
        if is_probe || ring.is_empty() {
            receivers.extend(self.pick_member_to_probe());
        }
        receivers.dedup();
        receivers
    }

    /// The other live members of the own data centre.
    pub fn local_peers(&self) -> Vec<InstanceId> {
        self.ring()
    }

    /// A copy of the digest of this instance with its present heartbeat counter.
    pub fn own_digest(&self) -> MemberDigest {
        self.own.clone()
    }

    /// Records of live members that changed recently. Each call counts as one of the heartbeats
    /// that carry the record of a change.
    pub fn changed_records(&mut self, now_ms: Millis) -> Vec<MemberDigest> {
        let members = &self.members;
        let is_live = |instance: &InstanceId| {
            members.get(instance).is_some_and(|member| member.is_live_at(now_ms))
        };
        self.change_sends_left.retain(|instance, sends| *sends > 0 && is_live(instance));
        let mut records = Vec::new();
        for (instance, sends) in self.change_sends_left.iter_mut().take(MAX_RECORDS_PER_HEARTBEAT) {
            *sends -= 1;
            records.extend(members.get(instance).map(|member| member.digest.clone()));
        }
        records
    }

    /// Heartbeat counters of live members of the own data centre. Consecutive heartbeats cover a
    /// list that is too long for one.
    pub fn beats(&self) -> Vec<MemberBeat> {
        let ring = self.ring();
        let start = self.own.beat as usize * MAX_BEATS_PER_HEARTBEAT % ring.len().max(1);
        let rotated = ring.iter().cycle().skip(start).take(ring.len().min(MAX_BEATS_PER_HEARTBEAT));
        let digests = rotated.filter_map(|member| self.members.get(member));
        digests.map(|member| MemberBeat { key: member.key, beat: member.digest.beat }).collect()
    }

    /// The own head, then heads of remote summaries that advanced recently, least sent first.
    pub fn summary_heads(&mut self, now_ms: Millis) -> Vec<SummaryHead> {
        let clock = self.clock;
        let own = self.own_summary(clock).head();
        let mut advanced: Vec<_> = self
            .remote
            .values_mut()
            .filter(|remote| remote.heartbeats_sent < HEARTBEATS_PER_HEAD && remote.head.clock > 0)
            .filter(|remote| now_ms - remote.last_advanced_ms < DATA_CENTRE_TIMEOUT_MS)
            .collect();
        advanced.sort_by_key(|remote| remote.heartbeats_sent);
        let mut heads = vec![own];
        for remote in advanced.into_iter().take(MAX_HEADS_PER_HEARTBEAT) {
            remote.heartbeats_sent += 1;
            heads.push(remote.head.clone());
        }
        heads
    }

    /// The newest head known of the data centre of `member`. A data centre whose instances all
    /// restarted learns its former clock from it.
    pub fn summary_head_for(&self, member: &InstanceId) -> Option<SummaryHead> {
        let remote = self.remote.get(self.data_centre_of(member)?)?;
        Some(remote.head.clone())
    }

    /// A summary of the own data centre with the next clock value.
    pub fn next_summary(&mut self) -> Summary {
        self.clock += 1;
        self.own_summary(self.clock)
    }

    /// The records and summaries that a request asks for, as far as they are known and up to a
    /// limit.
    pub fn answer_request(&self, request: &MembersRequest) -> Members {
        let keys = &request.keys[..request.keys.len().min(MAX_MEMBERS_PER_ANSWER)];
        let mut summaries = Vec::new();
        for data_centre in request.data_centres.iter().take(MAX_MEMBERS_PER_ANSWER) {
            let Some(remote) = self.remote.get(data_centre) else {
                continue;
            };
            if remote.members.is_empty() {
                continue;
            }
            summaries.push(Summary {
                data_centre: data_centre.clone(),
                clock: remote.head.clock,
                members: remote.members.clone(),
            });
        }
        Members { records: self.records(keys), summaries }
    }

    fn own_summary(&self, clock: u64) -> Summary {
        let mut members: Vec<MemberKey> = vec![self.own_key];
        let ring = self.ring();
        let others = ring.iter().filter_map(|member| self.members.get(member));
        members.extend(others.map(|member| member.key));
        members.sort();
        Summary { data_centre: self.own.data_centre.clone(), clock, members }
    }

    /// Other live members of the own data centre in order, starting with the one that follows this
    /// instance.
    fn ring(&self) -> Vec<InstanceId> {
        let members = self.live.get(&self.own.data_centre).map_or(&[][..], Vec::as_slice);
        let (before, after) =
            members.split_at(members.partition_point(|member| *member <= self.own.instance));
        let others = after.iter().chain(before).filter(|member| **member != self.own.instance);
        others.cloned().collect()
    }

    fn ring_receivers(&self, ring: &[InstanceId]) -> Vec<InstanceId> {
        let distance_count = u64::from(usize::BITS - ring.len().leading_zeros());
        let first_turn = self.own.beat * RING_MESSAGES_PER_BEAT;
        let exponents = (first_turn..first_turn + RING_MESSAGES_PER_BEAT.min(distance_count))
            .filter_map(|turn| turn.checked_rem(distance_count));
        let members = exponents.filter_map(|exponent| ring.get((1 << exponent) - 1));
        members.cloned().collect()
    }

    fn pick_pseudorandom(&self, members: &[InstanceId]) -> Option<InstanceId> {
        let text = format!("{}/{}/{}", self.own.instance, self.own.incarnation, self.own.beat);
        let index = rendezvous::stable_hash(&text).checked_rem(members.len() as u64)?;
        members.get(index as usize).cloned()
    }

    /// One member of each represented data centre that is due, or of all represented ones if the
    /// live members of the own data centre changed.
    fn remote_receivers(&mut self) -> Vec<InstanceId> {
        let represented_data_centres = self.represented_data_centres();
        let hash = self.own_summary(self.clock).head().hash;
        let is_changed = std::mem::replace(&mut self.announced_hash, hash) != hash;
        let is_due = |represented: &&RepresentedDataCentre| is_changed || represented.is_due;
        let mut due: Vec<_> = represented_data_centres.iter().filter(is_due).collect();
        if !is_changed && !due.is_empty() {
            let turn = self.own.beat as usize % due.len();
            due.rotate_left(turn);
            due.truncate(MAX_REMOTE_MESSAGES_PER_BEAT);
        }
        let receiver =
            |represented: &RepresentedDataCentre| match self.live.get(&represented.data_centre) {
                Some(members) => self.pick_pseudorandom(members),
                None => self.pick_pseudorandom(&self.known_members_of(&represented.data_centre)),
            };
        due.into_iter().filter_map(receiver).collect()
    }

    /// Data centres to which this instance sends summaries. The other data centres are spread over
    /// the members in order, so that none has two while others have none.
    fn represented_data_centres(&self) -> Vec<RepresentedDataCentre> {
        let members = self.members_of(&self.own.data_centre);
        let (position, count) = match members.binary_search(&self.own.instance) {
            Ok(position) => (position, members.len()),
            Err(_) if members.is_empty() => (0, 1),
            Err(_) => return Vec::new(),
        };
        let mut represented_data_centres = Vec::new();
        for (index, data_centre) in self.data_centres().into_iter().enumerate() {
            for representative in 0..REPRESENTATIVES_PER_DATA_CENTRE {
                if (index * REPRESENTATIVES_PER_DATA_CENTRE + representative) % count != position {
                    continue;
                }
                let is_due = (self.own.beat as usize + representative)
                    .is_multiple_of(REPRESENTATIVES_PER_DATA_CENTRE);
                represented_data_centres
                    .push(RepresentedDataCentre { data_centre: data_centre.clone(), is_due });
            }
        }
        represented_data_centres
    }

    /// Other data centres, from the platform's list and from known members.
    fn data_centres(&self) -> Vec<DataCentreId> {
        let listed = self.listed_instances.values().map(|listed| &listed.data_centre);
        let known = self.members.values().map(|member| &member.digest.data_centre);
        let mut data_centres: Vec<_> =
            listed.chain(known).filter(|known| **known != self.own.data_centre).collect();
        data_centres.sort();
        data_centres.dedup();
        data_centres.into_iter().cloned().collect()
    }

    fn known_members_of(&self, data_centre: &DataCentreId) -> Vec<InstanceId> {
        let listed =
            self.listed_instances.iter().filter(|(_, listed)| listed.data_centre == *data_centre);
        let known =
            self.members.iter().filter(|(_, member)| member.digest.data_centre == *data_centre);
        let mut known: Vec<_> =
            listed.map(|(id, _)| id).chain(known.map(|(id, _)| id)).cloned().collect();
        known.sort();
        known.dedup();
        known.retain(|instance| *instance != self.own.instance);
        known
    }

    /// A known member of the own data centre that is not live.
    fn pick_member_to_probe(&self) -> Option<InstanceId> {
        let live = self.live.get(&self.own.data_centre).map_or(&[][..], Vec::as_slice);
        let mut silent = self.known_members_of(&self.own.data_centre);
        silent.retain(|instance| live.binary_search(instance).is_err());
        self.pick_pseudorandom(&silent)
    }
}
