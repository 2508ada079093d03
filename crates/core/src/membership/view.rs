//! One instance's view of the other instances.
//!
//! A member of the own data centre counts as live while its beats rise, one of another data centre
//! while the summaries of that data centre arrive and name it; a message straight from a member
//! counts for both. The platform's list lags: it contributes addresses of instances not yet heard
//! and the news that one is leaving. Ownership built on this view serves efficiency only: every
//! promise holds with two owners at once, or none.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use crate::ids::{DataCentreId, Incarnation, InstanceId, MemberKey};
use crate::membership::digest::MemberDigest;
use crate::membership::heard::Heard;
use crate::membership::listed::{ListedInstance, ListedState};
use crate::membership::rendezvous;
use crate::membership::summary::RemoteDataCentre;
use crate::report::Holder;
use crate::units::Millis;

/// Silence after which no member of another data centre counts as live.
pub(super) const DATA_CENTRE_TIMEOUT_MS: Millis = Millis(4_000);

/// Silence after which a member that is not listed is forgotten: longer than data centres lose
/// each other for, so that they find each other again without the list.
const FORGET_AFTER_MS: Millis = Millis(2 * 3_600_000);
/// Most keys remembered, those of earlier revisions included.
const MAX_KEYS: usize = 4_096;

/// The merged view.
#[derive(Clone, Debug)]
pub struct MemberView {
    pub(super) own: MemberDigest,
    pub(super) own_key: MemberKey,
    pub(super) listed: BTreeMap<InstanceId, ListedInstance>,
    pub(super) heard: BTreeMap<InstanceId, Heard>,
    pub(super) keys: BTreeMap<MemberKey, (InstanceId, Incarnation)>,
    pub(super) remote: BTreeMap<DataCentreId, RemoteDataCentre>,
    pub(super) changes: BTreeMap<InstanceId, u32>,
    /// Live members of each data centre, leaving ones included.
    pub(super) live: BTreeMap<DataCentreId, Vec<InstanceId>>,
    /// Live members of each data centre that take work.
    working: BTreeMap<DataCentreId, Vec<InstanceId>>,
    pub(super) clock: u64,
    /// Data centres with a live instance in the platform's list.
    listed_alive: BTreeSet<DataCentreId>,
    generation: u64,
    pub(super) is_stale: bool,
    has_news: bool,
    /// Hash of the members in the last summary that representatives sent.
    pub(super) told_hash: u64,
    /// When the first live member stops to count as live unless it is heard again.
    next_expiry_ms: Option<Millis>,
}

impl MemberView {
    /// A view that knows only its own instance.
    pub fn new(own: MemberDigest) -> Self {
        let mut view = Self {
            own_key: own.key(),
            own,
            listed: BTreeMap::new(),
            heard: BTreeMap::new(),
            keys: BTreeMap::new(),
            remote: BTreeMap::new(),
            changes: BTreeMap::new(),
            live: BTreeMap::new(),
            working: BTreeMap::new(),
            clock: 0,
            listed_alive: BTreeSet::new(),
            generation: 0,
            is_stale: true,
            has_news: false,
            told_hash: 0,
            next_expiry_ms: None,
        };
        view.refresh(Millis::ZERO);
        view
    }

    /// This instance and its run.
    pub fn own_holder(&self) -> Holder {
        self.own.holder()
    }

    /// The data centre of this instance.
    pub fn own_data_centre(&self) -> &DataCentreId {
        &self.own.data_centre
    }

    /// Marks this instance as leaving.
    pub fn leave(&mut self) {
        if !self.own.is_leaving {
            self.own.is_leaving = true;
            self.own.revision += 1;
            self.note_own_change();
        }
    }

    /// Marks whether this instance can't read the configuration service.
    pub fn set_cut_off(&mut self, is_cut_off: bool) {
        if self.own.is_cut_off != is_cut_off {
            self.own.is_cut_off = is_cut_off;
            self.own.revision += 1;
            self.note_own_change();
        }
    }

    /// Replaces the platform's list.
    pub fn take_list(&mut self, listed: BTreeMap<InstanceId, ListedInstance>) {
        self.listed = listed;
        self.is_stale = true;
    }

