//! Heartbeats between instances: member records, server loads and leaving servers, and the requests
//! for members that a receiver lacks.
//!
//! Each instance sends a heartbeat to a few members at a fixed interval and earlier when its
//! members change. Member records and heartbeat counters (beats) go to members of the same data
//! centre; other data centres get summaries.

use std::collections::BTreeSet;

use crate::ids::{InstanceId, MemberKey, ServerId};
use crate::membership::gossip::MAX_BEATS_PER_HEARTBEAT;
use crate::membership::{
    Heartbeat, IncarnationConflict, ListedInstance, ListedState, LoadDigest, Members,
    MembersRequest,
};
use crate::message::PeerMessage;
use crate::node::{KnownLoad, Node};
use crate::report::Holder;
use crate::request::Stage;
use crate::units::{Millis, Streams};

pub const HEARTBEAT_INTERVAL_MS: Millis = Millis(500);
/// Shortest time between two heartbeats, used when members have changed.
const MIN_HEARTBEAT_INTERVAL_MS: Millis = Millis(200);
/// Heartbeat intervals are shortened by less than this, so that instances don't send together.
const HEARTBEAT_JITTER_MS: u64 = 50;
/// Time between two keepalives to owners in other data centres.
const KEEPALIVE_INTERVAL_MS: Millis = Millis(1_000);
/// Time after which a missing member may be requested again.
const MEMBERS_REQUEST_RETRY_MS: Millis = Millis(500);
const MAX_REQUESTED_KEYS: usize = 64;
const MAX_LOADS_PER_HEARTBEAT: usize = 12;
const MAX_LOADS_IN_LARGE_DATA_CENTRE: usize = 8;
/// Number of members above which a data centre counts as large.
const LARGE_DATA_CENTRE_MEMBERS: usize = 8;
/// Age above which the load of a server that is not owned is dropped.
const LOAD_RETENTION_MS: Millis = Millis(10_000);
/// Number of loads of owned servers that a heartbeat carries even if it could be filled with loads
/// of other servers.
const RESERVED_OWN_LOADS: usize = 4;
/// Age above which a load of another owner's server is not relayed.
const MAX_RELAYED_LOAD_AGE_MS: Millis = Millis(1_500);

impl Node {
    pub(super) fn send_due_heartbeats(&mut self) {
        let now_ms = self.now.monotonic_ms;
        if self.members.take_unannounced_change() {
            self.next_heartbeat_ms = self.next_heartbeat_ms.min(self.earliest_heartbeat_ms);
        }
        if now_ms < self.next_heartbeat_ms {
            return;
        }
        let jitter_ms = (self.members.own_digest().key().0 ^ now_ms.0) % HEARTBEAT_JITTER_MS;
        self.next_heartbeat_ms = now_ms + HEARTBEAT_INTERVAL_MS - Millis(jitter_ms);
        self.earliest_heartbeat_ms = now_ms + MIN_HEARTBEAT_INTERVAL_MS;
        self.leaving_records.expire(now_ms);
        self.leaving_servers = self.leaving_records.servers();
        self.requested_keys
            .retain(|_, requested_ms| now_ms - *requested_ms < MEMBERS_REQUEST_RETRY_MS);
        let owned = &self.owned_servers;
        self.server_loads.retain(|server, known_load| {
            now_ms - known_load.computed_ms < LOAD_RETENTION_MS || owned.contains(server)
        });
        let records = self.members.changed_records(now_ms);
        for receiver in self.members.start_heartbeat(now_ms) {
            self.send_heartbeat(&receiver, records.clone());
        }
        self.send_due_keepalives();
    }

    /// Sends a heartbeat to every live member of the data centre at once.
    pub(super) fn send_heartbeats_to_all(&mut self) {
        for receiver in self.members.local_peers() {
            self.send_heartbeat(&receiver, Vec::new());
        }
    }

