//! What is known of one member, and the short key that stands for it in digests.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{DataCentreId, Incarnation, InstanceId, MemberKey};
use crate::membership::rendezvous::stable_hash;
use crate::report::Holder;

/// Bits of a member key, which travels as four bytes.
const KEY_MASK: u64 = 0xffff_ffff;

/// What is known of one member, ordered by incarnation, then revision.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberDigest {
    /// The instance.
    pub instance: InstanceId,
    /// Its run.
    pub incarnation: Incarnation,
    /// Counter that rises with each change of the fields below within a run.
    pub revision: u64,
    /// Counter that rises with each heartbeat of the run.
    pub beat: u64,
    /// Whether it is shutting down.
    pub is_leaving: bool,
    /// Whether it can't read the configuration service.
    pub is_cut_off: bool,
    /// IP number and port of its peer edge.
    pub peer_address: SocketAddr,
    /// Where it stands.
    pub data_centre: DataCentreId,
}

impl MemberDigest {
    /// The short key of this instance, run and revision.
    pub fn key(&self) -> MemberKey {
        let text = format!("{}/{}/{}", self.instance, self.incarnation, self.revision);
        MemberKey(stable_hash(&text) & KEY_MASK)
    }

    /// The instance and its run.
    pub fn holder(&self) -> Holder {
        Holder { instance: self.instance.clone(), incarnation: self.incarnation }
    }

    /// The order of two digests of one instance, without the beat.
    pub fn rank(&self) -> (Incarnation, u64) {
        (self.incarnation, self.revision)
    }
}

/// The newest beat known of a member.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemberBeat {
    /// The member.
    pub key: MemberKey,
    /// Its newest beat.
    pub beat: u64,
}
