//! One instance's view of the other instances.
//!
//! The platform's list lags, heartbeats do not, so a member counts as live while its heartbeats
//! arrive, whether listed or not. The list contributes addresses of instances not yet heard and
//! the news that one is leaving. Ownership built on this view serves efficiency only: every
//! promise holds with two owners at once, or none.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{DataCentreId, InstanceId};
use crate::membership::heartbeat::MemberDigest;
use crate::membership::rendezvous;
use crate::report::Holder;
use crate::units::Millis;

/// Silence after which a member no longer counts as live.
pub const MEMBER_TIMEOUT_MS: Millis = Millis(3_000);

/// Silence after which a member that is not listed is forgotten.
const FORGET_AFTER_MS: Millis = Millis(60_000);

/// State of an instance in the platform's list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedState {
    /// Running, as far as the platform knows.
    Live,
    /// About to be removed.
    Leaving,
}

/// One entry instance in the platform's list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedInstance {
    /// Where it stands.
    pub data_centre: DataCentreId,
    /// IP number and port of its peer edge.
    pub peer_address: SocketAddr,
    /// Its state.
    pub state: ListedState,
}

#[derive(Clone, Debug)]
struct Heard {
    digest: MemberDigest,
    heard_ms: Millis,
}

/// The merged view.
#[derive(Clone, Debug)]
pub struct MemberView {
    own: MemberDigest,
    listed: BTreeMap<InstanceId, ListedInstance>,
    heard: BTreeMap<InstanceId, Heard>,
}

impl MemberView {
    /// A view that knows only its own instance.
    pub fn new(own: MemberDigest) -> Self {
        Self { own, listed: BTreeMap::new(), heard: BTreeMap::new() }
    }

    /// This instance and its run.
    pub fn own_holder(&self) -> Holder {
        Holder { instance: self.own.instance.clone(), incarnation: self.own.incarnation }
    }

    /// The data centre of this instance.
    pub fn own_data_centre(&self) -> &DataCentreId {
        &self.own.data_centre
    }

    /// Marks this instance as leaving.
    pub fn leave(&mut self) {
        self.own.is_leaving = true;
    }

    /// Starts the next beat and returns the digests to send.
    pub fn beat(&mut self, now_ms: Millis) -> Vec<MemberDigest> {
        self.own.beat += 1;
        self.heard.retain(|instance, heard| {
            let is_recent = now_ms - heard.heard_ms < FORGET_AFTER_MS;
            is_recent || self.listed.contains_key(instance)
        });
        let live = self.heard.values().filter(|heard| is_fresh(heard, now_ms));
        let others = live.map(|heard| heard.digest.clone());
        std::iter::once(self.own.clone()).chain(others).collect()
    }

    /// Replaces the platform's list.
    pub fn take_list(&mut self, listed: BTreeMap<InstanceId, ListedInstance>) {
        self.listed = listed;
    }

    /// Takes digests from a heartbeat; only a newer incarnation or beat counts as a sign of life.
    pub fn take_digests(&mut self, now_ms: Millis, digests: Vec<MemberDigest>) {
        for digest in digests {
            if digest.instance == self.own.instance {
                continue;
            }
            let known = self.heard.get(&digest.instance).map(|heard| &heard.digest);
            let is_news = known.is_none_or(|known| {
                (digest.incarnation, digest.beat) > (known.incarnation, known.beat)
            });
            if !is_news {
                continue;
            }
            let instance = digest.instance.clone();
            self.heard.insert(instance, Heard { digest, heard_ms: now_ms });
        }
    }

    /// Whether this run of an instance is live.
    pub fn is_live(&self, holder: &Holder, now_ms: Millis) -> bool {
        if *holder == self.own_holder() {
            return true;
        }
        let heard = self.heard.get(&holder.instance);
        heard.is_some_and(|heard| {
            heard.digest.incarnation == holder.incarnation && is_fresh(heard, now_ms)
        })
    }

    /// Number of live members of all data centres, this one included.
    pub fn live_members(&self, now_ms: Millis) -> usize {
        self.heard.values().filter(|heard| is_fresh(heard, now_ms)).count() + 1
    }

    /// Whether this run of an instance was replaced by a newer one.
    pub fn is_replaced(&self, holder: &Holder) -> bool {
        if holder.instance == self.own.instance {
            return holder.incarnation < self.own.incarnation;
        }
        let heard = self.heard.get(&holder.instance);
        heard.is_some_and(|heard| heard.digest.incarnation > holder.incarnation)
    }

    /// Live members of a data centre that are not leaving, in order.
    pub fn members_of(&self, data_centre: &DataCentreId, now_ms: Millis) -> Vec<InstanceId> {
        let mut members: Vec<_> = self
            .heard
            .values()
            .filter(|heard| is_fresh(heard, now_ms))
            .map(|heard| &heard.digest)
            .chain(std::iter::once(&self.own))
            .filter(|digest| digest.data_centre == *data_centre && !digest.is_leaving)
            .filter(|digest| !self.is_listed_leaving(&digest.instance))
            .map(|digest| digest.instance.clone())
            .collect();
        members.sort();
        members
    }

    /// Owner of a key among the live members of a data centre.
    pub fn owner_of(
        &self,
        key: &str,
        data_centre: &DataCentreId,
        now_ms: Millis,
    ) -> Option<InstanceId> {
        let members = self.members_of(data_centre, now_ms);
        rendezvous::owner(key, &members).cloned()
    }

    /// Owner of a key among the live members of all data centres.
    pub fn owner_anywhere(&self, key: &str, now_ms: Millis) -> Option<InstanceId> {
        let fresh = self.heard.values().filter(|heard| is_fresh(heard, now_ms));
        let digests = fresh.map(|heard| &heard.digest).chain(std::iter::once(&self.own));
        let members = digests.filter(|digest| !digest.is_leaving).map(|digest| &digest.instance);
        rendezvous::owner(key, members).cloned()
    }

    /// Whether the platform lists a live instance in a data centre.
    pub fn is_listed_alive(&self, data_centre: &DataCentreId) -> bool {
        let mut listed = self.listed.values();
        listed.any(|listed| listed.data_centre == *data_centre && listed.state == ListedState::Live)
    }

    /// Peers to send heartbeats to, with addresses: all that are listed or heard.
    pub fn peers(&self) -> BTreeMap<InstanceId, SocketAddr> {
        let listed = self.listed.iter().map(|(id, listed)| (id.clone(), listed.peer_address));
        let heard = self.heard.iter().map(|(id, heard)| (id.clone(), heard.digest.peer_address));
        let mut peers: BTreeMap<_, _> = listed.chain(heard).collect();
        peers.remove(&self.own.instance);
        peers
    }

    /// Every member heard of, for the status page.
    pub fn status(&self, now_ms: Millis) -> Vec<(MemberDigest, bool)> {
        let others =
            self.heard.values().map(|heard| (heard.digest.clone(), is_fresh(heard, now_ms)));
        std::iter::once((self.own.clone(), true)).chain(others).collect()
    }

    fn is_listed_leaving(&self, instance: &InstanceId) -> bool {
        self.listed.get(instance).is_some_and(|listed| listed.state == ListedState::Leaving)
    }
}

fn is_fresh(heard: &Heard, now_ms: Millis) -> bool {
    now_ms - heard.heard_ms < MEMBER_TIMEOUT_MS
}
