//! The other instances that forward calls, learned by gossip.
//!
//! Each exchange carries all members that the sender knows, with the time since each was last heard
//! from directly. A member that has gone is therefore dropped everywhere.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::ids::InstanceId;
use crate::units::Millis;

/// Time without contact after which a member is dropped: long enough for gossip, which reaches some
/// hundred members within about ten exchanges of each.
const MEMBER_TTL_MS: Millis = Millis(45_000);

#[derive(Clone, Copy, Debug)]
struct MemberRecord {
    address: SocketAddr,
    last_heard_ms: Millis,
}

/// One member, as instances tell each other about it.
#[derive(Clone, Debug, Eq, PartialEq)]
#[expect(missing_docs, reason = "the names say it")]
pub struct Member {
    pub instance: InstanceId,
    pub address: SocketAddr,
    /// Time since an instance last heard from the member directly.
    pub age_ms: Millis,
}

/// The known instances other than this one.
#[derive(Clone, Debug)]
pub struct Members {
    own: InstanceId,
    records: BTreeMap<InstanceId, MemberRecord>,
}

impl Members {
    /// An empty list for the instance `own`.
    pub fn new(own: InstanceId) -> Self {
        Self { own, records: BTreeMap::new() }
    }

    /// Merges one received member; the most recent contact wins.
    pub fn merge(&mut self, now_ms: Millis, member: &Member) {
        if member.instance == self.own || member.age_ms >= MEMBER_TTL_MS {
            return;
        }
        let last_heard_ms = now_ms.saturating_sub(member.age_ms);
        let is_newer = |known: &MemberRecord| known.last_heard_ms < last_heard_ms;
        if self.records.get(&member.instance).is_none_or(is_newer) {
            let record = MemberRecord { address: member.address, last_heard_ms };
            self.records.insert(member.instance.clone(), record);
        }
    }

    /// Drops the members that no instance has heard from recently.
    pub fn expire(&mut self, now_ms: Millis) {
        self.records.retain(|_, record| now_ms < record.last_heard_ms + MEMBER_TTL_MS);
    }

    /// The members to send to another instance.
    pub fn list(&self, now_ms: Millis) -> Vec<Member> {
        let to_member = |(instance, record): (&InstanceId, &MemberRecord)| Member {
            instance: instance.clone(),
            address: record.address,
            age_ms: now_ms.saturating_sub(record.last_heard_ms),
        };
        self.records.iter().map(to_member).collect()
    }

    /// Number of members including this instance.
    pub fn count(&self) -> usize {
        self.records.len() + 1
    }

    /// Address of a random other member.
    pub fn pick_random(&self, random: u64) -> Option<SocketAddr> {
        let count = self.records.len() as u64;
        let index = random.checked_rem(count)?;
        self.records.values().nth(index as usize).map(|record| record.address)
    }
}
