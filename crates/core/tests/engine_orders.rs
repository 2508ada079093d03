//! Orders to engines: fencing, drain, hysteresis and the share of the weight store.

use std::collections::{BTreeMap, BTreeSet};

use quickcheck::{Arbitrary, Gen};
use turmericrail_core::config::document::ServerRole;
use turmericrail_core::ids::{FencingNumber, ServerId};
use turmericrail_core::placement::{Desired, EngineOrder, Look, OrderBook, OrderKind, Terms};
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

fn desired(role: ServerRole, versions: &[&str]) -> Desired {
    let sized = versions.iter().map(|name| (version(name), Bytes(10_000)));
    Desired { role, weights: sized.collect() }
}

fn terms(checks_fencing: bool) -> Terms {
    Terms { checks_fencing, share_bytes_per_second: BytesPerSecond(1_000) }
}

fn look(learned_ms: u64, role: ServerRole, is_holding: bool) -> Look {
    Look {
        learned_ms: Millis(learned_ms),
        role: Some(role),
        loaded: BTreeSet::new(),
        fencing_number: FencingNumber(4),
        is_holding,
    }
}

#[test]
fn role_change() {
    let mut book = OrderBook::default();
    let desired = desired(ServerRole::Decode, &[]);
    let mut orders = Vec::new();
    for step in 0..200 {
        let now_ms = step * STEP_MS;
        let is_holding = now_ms < 20_000;
        book.look(server(), look(now_ms, ServerRole::Prefill, is_holding));
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
    let mut book = OrderBook::default();
    let desired = desired(ServerRole::Decode, &["v1"]);
    for step in 0..400 {
        let now_ms = step * STEP_MS;
        book.look(server(), look(now_ms, ServerRole::Prefill, false));
        let order = book.next_order(Millis(now_ms), &server(), &desired, terms(false));
        let is_load = |order: EngineOrder| matches!(order.kind, OrderKind::Load { .. });
        assert!(order.is_none_or(is_load));
    }
}

#[test]
fn stale_report() {
    let mut book = OrderBook::default();
    let desired = desired(ServerRole::Decode, &["v1"]);
    book.look(server(), look(0, ServerRole::Decode, false));
    assert_eq!(book.next_order(Millis(1_500), &server(), &desired, terms(true)), None);
    book.look(server(), look(2_000, ServerRole::Decode, false));
    book.forget_looks();
    assert_eq!(book.next_order(Millis(2_000), &server(), &desired, terms(true)), None);
    book.look(server(), look(2_000, ServerRole::Decode, false));
    assert!(book.next_order(Millis(2_000), &server(), &desired, terms(true)).is_some());
}

#[test]
fn weight_rate() {
    let mut book = OrderBook::default();
    let desired = desired(ServerRole::Decode, &["v1", "v2", "v3"]);
    let mut loads_ms = Vec::new();
    let mut loaded = BTreeSet::new();
    for step in 0..400 {
        let now_ms = step * STEP_MS;
        let seen = Look { loaded: loaded.clone(), ..look(now_ms, ServerRole::Decode, true) };
        book.look(server(), seen);
        let order = book.next_order(Millis(now_ms), &server(), &desired, terms(false));
        let Some(OrderKind::Load(weights)) = order.map(|order| order.kind) else {
            continue;
        };
        loaded.insert(weights);
        loads_ms.push(now_ms);
    }
    assert_eq!(loads_ms, [0, 10_000, 20_000], "10,000 bytes at 1,000 bytes a second each");
}

/// An engine that may check fencing numbers, and what was done to it.
struct Engine {
    checks_fencing: bool,
    role: ServerRole,
    fencing_number: FencingNumber,
    is_holding: bool,
    role_changes: BTreeMap<FencingNumber, u64>,
    loads: u64,
}

impl Engine {
    fn obey(&mut self, order: &EngineOrder) {
        let is_old = order.fencing_number <= self.fencing_number;
        if self.checks_fencing && is_old {
            return;
        }
        self.fencing_number = self.fencing_number.max(order.fencing_number);
        match order.kind {
            OrderKind::Load { .. } => self.loads += 1,
            OrderKind::ChangeRole { role } => {
                self.role = role;
                *self.role_changes.entry(order.fencing_number).or_default() += 1;
            }
        }
    }
}

/// Two owners at once, late reports, late orders, pauses: an engine that checks fencing numbers
/// changes its role once for each number, one that does not is never told to.
#[test]
fn two_owners() {
    let mut changes = 0;
    for seed in 0..CASES {
        let mut source = Gen::from_size_and_seed(64, seed);
        let checks_fencing = seed % 2 == 0;
        let engine = run_two_owners(&mut source, checks_fencing);
        assert!(engine.role_changes.values().all(|count| *count == 1), "seed {seed}");
        assert!(checks_fencing || engine.role_changes.is_empty(), "seed {seed}");
        changes += engine.role_changes.len();
    }
    assert!(changes > 100, "the cases hardly changed a role: {changes}");
}

fn run_two_owners(source: &mut Gen, checks_fencing: bool) -> Engine {
    let mut owners = [OrderBook::default(), OrderBook::default()];
    let mut engine = Engine {
        checks_fencing,
        role: ServerRole::Prefill,
        fencing_number: FencingNumber(0),
        is_holding: false,
        role_changes: BTreeMap::new(),
        loads: 0,
    };
    let mut late_orders: Vec<EngineOrder> = Vec::new();
    let mut wanted = ServerRole::Decode;
    for step in 0..STEPS {
        let now_ms = Millis(step as u64 * STEP_MS);
        if step % 80 == 0 {
            wanted =
                [ServerRole::Prefill, ServerRole::Decode][usize::from(u8::arbitrary(source) % 2)];
        }
        engine.is_holding = u8::arbitrary(source) < 40;
        for owner in &mut owners {
            if u8::arbitrary(source) < 60 {
                continue;
            }
            let report =
                Look { is_holding: engine.is_holding, ..look(now_ms.0, engine.role, false) };
            let report = Look { fencing_number: engine.fencing_number, ..report };
            owner.look(server(), report);
            let mut desired = desired(wanted, &["v1"]);
            desired.weights.insert(adapter("kaolack"), Bytes(1_000));
            late_orders.extend(owner.next_order(
                now_ms,
                &server(),
                &desired,
                terms(checks_fencing),
            ));
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
