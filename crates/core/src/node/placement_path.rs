//! Orders to the engines that this node owns.

use std::collections::{BTreeMap, BTreeSet};

use crate::action::Action;
use crate::config::document::ServerRole;
use crate::ids::ServerId;
use crate::message::StreamOnServer;
use crate::node::Node;
use crate::placement::{Desired, EngineOrder, Look, OrderKind, Terms, desired_state, fit};
use crate::report::LoadReport;
use crate::seats::SeatLedger;
use crate::units::{Bytes, BytesPerSecond, Millis};
use crate::weights::Weights;

/// Time between looks for orders to give.
const PLACEMENT_MS: Millis = Millis(500);

impl Node {
    /// Takes the rate that the weight store gives to the whole deployment.
    pub(super) fn take_weight_rate(&mut self, rate: BytesPerSecond) {
        self.placement.weight_rate_bytes_per_second = rate;
    }

    /// Takes the part of a report that orders depend on.
    pub(super) fn note_look(&mut self, server: &ServerId, report: &LoadReport) {
        let now_ms = self.now.monotonic_ms;
        let streams = self.placement.streams.entry(server.clone()).or_default();
        let leases = self.ledgers.get(server).map(SeatLedger::leases);
        let leased = leases.into_iter().flat_map(|leases| leases.keys());
        let streams_held: BTreeSet<_> = report.held.keys().chain(leased).collect();
        streams.retain(now_ms, |stream| streams_held.contains(stream));
        let look = Look {
            in_use: streams.in_use(),
            has_unknown: streams_held.into_iter().any(|stream| !streams.knows(stream)),
            learned_ms: now_ms,
            role: report.role,
            loaded: report.loaded_weights(),
            fencing_number: report.fencing_number,
            is_holding: !report.held.is_empty(),
        };
        self.placement.orders.look(server.clone(), look);
    }

    /// Whether an owned engine takes new work in its present role.
    pub(super) fn is_in_role(&self, server: &ServerId) -> bool {
        let known = self.config.in_force().and_then(|found| found.servers.get(server));
        let Some(known) = known else {
            return false;
        };
        let reported = self.placement.orders.reported_role(server);
        let is_right = reported.is_none_or(|role| role == known.role_at(self.now.wall_ms));
        is_right && !self.placement.orders.is_draining(server, self.now.monotonic_ms)
    }

    /// Whether an owned engine was reported without weights that are loaded by orders.
    pub(super) fn is_without(&self, server: &ServerId, weights: Option<&Weights>) -> bool {
        let (Some(weights), Some(configuration)) = (weights, self.config.in_force()) else {
            return false;
        };
        let orders = &self.placement.orders;
        let is_missing = configuration.is_loaded_by_orders(weights)
            && orders.is_loaded(server, weights) == Some(false);
        is_missing || orders.is_unloading(server, self.now.monotonic_ms, weights)
    }

    /// Gives the orders that are due.
    pub(super) fn place(&mut self) {
        if self.is_leaving || self.now.monotonic_ms < self.placement.next_ms {
            return;
        }
        self.placement.next_ms = self.now.monotonic_ms + PLACEMENT_MS;
        self.placement.lacking.expire(self.now.monotonic_ms);
        let share = self.weight_share();
        let servers: Vec<_> = self.ledgers.keys().cloned().collect();
        for server in servers {
            if !self.owns(&server) {
                self.placement.orders.forget(&server);
                self.placement.demand.remove(&server);
                self.placement.streams.remove(&server);
                continue;
            }
            if let Some(order) = self.next_order(&server, share) {
                self.give_order(&server, order);
            }
        }
    }

    fn next_order(&mut self, server: &ServerId, share: BytesPerSecond) -> Option<EngineOrder> {
        let configuration = self.config.in_force()?;
        let known = configuration.servers.get(server)?;
        if known.role == ServerRole::Plain {
            return None;
        }
        let mut desired = desired_state(configuration, server, self.now.wall_ms)?;
        let memory_bytes = known.weights_memory_bytes;
        if let Some(memory_bytes) = memory_bytes {
            desired.weights = self.fitting(server, &desired, memory_bytes, known.checks_fencing);
        }
        let checks_fencing = known.checks_fencing;
        let terms = Terms { checks_fencing, memory_bytes, share_bytes_per_second: share };
        let order =
            self.placement.orders.next_order(self.now.monotonic_ms, server, &desired, terms)?;
        let changes_role = matches!(order.kind, OrderKind::ChangeRole { .. });
        let has_leases = self.ledgers.get(server).is_some_and(|held| !held.leases().is_empty());
        (!changes_role || !has_leases).then_some(order)
    }

    /// The share of the weight store's rate of this owner's engines: the same for each engine of
    /// the configuration, whoever is its owner, so that those who are cut off from each other
    /// don't count on the same part.
    fn weight_share(&self) -> BytesPerSecond {
        let servers = self.config.in_force().into_iter().flat_map(|known| known.servers.values());
        let all = servers.filter(|known| known.role != ServerRole::Plain).count() as u64;
        let own = self.owned_engines().len() as u64;
        let rate = u128::from(self.placement.weight_rate_bytes_per_second.0);
        let share = rate * u128::from(own) / u128::from(all.max(1));
        BytesPerSecond(u64::try_from(share).unwrap_or(u64::MAX))
    }

    /// What fits, by demand; what an engine that ignores fencing numbers has loaded stays.
    fn fitting(
        &self,
        server: &ServerId,
        desired: &Desired,
        memory_bytes: Bytes,
        checks_fencing: bool,
    ) -> BTreeMap<Weights, Bytes> {
        let demand = self.placement.demand.get(server);
        let nothing = BTreeSet::new();
        let loaded = self.placement.orders.loaded(server).unwrap_or(&nothing);
        let count = |weights: &Weights| {
            if !checks_fencing && loaded.contains(weights) {
                return f64::INFINITY;
            }
            demand.map_or(0.0, |demand| demand.count(weights))
        };
        fit(&desired.weights, memory_bytes, loaded, count)
    }

    /// Counts a request for weights at an owned engine whose memory for them is configured, and
    /// the stream that may use them.
    pub(super) fn note_weights(&mut self, seat: &StreamOnServer, weights: Option<&Weights>) {
        let StreamOnServer { server, stream } = seat;
        let known = self.config.in_force().and_then(|known| known.servers.get(server));
        let has_memory = known.is_some_and(|known| known.weights_memory_bytes.is_some());
        let Some(weights) = weights.filter(|_| has_memory && self.owns(server)) else {
            return;
        };
        let now_ms = self.now.monotonic_ms;
        let demand = self.placement.demand.entry(server.clone()).or_default();
        demand.note(now_ms, stream, weights);
        if self.is_without(server, Some(weights)) {
            return;
        }
        let streams = self.placement.streams.entry(server.clone()).or_default();
        streams.grant(now_ms, stream, weights);
    }

    fn give_order(&mut self, server: &ServerId, order: EngineOrder) {
        let fields = vec![
            ("server", server.to_string()),
            ("order", order.kind.to_string()),
            ("fencing_number", order.fencing_number.to_string()),
            ("config_version", self.config.version().to_string()),
        ];
        self.log("order", None, fields);
        let target = self.target(server);
        self.actions.extend(target.map(|target| Action::Order { target, order }));
    }
}
