//! Orders to engines: fencing, drain, hysteresis and the share of the weight store.

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

/// Randomised cases.
const CASES: u64 = 300;
/// Steps of one case.
const STEPS: usize = 600;
/// Time of one step.
const STEP_MS: u64 = 250;

fn server() -> ServerId {
    "engine-1".parse().unwrap()
}

fn version(name: &str) -> Weights {
    Weights::of_version("quote".parse().unwrap(), name.parse().unwrap())
}

fn adapter(name: &str) -> Weights {
    Weights { adapter: Some(name.parse().unwrap()), ..version("v1") }
}

fn desired(role: ServerRole, versions: &[&str]) -> DesiredState {
    let sized = versions.iter().map(|name| (version(name), Bytes(10_000)));
    DesiredState { role, weights: sized.collect(), externally_managed: BTreeSet::new() }
}

fn terms(checks_fencing: bool) -> EngineConstraints {
    EngineConstraints {
        checks_fencing,
        memory_bytes: None,
        share_bytes_per_second: BytesPerSecond(1_000),
    }
}

fn look(received_ms: u64, role: ServerRole, holds_streams: bool) -> EngineSnapshot {
    EngineSnapshot {
        received_ms: Millis(received_ms),
        role: Some(role),
        loaded: BTreeSet::new(),
        fencing_number: FencingNumber(4),
        holds_streams,
        in_use: BTreeSet::new(),
        has_unknown_weights: false,
    }
}

#[test]
fn role_change() {
    let mut book = OrderScheduler::default();
    let desired = desired(ServerRole::Decode, &[]);
    let mut orders = Vec::new();
    for step in 0..200 {
        let now_ms = step * STEP_MS;
        let holds_streams = now_ms < 20_000;
        book.record_snapshot(server(), look(now_ms, ServerRole::Prefill, holds_streams));
        let order = book.next_order(Millis(now_ms), &server(), &desired, terms(true));
        orders.extend(order.map(|order| (now_ms, order)));
        assert_eq!(book.is_draining(&server(), Millis(now_ms)), now_ms >= 10_000);
    }
    let (first_ms, order) = orders.first().unwrap();
    assert_eq!(*first_ms, 20_000, "ordered before the engine was drained");
    assert_eq!(order.kind, OrderKind::ChangeRole { role: ServerRole::Decode });
    assert_eq!(order.fencing_number, FencingNumber(5));
    let pauses = orders.windows(2).map(|pair| pair[1].0 - pair[0].0);
    assert!(pauses.min().unwrap() >= 2_000);
}

#[test]
fn fencing_ignored() {
    let mut book = OrderScheduler::default();
    let desired = desired(ServerRole::Decode, &["v1"]);
    for step in 0..400 {
        let now_ms = step * STEP_MS;
        book.record_snapshot(server(), look(now_ms, ServerRole::Prefill, false));
        let order = book.next_order(Millis(now_ms), &server(), &desired, terms(false));
        let is_load = |order: EngineOrder| matches!(order.kind, OrderKind::Load { .. });
        assert!(order.is_none_or(is_load));
    }
}

#[test]
fn stale_report() {
    let mut book = OrderScheduler::default();
    let desired = desired(ServerRole::Decode, &["v1"]);
    book.record_snapshot(server(), look(0, ServerRole::Decode, false));
    assert_eq!(book.next_order(Millis(1_500), &server(), &desired, terms(true)), None);
    book.record_snapshot(server(), look(2_000, ServerRole::Decode, false));
    book.forget_snapshots();
    assert_eq!(book.next_order(Millis(2_000), &server(), &desired, terms(true)), None);
    book.record_snapshot(server(), look(2_000, ServerRole::Decode, false));
    assert!(book.next_order(Millis(2_000), &server(), &desired, terms(true)).is_some());
}

#[test]
fn weight_rate() {
    let mut book = OrderScheduler::default();
    let desired = desired(ServerRole::Decode, &["v1", "v2", "v3"]);
    let mut loads_ms = Vec::new();
    let mut loaded = BTreeSet::new();
    for step in 0..400 {
        let now_ms = step * STEP_MS;
        let seen =
            EngineSnapshot { loaded: loaded.clone(), ..look(now_ms, ServerRole::Decode, true) };
        book.record_snapshot(server(), seen);
        let order = book.next_order(Millis(now_ms), &server(), &desired, terms(false));
        let Some(OrderKind::Load(weights)) = order.map(|order| order.kind) else {
            continue;
        };
        loaded.insert(weights);
        loads_ms.push(now_ms);
    }
    assert_eq!(loads_ms, [0, 10_000, 20_000], "10,000 bytes at 1,000 bytes a second each");
}

