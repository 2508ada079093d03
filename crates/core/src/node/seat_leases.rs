//! The owner's side of seats: reports of owned engines, and granting, renewing, checking and ending
//! of leases.

use std::collections::BTreeMap;

use crate::action::Action;
use crate::ids::{InstanceId, ServerId};
use crate::leases::{EngineCapacity, LeaseTable};
use crate::membership::{ServerLoad, rendezvous};
use crate::message::{PeerMessage, SeatReply, SeatRequest, StreamOnServer};
use crate::node::{KnownLoad, Node};
use crate::report::{Holder, LoadReport};
use crate::units::Millis;

const POLL_INTERVAL_MS: Millis = Millis(500);

/// Number of members, the first in the rendezvous order of a server, that get claims
/// and keepalives for the streams on it.
const MAX_OWNER_CANDIDATES: usize = 3;

/// Time between two claims of a stream that was taken over.
const CLAIM_INTERVAL_MS: Millis = Millis(1_000);

impl Node {
    pub(super) fn poll_owned_engines(&mut self) {
        if self.now.monotonic_ms < self.next_poll_ms {
            return;
        }
        self.next_poll_ms = self.now.monotonic_ms + POLL_INTERVAL_MS;
        let owned = &self.owned_servers;
        self.lease_tables.retain(|server, _| owned.contains(server));
        for server in self.owned_engines() {
            let target = self.server_endpoint(&server);
            self.actions.extend(target.map(Action::Poll));
        }
    }

    pub(super) fn handle_report(&mut self, server: &ServerId, report: &LoadReport) {
        if !self.owns(server) {
            return;
        }
        let now_ms = self.now.monotonic_ms;
        let limits =
            EngineCapacity { streams: report.stream_limit_streams, pieces: report.kv_total_pieces };
        let lease_table =
            self.lease_tables.entry(server.clone()).or_insert_with(|| LeaseTable::new(limits));
        lease_table.reconcile(now_ms, report);
        let free = lease_table.free();
        let queued_tokens = self.queued_prompt_tokens(server, report.queued_tokens);
        let load =
            ServerLoad { free_streams: free.streams, free_pieces: free.pieces, queued_tokens };
        self.server_loads.insert(server.clone(), KnownLoad { load, computed_ms: now_ms });
        self.record_engine_state(server, report);
    }

    pub(super) fn handle_report_failed(&mut self, server: &ServerId) {
        if self.server_loads.remove(server).is_some() {
            self.log("server_silent", None, vec![("server", server.to_string())]);
        }
    }

    pub(super) fn handle_seat_request(&mut self, from: &Holder, seat_request: SeatRequest) {
        self.record_weight_demand(&seat_request.seat, seat_request.weights.as_ref());
        if seat_request.latest_in_ms > Millis::ZERO {
            self.handle_slot_request(from, seat_request);
            return;
        }
        let is_granted = self.grant_seat(from, &seat_request);
        let fields = vec![
            ("server", seat_request.seat.server.to_string()),
            ("stream", seat_request.seat.stream.to_string()),
            ("holder", from.instance.to_string()),
            ("granted", is_granted.to_string()),
        ];
        self.log("seat", None, fields);
        let is_lacking =
            self.lacks_weights(&seat_request.seat.server, seat_request.weights.as_ref());
        let (request, seat) = (seat_request.request, seat_request.seat);
        let (is_queued, wait_ms) = (false, Millis::ZERO);
        self.send_seat_reply(
            from,
            SeatReply { request, seat, is_granted, is_queued, wait_ms, is_lacking },
        );
    }

    pub(super) fn send_seat_reply(&mut self, to: &Holder, reply: SeatReply) {
        if *to == self.members.own_holder() {
            self.handle_seat_reply(reply);
            return;
        }
        self.send_to_peer(&to.instance, PeerMessage::SeatReply(reply));
    }

    pub(super) fn handle_release(&mut self, from: &Holder, seat: &StreamOnServer) {
        let now_ms = self.now.monotonic_ms;
        self.release_owned_slot(from, seat);
        let Some(lease_table) = self.lease_tables.get_mut(&seat.server) else {
            return;
        };
        let is_holder =
            lease_table.leases().get(&seat.stream).is_some_and(|lease| lease.holder == *from);
        if is_holder {
            lease_table.release(now_ms, &seat.stream);
            self.update_free_capacity(&seat.server);
        }
    }

    pub(super) fn handle_claim(&mut self, from: &Holder, seat: &StreamOnServer) {
        let now_ms = self.now.monotonic_ms;
        if let Some(lease_table) = self.lease_tables.get_mut(&seat.server) {
            lease_table.take_over(now_ms, &seat.stream, from);
        }
    }

    pub(super) fn expire_leases(&mut self) {
        let now_ms = self.now.monotonic_ms;
        let members = &self.members;
        let mut ended = Vec::new();
        for (server, lease_table) in &mut self.lease_tables {
            for (stream, holder) in
                lease_table.expire(now_ms, |holder| members.is_live(holder, now_ms))
            {
                ended.push((server.clone(), stream, holder));
            }
        }
        for (server, stream, holder) in ended {
            let fields = vec![
                ("server", server.to_string()),
                ("stream", stream.to_string()),
                ("holder", holder.instance.to_string()),
            ];
            self.log("lease_ended", None, fields);
            self.update_free_capacity(&server);
            let target = self.server_endpoint(&server);
            self.actions.extend(target.map(|target| Action::Cancel { target, stream, holder }));
        }
    }