    pub(super) fn handle_heartbeat(&mut self, from: &Holder, heartbeat: Heartbeat) {
        let now_ms = self.now.monotonic_ms;
        let sender = &from.instance;
        let is_new =
            self.members.address_of(sender).is_none() || !self.members.is_live(from, now_ms);
        if let Some(newer) = self.members.newer_record(&heartbeat.own) {
            let members = Members { records: vec![newer], summaries: Vec::new() };
            self.send_to_peer(sender, PeerMessage::Members(members));
        }
        let conflict = self.members.merge_digests(now_ms, heartbeat.records);
        self.handle_incarnation_conflict(conflict);
        let is_local = heartbeat.own.data_centre == *self.members.own_data_centre();
        self.members.merge_sender(now_ms, heartbeat.own);
        let keys = self.members.merge_beats(now_ms, &heartbeat.beats);
        if is_local && heartbeat.beats.len() < MAX_BEATS_PER_HEARTBEAT {
            self.members.expire_unconfirmed(now_ms, sender, &heartbeat.beats);
        }
        let mut members_request = MembersRequest { keys, data_centres: Vec::new() };
        for head in heartbeat.heads {
            let data_centre = head.data_centre.clone();
            if self.members.merge_summary_head(now_ms, head) {
                members_request.data_centres.push(data_centre);
            }
        }
        if let Some(summary) = heartbeat.summary {
            members_request.data_centres.retain(|data_centre| *data_centre != summary.data_centre);
            members_request.keys.extend(self.members.merge_summary(now_ms, summary));
        }
        members_request.keys.extend(self.members.missing_keys());
        self.request_members(sender, members_request);
        self.update_peer_loads(heartbeat.loads);
        self.leaving_records.merge_digests(
            now_ms,
            heartbeat.list_age_ms,
            heartbeat.leaving_servers,
        );
        self.leaving_servers = self.leaving_records.servers();
        if is_new {
            self.members.refresh_if_stale(now_ms);
            self.send_heartbeat(sender, Vec::new());
        }
    }

    pub(super) fn handle_members_request(
        &mut self,
        from: &Holder,
        members_request: &MembersRequest,
    ) {
        let members = self.members.answer_request(members_request);
        if members != Members::default() {
            self.send_to_peer(&from.instance, PeerMessage::Members(members));
        }
    }

    pub(super) fn handle_members(&mut self, from: &Holder, members: Members) {
        let now_ms = self.now.monotonic_ms;
        let mut members_request = MembersRequest::default();
        for summary in members.summaries {
            members_request.keys.extend(self.members.merge_summary(now_ms, summary));
        }
        let conflict = self.members.merge_digests(now_ms, members.records);
        self.handle_incarnation_conflict(conflict);
        self.request_members(&from.instance, members_request);
    }

    pub(super) fn handle_instance_list(
        &mut self,
        listed_instances: std::collections::BTreeMap<InstanceId, ListedInstance>,
    ) {
        let own = self.members.own_holder().instance;
        let is_leaving =
            listed_instances.get(&own).is_some_and(|listed| listed.state == ListedState::Leaving);
        if is_leaving {
            self.members.mark_leaving();
        }
        self.members.replace_platform_list(listed_instances);
        self.catch_up.record_instance_list();
    }

    /// Discards state that may be outdated after a pause of this process, waits for peers again,
    /// and returns requests that were waiting for an owner's reply to stage [`Stage::Waiting`].
    pub(super) fn recover_from_pause(&mut self, paused_since_ms: Millis) {
        let now_ms = self.now.monotonic_ms;
        self.discard_server_state(now_ms - paused_since_ms);
        self.members.extend_liveness_after_pause(paused_since_ms, now_ms);
        self.members.refresh(now_ms);
        self.deferred_messages.clear();
        self.catch_up.restart(now_ms);
        (self.next_heartbeat_ms, self.next_poll_ms) = (Millis::ZERO, Millis::ZERO);
        let is_awaiting_owner =
            |stage: Stage| matches!(stage, Stage::AskingSlot { .. } | Stage::Asking { .. });
        let awaiting = self.flows.iter().filter(|(_, flow)| is_awaiting_owner(flow.stage));
        let awaiting: Vec<_> = awaiting.map(|(request, _)| *request).collect();
        for request in awaiting {
            self.return_to_waiting(request);
        }
    }

    fn send_heartbeat(&mut self, to: &InstanceId, records: Vec<crate::membership::MemberDigest>) {
        let now_ms = self.now.monotonic_ms;
        let own_data_centre = self.members.own_data_centre().clone();
        let is_local = self
            .members
            .data_centre_of(to)
            .is_none_or(|data_centre| *data_centre == own_data_centre);
        let own = self.members.own_digest();
        let rotation = own.beat;
        let mut heads = self.members.summary_heads(now_ms);
        heads.extend(self.members.summary_head_for(to));
        let heartbeat = Heartbeat {
            records: if is_local { records } else { Vec::new() },
            beats: if is_local { self.members.beats() } else { Vec::new() },
            heads,
            summary: (!is_local).then(|| self.members.next_summary()),
            loads: self.load_digests(is_local, rotation),
            list_age_ms: self.leaving_records.list_age_ms(now_ms),
            leaving_servers: self.leaving_records.digests(now_ms, rotation),
            own,
        };
        self.send_to_peer(to, PeerMessage::Heartbeat(Box::new(heartbeat)));
    }

