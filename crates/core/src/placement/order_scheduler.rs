//! Decides when an owner gives which order to its engines.
//!
//! An order is given only on a fresh report, and some time after the last order to the same engine.
//! Loads share the rate of the weight store: each owner runs one load at a time and plans with its
//! share of the rate. A role changes only after another role has been desired for some time and the
//! engine holds no stream.

use std::collections::{BTreeMap, BTreeSet};

use crate::config::document::ServerRole;
use crate::ids::{FencingNumber, ServerId};
use crate::placement::desired_state::DesiredState;
use crate::placement::order::{EngineOrder, OrderKind};
use crate::units::{Bytes, BytesPerSecond, Millis};
use crate::weights::Weights;

/// No order is based on an older report.
const MAX_REPORT_AGE_MS: Millis = Millis(1_500);
/// Time between two orders to one engine.
const MIN_ORDER_INTERVAL_MS: Millis = Millis(2_000);
/// Time for which another role must be desired before the role changes.
const ROLE_HYSTERESIS_MS: Millis = Millis(10_000);
/// Time for which loaded weights must be undesired before they are unloaded.
const UNLOAD_HYSTERESIS_MS: Millis = Millis(30_000);
const MS_PER_SECOND: u64 = 1_000;

/// What an engine reported last, as far as orders depend on it.
#[expect(missing_docs, reason = "the names say it")]
#[derive(Clone, Debug)]
pub struct EngineSnapshot {
    /// When the report arrived.
    pub received_ms: Millis,
    /// `None` if the engine does not report its role.
    pub role: Option<ServerRole>,
    /// Versions and adapters that are loaded.
    pub loaded_weights: BTreeSet<Weights>,
    /// Highest fencing number that the engine accepted.
    pub fencing_number: FencingNumber,
    pub holds_streams: bool,
    /// Weights that its streams use, as far as known.
    pub weights_in_use: BTreeSet<Weights>,
    /// Whether it holds streams whose weights are not known.
    pub has_unknown_weights: bool,
}

/// Limits on the orders to an engine, from configuration and membership.
#[derive(Clone, Copy, Debug)]
pub struct EngineConstraints {
    /// Whether the engine refuses orders with an old fencing number.
    pub checks_fencing: bool,
    /// Memory for weights; `None` if the configuration names none.
    pub memory_bytes: Option<Bytes>,
    /// This owner's share of the weight store's rate; zero prevents loads.
    pub share_bytes_per_second: BytesPerSecond,
}

/// Reports of the engines that an owner has, and when it may give the next orders.
#[derive(Clone, Debug, Default)]
pub struct OrderScheduler {
    snapshots: BTreeMap<ServerId, EngineSnapshot>,
    next_order_ms: BTreeMap<ServerId, Millis>,
    /// Desired role that differs from the reported one, and since when.
    role_change_wanted_since_ms: BTreeMap<ServerId, (ServerRole, Millis)>,
    /// Loaded weights that are not desired, and since when.
    unload_wanted_since_ms: BTreeMap<ServerId, BTreeMap<Weights, Millis>>,
    /// When the running load should have ended, so that the next one may start.
    next_load_ms: Millis,
}

impl OrderScheduler {
    /// Replaces what an engine reported.
    pub fn record_snapshot(&mut self, server: ServerId, snapshot: EngineSnapshot) {
        self.snapshots.insert(server, snapshot);
    }

    /// Forgets an engine that has another owner now.
    pub fn forget(&mut self, server: &ServerId) {
        self.snapshots.remove(server);
        self.role_change_wanted_since_ms.remove(server);
        self.unload_wanted_since_ms.remove(server);
    }

    /// Forgets every report, for instance after a pause, so that no order is given before a fresh
    /// one.
    pub fn forget_snapshots(&mut self) {
        self.snapshots.clear();
        self.role_change_wanted_since_ms.clear();
        self.unload_wanted_since_ms.clear();
    }

    /// Whether an engine should take no new streams, since its role is about to change.
    pub fn is_draining(&self, server: &ServerId, now_ms: Millis) -> bool {
        let wanted = self.role_change_wanted_since_ms.get(server);
        wanted.is_some_and(|(_, since_ms)| now_ms - *since_ms >= ROLE_HYSTERESIS_MS)
    }

    /// Whether weights are reported as loaded; `None` without a report.
    pub fn is_loaded(&self, server: &ServerId, weights: &Weights) -> Option<bool> {
        self.snapshots.get(server).map(|snapshot| snapshot.loaded_weights.contains(weights))
    }

    /// Whether weights should take no new work, since they are about to be unloaded.
    pub fn is_unloading(&self, server: &ServerId, now_ms: Millis, weights: &Weights) -> bool {
        let unwanted = self.unload_wanted_since_ms.get(server);
        let since_ms = unwanted.and_then(|unwanted| unwanted.get(weights));
        since_ms.is_some_and(|since_ms| now_ms - *since_ms >= UNLOAD_HYSTERESIS_MS)
    }

    /// What an engine reported as loaded; `None` without a report.
    pub fn loaded_weights(&self, server: &ServerId) -> Option<&BTreeSet<Weights>> {
        self.snapshots.get(server).map(|snapshot| &snapshot.loaded_weights)
    }

    /// The role that an engine reported; `None` without a report or a role in it.
    pub fn reported_role(&self, server: &ServerId) -> Option<ServerRole> {
        self.snapshots.get(server)?.role
    }

