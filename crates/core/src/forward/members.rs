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
const FORGET_MS: Millis = Millis(45_000);

#[derive(Clone, Copy, Debug)]
struct Heard {
    address: SocketAddr,
    heard_ms: Millis,
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
    heard: BTreeMap<InstanceId, Heard>,
}

impl Members {
    /// Nobody but this instance.
    pub fn new(own: InstanceId) -> Self {
        Self { own, heard: BTreeMap::new() }
    }

    /// Takes what is told of a member.
    pub fn take(&mut self, now_ms: Millis, member: &Member) {
        if member.instance == self.own || member.age_ms >= FORGET_MS {
            return;
        }
        let heard_ms = now_ms.saturating_sub(member.age_ms);
        let is_newer = |known: &Heard| known.heard_ms < heard_ms;
        if self.heard.get(&member.instance).is_none_or(is_newer) {
            let heard = Heard { address: member.address, heard_ms };
            self.heard.insert(member.instance.clone(), heard);
        }
    }

    /// Forgets members that were not heard for long.
    pub fn expire(&mut self, now_ms: Millis) {
        self.heard.retain(|_, heard| now_ms < heard.heard_ms + FORGET_MS);
    }

    /// The other members, as they are told to others.
    pub fn list(&self, now_ms: Millis) -> Vec<Member> {
        let tell = |(instance, heard): (&InstanceId, &Heard)| Member {
            instance: instance.clone(),
            address: heard.address,
            age_ms: now_ms.saturating_sub(heard.heard_ms),
        };
        self.heard.iter().map(tell).collect()
    }

    /// Number of members, this instance among them.
    pub fn count(&self) -> usize {
        self.heard.len() + 1
    }

    /// Another member, by a random draw.
    pub fn draw(&self, draw: u64) -> Option<SocketAddr> {
        let count = self.heard.len() as u64;
        let index = draw.checked_rem(count)?;
        self.heard.values().nth(index as usize).map(|heard| heard.address)
    }
}
