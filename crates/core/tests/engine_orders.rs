//! Orders to engines: fencing, draining before a role change, hysteresis, and the load rate that the
//! weight store allows.

use std::collections::{BTreeMap, BTreeSet};

use quickcheck::{Arbitrary, Gen};
use turmericrail_core::config::document::ServerRole;
use turmericrail_core::ids::{FencingNumber, ServerId};
use turmericrail_core::placement::{
    DesiredState, EngineConstraints, EngineOrder, EngineSnapshot, OrderKind, OrderScheduler,
    select_weights,
};
use turmericrail_core::units::{Bytes, BytesPerSecond, Millis};
use turmericrail_core::weights::Weights;

const SEED_COUNT: u64 = 300;
const STEPS_PER_SEED: usize = 600;
const STEP_MS: u64 = 250;

fn server_id() -> ServerId {
    "engine-1".parse().unwrap()
}

fn version_weights(name: &str) -> Weights {
    Weights::of_version("quote".parse().unwrap(), name.parse().unwrap())
}

fn adapter_weights(name: &str) -> Weights {
    Weights { adapter: Some(name.parse().unwrap()), ..version_weights("v1") }
}

fn desired_state(role: ServerRole, versions: &[&str]) -> DesiredState {
    let sized = versions.iter().map(|name| (version_weights(name), Bytes(10_000)));
    DesiredState { role, weights: sized.collect(), externally_managed: BTreeSet::new() }
}

fn constraints(checks_fencing: bool) -> EngineConstraints {
    EngineConstraints {
        checks_fencing,
        memory_bytes: None,
        share_bytes_per_second: BytesPerSecond(1_000),
    }
}

fn engine_snapshot(received_ms: u64, role: ServerRole, holds_streams: bool) -> EngineSnapshot {
    EngineSnapshot {
        received_ms: Millis(received_ms),
        role: Some(role),
        loaded_weights: BTreeSet::new(),
        fencing_number: FencingNumber(4),
        holds_streams,
        weights_in_use: BTreeSet::new(),
        has_unknown_weights: false,
    }
}

#[test]
fn role_change() {
    let mut scheduler = OrderScheduler::default();
    let desired = desired_state(ServerRole::Decode, &[]);
    let mut orders = Vec::new();
    for step in 0..200 {
        let now_ms = step * STEP_MS;
        let holds_streams = now_ms < 20_000;
        scheduler.record_snapshot(
            server_id(),
            engine_snapshot(now_ms, ServerRole::Prefill, holds_streams),
        );
        let order = scheduler.next_order(Millis(now_ms), &server_id(), &desired, constraints(true));
        orders.extend(order.map(|order| (now_ms, order)));
        assert_eq!(scheduler.is_draining(&server_id(), Millis(now_ms)), now_ms >= 10_000);
    }
    let (first_ms, order) = orders.first().unwrap();
    assert_eq!(*first_ms, 20_000, "the role change was ordered before the engine was drained");
    assert_eq!(order.kind, OrderKind::ChangeRole { role: ServerRole::Decode });
    assert_eq!(order.fencing_number, FencingNumber(5));
    let intervals_ms = orders.windows(2).map(|pair| pair[1].0 - pair[0].0);
    assert!(intervals_ms.min().unwrap() >= 2_000);
}

#[test]
fn engine_without_fencing() {
    let mut scheduler = OrderScheduler::default();
    let desired = desired_state(ServerRole::Decode, &["v1"]);
    for step in 0..400 {
        let now_ms = step * STEP_MS;
        scheduler.record_snapshot(server_id(), engine_snapshot(now_ms, ServerRole::Prefill, false));
        let order =
            scheduler.next_order(Millis(now_ms), &server_id(), &desired, constraints(false));
        let is_load = |order: EngineOrder| matches!(order.kind, OrderKind::Load { .. });
        assert!(order.is_none_or(is_load));
    }
}

#[test]
fn stale_report() {
    let mut scheduler = OrderScheduler::default();
    let desired = desired_state(ServerRole::Decode, &["v1"]);
    scheduler.record_snapshot(server_id(), engine_snapshot(0, ServerRole::Decode, false));
    assert_eq!(
        scheduler.next_order(Millis(1_500), &server_id(), &desired, constraints(true)),
        None
    );
    scheduler.record_snapshot(server_id(), engine_snapshot(2_000, ServerRole::Decode, false));
    scheduler.forget_snapshots();
    assert_eq!(
        scheduler.next_order(Millis(2_000), &server_id(), &desired, constraints(true)),
        None
    );
    scheduler.record_snapshot(server_id(), engine_snapshot(2_000, ServerRole::Decode, false));
    assert!(
        scheduler.next_order(Millis(2_000), &server_id(), &desired, constraints(true)).is_some()
    );
}