    /// The records of members, as far as they are known.
    pub fn records(&self, keys: &[MemberKey]) -> Vec<MemberDigest> {
        let mut records = Vec::new();
        for key in keys {
            if *key == self.own_key {
                records.push(self.own.clone());
                continue;
            }
            let known = self.keys.get(key).and_then(|(instance, _)| self.heard.get(instance));
            records.extend(known.map(|heard| heard.digest.clone()));
        }
        records
    }

    /// Members that summaries name and that are not known.
    pub fn missing(&self) -> Vec<MemberKey> {
        let named = self.remote.values().flat_map(|remote| &remote.members);
        named.filter(|key| !self.keys.contains_key(key)).copied().collect()
    }

    /// The record of an instance where it outranks the given one.
    pub fn newer_record(&self, digest: &MemberDigest) -> Option<MemberDigest> {
        let known = &self.heard.get(&digest.instance)?.digest;
        (known.incarnation > digest.incarnation).then(|| known.clone())
    }

    /// Whether this run of an instance is live.
    pub fn is_live(&self, holder: &Holder, now_ms: Millis) -> bool {
        if *holder == self.own_holder() {
            return true;
        }
        let heard = self.heard.get(&holder.instance);
        heard.is_some_and(|heard| {
            heard.digest.incarnation == holder.incarnation && heard.is_fresh(now_ms)
        })
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
    pub fn members_of(&self, data_centre: &DataCentreId) -> &[InstanceId] {
        self.working.get(data_centre).map_or(&[], Vec::as_slice)
    }

    /// Owner of a key among the live members of a data centre.
    pub fn owner_of(&self, key: &str, data_centre: &DataCentreId) -> Option<&InstanceId> {
        rendezvous::owner(key, self.members_of(data_centre))
    }

    /// Owner of a key among the live members of all data centres.
    pub fn owner_anywhere(&self, key: &str) -> Option<&InstanceId> {
        rendezvous::owner(key, self.working.values().flatten())
    }

    /// Members of a data centre that may take work: those heard and those that the platform lists.
    pub fn possible_members_of(&self, data_centre: &DataCentreId) -> BTreeSet<&InstanceId> {
        let is_there = |listed: &ListedInstance| {
            listed.data_centre == *data_centre && listed.state == ListedState::Live
        };
        let listed = self.listed.iter().filter(|(_, listed)| is_there(listed));
        listed.map(|(id, _)| id).chain(self.members_of(data_centre)).collect()
    }

    /// Whether the platform lists a live instance in a data centre.
    pub fn is_listed_alive(&self, data_centre: &DataCentreId) -> bool {
        self.listed_alive.contains(data_centre)
    }

    /// Number that rises with each change of the live members.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Peers with their addresses: all that are listed or heard.
    pub fn peers(&self) -> BTreeMap<InstanceId, SocketAddr> {
        let listed = self.listed.iter().map(|(id, listed)| (id.clone(), listed.peer_address));
        let heard = self.heard.iter().map(|(id, heard)| (id.clone(), heard.digest.peer_address));
        let mut peers: BTreeMap<_, _> = listed.chain(heard).collect();
        peers.remove(&self.own.instance);
        peers
    }

    /// Peer edge of an instance.
    pub fn address_of(&self, instance: &InstanceId) -> Option<SocketAddr> {
        let heard = self.heard.get(instance).map(|heard| heard.digest.peer_address);
        heard.or_else(|| self.listed.get(instance).map(|listed| listed.peer_address))
    }

    /// Whether another instance is listed or was heard.
    pub fn has_peers(&self) -> bool {
        let is_other = |instance: &InstanceId| *instance != self.own.instance;
        !self.heard.is_empty() || self.listed.keys().any(is_other)
    }

    /// Where an instance stands.
    pub fn data_centre_of(&self, instance: &InstanceId) -> Option<&DataCentreId> {
        let heard = self.heard.get(instance).map(|heard| &heard.digest.data_centre);
        heard.or_else(|| self.listed.get(instance).map(|listed| &listed.data_centre))
    }

    /// Every member heard of, for the status page.
    pub fn status(&self, now_ms: Millis) -> Vec<(MemberDigest, bool)> {
        let others =
            self.heard.values().map(|heard| (heard.digest.clone(), heard.is_fresh(now_ms)));
        std::iter::once((self.own.clone(), true)).chain(others).collect()
    }

    /// Members of this data centre that take work and can read the configuration service.
    pub fn readers(&self) -> Vec<&InstanceId> {
        let can_read = |instance: &&InstanceId| match self.heard.get(*instance) {
            Some(heard) => !heard.digest.is_cut_off,
            None => !self.own.is_cut_off,
        };
        self.members_of(&self.own.data_centre).iter().filter(can_read).collect()
    }

    /// Gives every member that was live before a pause of this process a new time to be heard.
    pub fn wake(&mut self, slept_at_ms: Millis, now_ms: Millis) {
        for heard in self.heard.values_mut() {
            if heard.is_fresh(slept_at_ms) {
                heard.heard_ms = Some(now_ms);
            }
        }
        for remote in self.remote.values_mut() {
            if slept_at_ms - remote.heard_ms < DATA_CENTRE_TIMEOUT_MS {
                remote.heard_ms = now_ms;
            }
        }
        self.is_stale = true;
    }

    /// Brings the lists of live members up to date.
    pub fn refresh(&mut self, now_ms: Millis) {
        self.is_stale = false;
        self.next_expiry_ms = None;
        let mut live: BTreeMap<DataCentreId, Vec<InstanceId>> = BTreeMap::new();
        let mut working = live.clone();
        let fresh: Vec<_> = self.heard.values().filter(|heard| heard.is_fresh(now_ms)).collect();
        self.next_expiry_ms = fresh.iter().filter_map(|heard| heard.expires_ms()).min();
        let fresh = fresh.into_iter();
        for digest in fresh.map(|heard| &heard.digest).chain(std::iter::once(&self.own)) {
            let (data_centre, instance) = (&digest.data_centre, &digest.instance);
            live.entry(data_centre.clone()).or_default().push(instance.clone());
            if !digest.is_leaving && !self.is_listed_leaving(instance) {
                working.entry(data_centre.clone()).or_default().push(instance.clone());
            }
        }
        live.values_mut().chain(working.values_mut()).for_each(|members| members.sort());
        self.live = live;
        let alive = self.listed.values().filter(|listed| listed.state == ListedState::Live);
        let listed_alive = alive.map(|listed| listed.data_centre.clone()).collect();
        if listed_alive != self.listed_alive {
            self.listed_alive = listed_alive;
            self.generation += 1;
        }
        if working != self.working {
            self.working = working;
            self.generation += 1;
            self.has_news = true;
        }
    }

    /// Brings the lists of live members up to date where something changed or timed out.
    pub fn refresh_if_stale(&mut self, now_ms: Millis) {
        let is_expired = self.next_expiry_ms.is_some_and(|expiry_ms| now_ms >= expiry_ms);
        if self.is_stale || is_expired {
            self.refresh(now_ms);
        }
    }

    /// Whether live members changed since this was last asked, so that others should hear soon.
    pub fn take_news(&mut self) -> bool {
        std::mem::take(&mut self.has_news)
    }

    /// Forgets members that were silent for long and keys of earlier revisions.
    pub fn forget(&mut self, now_ms: Millis) {
        let listed = &self.listed;
        self.heard.retain(|instance, heard| {
            now_ms - heard.seen_ms < FORGET_AFTER_MS || listed.contains_key(instance)
        });
        let heard = &self.heard;
        if self.keys.len() > MAX_KEYS {
            self.keys.retain(|key, (instance, _)| {
                heard.get(instance).is_some_and(|heard| heard.key == *key)
            });
        }
        self.keys.retain(|_, (instance, _)| heard.contains_key(instance));
    }

    pub(super) fn note_own_change(&mut self) {
        self.own_key = self.own.key();
        self.is_stale = true;
    }

    fn is_listed_leaving(&self, instance: &InstanceId) -> bool {
        self.listed.get(instance).is_some_and(|listed| listed.state == ListedState::Leaving)
    }
}
