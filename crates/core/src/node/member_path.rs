//! Heartbeats and the digests that they carry.

use std::collections::BTreeSet;

use crate::ids::{InstanceId, MemberKey, ServerId};
use crate::membership::spread::MAX_BEATS;
use crate::membership::{
    Heartbeat, ListedInstance, ListedState, LoadDigest, Members, MembersRequest, OwnNews,
};
use crate::message::PeerMessage;
use crate::node::{KnownLoad, Node};
use crate::report::Holder;
use crate::request::Stage;
use crate::units::{Millis, Streams};

/// Time between heartbeats.
pub const BEAT_MS: Millis = Millis(500);
/// Shortest time between heartbeats, where live members changed.
const EARLY_BEAT_MS: Millis = Millis(200);
/// Spread of the time between heartbeats, so that instances do not beat together.
const BEAT_SPREAD_MS: u64 = 50;
/// Time between signs of life towards owners in other data centres.
const KEEPALIVE_MS: Millis = Millis(1_000);
/// Time before the same member is asked for again.
const ASK_AGAIN_MS: Millis = Millis(500);
/// Most keys in a request for members.
const MAX_ASKED: usize = 64;
/// Most loads in a heartbeat.
const MAX_LOADS: usize = 12;
/// Most loads in a heartbeat of a large data centre.
const MAX_LOADS_LARGE: usize = 8;
/// Members above which a data centre is large.
const LARGE_MEMBERS: usize = 8;
/// Age above which a load is forgotten.
const LOAD_FORGET_MS: Millis = Millis(10_000);
/// Loads of own servers in a heartbeat where there are others to relay.
const MAX_OWN_LOADS: usize = 4;
/// Age above which a load is not relayed.
const RELAY_LIFE_MS: Millis = Millis(1_500);

impl Node {
    pub(super) fn beat(&mut self) {
        let now_ms = self.now.monotonic_ms;
        if self.members.take_news() {
            self.next_beat_ms = self.next_beat_ms.min(self.earliest_beat_ms);
        }
        if now_ms < self.next_beat_ms {
            return;
        }
        let spread_ms = (self.members.own_digest().key().0 ^ now_ms.0) % BEAT_SPREAD_MS;
        self.next_beat_ms = now_ms + BEAT_MS - Millis(spread_ms);
        self.earliest_beat_ms = now_ms + EARLY_BEAT_MS;
        self.leaving.expire(now_ms);
        self.leaving_servers = self.leaving.servers();
        self.asked_keys.retain(|_, asked_ms| now_ms - *asked_ms < ASK_AGAIN_MS);
        let owned = &self.owned;
        self.loads.retain(|server, known| {
            now_ms - known.learned_ms < LOAD_FORGET_MS || owned.contains(server)
        });
        let records = self.members.changed_records(now_ms);
        for target in self.members.beat(now_ms) {
            self.send_heartbeat(&target, records.clone());
        }
        self.keep_alive();
    }

    /// Tells every live member of the data centre at once.
    pub(super) fn beat_to_all(&mut self) {
        for target in self.members.neighbours() {
            self.send_heartbeat(&target, Vec::new());
        }
    }

    pub(super) fn take_heartbeat(&mut self, from: &Holder, heartbeat: Heartbeat) {
        let now_ms = self.now.monotonic_ms;
        let sender = &from.instance;
        let is_new =
            self.members.address_of(sender).is_none() || !self.members.is_live(from, now_ms);
        if let Some(newer) = self.members.newer_record(&heartbeat.own) {
            let members = Members { records: vec![newer], summaries: Vec::new() };
            self.send(sender, PeerMessage::Members(members));
        }
        let news = self.members.take_digests(now_ms, heartbeat.records);
        self.take_own_news(news);
        let is_near = heartbeat.own.data_centre == *self.members.own_data_centre();
        self.members.take_sender(now_ms, heartbeat.own);
        let keys = self.members.take_beats(now_ms, &heartbeat.beats);
        if is_near && heartbeat.beats.len() < MAX_BEATS {
            self.members.take_absence(now_ms, sender, &heartbeat.beats);
        }
        let mut asked = MembersRequest { keys, data_centres: Vec::new() };
        for head in heartbeat.heads {
            let data_centre = head.data_centre.clone();
            if self.members.take_head(now_ms, head) {
                asked.data_centres.push(data_centre);
            }
        }
        if let Some(summary) = heartbeat.summary {
            asked.data_centres.retain(|data_centre| *data_centre != summary.data_centre);
            asked.keys.extend(self.members.take_summary(now_ms, summary));
        }
        asked.keys.extend(self.members.missing());
        self.ask_members(sender, asked);
        self.take_loads(heartbeat.loads);
        self.leaving.take_digests(now_ms, heartbeat.list_age_ms, heartbeat.leaving_servers);
        self.leaving_servers = self.leaving.servers();
        if is_new {
            self.members.refresh_if_stale(now_ms);
            self.send_heartbeat(sender, Vec::new());
        }
    }

    pub(super) fn take_members_request(&mut self, from: &Holder, asked: &MembersRequest) {
        let members = self.members.answer(asked);
        if members != Members::default() {
            self.send(&from.instance, PeerMessage::Members(members));
        }
    }

    pub(super) fn take_members(&mut self, from: &Holder, members: Members) {
        let now_ms = self.now.monotonic_ms;
        let mut asked = MembersRequest::default();
        for summary in members.summaries {
            asked.keys.extend(self.members.take_summary(now_ms, summary));
        }
        let news = self.members.take_digests(now_ms, members.records);
        self.take_own_news(news);
        self.ask_members(&from.instance, asked);
    }

