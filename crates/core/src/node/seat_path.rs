//! The owner's side of seats: reports, grants, renewals and the end of leases.

use std::collections::BTreeMap;

use crate::action::Action;
use crate::ids::{InstanceId, ServerId};
use crate::membership::{ServerLoad, rendezvous};
use crate::message::{PeerMessage, SeatReply, SeatRequest, StreamOnServer};
use crate::node::{KnownLoad, Node};
use crate::report::{Holder, LoadReport};
use crate::seats::{SeatLedger, SeatLimits};
use crate::units::Millis;

/// Time between polls of a server's report.
const POLL_MS: Millis = Millis(500);

/// Members in line for a server that hear of streams held there.
const MEMBERS_IN_LINE: usize = 3;

/// Time between two claims of one stream that was taken over.
const CLAIM_MS: Millis = Millis(1_000);

impl Node {
    pub(super) fn poll_servers(&mut self) {
        if self.now.monotonic_ms < self.next_poll_ms {
            return;
        }
        self.next_poll_ms = self.now.monotonic_ms + POLL_MS;
        let owned = &self.owned;
        self.ledgers.retain(|server, _| owned.contains(server));
        for server in self.owned_engines() {
            let target = self.target(&server);
            self.actions.extend(target.map(Action::Poll));
        }
    }

    pub(super) fn take_report(&mut self, server: &ServerId, report: &LoadReport) {
        if !self.owns(server) {
            return;
        }
        let now_ms = self.now.monotonic_ms;
        let limits =
            SeatLimits { streams: report.stream_limit_streams, pieces: report.kv_total_pieces };
        let ledger = self.ledgers.entry(server.clone()).or_insert_with(|| SeatLedger::new(limits));
        ledger.reconcile(now_ms, report);
        let free = ledger.free();
        let queued_tokens = self.queued_tokens(server, report.queued_tokens);
        let load =
            ServerLoad { free_streams: free.streams, free_pieces: free.pieces, queued_tokens };
        self.loads.insert(server.clone(), KnownLoad { load, learned_ms: now_ms });
        self.note_look(server, report);
    }

    pub(super) fn take_report_failed(&mut self, server: &ServerId) {
        if self.loads.remove(server).is_some() {
            self.log("server_silent", None, vec![("server", server.to_string())]);
        }
    }

    pub(super) fn take_seat_request(&mut self, from: &Holder, asked: SeatRequest) {
        self.note_weights(&asked.seat, asked.weights.as_ref());
        if asked.latest_in_ms > Millis::ZERO {
            self.take_slot_request(from, asked);
            return;
        }
        let is_granted = self.grant(from, &asked);
        let fields = vec![
            ("server", asked.seat.server.to_string()),
            ("stream", asked.seat.stream.to_string()),
            ("holder", from.instance.to_string()),
            ("granted", is_granted.to_string()),
        ];
        self.log("seat", None, fields);
        let is_lacking = self.is_without(&asked.seat.server, asked.weights.as_ref());
        let (request, seat) = (asked.request, asked.seat);
        let (is_queued, wait_ms) = (false, Millis::ZERO);
        self.reply(from, SeatReply { request, seat, is_granted, is_queued, wait_ms, is_lacking });
    }

    pub(super) fn reply(&mut self, to: &Holder, reply: SeatReply) {
        if *to == self.members.own_holder() {
            self.take_seat_reply(reply);
            return;
        }
        self.send(&to.instance, PeerMessage::SeatReply(reply));
    }

    pub(super) fn take_release(&mut self, from: &Holder, seat: &StreamOnServer) {
        let now_ms = self.now.monotonic_ms;
        self.release_turn(from, seat);
        let Some(ledger) = self.ledgers.get_mut(&seat.server) else {
            return;
        };
        let is_holder =
            ledger.leases().get(&seat.stream).is_some_and(|lease| lease.holder == *from);
        if is_holder {
            ledger.release(now_ms, &seat.stream);
            self.note_free_seats(&seat.server);
        }
    }

    pub(super) fn take_claim(&mut self, from: &Holder, seat: &StreamOnServer) {
        let now_ms = self.now.monotonic_ms;
        if let Some(ledger) = self.ledgers.get_mut(&seat.server) {
            ledger.take_over(now_ms, &seat.stream, from);
        }
    }

    pub(super) fn expire_leases(&mut self) {
        let now_ms = self.now.monotonic_ms;
        let members = &self.members;
        let mut ended = Vec::new();
        for (server, ledger) in &mut self.ledgers {
            for (stream, holder) in ledger.expire(now_ms, |holder| members.is_live(holder, now_ms))
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
            self.note_free_seats(&server);
            let target = self.target(&server);
            self.actions.extend(target.map(|target| Action::Cancel { target, stream, holder }));
        }
    }