    /// Asks holders whether they still have the requests of their leases.
    pub(super) fn send_lease_checks(&mut self) {
        let now_ms = self.now.monotonic_ms;
        let mut due: BTreeMap<Holder, Vec<StreamOnServer>> = BTreeMap::new();
        for (server, lease_table) in &mut self.lease_tables {
            for (stream, holder) in lease_table.take_due_lease_checks(now_ms) {
                let seat = StreamOnServer { server: server.clone(), stream };
                due.entry(holder).or_default().push(seat);
            }
        }
        let own = self.members.own_holder();
        for (holder, seats) in due {
            if holder == own {
                self.handle_lease_check(&own, seats);
                continue;
            }
            if self.members.is_live(&holder, now_ms) {
                self.send_to_peer(&holder.instance, PeerMessage::LeaseCheck(seats));
            }
        }
    }

    /// Releases the leases that the owner records for this instance and that no request uses.
    pub(super) fn handle_lease_check(&mut self, owner: &Holder, seats: Vec<StreamOnServer>) {
        let own = self.members.own_holder();
        for seat in seats {
            let has_request = self
                .flows
                .values()
                .any(|flow| flow.stream == seat.stream && flow.may_hold_memory_at(&seat.server));
            if has_request {
                continue;
            }
            let fields =
                vec![("server", seat.server.to_string()), ("stream", seat.stream.to_string())];
            self.log("lease_without_request", None, fields);
            let (stream, holder) = (seat.stream.clone(), own.clone());
            let target = self.server_endpoint(&seat.server);
            self.actions.extend(target.map(|target| Action::Cancel { target, stream, holder }));
            if *owner == own {
                self.handle_release(&own, &seat);
                continue;
            }
            self.send_to_peer(&owner.instance, PeerMessage::Release(seat));
        }
    }

    /// Repeats the claims of streams that this instance took over.
    pub(super) fn repeat_claims(&mut self) {
        if self.now.monotonic_ms < self.next_claim_ms {
            return;
        }
        self.next_claim_ms = self.now.monotonic_ms + CLAIM_INTERVAL_MS;
        let mut seats = Vec::new();
        for flow in self.flows.values().filter(|flow| flow.is_taken_over) {
            let Some(server) = flow.decode_server.clone() else {
                continue;
            };
            seats.push(StreamOnServer { server, stream: flow.stream.clone() });
        }
        for seat in seats {
            self.send_claim(seat);
        }
    }

    /// Claims a stream at each owner candidate of its engine.
    pub(super) fn send_claim(&mut self, seat: StreamOnServer) {
        let own = self.members.own_holder();
        let members = self.owner_candidates(&seat.server);
        if members.is_empty() {
            self.send_to_owner(&seat.server.clone(), PeerMessage::Claim(seat));
            return;
        }
        for member in members {
            if member == own.instance {
                self.handle_claim(&own, &seat);
                continue;
            }
            self.send_to_peer(&member, PeerMessage::Claim(seat.clone()));
        }
    }

    /// The first members in the rendezvous order of a server, whether heard from or only listed by
    /// the platform. Several are told about streams because members may disagree on the owner for
    /// longer than a lease lasts.
    pub(super) fn owner_candidates(&self, server: &ServerId) -> Vec<InstanceId> {
        let servers = self.config.in_force().map(|configuration| &configuration.servers);
        let Some(server_config) = servers.and_then(|servers| servers.get(server)) else {
            return Vec::new();
        };
        let members = self.members.possible_members_of(&server_config.data_centre);
        let candidates = rendezvous::top_members(server.as_str(), members, MAX_OWNER_CANDIDATES);
        candidates.into_iter().cloned().collect()
    }

    /// Discards leases, queues and loads after a pause, since they may be outdated. They are
    /// rebuilt from the next reports.
    pub(super) fn discard_server_state(&mut self, pause_ms: Millis) {
        self.log("paused", None, vec![("gap_ms", pause_ms.0.to_string())]);
        self.lease_tables.clear();
        self.admission.queues.clear();
        self.server_loads.clear();
        self.placement.orders.forget_snapshots();
    }

    fn grant_seat(&mut self, from: &Holder, seat_request: &SeatRequest) -> bool {
        let server = &seat_request.seat.server;
        let is_usable = !self.leaving_servers.contains(server)
            && self.is_in_role(server)
            && !self.lacks_weights(server, seat_request.weights.as_ref());
        if !self.catch_up.is_complete() || !self.owns(server) || !is_usable {
            return false;
        }
        let now_ms = self.now.monotonic_ms;
        let Some(lease_table) = self.lease_tables.get_mut(server) else {
            return false;
        };
        let is_granted =
            lease_table.grant(now_ms, &seat_request.seat.stream, from, seat_request.kv_pieces);
        self.update_free_capacity(server);
        is_granted
    }

    fn update_free_capacity(&mut self, server: &ServerId) {
        let Some(free) = self.lease_tables.get(server).map(LeaseTable::free) else {
            return;
        };
        if let Some(known_load) = self.server_loads.get_mut(server) {
            known_load.load.free_streams = free.streams;
            known_load.load.free_pieces = free.pieces;
        }
    }
}