    pub(super) fn take_list(
        &mut self,
        listed: std::collections::BTreeMap<InstanceId, ListedInstance>,
    ) {
        let own = self.members.own_holder().instance;
        let is_leaving =
            listed.get(&own).is_some_and(|listed| listed.state == ListedState::Leaving);
        if is_leaving {
            self.members.leave();
        }
        self.members.take_list(listed);
        self.sync.note_list();
    }

    /// Loses trust in what was believed before a pause of this process.
    pub(super) fn wake(&mut self, slept_at_ms: Millis) {
        let now_ms = self.now.monotonic_ms;
        self.distrust_accounts(now_ms - slept_at_ms);
        self.members.wake(slept_at_ms, now_ms);
        self.members.refresh(now_ms);
        self.held_messages.clear();
        self.sync.restart(now_ms);
        (self.next_beat_ms, self.next_poll_ms) = (Millis::ZERO, Millis::ZERO);
        let is_asking =
            |stage: Stage| matches!(stage, Stage::AskingSlot { .. } | Stage::Asking { .. });
        let asking = self.flows.iter().filter(|(_, flow)| is_asking(flow.stage));
        let asking: Vec<_> = asking.map(|(request, _)| *request).collect();
        for request in asking {
            self.wait_again(request);
        }
    }

    fn send_heartbeat(&mut self, to: &InstanceId, records: Vec<crate::membership::MemberDigest>) {
        let now_ms = self.now.monotonic_ms;
        let own_data_centre = self.members.own_data_centre().clone();
        let is_local =
            self.members.data_centre_of(to).is_none_or(|there| *there == own_data_centre);
        let own = self.members.own_digest();
        let turn = own.beat;
        let mut heads = self.members.heads(now_ms);
        heads.extend(self.members.head_towards(to));
        let heartbeat = Heartbeat {
            records: if is_local { records } else { Vec::new() },
            beats: if is_local { self.members.beats() } else { Vec::new() },
            heads,
            summary: (!is_local).then(|| self.members.next_summary()),
            loads: self.load_digests(is_local, turn),
            list_age_ms: self.leaving.list_age_ms(now_ms),
            leaving_servers: self.leaving.digests(now_ms, turn),
            own,
        };
        self.send(to, PeerMessage::Heartbeat(Box::new(heartbeat)));
    }

    fn ask_members(&mut self, to: &InstanceId, mut asked: MembersRequest) {
        let now_ms = self.now.monotonic_ms;
        let is_unasked = |key: &MemberKey| !self.asked_keys.contains_key(key);
        asked.keys.retain(is_unasked);
        asked.keys.truncate(MAX_ASKED);
        self.asked_keys.extend(asked.keys.iter().map(|key| (*key, now_ms)));
        if asked != MembersRequest::default() {
            self.send(to, PeerMessage::MembersRequest(asked));
        }
    }

    fn take_own_news(&mut self, news: Option<OwnNews>) {
        match news {
            None => {}
            Some(OwnNews::Raised(incarnation)) => {
                let fields = vec![("incarnation", incarnation.to_string())];
                self.log("incarnation_raised", None, fields);
            }
            Some(OwnNews::Replaced(incarnation)) if !self.is_leaving => {
                let fields = vec![("by_incarnation", incarnation.to_string())];
                self.log("replaced", None, fields);
                self.shut_down();
            }
            Some(OwnNews::Replaced(_)) => {}
        }
    }

    fn take_loads(&mut self, loads: Vec<LoadDigest>) {
        for LoadDigest { server, load, age_ms } in loads {
            let learned_ms = self.now.monotonic_ms - age_ms;
            let is_older =
                self.loads.get(&server).is_some_and(|known| known.learned_ms >= learned_ms);
            if !is_older && !self.owns(&server) {
                self.loads.insert(server, KnownLoad { load, learned_ms });
            }
        }
    }

    /// Loads for a heartbeat: own servers in turn, then the newest of others, free ones first.
    fn load_digests(&self, is_local: bool, turn: u64) -> Vec<LoadDigest> {
        let now_ms = self.now.monotonic_ms;
        let mut own = Vec::new();
        let mut relayed = Vec::new();
        for (server, known) in &self.loads {
            let age_ms = now_ms - known.learned_ms;
            let digest = LoadDigest { server: server.clone(), load: known.load, age_ms };
            if self.owns(server) {
                own.push(digest);
                continue;
            }
            let is_told = is_local || self.is_in_own_data_centre(server);
            if is_told && age_ms <= RELAY_LIFE_MS {
                relayed.push(digest);
            }
        }
        relayed.sort_by_key(|digest| (digest.load.free_streams == Streams::ZERO, digest.age_ms));
        let members = self.members.members_of(self.members.own_data_centre()).len();
        let most = if members > LARGE_MEMBERS { MAX_LOADS_LARGE } else { MAX_LOADS };
        let wanted = MAX_OWN_LOADS.max(most.saturating_sub(relayed.len())).min(own.len());
        let start = turn as usize * wanted % own.len().max(1);
        own.rotate_left(start);
        own.truncate(wanted);
        let mut digests = own;
        relayed.truncate(most - digests.len());
        digests.extend(relayed);
        digests
    }

    /// Tells owners in other data centres that the streams held there have a live holder.
    fn keep_alive(&mut self) {
        let now_ms = self.now.monotonic_ms;
        if now_ms < self.next_keepalive_ms {
            return;
        }
        self.next_keepalive_ms = now_ms + KEEPALIVE_MS;
        let held: BTreeSet<&ServerId> =
            self.flows.values().filter_map(|flow| flow.decode_server.as_ref()).collect();
        let remote = held.into_iter().filter(|server| !self.is_in_own_data_centre(server));
        let owners: BTreeSet<_> = remote.flat_map(|server| self.members_in_line(server)).collect();
        for owner in owners {
            self.send(&owner, PeerMessage::Keepalive);
        }
    }
}
