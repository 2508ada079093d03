//! The instances that forward calls, as far as this one has heard of them.
//!
//! Each exchange with another instance brings the members that it knows and the time since each
//! was heard itself, so that one that has gone is forgotten everywhere.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::ids::InstanceId;
use crate::units::Millis;

/// Time after which an instance that was not heard is forgotten. News of a member reaches all of
/// some hundred others in about ten exchanges of each.
const MEMBER_TTL_MS: Millis = Millis(45_000);

#[derive(Clone, Copy, Debug)]
struct MemberRecord {
    address: SocketAddr,
    last_heard_ms: Millis,
}

/// One member, as it is told to others.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// The instance.
    pub instance: InstanceId,
    /// Where others reach it.
    pub address: SocketAddr,
    /// Time since it was heard itself.
    pub age_ms: Millis,
}

/// The other instances that forward calls.
#[derive(Clone, Debug)]
pub struct Members {
    own: InstanceId,
    records: BTreeMap<InstanceId, MemberRecord>,
}

impl Members {
    /// Nobody but this instance.
    pub fn new(own: InstanceId) -> Self {
        Self { own, records: BTreeMap::new() }
    }

    /// Takes what is told of a member.
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

    /// Forgets members that were not heard for long.
    pub fn expire(&mut self, now_ms: Millis) {
        self.records.retain(|_, record| now_ms < record.last_heard_ms + MEMBER_TTL_MS);
    }

    /// The other members, as they are told to others.
    pub fn list(&self, now_ms: Millis) -> Vec<Member> {
        let to_member = |(instance, record): (&InstanceId, &MemberRecord)| Member {
            instance: instance.clone(),
            address: record.address,
            age_ms: now_ms.saturating_sub(record.last_heard_ms),
        };
        self.records.iter().map(to_member).collect()
    }

    /// Number of members, this instance among them.
    pub fn count(&self) -> usize {
        self.records.len() + 1
    }

    /// Another member, by a random draw.
    pub fn pick_random(&self, random: u64) -> Option<SocketAddr> {
        let count = self.records.len() as u64;
        let index = random.checked_rem(count)?;
        self.records.values().nth(index as usize).map(|record| record.address)
    }
}
