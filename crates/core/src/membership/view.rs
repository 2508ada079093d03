//! One instance's view of the other instances.
//!
//! A member of the own data centre counts as live while its heartbeat counter rises, one of another
//! data centre while summaries of that data centre arrive and name it. A message directly from a
//! member counts for both. The platform's list lags: it contributes addresses of instances not
//! heard from yet, and which instances are leaving.
//!
//! Ownership that is derived from this view only makes the work efficient. No guarantee depends on
//! it: all of them hold with two owners at once, or none.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use crate::ids::{DataCentreId, Incarnation, InstanceId, MemberKey};
use crate::membership::digest::MemberDigest;
use crate::membership::listed::{ListedInstance, ListedState};
use crate::membership::member_state::MemberState;
use crate::membership::rendezvous;
use crate::membership::summary::RemoteDataCentre;
use crate::report::Holder;
use crate::units::Millis;

/// Time without a new summary after which the members of another data centre no longer count as
/// live.
pub(super) const DATA_CENTRE_TIMEOUT_MS: Millis = Millis(4_000);

/// A member that is not listed is forgotten if it was last heard from this long ago. The time
/// exceeds that for which data centres may lose contact, so that they find each other again without
/// the list.
const FORGET_AFTER_MS: Millis = Millis(2 * 3_600_000);
/// Beyond this number, keys of earlier revisions are forgotten.
const MAX_REMEMBERED_KEYS: usize = 4_096;

/// Which instances are known and live, merged from heartbeats and the platform's list.
#[derive(Clone, Debug)]
pub struct MemberView {
    pub(super) own: MemberDigest,
    pub(super) own_key: MemberKey,
    pub(super) listed_instances: BTreeMap<InstanceId, ListedInstance>,
    /// Other instances that were heard of.
    pub(super) members: BTreeMap<InstanceId, MemberState>,
    /// Instance and run that each known key stands for, those of earlier revisions included.
    pub(super) keys: BTreeMap<MemberKey, (InstanceId, Incarnation)>,
    pub(super) remote: BTreeMap<DataCentreId, RemoteDataCentre>,
    /// Heartbeats that still have to carry the record of a changed member.
    pub(super) change_sends_left: BTreeMap<InstanceId, u32>,
    /// Live members of each data centre in order, leaving ones included.
    pub(super) live: BTreeMap<DataCentreId, Vec<InstanceId>>,
    /// Live members of each data centre in order that are not leaving.
    available: BTreeMap<DataCentreId, Vec<InstanceId>>,
    /// Highest logical clock known of the own data centre.
    pub(super) clock: u64,
    /// Data centres with a live instance in the platform's list.
    listed_live_data_centres: BTreeSet<DataCentreId>,
    generation: u64,
    /// Whether `live` and `available` need to be computed again.
    pub(super) is_stale: bool,
    /// Whether `available` changed since `take_unannounced_change` was last called.
    has_unannounced_change: bool,
    /// Hash of the own data centre's live members when receivers in other data centres were last
    /// chosen.
    pub(super) announced_hash: u64,
    /// When the first live member stops counting as live unless it is heard from again.
    next_expiry_ms: Option<Millis>,
}

impl MemberView {
    /// A view that knows only its own instance.
    pub fn new(own: MemberDigest) -> Self {
        let mut view = Self {
            own_key: own.key(),
            own,
            listed_instances: BTreeMap::new(),
            members: BTreeMap::new(),
            keys: BTreeMap::new(),
            remote: BTreeMap::new(),
            change_sends_left: BTreeMap::new(),
            live: BTreeMap::new(),
            available: BTreeMap::new(),
            clock: 0,
            listed_live_data_centres: BTreeSet::new(),
            generation: 0,
            is_stale: true,
            has_unannounced_change: false,
            announced_hash: 0,
            next_expiry_ms: None,
        };
        view.refresh(Millis::ZERO);
        view
    }

    /// This instance and its run.
    pub fn own_holder(&self) -> Holder {
        self.own.holder()
    }

    #[expect(missing_docs, reason = "the name says it")]
    pub fn own_data_centre(&self) -> &DataCentreId {
        &self.own.data_centre
    }

    /// Records that this instance is shutting down, which its next heartbeats announce.
    pub fn mark_leaving(&mut self) {
        if !self.own.is_leaving {
            self.own.is_leaving = true;
            self.own.revision += 1;
            self.mark_own_changed();
        }
    }

    /// Sets whether this instance can't read the configuration service.
    pub fn set_cut_off(&mut self, is_cut_off: bool) {
        if self.own.is_cut_off != is_cut_off {
            self.own.is_cut_off = is_cut_off;
            self.own.revision += 1;
            self.mark_own_changed();
        }
    }