#[test]
fn load_rate() {
    let mut scheduler = OrderScheduler::default();
    let desired = desired_state(ServerRole::Decode, &["v1", "v2", "v3"]);
    let mut loads_ms = Vec::new();
    let mut loaded = BTreeSet::new();
    for step in 0..400 {
        let now_ms = step * STEP_MS;
        let snapshot = EngineSnapshot {
            loaded_weights: loaded.clone(),
            ..engine_snapshot(now_ms, ServerRole::Decode, true)
        };
        scheduler.record_snapshot(server_id(), snapshot);
        let order =
            scheduler.next_order(Millis(now_ms), &server_id(), &desired, constraints(false));
        let Some(OrderKind::Load(weights)) = order.map(|order| order.kind) else {
            continue;
        };
        loaded.insert(weights);
        loads_ms.push(now_ms);
    }
    assert_eq!(loads_ms, [0, 10_000, 20_000], "10,000 bytes at 1,000 bytes a second each");
}

/// Weights that are no longer configured are unloaded after 30 s, adapters before their version, and
/// never while they are in use or the weights of some stream are unknown.
#[test]
fn unused_weights() {
    let mut scheduler = OrderScheduler::default();
    let desired = desired_state(ServerRole::Decode, &["v2"]);
    let constraints = EngineConstraints { memory_bytes: Some(Bytes(30_000)), ..constraints(true) };
    let mut loaded = BTreeSet::from([version_weights("v1"), adapter_weights("kaolack")]);
    let mut orders = Vec::new();
    for step in 0..600 {
        let now_ms = step * STEP_MS;
        let weights_in_use = if now_ms < 60_000 { loaded.clone() } else { BTreeSet::new() };
        let has_unknown_weights = now_ms < 90_000;
        let snapshot = EngineSnapshot {
            loaded_weights: loaded.clone(),
            weights_in_use,
            has_unknown_weights,
            ..engine_snapshot(now_ms, ServerRole::Decode, true)
        };
        scheduler.record_snapshot(server_id(), snapshot);
        let is_unloading =
            scheduler.is_unloading(&server_id(), Millis(now_ms), &version_weights("v1"));
        assert!(
            !loaded.contains(&version_weights("v1")) || is_unloading == (now_ms >= 30_000),
            "{now_ms}"
        );
        let Some(order) = scheduler.next_order(Millis(now_ms), &server_id(), &desired, constraints)
        else {
            continue;
        };
        match &order.kind {
            OrderKind::Load(weights) => loaded.insert(weights.clone()),
            OrderKind::Unload(weights) => loaded.remove(weights),
            OrderKind::ChangeRole { .. } => panic!("unexpected role change"),
        };
        orders.push((now_ms, order.kind.to_string()));
    }
    let expected = [
        (90_000, "unload:quote:v1:kaolack".to_owned()),
        (92_000, "unload:quote:v1".to_owned()),
        (94_000, "load:quote:v2".to_owned()),
    ];
    assert_eq!(orders, expected);
}

/// Weights replace loaded ones only if the demand for them is at least twice as high, so that engines
/// don't swap weights back and forth.
#[test]
fn selection_by_demand() {
    let mut configured = desired_state(ServerRole::Decode, &["v1", "v2"]).weights;
    configured.insert(adapter_weights("kaolack"), Bytes(1_000));
    let loaded = BTreeSet::from([version_weights("v1")]);
    for (v1, v2, kaolack, expected) in [
        (0.0, 0.0, 0.0, vec![version_weights("v1"), adapter_weights("kaolack")]),
        (10.0, 19.0, 0.0, vec![version_weights("v1"), adapter_weights("kaolack")]),
        (10.0, 21.0, 0.0, vec![version_weights("v2")]),
        (10.0, 21.0, 22.0, vec![version_weights("v1"), adapter_weights("kaolack")]),
    ] {
        let demand = |weights: &Weights| match (&weights.adapter, weights.version.as_str()) {
            (Some(_), _) => kaolack,
            (None, "v1") => v1,
            _ => v2,
        };
        let selected = select_weights(&configured, Bytes(12_000), &loaded, demand);
        assert_eq!(selected.into_keys().collect::<Vec<_>>(), expected, "{v1} {v2} {kaolack}");
    }
}