/// What is no longer wanted is unloaded after 30 s, adapters first, and never while it is in use.
#[test]
fn unload() {
    let mut book = OrderScheduler::default();
    let desired = desired(ServerRole::Decode, &["v2"]);
    let terms = EngineConstraints { memory_bytes: Some(Bytes(30_000)), ..terms(true) };
    let mut loaded = BTreeSet::from([version("v1"), adapter("kaolack")]);
    let mut orders = Vec::new();
    for step in 0..600 {
        let now_ms = step * STEP_MS;
        let in_use = if now_ms < 60_000 { loaded.clone() } else { BTreeSet::new() };
        let has_unknown_weights = now_ms < 90_000;
        let seen = EngineSnapshot {
            loaded: loaded.clone(),
            in_use,
            has_unknown_weights,
            ..look(now_ms, ServerRole::Decode, true)
        };
        book.record_snapshot(server(), seen);
        let is_closed = book.is_unloading(&server(), Millis(now_ms), &version("v1"));
        assert!(!loaded.contains(&version("v1")) || is_closed == (now_ms >= 30_000), "{now_ms}");
        let Some(order) = book.next_order(Millis(now_ms), &server(), &desired, terms) else {
            continue;
        };
        match &order.kind {
            OrderKind::Load(weights) => loaded.insert(weights.clone()),
            OrderKind::Unload(weights) => loaded.remove(weights),
            OrderKind::ChangeRole { .. } => panic!("no role was to change"),
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

/// Weights that are asked for twice as often as loaded ones take their place, others don't.
#[test]
fn fit_by_demand() {
    let mut listed = desired(ServerRole::Decode, &["v1", "v2"]).weights;
    listed.insert(adapter("kaolack"), Bytes(1_000));
    let loaded = BTreeSet::from([version("v1")]);
    for (v1, v2, kaolack, expected) in [
        (0.0, 0.0, 0.0, vec![version("v1"), adapter("kaolack")]),
        (10.0, 19.0, 0.0, vec![version("v1"), adapter("kaolack")]),
        (10.0, 21.0, 0.0, vec![version("v2")]),
        (10.0, 21.0, 22.0, vec![version("v1"), adapter("kaolack")]),
    ] {
        let demand = |weights: &Weights| match (&weights.adapter, weights.version.as_str()) {
            (Some(_), _) => kaolack,
            (None, "v1") => v1,
            _ => v2,
        };
        let held = select_weights(&listed, Bytes(12_000), &loaded, demand);
        assert_eq!(held.into_keys().collect::<Vec<_>>(), expected, "{v1} {v2} {kaolack}");
    }
}

/// An engine that may check fencing numbers, and what was done to it.
struct Engine {
    checks_fencing: bool,
    role: ServerRole,
    fencing_number: FencingNumber,
    holds_streams: bool,
    role_changes: BTreeMap<FencingNumber, u64>,
    loaded: BTreeSet<Weights>,
    unloads: BTreeMap<FencingNumber, u64>,
}

impl Engine {
    fn obey(&mut self, order: &EngineOrder) {
        let is_old = order.fencing_number <= self.fencing_number;
        if self.checks_fencing && is_old {
            return;
        }
        self.fencing_number = self.fencing_number.max(order.fencing_number);
        match &order.kind {
            OrderKind::Load(weights) => {
                self.loaded.insert(weights.clone());
            }
            OrderKind::Unload(weights) => {
                self.loaded.remove(weights);
                *self.unloads.entry(order.fencing_number).or_default() += 1;
            }
            OrderKind::ChangeRole { role } => {
                self.role = *role;
                *self.role_changes.entry(order.fencing_number).or_default() += 1;
            }
        }
    }
}

/// Two owners at once, late reports, late orders, pauses: an engine that checks fencing numbers
/// changes its role or unloads once for each number, one that does not is never told to.
#[test]
fn two_owners() {
    let (mut changes, mut unloads) = (0, 0);
    for seed in 0..CASES {
        let mut source = Gen::from_size_and_seed(64, seed);
        let checks_fencing = seed % 2 == 0;
        let engine = run_two_owners(&mut source, checks_fencing);
        assert!(engine.role_changes.values().all(|count| *count == 1), "seed {seed}");
        assert!(checks_fencing || engine.role_changes.is_empty(), "seed {seed}");
        assert!(engine.unloads.values().all(|count| *count == 1), "seed {seed}");
        assert!(checks_fencing || engine.unloads.is_empty(), "seed {seed}");
        changes += engine.role_changes.len();
        unloads += engine.unloads.len();
    }
    assert!(unloads > 100, "the cases hardly unloaded anything: {unloads}");
    assert!(changes > 100, "the cases hardly changed a role: {changes}");
}

fn run_two_owners(source: &mut Gen, checks_fencing: bool) -> Engine {
    let mut owners = [OrderScheduler::default(), OrderScheduler::default()];
    let mut engine = Engine {
        checks_fencing,
        role: ServerRole::Prefill,
        fencing_number: FencingNumber(0),
        holds_streams: false,
        role_changes: BTreeMap::new(),
        loaded: BTreeSet::new(),
        unloads: BTreeMap::new(),
    };
    let mut late_orders: Vec<EngineOrder> = Vec::new();
    let mut wanted = ServerRole::Decode;
    let mut listed = "v1";
    let terms = EngineConstraints { memory_bytes: Some(Bytes(25_000)), ..terms(checks_fencing) };
    for step in 0..STEPS {
        let now_ms = Millis(step as u64 * STEP_MS);
        if step % 80 == 0 {
            wanted =
                [ServerRole::Prefill, ServerRole::Decode][usize::from(u8::arbitrary(source) % 2)];
        }
        if step % 160 == 0 {
            listed = ["v1", "v2"][usize::from(u8::arbitrary(source) % 2)];
        }
        engine.holds_streams = u8::arbitrary(source) < 40;
        for owner in &mut owners {
            if u8::arbitrary(source) < 60 {
                continue;
            }
            let report = EngineSnapshot {
                holds_streams: engine.holds_streams,
                ..look(now_ms.0, engine.role, false)
            };
            let loaded = engine.loaded.clone();
            let report = EngineSnapshot { fencing_number: engine.fencing_number, loaded, ..report };
            owner.record_snapshot(server(), report);
            let mut desired = desired(wanted, &[listed]);
            if listed == "v1" {
                desired.weights.insert(adapter("kaolack"), Bytes(1_000));
            }
            late_orders.extend(owner.next_order(now_ms, &server(), &desired, terms));
        }
        let mut kept = Vec::new();
        for order in late_orders.drain(..) {
            let fate = u8::arbitrary(source);
            if fate < 128 {
                engine.obey(&order);
            }
            if fate >= 64 {
                kept.push(order);
            }
        }
        late_orders = kept;
        late_orders.truncate(20);
    }
    engine
}
