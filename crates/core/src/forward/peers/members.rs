//! The other instances that forward calls, learned by gossip.
//!
//! Exchanges carry members with the time since each was last heard from directly. A member that has
//! gone is therefore dropped everywhere.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use super::follow_plan::{FollowPlan, WATCHERS_PER_DATA_CENTRE};
use crate::ids::{DataCentreId, InstanceId};
use crate::membership::rendezvous;
use crate::units::Millis;

/// Time without contact after which a member is dropped: long enough for gossip, which reaches some
/// hundred members within about ten exchanges of each.
const MEMBER_TTL_MS: Millis = Millis(45_000);

/// Members that keep what others ask for by a key: some may be lost at once.
const MAX_KEEPERS: usize = 5;
/// Most of them in one data centre, which may be lost as a whole.
const MAX_KEEPERS_PER_DATA_CENTRE: usize = 2;
/// Key of the rendezvous hash that orders the members of a data centre.
pub(super) const WATCHER_KEY: &str = "watcher";

#[derive(Clone, Debug)]
struct MemberRecord {
    data_centre: DataCentreId,
    address: SocketAddr,
    last_heard_ms: Millis,
}

/// One member, as instances tell each other about it.
#[derive(Clone, Debug, Eq, PartialEq)]
#[expect(missing_docs, reason = "the names say it")]
pub struct Member {
    pub instance: InstanceId,
    pub data_centre: DataCentreId,
    pub address: SocketAddr,
    /// Time since an instance last heard from the member directly.
    pub age_ms: Millis,
}

/// An instance that watches the platform for its data centre.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Watcher {
    /// This instance.
    Own,
    /// Another one, at this address.
    Other(SocketAddr),
}

/// The known instances other than this one.
#[derive(Clone, Debug)]
pub struct Members {
    own: InstanceId,
    /// Number of changes of the members, their data centres and their addresses.
    change_count: u64,
    records: BTreeMap<InstanceId, MemberRecord>,
}

impl Members {
    /// An empty list for the instance `own`.
    pub fn new(own: InstanceId) -> Self {
        Self { own, change_count: 0, records: BTreeMap::new() }
    }

    /// Merges one received member; the most recent contact wins.
    pub fn merge(&mut self, now_ms: Millis, member: &Member) {
        if member.instance == self.own || member.age_ms >= MEMBER_TTL_MS {
            return;
        }
        let last_heard_ms = now_ms.saturating_sub(member.age_ms);
        let is_newer = |known: &MemberRecord| known.last_heard_ms < last_heard_ms;
        if self.records.get(&member.instance).is_none_or(is_newer) {
            let record = MemberRecord {
                data_centre: member.data_centre.clone(),
                address: member.address,
                last_heard_ms,
            };
            let known = self.records.insert(member.instance.clone(), record);
            let is_same = known.is_some_and(|known| {
                known.data_centre == member.data_centre && known.address == member.address
            });
            self.change_count += u64::from(!is_same);
        }
    }

    /// Drops the members that no instance has heard from recently.
    pub fn expire(&mut self, now_ms: Millis) {
        let count = self.records.len();
        self.records.retain(|_, record| now_ms < record.last_heard_ms + MEMBER_TTL_MS);
        self.change_count += u64::from(self.records.len() != count);
    }

    /// Number of changes of the members apart from their ages; what is derived from them may be kept
    /// until the next one.
    pub fn change_count(&self) -> u64 {
        self.change_count
    }

    /// The members to send to another instance.
    pub fn list(&self, now_ms: Millis) -> Vec<Member> {
        let to_member = |(instance, record): (&InstanceId, &MemberRecord)| Member {
            instance: instance.clone(),
            data_centre: record.data_centre.clone(),
            address: record.address,
            age_ms: now_ms.saturating_sub(record.last_heard_ms),
        };
        self.records.iter().map(to_member).collect()
    }

    /// Number of members including this instance.
    pub fn count(&self) -> usize {
        self.records.len() + 1
    }

    /// The members of a data centre that watch the platform for all of its members; the own instance
    /// may be one of them. Instances with the same members name the same ones.
    pub fn watchers(&self, data_centre: &DataCentreId, includes_own: bool) -> Vec<Watcher> {
        let local = self.records.iter().filter(|(_, record)| record.data_centre == *data_centre);
        let own = includes_own.then_some(&self.own);
        let instances = local.map(|(instance, _)| instance).chain(own);
        let watchers = rendezvous::top_members(WATCHER_KEY, instances, WATCHERS_PER_DATA_CENTRE);
        let to_watcher = |instance: &InstanceId| match self.records.get(instance) {
            Some(record) => Watcher::Other(record.address),
            None => Watcher::Own,
        };
        watchers.into_iter().map(to_watcher).collect()
    }

    /// The members that this instance follows in its data centre.
    pub fn follow_plan(&self, data_centre: &DataCentreId) -> FollowPlan {
        let local = self.records.iter().filter(|(_, record)| record.data_centre == *data_centre);
        let instances = local.map(|(instance, _)| instance).chain([&self.own]);
        let ranked = rendezvous::top_members(WATCHER_KEY, instances, usize::MAX);
        let position = ranked.iter().position(|instance| **instance == self.own);
        FollowPlan::new(position.unwrap_or_default(), |position| {
            self.records.get(*ranked.get(position)?).map(|record| record.address)
        })
    }

    /// The members that keep what others ask for by a key, of several data centres if there are any.
    /// Instances with the same members name the same ones.
    pub fn keepers(&self, own_data_centre: &DataCentreId, key: &str) -> Vec<Watcher> {
        let instances = self.records.keys().chain([&self.own]);
        let ranked = rendezvous::top_members(key, instances, usize::MAX);
        let mut counts: BTreeMap<&DataCentreId, usize> = BTreeMap::new();
        let mut keepers = Vec::new();
        for instance in ranked {
            let record = self.records.get(instance);
            let data_centre = record.map_or(own_data_centre, |record| &record.data_centre);
            let count = counts.entry(data_centre).or_default();
            if keepers.len() == MAX_KEEPERS || *count == MAX_KEEPERS_PER_DATA_CENTRE {
                continue;
            }
            *count += 1;
            keepers.push(record.map_or(Watcher::Own, |record| Watcher::Other(record.address)));
        }
        keepers
    }

    /// The data centres of the other members.
    pub fn data_centres(&self) -> BTreeSet<&DataCentreId> {
        self.records.values().map(|record| &record.data_centre).collect()
    }

    /// Address of a random other member, which is not one of `seeds` if others are known: each
    /// instance knows the seeds first, so that they would be called most.
    pub fn pick_random(&self, seeds: &[SocketAddr], random: u64) -> Option<SocketAddr> {
        let addresses = self.records.values().map(|record| record.address);
        let is_seed = |address: &SocketAddr| seeds.contains(address);
        let mut others: Vec<_> = addresses.clone().filter(|address| !is_seed(address)).collect();
        if others.is_empty() {
            others = addresses.collect();
        }
        let index = random.checked_rem(others.len() as u64)?;
        others.get(index as usize).copied()
    }
}