    fn request_members(&mut self, to: &InstanceId, mut members_request: MembersRequest) {
        let now_ms = self.now.monotonic_ms;
        let is_not_requested = |key: &MemberKey| !self.requested_keys.contains_key(key);
        members_request.keys.retain(is_not_requested);
        members_request.keys.truncate(MAX_REQUESTED_KEYS);
        self.requested_keys.extend(members_request.keys.iter().map(|key| (*key, now_ms)));
        if members_request != MembersRequest::default() {
            self.send_to_peer(to, PeerMessage::MembersRequest(members_request));
        }
    }

    fn handle_incarnation_conflict(&mut self, conflict: Option<IncarnationConflict>) {
        match conflict {
            None => {}
            Some(IncarnationConflict::Raised(incarnation)) => {
                let fields = vec![("incarnation", incarnation.to_string())];
                self.log("incarnation_raised", None, fields);
            }
            Some(IncarnationConflict::Replaced(incarnation)) if !self.is_leaving => {
                let fields = vec![("by_incarnation", incarnation.to_string())];
                self.log("replaced", None, fields);
                self.shut_down();
            }
            Some(IncarnationConflict::Replaced(_)) => {}
        }
    }

    fn update_peer_loads(&mut self, loads: Vec<LoadDigest>) {
        for LoadDigest { server, load, age_ms } in loads {
            let computed_ms = self.now.monotonic_ms - age_ms;
            let is_older = self
                .server_loads
                .get(&server)
                .is_some_and(|known_load| known_load.computed_ms >= computed_ms);
            if !is_older && !self.owns(&server) {
                self.server_loads.insert(server, KnownLoad { load, computed_ms });
            }
        }
    }

    /// Loads for a heartbeat: first those of some owned servers, others each time, then those of
    /// other servers, with free streams first and the newest first.
    fn load_digests(&self, is_local: bool, rotation: u64) -> Vec<LoadDigest> {
        let now_ms = self.now.monotonic_ms;
        let mut own = Vec::new();
        let mut relayed = Vec::new();
        for (server, known_load) in &self.server_loads {
            let age_ms = now_ms - known_load.computed_ms;
            let digest = LoadDigest { server: server.clone(), load: known_load.load, age_ms };
            if self.owns(server) {
                own.push(digest);
                continue;
            }
            let is_relayable = is_local || self.is_in_own_data_centre(server);
            if is_relayable && age_ms <= MAX_RELAYED_LOAD_AGE_MS {
                relayed.push(digest);
            }
        }
        relayed.sort_by_key(|digest| (digest.load.free_streams == Streams::ZERO, digest.age_ms));
        let members = self.members.members_of(self.members.own_data_centre()).len();
        let max_loads = if members > LARGE_DATA_CENTRE_MEMBERS {
            MAX_LOADS_IN_LARGE_DATA_CENTRE
        } else {
            MAX_LOADS_PER_HEARTBEAT
        };
        let own_count =
            RESERVED_OWN_LOADS.max(max_loads.saturating_sub(relayed.len())).min(own.len());
        let start = rotation as usize * own_count % own.len().max(1);
        own.rotate_left(start);
        own.truncate(own_count);
        let mut digests = own;
        relayed.truncate(max_loads - digests.len());
        digests.extend(relayed);
        digests
    }

    /// Tells owners in other data centres that this instance, which reads streams from their
    /// engines, is alive.
    fn send_due_keepalives(&mut self) {
        let now_ms = self.now.monotonic_ms;
        if now_ms < self.next_keepalive_ms {
            return;
        }
        self.next_keepalive_ms = now_ms + KEEPALIVE_INTERVAL_MS;
        let held: BTreeSet<&ServerId> =
            self.flows.values().filter_map(|flow| flow.decode_server.as_ref()).collect();
        let remote = held.into_iter().filter(|server| !self.is_in_own_data_centre(server));
        let owners: BTreeSet<_> = remote.flat_map(|server| self.owner_candidates(server)).collect();
        for owner in owners {
            self.send_to_peer(&owner, PeerMessage::Keepalive);
        }
    }
}