    /// Takes the platform's list as it was last read, in place of the one before.
    pub fn replace_platform_list(&mut self, listed: BTreeMap<InstanceId, ListedInstance>) {
        self.listed_instances = listed;
        self.is_stale = true;
    }

    /// The digests of the given members, as far as they are known.
    pub fn records(&self, keys: &[MemberKey]) -> Vec<MemberDigest> {
        let mut records = Vec::new();
        for key in keys {
            if *key == self.own_key {
                records.push(self.own.clone());
                continue;
            }
            let known = self.keys.get(key).and_then(|(instance, _)| self.members.get(instance));
            records.extend(known.map(|member| member.digest.clone()));
        }
        records
    }

    /// Keys that summaries name and that are not known.
    pub fn missing_keys(&self) -> Vec<MemberKey> {
        let named = self.remote.values().flat_map(|remote| &remote.members);
        named.filter(|key| !self.keys.contains_key(key)).copied().collect()
    }

    /// The known digest of the instance if it belongs to a newer run than `digest`.
    pub fn newer_record(&self, digest: &MemberDigest) -> Option<MemberDigest> {
        let known = &self.members.get(&digest.instance)?.digest;
        (known.incarnation > digest.incarnation).then(|| known.clone())
    }

    /// Whether this run of an instance is live.
    pub fn is_live(&self, holder: &Holder, now_ms: Millis) -> bool {
        if *holder == self.own_holder() {
            return true;
        }
        let known = self.members.get(&holder.instance);
        known.is_some_and(|member| {
            member.digest.incarnation == holder.incarnation && member.is_live_at(now_ms)
        })
    }

    /// Whether this run of an instance was replaced by a newer one.
    pub fn is_replaced(&self, holder: &Holder) -> bool {
        if holder.instance == self.own.instance {
            return holder.incarnation < self.own.incarnation;
        }
        let known = self.members.get(&holder.instance);
        known.is_some_and(|member| member.digest.incarnation > holder.incarnation)
    }

    /// Live members of a data centre that are not leaving, in order.
    pub fn members_of(&self, data_centre: &DataCentreId) -> &[InstanceId] {
        self.available.get(data_centre).map_or(&[], Vec::as_slice)
    }

    /// Owner of a key among the live members of a data centre.
    pub fn owner_of(&self, key: &str, data_centre: &DataCentreId) -> Option<&InstanceId> {
        rendezvous::owner(key, self.members_of(data_centre))
    }

    /// Owner of a key among the live members of all data centres.
    pub fn owner_in_any_data_centre(&self, key: &str) -> Option<&InstanceId> {
        rendezvous::owner(key, self.available.values().flatten())
    }

    /// Members of a data centre that may take work: the live ones and those that the platform lists
    /// as live.
    pub fn possible_members_of(&self, data_centre: &DataCentreId) -> BTreeSet<&InstanceId> {
        let is_listed_live = |listed: &ListedInstance| {
            listed.data_centre == *data_centre && listed.state == ListedState::Live
        };
        let listed = self.listed_instances.iter().filter(|(_, listed)| is_listed_live(listed));
        listed.map(|(id, _)| id).chain(self.members_of(data_centre)).collect()
    }

    /// Whether the platform lists a live instance in a data centre.
    pub fn has_listed_live_instance(&self, data_centre: &DataCentreId) -> bool {
        self.listed_live_data_centres.contains(data_centre)
    }

    /// Rises with each change of the live members or of the data centres with a listed live
    /// instance.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Peer addresses of all other instances that are listed or were heard of.
    pub fn peers(&self) -> BTreeMap<InstanceId, SocketAddr> {
        let listed =
            self.listed_instances.iter().map(|(id, listed)| (id.clone(), listed.peer_address));
        let known =
            self.members.iter().map(|(id, member)| (id.clone(), member.digest.peer_address));
        let mut peers: BTreeMap<_, _> = listed.chain(known).collect();
        peers.remove(&self.own.instance);
        peers
    }

    /// Peer address of an instance; `None` if it is neither listed nor was heard of.
    pub fn address_of(&self, instance: &InstanceId) -> Option<SocketAddr> {
        let known = self.members.get(instance).map(|member| member.digest.peer_address);
        known.or_else(|| self.listed_instances.get(instance).map(|listed| listed.peer_address))
    }

    /// Whether another instance is listed or was heard of.
    pub fn has_peers(&self) -> bool {
        let is_other = |instance: &InstanceId| *instance != self.own.instance;
        !self.members.is_empty() || self.listed_instances.keys().any(is_other)
    }

