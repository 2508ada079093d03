//! Orders to the engines that this instance owns: role changes and loading or unloading of weights.

use std::collections::{BTreeMap, BTreeSet};

use crate::action::Action;
use crate::config::document::ServerRole;
use crate::ids::ServerId;
use crate::leases::LeaseTable;
use crate::message::StreamOnServer;
use crate::node::Node;
use crate::placement::{
    DesiredState, EngineConstraints, EngineOrder, EngineSnapshot, OrderKind, desired_state,
    select_weights,
};
use crate::report::LoadReport;
use crate::units::{Bytes, BytesPerSecond, Millis};
use crate::weights::Weights;

/// Time between two rounds in which each owned engine may get an order.
const ORDER_INTERVAL_MS: Millis = Millis(500);

impl Node {
    /// Sets the rate at which the weight store serves the whole deployment.
    pub(super) fn handle_weight_rate(&mut self, rate: BytesPerSecond) {
        self.placement.weight_rate_bytes_per_second = rate;
    }

    /// Records an engine's role, weights and streams from a report, as input for its next orders.
    pub(super) fn record_engine_state(&mut self, server: &ServerId, report: &LoadReport) {
        let now_ms = self.now.monotonic_ms;
        let streams = self.placement.streams.entry(server.clone()).or_default();
        let leases = self.lease_tables.get(server).map(LeaseTable::leases);
        let leased = leases.into_iter().flat_map(|leases| leases.keys());
        let streams_held: BTreeSet<_> = report.held.keys().chain(leased).collect();
        streams.retain(now_ms, |stream| streams_held.contains(stream));
        let snapshot = EngineSnapshot {
            weights_in_use: streams.weights_in_use(),
            has_unknown_weights: streams_held.into_iter().any(|stream| !streams.contains(stream)),
            received_ms: now_ms,
            role: report.role,
            loaded_weights: report.loaded_weights(),
            fencing_number: report.fencing_number,
            holds_streams: !report.held.is_empty(),
        };
        self.placement.orders.record_snapshot(server.clone(), snapshot);
    }

    /// Whether an owned engine takes new work in the role that the configuration gives it now.
    pub(super) fn is_in_role(&self, server: &ServerId) -> bool {
        let server_config =
            self.config.in_force().and_then(|configuration| configuration.servers.get(server));
        let Some(server_config) = server_config else {
            return false;
        };
        let reported = self.placement.orders.reported_role(server);
        let is_role_current =
            reported.is_none_or(|role| role == server_config.role_at(self.now.wall_ms));
        is_role_current && !self.placement.orders.is_draining(server, self.now.monotonic_ms)
    }

    /// Whether an owned engine can't serve weights that are loaded by orders: it was reported
    /// without them, or has been ordered to unload them.
    pub(super) fn lacks_weights(&self, server: &ServerId, weights: Option<&Weights>) -> bool {
        let (Some(weights), Some(configuration)) = (weights, self.config.in_force()) else {
            return false;
        };
        let orders = &self.placement.orders;
        let is_missing = configuration.is_loaded_by_orders(weights)
            && orders.is_loaded(server, weights) == Some(false);
        is_missing || orders.is_unloading(server, self.now.monotonic_ms, weights)
    }

    pub(super) fn give_due_orders(&mut self) {
        if self.is_leaving || self.now.monotonic_ms < self.placement.next_check_ms {
            return;
        }
        self.placement.next_check_ms = self.now.monotonic_ms + ORDER_INTERVAL_MS;
        self.placement.lacking.expire(self.now.monotonic_ms);
        let share = self.weight_rate_share();
        let servers: Vec<_> = self.lease_tables.keys().cloned().collect();
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
        let server_config = configuration.servers.get(server)?;
        if server_config.role == ServerRole::Plain {
            return None;
        }
        let mut desired = desired_state(configuration, server, self.now.wall_ms)?;
        let memory_bytes = server_config.weights_memory_bytes;
        if let Some(memory_bytes) = memory_bytes {
            desired.weights =
                self.fitting_weights(server, &desired, memory_bytes, server_config.checks_fencing);
        }
        let checks_fencing = server_config.checks_fencing;
        let constraints =
            EngineConstraints { checks_fencing, memory_bytes, share_bytes_per_second: share };
        let order = self.placement.orders.next_order(
            self.now.monotonic_ms,
            server,
            &desired,
            constraints,
        )?;
        let changes_role = matches!(order.kind, OrderKind::ChangeRole { .. });
        let has_leases = self
            .lease_tables
            .get(server)
            .is_some_and(|lease_table| !lease_table.leases().is_empty());
        (!changes_role || !has_leases).then_some(order)
    }

    /// This instance's share of the weight store's rate. Each configured engine counts the same
    /// whoever owns it, so that instances that are cut off from each other never claim the same
    /// part of the rate.
    fn weight_rate_share(&self) -> BytesPerSecond {
        let servers = self
            .config
            .in_force()
            .into_iter()
            .flat_map(|configuration| configuration.servers.values());
        let engine_count =
            servers.filter(|server_config| server_config.role != ServerRole::Plain).count() as u64;
        let owned_count = self.owned_engines().len() as u64;
        let rate = u128::from(self.placement.weight_rate_bytes_per_second.0);
        let share = rate * u128::from(owned_count) / u128::from(engine_count.max(1));
        BytesPerSecond(u64::try_from(share).unwrap_or(u64::MAX))
    }

    /// The desired weights that fit into an engine's memory, most requested first. Weights loaded
    /// on an engine that ignores fencing numbers stay, because nothing may be unloaded from it.
    fn fitting_weights(
        &self,
        server: &ServerId,
        desired: &DesiredState,
        memory_bytes: Bytes,
        checks_fencing: bool,
    ) -> BTreeMap<Weights, Bytes> {
        let demand = self.placement.demand.get(server);
        let no_weights = BTreeSet::new();
        let loaded = self.placement.orders.loaded_weights(server).unwrap_or(&no_weights);
        let count = |weights: &Weights| {
            if !checks_fencing && loaded.contains(weights) {
                return f64::INFINITY;
            }
            demand.map_or(0.0, |demand| demand.decayed_request_count(weights))
        };
        select_weights(&desired.weights, memory_bytes, loaded, count)
    }

    /// Counts a request for weights at an owned engine with a configured weights memory, and
    /// records that its stream may use them.
    pub(super) fn record_weight_demand(
        &mut self,
        seat: &StreamOnServer,
        weights: Option<&Weights>,
    ) {
        let StreamOnServer { server, stream } = seat;
        let server_config =
            self.config.in_force().and_then(|configuration| configuration.servers.get(server));
        let has_memory =
            server_config.is_some_and(|server_config| server_config.weights_memory_bytes.is_some());
        let Some(weights) = weights.filter(|_| has_memory && self.owns(server)) else {
            return;
        };
        let now_ms = self.now.monotonic_ms;
        let demand = self.placement.demand.entry(server.clone()).or_default();
        demand.record_request(now_ms, stream, weights);
        if self.lacks_weights(server, Some(weights)) {
            return;
        }
        let streams = self.placement.streams.entry(server.clone()).or_default();
        streams.record_grant(now_ms, stream, weights);
    }

    fn give_order(&mut self, server: &ServerId, order: EngineOrder) {
        let fields = vec![
            ("server", server.to_string()),
            ("order", order.kind.to_string()),
            ("fencing_number", order.fencing_number.to_string()),
            ("config_version", self.config.version().to_string()),
        ];
        self.log("order", None, fields);
        let target = self.server_endpoint(server);
        self.actions.extend(target.map(|target| Action::Order { target, order }));
    }
}
