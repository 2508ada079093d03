//! The members that instances tell each other in an exchange.
//!
//! Most exchanges are between instances that know the same members. These need only the times since
//! each was heard from, in the order of their ids; the rest of the list is told where it differs.

use crate::forward::Member;
use crate::membership::rendezvous::stable_hash;
use crate::units::Millis;

/// All members that an instance knows, itself included, in the order of their ids.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberList {
    members: Vec<Member>,
}

impl MemberList {
    /// A list of members in any order.
    pub fn new(mut members: Vec<Member>) -> Self {
        members.sort_by(|one, other| one.instance.cmp(&other.instance));
        Self { members }
    }

    /// The members, in the order of their ids.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Hash of the members without their ages; never zero.
    pub fn identity_hash(&self) -> u64 {
        let mut text = String::new();
        for member in &self.members {
            text += &format!("{} {} {}\n", member.instance, member.data_centre, member.address);
        }
        stable_hash(&text).max(1)
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