    /// The data centre of an instance; `None` if it is neither listed nor was heard of.
    pub fn data_centre_of(&self, instance: &InstanceId) -> Option<&DataCentreId> {
        let known = self.members.get(instance).map(|member| &member.digest.data_centre);
        known.or_else(|| self.listed_instances.get(instance).map(|listed| &listed.data_centre))
    }

    /// Every known member and whether it is live, for the status page.
    pub fn status(&self, now_ms: Millis) -> Vec<(MemberDigest, bool)> {
        let others =
            self.members.values().map(|member| (member.digest.clone(), member.is_live_at(now_ms)));
        std::iter::once((self.own.clone(), true)).chain(others).collect()
    }

    /// Members of this data centre that are not leaving and can read the configuration service.
    pub fn config_readers(&self) -> Vec<&InstanceId> {
        let can_read = |instance: &&InstanceId| match self.members.get(*instance) {
            Some(member) => !member.digest.is_cut_off,
            None => !self.own.is_cut_off,
        };
        self.members_of(&self.own.data_centre).iter().filter(can_read).collect()
    }

    /// Restarts the timeout of members and data centres that were live before a pause of this
    /// process, during which it could not hear from them.
    pub fn extend_liveness_after_pause(&mut self, paused_at_ms: Millis, now_ms: Millis) {
        for member in self.members.values_mut() {
            if member.is_live_at(paused_at_ms) {
                member.last_indirect_ms = Some(now_ms);
            }
        }
        for remote in self.remote.values_mut() {
            if paused_at_ms - remote.last_advanced_ms < DATA_CENTRE_TIMEOUT_MS {
                remote.last_advanced_ms = now_ms;
            }
        }
        self.is_stale = true;
    }

    /// Computes the live members again.
    pub fn refresh(&mut self, now_ms: Millis) {
        self.is_stale = false;
        self.next_expiry_ms = None;
        let mut live: BTreeMap<DataCentreId, Vec<InstanceId>> = BTreeMap::new();
        let mut available = live.clone();
        let fresh: Vec<_> =
            self.members.values().filter(|member| member.is_live_at(now_ms)).collect();
        self.next_expiry_ms = fresh.iter().filter_map(|member| member.expires_ms()).min();
        let fresh = fresh.into_iter();
        for digest in fresh.map(|member| &member.digest).chain(std::iter::once(&self.own)) {
            let (data_centre, instance) = (&digest.data_centre, &digest.instance);
            live.entry(data_centre.clone()).or_default().push(instance.clone());
            if !digest.is_leaving && !self.is_listed_leaving(instance) {
                available.entry(data_centre.clone()).or_default().push(instance.clone());
            }
        }
        live.values_mut().chain(available.values_mut()).for_each(|members| members.sort());
        self.live = live;
        let alive =
            self.listed_instances.values().filter(|listed| listed.state == ListedState::Live);
        let listed_live_data_centres = alive.map(|listed| listed.data_centre.clone()).collect();
        if listed_live_data_centres != self.listed_live_data_centres {
            self.listed_live_data_centres = listed_live_data_centres;
            self.generation += 1;
        }
        if available != self.available {
            self.available = available;
            self.generation += 1;
            self.has_unannounced_change = true;
        }
    }

    /// Computes the live members again if something changed or a member timed out.
    pub fn refresh_if_stale(&mut self, now_ms: Millis) {
        let is_expired = self.next_expiry_ms.is_some_and(|expiry_ms| now_ms >= expiry_ms);
        if self.is_stale || is_expired {
            self.refresh(now_ms);
        }
    }

    /// Whether the live members changed since the last call, so that a heartbeat should
    /// announce it soon.
    pub fn take_unannounced_change(&mut self) -> bool {
        std::mem::take(&mut self.has_unannounced_change)
    }

    /// Forgets members that were silent for long, and keys of earlier revisions if there are too
    /// many.
    pub fn forget_silent_members(&mut self, now_ms: Millis) {
        let listed = &self.listed_instances;
        self.members.retain(|instance, member| {
            now_ms - member.last_seen_ms < FORGET_AFTER_MS || listed.contains_key(instance)
        });
        let members = &self.members;
        if self.keys.len() > MAX_REMEMBERED_KEYS {
            self.keys.retain(|key, (instance, _)| {
                members.get(instance).is_some_and(|member| member.key == *key)
            });
        }
        self.keys.retain(|_, (instance, _)| members.contains_key(instance));
    }

    pub(super) fn mark_own_changed(&mut self) {
        self.own_key = self.own.key();
        self.is_stale = true;
    }

    fn is_listed_leaving(&self, instance: &InstanceId) -> bool {
        self.listed_instances
            .get(instance)
            .is_some_and(|listed| listed.state == ListedState::Leaving)
    }
}