/// An engine that counts the role changes and unloads it executed, by fencing number.
struct Engine {
    checks_fencing: bool,
    role: ServerRole,
    fencing_number: FencingNumber,
    holds_streams: bool,
    role_change_counts: BTreeMap<FencingNumber, u64>,
    loaded: BTreeSet<Weights>,
    unload_counts: BTreeMap<FencingNumber, u64>,
}

impl Engine {
    fn execute(&mut self, order: &EngineOrder) {
        let is_stale = order.fencing_number <= self.fencing_number;
        if self.checks_fencing && is_stale {
            return;
        }
        self.fencing_number = self.fencing_number.max(order.fencing_number);
        match &order.kind {
            OrderKind::Load(weights) => {
                self.loaded.insert(weights.clone());
            }
            OrderKind::Unload(weights) => {
                self.loaded.remove(weights);
                *self.unload_counts.entry(order.fencing_number).or_default() += 1;
            }
            OrderKind::ChangeRole { role } => {
                self.role = *role;
                *self.role_change_counts.entry(order.fencing_number).or_default() += 1;
            }
        }
    }
}

/// Two owners of one engine at once, with delayed reports and orders and with pauses: an engine that
/// checks fencing numbers executes at most one role change or unload per number, and one that does not
/// check them never gets such an order.
#[test]
fn two_owners() {
    let (mut role_change_count, mut unload_count) = (0, 0);
    for seed in 0..SEED_COUNT {
        let mut generator = Gen::from_size_and_seed(64, seed);
        let checks_fencing = seed % 2 == 0;
        let engine = run_two_owners(&mut generator, checks_fencing);
        assert!(engine.role_change_counts.values().all(|count| *count == 1), "seed {seed}");
        assert!(checks_fencing || engine.role_change_counts.is_empty(), "seed {seed}");
        assert!(engine.unload_counts.values().all(|count| *count == 1), "seed {seed}");
        assert!(checks_fencing || engine.unload_counts.is_empty(), "seed {seed}");
        role_change_count += engine.role_change_counts.len();
        unload_count += engine.unload_counts.len();
    }
    assert!(unload_count > 100, "too few unloads to test anything: {unload_count}");
    assert!(role_change_count > 100, "too few role changes to test anything: {role_change_count}");
}

fn run_two_owners(generator: &mut Gen, checks_fencing: bool) -> Engine {
    let mut owners = [OrderScheduler::default(), OrderScheduler::default()];
    let mut engine = Engine {
        checks_fencing,
        role: ServerRole::Prefill,
        fencing_number: FencingNumber(0),
        holds_streams: false,
        role_change_counts: BTreeMap::new(),
        loaded: BTreeSet::new(),
        unload_counts: BTreeMap::new(),
    };
    let mut delayed_orders: Vec<EngineOrder> = Vec::new();
    let mut desired_role = ServerRole::Decode;
    let mut configured_version = "v1";
    let constraints =
        EngineConstraints { memory_bytes: Some(Bytes(25_000)), ..constraints(checks_fencing) };
    for step in 0..STEPS_PER_SEED {
        let now_ms = Millis(step as u64 * STEP_MS);
        if step % 80 == 0 {
            desired_role = [ServerRole::Prefill, ServerRole::Decode]
                [usize::from(u8::arbitrary(generator) % 2)];
        }
        if step % 160 == 0 {
            configured_version = ["v1", "v2"][usize::from(u8::arbitrary(generator) % 2)];
        }
        engine.holds_streams = u8::arbitrary(generator) < 40;
        for owner in &mut owners {
            if u8::arbitrary(generator) < 60 {
                continue;
            }
            let snapshot = EngineSnapshot {
                holds_streams: engine.holds_streams,
                ..engine_snapshot(now_ms.0, engine.role, false)
            };
            let loaded_weights = engine.loaded.clone();
            let snapshot = EngineSnapshot {
                fencing_number: engine.fencing_number,
                loaded_weights,
                ..snapshot
            };
            owner.record_snapshot(server_id(), snapshot);
            let mut desired = desired_state(desired_role, &[configured_version]);
            if configured_version == "v1" {
                desired.weights.insert(adapter_weights("kaolack"), Bytes(1_000));
            }
            delayed_orders.extend(owner.next_order(now_ms, &server_id(), &desired, constraints));
        }
        let mut remaining = Vec::new();
        for order in delayed_orders.drain(..) {
            let delivery = u8::arbitrary(generator);
            if delivery < 128 {
                engine.execute(&order);
            }
            if delivery >= 64 {
                remaining.push(order);
            }
        }
        delayed_orders = remaining;
        delayed_orders.truncate(20);
    }
    engine
}
