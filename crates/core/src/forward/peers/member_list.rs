//! The members that instances tell each other in an exchange.
//!
//! Most exchanges are between instances that know the same members. These need only the times since
//! each was heard from, in the order of their ids. Where the lists differ, a few members are told
//! that the other instance doesn't know.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::follow_plan::WATCHERS_PER_DATA_CENTRE;
use super::members::WATCHER_KEY;
use crate::forward::{Member, MemberFilter};
use crate::ids::DataCentreId;
use crate::membership::rendezvous::{self, stable_hash};
use crate::units::Millis;

/// Groups of members whose ages are told by themselves, so that one member that is known to one
/// instance alone doesn't keep the ages of all others back.
const BUCKETS: usize = 32;

/// All members that an instance knows, itself included, in the order of their ids.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberList {
    members: Vec<Member>,
    /// Hashes of the members without their ages.
    identities: Vec<u64>,
}

impl MemberList {
    /// A list of members in any order.
    pub fn new(mut members: Vec<Member>) -> Self {
        members.sort_by(|one, other| one.instance.cmp(&other.instance));
        let identities = members.iter().map(|member| stable_hash(&identity_line(member))).collect();
        Self { members, identities }
    }

    /// The members, in the order of their ids.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Hashes of the members without their ages, in the order of the list.
    pub fn identities(&self) -> &[u64] {
        &self.identities
    }

    /// Hash of the members without their ages; never zero.
    pub fn identity_hash(&self) -> u64 {
        let text: String = self.members.iter().map(identity_line).collect();
        stable_hash(&text).max(1)
    }

    /// Hashes of the members of each bucket, for a message.
    pub fn bucket_hashes(&self) -> Vec<u32> {
        let mut hashes = vec![0_u64; BUCKETS];
        for identity in &self.identities {
            hashes[bucket(*identity)] = hashes[bucket(*identity)].wrapping_add(*identity);
        }
        hashes.into_iter().map(|hash| (hash >> 32) as u32).collect()
    }

    /// The buckets that hold the same members as those of another instance, one bit for each.
    pub fn equal_buckets(&self, other_hashes: &[u32]) -> u32 {
        if other_hashes.len() != BUCKETS {
            return 0;
        }
        let own = self.bucket_hashes();
        let equal = (0..BUCKETS).filter(|bucket| own[*bucket] == other_hashes[*bucket]);
        equal.fold(0, |bits, bucket| bits | 1 << bucket)
    }

    /// The part of the list that some buckets hold.
    pub fn part(&self, buckets: u32) -> Self {
        let is_in = |identity: &u64| buckets & 1 << bucket(*identity) != 0;
        let pairs = self.members.iter().zip(&self.identities).filter(|(_, it)| is_in(it));
        let (members, identities) = pairs.map(|(member, it)| (member.clone(), *it)).unzip();
        Self { members, identities }
    }

    /// Some of the members that another instance may not know, in an order drawn by `random`; those
    /// that watch the store for its data centre come first.
    pub fn select_unknown(
        &self,
        filter: Option<&MemberFilter>,
        data_centre: &DataCentreId,
        random: u64,
        max_count: usize,
    ) -> Vec<Member> {
        let local = self.members.iter().filter(|member| member.data_centre == *data_centre);
        let local = local.map(|member| &member.instance);
        let watchers = rendezvous::top_members(WATCHER_KEY, local, WATCHERS_PER_DATA_CENTRE);
        let is_unknown = |identity: u64| filter.is_none_or(|filter| !filter.may_contain(identity));
        let pairs = self.members.iter().zip(&self.identities);
        let mut unknown: Vec<_> = pairs.filter(|(_, identity)| is_unknown(**identity)).collect();
        unknown.sort_by_cached_key(|(member, identity)| {
            let draw = xxh3_64_with_seed(&identity.to_le_bytes(), random);
            (!watchers.contains(&&member.instance), draw)
        });
        unknown.into_iter().take(max_count).map(|(member, _)| member.clone()).collect()
    }

    /// Time since each member was heard from, in the order of the list.
    pub fn ages_ms(&self) -> impl Iterator<Item = Millis> {
        self.members.iter().map(|member| member.age_ms)
    }

    /// The same members with the ages that another instance knows, which has a list of the same
    /// hash; `None` if their number differs.
    pub fn with_ages(&self, ages_ms: &[Millis]) -> Option<Vec<Member>> {
        if ages_ms.len() != self.members.len() {
            return None;
        }
        let members = self.members.iter().zip(ages_ms);
        Some(members.map(|(member, age_ms)| Member { age_ms: *age_ms, ..member.clone() }).collect())
    }
}

/// The text of a member without its age.
fn identity_line(member: &Member) -> String {
    format!("{} {} {}\n", member.instance, member.data_centre, member.address)
}

fn bucket(identity: u64) -> usize {
    (identity % BUCKETS as u64) as usize
}
