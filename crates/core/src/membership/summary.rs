//! Summaries of a data centre, from which other data centres learn its live members.
//!
//! Each summary carries a logical clock. Any member of the data centre may advance it above the
//! highest value it knows, so that the newest summary wins whichever member sent it. If two members
//! use the same clock value at the same time, the summary with fewer members wins, so that a member
//! that has not yet noticed that another died can't hide this until the clock rises. A head
//! identifies a summary by its clock and the hash of its members, and is enough to confirm members
//! that are already known.

use std::cmp::Reverse;

use crate::ids::{DataCentreId, MemberKey};
use crate::membership::rendezvous::stable_hash;
use crate::units::Millis;

/// The hash of a summary is four bytes long on the wire.
const HASH_MASK: u64 = 0xffff_ffff;

/// Order of the summaries of one data centre; the highest wins.
type Rank = (u64, Reverse<usize>, u64);

/// Identifies a summary.
#[expect(missing_docs, reason = "the names say it")]
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SummaryHead {
    pub data_centre: DataCentreId,
    /// Logical clock of the data centre.
    pub clock: u64,
    /// Hash of the member keys.
    pub hash: u64,
}

/// The live members of a data centre.
#[expect(missing_docs, reason = "the names say it")]
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Summary {
    pub data_centre: DataCentreId,
    /// Logical clock of the data centre.
    pub clock: u64,
    /// Sorted keys of the live members.
    pub members: Vec<MemberKey>,
}

impl Summary {
    /// The head that identifies this summary.
    pub fn head(&self) -> SummaryHead {
        let keys: Vec<_> = self.members.iter().map(MemberKey::to_string).collect();
        let hash = stable_hash(&keys.join("/")) & HASH_MASK;
        SummaryHead { data_centre: self.data_centre.clone(), clock: self.clock, hash }
    }

    pub(super) fn rank(&self) -> Rank {
        (self.clock, Reverse(self.members.len()), self.head().hash)
    }
}

/// What is known of another data centre.
#[derive(Clone, Debug)]
pub(super) struct RemoteDataCentre {
    /// The newest head.
    pub head: SummaryHead,
    /// Members of the last full summary; empty until one arrives.
    pub members: Vec<MemberKey>,
    /// When the clock last advanced.
    pub last_advanced_ms: Millis,
    /// Heartbeats that carried the head since the clock advanced.
    pub heartbeats_sent: u32,
}

impl RemoteDataCentre {
    /// Rank of the newest summary.
    pub fn rank(&self) -> Rank {
        (self.head.clock, Reverse(self.members.len()), self.head.hash)
    }

    /// A data centre whose members are not known yet.
    pub fn new(head: SummaryHead, now_ms: Millis) -> Self {
        Self { head, members: Vec::new(), last_advanced_ms: now_ms, heartbeats_sent: 0 }
    }
}