    /// The next order to an engine, if one is due.
    pub fn next_order(
        &mut self,
        now_ms: Millis,
        server: &ServerId,
        desired: &DesiredState,
        constraints: EngineConstraints,
    ) -> Option<EngineOrder> {
        let snapshot = self.snapshots.get(server)?.clone();
        let is_fresh = now_ms - snapshot.received_ms < MAX_REPORT_AGE_MS;
        let is_spaced = self.next_order_ms.get(server).is_none_or(|next_ms| now_ms >= *next_ms);
        self.update_wanted_role(now_ms, server, &snapshot, desired, constraints);
        self.update_unwanted_weights(now_ms, server, &snapshot, desired, constraints);
        if !is_fresh || !is_spaced {
            return None;
        }
        let kind = self
            .role_order(now_ms, server, &snapshot)
            .or_else(|| self.unload_order(now_ms, server, &snapshot))
            .or_else(|| self.load_order(now_ms, &snapshot, desired, constraints))?;
        assert!(
            constraints.checks_fencing || matches!(kind, OrderKind::Load(_)),
            "ordered more than a load at an engine that ignores fencing numbers"
        );
        self.next_order_ms.insert(server.clone(), now_ms + MIN_ORDER_INTERVAL_MS);
        let fencing_number = FencingNumber(snapshot.fencing_number.0 + 1);
        Some(EngineOrder { fencing_number, kind })
    }

    fn update_wanted_role(
        &mut self,
        now_ms: Millis,
        server: &ServerId,
        snapshot: &EngineSnapshot,
        desired: &DesiredState,
        constraints: EngineConstraints,
    ) {
        let is_wanted = snapshot.role.is_some_and(|role| role != desired.role);
        if !is_wanted || !constraints.checks_fencing {
            self.role_change_wanted_since_ms.remove(server);
            return;
        }
        let wanted = self
            .role_change_wanted_since_ms
            .entry(server.clone())
            .or_insert((desired.role, now_ms));
        if wanted.0 != desired.role {
            *wanted = (desired.role, now_ms);
        }
    }

    fn role_order(
        &self,
        now_ms: Millis,
        server: &ServerId,
        snapshot: &EngineSnapshot,
    ) -> Option<OrderKind> {
        let (role, _) = *self.role_change_wanted_since_ms.get(server)?;
        let is_drained = self.is_draining(server, now_ms) && !snapshot.holds_streams;
        is_drained.then_some(OrderKind::ChangeRole { role })
    }

    /// Only engines that check fencing numbers and whose memory is configured are unloaded.
    fn update_unwanted_weights(
        &mut self,
        now_ms: Millis,
        server: &ServerId,
        snapshot: &EngineSnapshot,
        desired: &DesiredState,
        constraints: EngineConstraints,
    ) {
        if constraints.memory_bytes.is_none() || !constraints.checks_fencing {
            self.unload_wanted_since_ms.remove(server);
            return;
        }
        let is_surplus = |weights: &Weights| {
            !desired.weights.contains_key(weights) && !desired.externally_managed.contains(weights)
        };
        let unwanted = self.unload_wanted_since_ms.entry(server.clone()).or_default();
        unwanted
            .retain(|weights, _| snapshot.loaded_weights.contains(weights) && is_surplus(weights));
        for weights in snapshot.loaded_weights.iter().filter(|weights| is_surplus(weights)) {
            unwanted.entry(weights.clone()).or_insert(now_ms);
        }
    }

    /// Unloads adapters before their version, and nothing that a stream may use.
    fn unload_order(
        &self,
        now_ms: Millis,
        server: &ServerId,
        snapshot: &EngineSnapshot,
    ) -> Option<OrderKind> {
        if snapshot.has_unknown_weights {
            return None;
        }
        for weights in self.unload_wanted_since_ms.get(server)?.keys().rev() {
            let has_adapters = snapshot.loaded_weights.iter().any(|other| {
                other.adapter.is_some() && weights.adapter.is_none() && other.base() == *weights
            });
            let is_drained = self.is_unloading(server, now_ms, weights)
                && !snapshot.weights_in_use.contains(weights)
                && !has_adapters;
            if is_drained {
                return Some(OrderKind::Unload(weights.clone()));
            }
        }
        None
    }

    fn load_order(
        &mut self,
        now_ms: Millis,
        snapshot: &EngineSnapshot,
        desired: &DesiredState,
        constraints: EngineConstraints,
    ) -> Option<OrderKind> {
        if now_ms < self.next_load_ms || constraints.share_bytes_per_second.0 == 0 {
            return None;
        }
        let mut missing = desired
            .weights
            .iter()
            .filter(|(weights, _)| !snapshot.loaded_weights.contains(weights));
        let (weights, weights_bytes) = missing.next()?;
        if !has_room(snapshot, desired, constraints, *weights_bytes) {
            return None;
        }
        self.next_load_ms =
            now_ms + load_duration_ms(*weights_bytes, constraints.share_bytes_per_second);
        Some(OrderKind::Load(weights.clone()))
    }
}

/// Whether more weights fit. Loaded weights that are to be unloaded have no known size, so the load
/// waits until they are gone.
fn has_room(
    snapshot: &EngineSnapshot,
    desired: &DesiredState,
    constraints: EngineConstraints,
    weights_bytes: Bytes,
) -> bool {
    let Some(memory_bytes) = constraints.memory_bytes else {
        return true;
    };
    let mut used_bytes = weights_bytes;
    for weights in &snapshot.loaded_weights {
        let size_bytes = desired.weights.get(weights);
        let is_known = size_bytes.is_some() || desired.externally_managed.contains(weights);
        if !is_known && constraints.checks_fencing {
            return false;
        }
        used_bytes = used_bytes + size_bytes.copied().unwrap_or_default();
    }
    used_bytes <= memory_bytes
}

fn load_duration_ms(weights_bytes: Bytes, share_bytes_per_second: BytesPerSecond) -> Millis {
    Millis(weights_bytes.0.saturating_mul(MS_PER_SECOND) / share_bytes_per_second.0.max(1))
}
