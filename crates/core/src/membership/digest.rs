//! The record of one member, and the short key that stands for it in heartbeats.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{DataCentreId, Incarnation, InstanceId, MemberKey};
use crate::membership::rendezvous::stable_hash;
use crate::report::Holder;

/// A member key is four bytes long on the wire.
const KEY_MASK: u64 = 0xffff_ffff;

/// State of one member as it announced it. Of two digests of an instance, the one with the higher
/// incarnation, then the higher revision, is newer.
#[expect(missing_docs, reason = "the names say it")]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberDigest {
    pub instance: InstanceId,
    /// Number of the run; a later run of the instance has a higher one.
    pub incarnation: Incarnation,
    /// Rises with each change of the fields below, except `beat`, within a run.
    pub revision: u64,
    /// Heartbeat counter of the run.
    pub beat: u64,
    /// Whether the instance is shutting down.
    pub is_leaving: bool,
    /// Whether the instance can't read the configuration service.
    pub is_cut_off: bool,
    /// Where other instances connect to it.
    pub peer_address: SocketAddr,
    pub data_centre: DataCentreId,
}

impl MemberDigest {
    /// Short key of this instance, run and revision.
    pub fn key(&self) -> MemberKey {
        let text = format!("{}/{}/{}", self.instance, self.incarnation, self.revision);
        MemberKey(stable_hash(&text) & KEY_MASK)
    }

    /// The instance and its run.
    pub fn holder(&self) -> Holder {
        Holder { instance: self.instance.clone(), incarnation: self.incarnation }
    }

    /// Sort key of the digests of one instance, older ones first; the heartbeat counter is no part
    /// of it.
    pub fn rank(&self) -> (Incarnation, u64) {
        (self.incarnation, self.revision)
    }
}

/// The highest heartbeat counter known of a member.
#[expect(missing_docs, reason = "the names say it")]
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemberBeat {
    pub key: MemberKey,
    pub beat: u64,
}