    /// Asks holders whether they still have the requests of their leases.
    pub(super) fn check_leases(&mut self) {
        let now_ms = self.now.monotonic_ms;
        let mut due: BTreeMap<Holder, Vec<StreamOnServer>> = BTreeMap::new();
        for (server, ledger) in &mut self.ledgers {
            for (stream, holder) in ledger.due_checks(now_ms) {
                let seat = StreamOnServer { server: server.clone(), stream };
                due.entry(holder).or_default().push(seat);
            }
        }
        let own = self.members.own_holder();
        for (holder, seats) in due {
            if holder == own {
                self.take_lease_check(&own, seats);
                continue;
            }
            if self.members.is_live(&holder, now_ms) {
                self.send(&holder.instance, PeerMessage::LeaseCheck(seats));
            }
        }
    }

    /// Gives back what is held in this node's name without a request behind it.
    pub(super) fn take_lease_check(&mut self, owner: &Holder, seats: Vec<StreamOnServer>) {
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
            let target = self.target(&seat.server);
            self.actions.extend(target.map(|target| Action::Cancel { target, stream, holder }));
            if *owner == own {
                self.take_release(&own, &seat);
                continue;
            }
            self.send(&owner.instance, PeerMessage::Release(seat));
        }
    }

    /// Tells owners again which streams this node took over.
    pub(super) fn repeat_claims(&mut self) {
        if self.now.monotonic_ms < self.next_claim_ms {
            return;
        }
        self.next_claim_ms = self.now.monotonic_ms + CLAIM_MS;
        let mut seats = Vec::new();
        for flow in self.flows.values().filter(|flow| flow.is_taken_over) {
            let Some(server) = flow.decode_server.clone() else {
                continue;
            };
            seats.push(StreamOnServer { server, stream: flow.stream.clone() });
        }
        for seat in seats {
            self.claim(seat);
        }
    }

    /// Claims a stream at the members in line for its engine.
    pub(super) fn claim(&mut self, seat: StreamOnServer) {
        let own = self.members.own_holder();
        let members = self.members_in_line(&seat.server);
        if members.is_empty() {
            self.tell_owner(&seat.server.clone(), PeerMessage::Claim(seat));
            return;
        }
        for member in members {
            if member == own.instance {
                self.take_claim(&own, &seat);
                continue;
            }
            self.send(&member, PeerMessage::Claim(seat.clone()));
        }
    }

    /// The first members, heard or listed, in line for a server: views of who is its owner may
    /// differ for longer than a lease lasts.
    pub(super) fn members_in_line(&self, server: &ServerId) -> Vec<InstanceId> {
        let servers = self.config.in_force().map(|configuration| &configuration.servers);
        let Some(known) = servers.and_then(|servers| servers.get(server)) else {
            return Vec::new();
        };
        let members = self.members.possible_members_of(&known.data_centre);
        let first = rendezvous::first(server.as_str(), members, MEMBERS_IN_LINE);
        first.into_iter().cloned().collect()
    }

    /// Drops accounts after a pause: what they say of others may be long over. They are built
    /// anew from the next reports.
    pub(super) fn distrust_accounts(&mut self, gap_ms: Millis) {
        self.log("paused", None, vec![("gap_ms", gap_ms.0.to_string())]);
        self.ledgers.clear();
        self.admission.queues.clear();
        self.loads.clear();
        self.placement.orders.forget_looks();
    }

    fn grant(&mut self, from: &Holder, asked: &SeatRequest) -> bool {
        let server = &asked.seat.server;
        let is_usable = !self.leaving_servers.contains(server)
            && self.is_in_role(server)
            && !self.is_without(server, asked.weights.as_ref());
        if !self.sync.is_done() || !self.owns(server) || !is_usable {
            return false;
        }
        let now_ms = self.now.monotonic_ms;
        let Some(ledger) = self.ledgers.get_mut(server) else {
            return false;
        };
        let is_granted = ledger.grant(now_ms, &asked.seat.stream, from, asked.kv_pieces);
        self.note_free_seats(server);
        is_granted
    }

    fn note_free_seats(&mut self, server: &ServerId) {
        let Some(free) = self.ledgers.get(server).map(SeatLedger::free) else {
            return;
        };
        if let Some(known) = self.loads.get_mut(server) {
            known.load.free_streams = free.streams;
            known.load.free_pieces = free.pieces;
        }
    }
}
