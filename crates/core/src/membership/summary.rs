//! Summaries of a data centre, by which other data centres know its members.
//!
//! A summary carries a logical clock that every member of the data centre may advance above the
//! highest value it knows, so that the newest summary wins whichever member made it. Two members
//! may reach one clock value at the same time: then the summary with fewer members wins, so that a
//! member that has not noticed a death yet does not hide it until the clock rises. A head names
//! a summary by its clock and the hash of its members; it is enough to renew what is known.

use std::cmp::Reverse;

use crate::ids::{DataCentreId, MemberKey};
use crate::membership::rendezvous::stable_hash;
use crate::units::Millis;

/// Bits of a summary's hash, which travels as four bytes.
const HASH_MASK: u64 = 0xffff_ffff;

/// Order of the summaries of one data centre; the highest wins.
type Rank = (u64, Reverse<usize>, u64);

/// Name of a summary.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SummaryHead {
    /// The data centre.
    pub data_centre: DataCentreId,
    /// Logical clock of the data centre.
    pub clock: u64,
    /// Hash of the members.
    pub hash: u64,
}

/// The live members of a data centre.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Summary {
    /// The data centre.
    pub data_centre: DataCentreId,
    /// Logical clock of the data centre.
    pub clock: u64,
    /// Keys of its live members, in order.
    pub members: Vec<MemberKey>,
}

impl Summary {
    /// The name of this summary.
    pub fn head(&self) -> SummaryHead {
        let keys: Vec<_> = self.members.iter().map(MemberKey::to_string).collect();
        let hash = stable_hash(&keys.join("/")) & HASH_MASK;
        SummaryHead { data_centre: self.data_centre.clone(), clock: self.clock, hash }
    }

    /// Its place in the order of summaries.
    pub(super) fn rank(&self) -> Rank {
        (self.clock, Reverse(self.members.len()), self.head().hash)
    }
}

/// What is known of another data centre.
#[derive(Clone, Debug)]
pub(super) struct RemoteDataCentre {
    /// The newest head.
    pub head: SummaryHead,
    /// Members of the last whole summary.
    pub members: Vec<MemberKey>,
    /// When the clock last advanced.
    pub last_advanced_ms: Millis,
    /// Heartbeats that carried the head since it advanced.
    pub heartbeats_sent: u32,
}

impl RemoteDataCentre {
    /// The place of the newest summary in the order of summaries.
    pub fn rank(&self) -> Rank {
        (self.head.clock, Reverse(self.members.len()), self.head.hash)
    }

    /// A data centre just heard of.
    pub fn new(head: SummaryHead, now_ms: Millis) -> Self {
        Self { head, members: Vec::new(), last_advanced_ms: now_ms, heartbeats_sent: 0 }
    }
}
