//! Measures goodput and wasted prefill of each routing policy under load and faults.
//!
//! `cargo bench -p turmericrail-core --bench policy [-- PART]` runs the cases whose output line
//! contains PART. With `--ablations` it runs the current policy with one mechanism off at a time;
//! with `--cost` it measures the processor time of the decisions by the number of engines;
//! `--seed=N` selects another workload.
//!
//! Each instance runs a real [`Node`]. Engines and links are event-driven simulations, time is
//! simulated and every seed is fixed, so that each run gives the same figures.

#[path = "policy/baseline_router.rs"]
mod baseline_router;
#[path = "policy/bound.rs"]
mod bound;
#[path = "policy/decision_cost.rs"]
mod decision_cost;
#[path = "policy/engine.rs"]
mod engine;
#[path = "policy/engine_calls.rs"]
mod engine_calls;
#[path = "policy/fault.rs"]
mod fault;
#[path = "policy/links.rs"]
mod links;
#[path = "policy/outcome.rs"]
mod outcome;
#[path = "policy/simulation.rs"]
mod simulation;
#[path = "policy/transfers.rs"]
mod transfers;
#[path = "policy/workload.rs"]
mod workload;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde_json::{Value, json};
use turmericrail_core::admission::Mechanisms;
use turmericrail_core::at_most_once::SealKey;
use turmericrail_core::event::{Event, Now};
use turmericrail_core::ids::{ConfigVersion, DataCentreId, Incarnation, InstanceId, ServerId};
use turmericrail_core::membership::{ListedInstance, ListedState};
use turmericrail_core::node::{Node, NodeSettings};
use turmericrail_core::report::Holder;

use crate::baseline_router::{
    BaselineRouter, ChooseEngine, least_loaded, power_of_two, round_robin,
};
use crate::bound::EngineCounts;
use crate::engine::Engine;
use crate::fault::{FAULT_MS, Fault, NARROW_LINK_RATE_RATIO};
use crate::outcome::Metrics;
use crate::simulation::{EventHandler, Instance, Simulation};
use crate::transfers::{KV_BYTES_PER_TOKEN, LOCAL_BYTES_PER_MS, REMOTE_BYTES_PER_MS};
use crate::workload::{Deployment, TOKENS_PER_PIECE, generate_requests};

/// Default seed of the workload.
const SEED: u64 = 7;
const LARGE_ENGINE_COUNTS: [usize; 4] = [75, 300, 1_200, 4_800];
const MAX_LARGE_REQUESTS: usize = 2_000;

/// Builds the event handler of one instance, given by its number.
type BuildHandler = Box<dyn Fn(&Deployment, usize) -> EventHandler>;

struct Policy {
    name: &'static str,
    build_handler: BuildHandler,
}

struct Case {
    deployment: Deployment,
    load: f64,
    fault: Fault,
}

impl Case {
    fn name(&self) -> String {
        let fault = self.fault.name();
        format!("{}/load_{:.1}/{fault}", self.deployment.name, self.load)
    }

    /// Returns the working prefill and decode engines over time; a slow one counts as a fraction.
    fn engine_counts(&self) -> EngineCounts {
        let all = (self.deployment.prefill_engines(), self.deployment.decode_engines());
        let lost = self.fault.lost_engines();
        Box::new(
            move |now_ms| {
                if now_ms < FAULT_MS { all } else { (all.0 - lost.0, all.1 - lost.1) }
            },
        )
    }
}

fn main() {
    let filters: Vec<_> = std::env::args().skip(1).filter(|arg| !arg.starts_with("--")).collect();
    if std::env::args().any(|arg| arg == "--cost") {
        measure_cost();
        return;
    }
    let has_ablations = std::env::args().any(|arg| arg == "--ablations");
    for case in cases() {
        let flood_from_ms = if case.fault == Fault::Flood { FAULT_MS } else { u64::MAX };
        let requests = generate_requests(&case.deployment, case.load, seed(), flood_from_ms);
        let bound = bound::upper_bound(&requests, &case.engine_counts());
        let policies = if has_ablations { ablations() } else { policies() };
        for policy in policies {
            let title = format!("case={} policy={}", case.name(), policy.name);
            if !filters.iter().all(|part| title.contains(part.as_str())) {
                continue;
            }
            let mut simulation = build_simulation(&case, &requests, &policy);
            simulation.run();
            let computed: f64 = simulation.engines.values().map(|engine| engine.computed_ms).sum();
            let wasted: f64 = simulation.engines.values().map(|engine| engine.wasted_ms).sum();
            let wasted_ratio = wasted / computed.max(1.0);
            let metrics =
                Metrics::from_outcomes(&requests, &simulation.outcomes, bound, wasted_ratio);
            println!("{title} {metrics} bound_requests={bound:.0} offered={}", requests.len());
        }
    }
}

fn seed() -> u64 {
    let selected_seed = std::env::args().find_map(|arg| arg.strip_prefix("--seed=")?.parse().ok());
    selected_seed.unwrap_or(SEED)
}

/// Prints the processor time of the decisions on one request, by the number of engines.
fn measure_cost() {
    for engines in LARGE_ENGINE_COUNTS {
        let deployment = Deployment::large(engines);
        let mut requests = generate_requests(&deployment, 0.9, seed(), u64::MAX);
        requests.truncate(MAX_LARGE_REQUESTS);
        let last_ms = requests.last().map_or(0, |request| request.arrives_ms);
        let times = decision_cost::DecisionTimes::default();
        let recorded_times = std::rc::Rc::clone(&times);
        let build_handler = move |deployment: &Deployment, instance: usize| -> EventHandler {
            let today = node_policy("today", Mechanisms::ALL);
            decision_cost::measure_handler(
                (today.build_handler)(deployment, instance),
                std::rc::Rc::clone(&recorded_times),
            )
        };
        let policy = Policy { name: "today", build_handler: Box::new(build_handler) };
        let case = Case { deployment, load: 0.9, fault: Fault::None };
        let mut simulation = build_simulation(&case, &requests, &policy);
        simulation.run_until(last_ms + 1_000);
        println!(
            "cost=decision instances=32 engines={engines} requests={} p50_us={:.1} p95_us={:.1}",
            requests.len(),
            decision_cost::percentile_us(&times, 50),
            decision_cost::percentile_us(&times, 95),
        );
    }
}

fn cases() -> Vec<Case> {
    let mut cases = Vec::new();
    for deployment in [Deployment::association(), Deployment::lantern_forge()] {
        for load in [0.7, 1.0, 1.3, 2.0] {
            cases.push(Case { deployment: deployment.clone(), load, fault: Fault::None });
        }
        for fault in [
            Fault::DeadPrefill,
            Fault::DeadDecode,
            Fault::SlowPrefill,
            Fault::SlowDecode,
            Fault::LateReports,
            Fault::CutOff,
            Fault::DeadInstance,
            Fault::LostMessages,
            Fault::FailingPrefill,
            Fault::FailingDecode,
        ] {
            cases.push(Case { deployment: deployment.clone(), load: 1.0, fault });
        }
        for load in [1.0, 1.3, 2.0] {
            let narrow =
                Deployment { link_rate_ratio: NARROW_LINK_RATE_RATIO, ..deployment.clone() };
            cases.push(Case { deployment: narrow, load, fault: Fault::NarrowLinks });
        }
        cases.push(Case { deployment, load: 2.0, fault: Fault::Flood });
    }
    cases
}

fn policies() -> Vec<Policy> {
    vec![
        baseline("round_robin", round_robin),
        baseline("least_loaded", |_| least_loaded()),
        baseline("power_of_two", |instance| power_of_two(instance as u64)),
        node_policy("first", Mechanisms::NONE),
        node_policy("today", Mechanisms::ALL),
    ]
}

/// The current policy, whole and with one mechanism off at a time.
fn ablations() -> Vec<Policy> {
    let all = Mechanisms::ALL;
    vec![
        node_policy("today", all),
        node_policy("without_plan", Mechanisms { has_plan: false, ..all }),
        node_policy("without_slots", Mechanisms { has_slots: false, ..all }),
        node_policy("without_reseat", Mechanisms { has_reseat: false, ..all }),
        node_policy("without_affinity", Mechanisms { has_affinity: false, ..all }),
        node_policy("without_token_limit", Mechanisms { has_token_limit: false, ..all }),
        node_policy("without_link_book", Mechanisms { has_transfer_schedule: false, ..all }),
        node_policy("without_seat_plan", Mechanisms { has_seat_plan: false, ..all }),
        node_policy("without_ejection", Mechanisms { has_ejection: false, ..all }),
        node_policy("without_isolation", Mechanisms { has_isolation: false, ..all }),
    ]
}

fn baseline(name: &'static str, choose: impl Fn(usize) -> ChooseEngine + 'static) -> Policy {
    let build_handler = move |deployment: &Deployment, instance: usize| -> EventHandler {
        let caller_kinds = deployment.caller_kinds.iter();
        let targets =
            caller_kinds.map(|kind| (kind.name.to_owned(), kind.first_token_ms)).collect();
        let servers = engine_locations(deployment).into_iter();
        let addresses = servers.map(|(id, _, address)| (id, address)).collect();
        let mut router =
            BaselineRouter::new(holder(instance), addresses, targets, choose(instance));
        Box::new(move |now, event| router.handle(now.monotonic_ms.0, event))
    };
    Policy { name, build_handler: Box::new(build_handler) }
}

fn node_policy(name: &'static str, mechanisms: Mechanisms) -> Policy {
    let build_handler = move |deployment: &Deployment, instance: usize| -> EventHandler {
        let mut node = Node::with_mechanisms(node_settings(deployment, instance), mechanisms);
        configure(&mut node, deployment);
        Box::new(move |now, event| node.handle(now, event))
    };
    Policy { name, build_handler: Box::new(build_handler) }
}

fn node_settings(deployment: &Deployment, instance: usize) -> NodeSettings {
    NodeSettings {
        instance: holder(instance).instance,
        incarnation: holder(instance).incarnation,
        data_centre: data_centre(instance % deployment.data_centres),
        peer_address: peer_address(instance),
        seal_key: SealKey::new("a key of the bench, long enough to use"),
    }
}

fn configure(node: &mut Node, deployment: &Deployment) {
    let document = document(deployment);
    let listed = (0..deployment.instances).map(|instance| {
        let listed = ListedInstance {
            data_centre: data_centre(instance % deployment.data_centres),
            peer_address: peer_address(instance),
            state: ListedState::Live,
        };
        (holder(instance).instance, listed)
    });
    node.handle(Now::default(), Event::InstanceList(listed.collect()));
    node.handle(Now::default(), Event::ConfigDocument(ConfigVersion(1), document));
}

fn build_simulation(
    case: &Case,
    requests: &[workload::WorkloadRequest],
    policy: &Policy,
) -> Simulation {
    let instances = (0..case.deployment.instances).map(|instance| Instance {
        is_dead: false,
        data_centre: instance % case.deployment.data_centres,
        address: peer_address(instance),
        handler: (policy.build_handler)(&case.deployment, instance),
    });
    let engines = engine_locations(&case.deployment)
        .into_iter()
        .map(|(id, data_centre, _)| (id, Engine::new(data_centre)));
    let mut simulation =
        Simulation::new(instances.collect(), engines.collect(), requests.to_vec(), case.fault);
    simulation.link_rate_ratio = case.deployment.link_rate_ratio;
    simulation
}

/// Returns the id, the data centre and the address of each engine.
fn engine_locations(deployment: &Deployment) -> Vec<(ServerId, usize, SocketAddr)> {
    let mut locations = Vec::new();
    for data_centre in 0..deployment.data_centres {
        let counts =
            [("p", deployment.prefill_per_data_centre), ("d", deployment.decode_per_data_centre)];
        for (prefix, count) in counts {
            for number in 0..count {
                let id = format!("{prefix}-{data_centre}-{number}").parse().expect("plain id");
                let port = 20_000 + locations.len() as u16;
                locations.push((id, data_centre, SocketAddr::from(([127, 0, 0, 1], port))));
            }
        }
    }
    locations
}

fn document(deployment: &Deployment) -> Value {
    let mut servers = BTreeMap::new();
    for (id, number, address) in engine_locations(deployment) {
        let role = if id.as_str().starts_with('p') { "prefill" } else { "decode" };
        let data_centre = data_centre(number);
        servers.insert(
            id.to_string(),
            json!({"data_centre": data_centre, "address": address, "role": role}),
        );
    }
    let engines: Vec<_> = servers.keys().cloned().collect();
    for number in 0..deployment.plain_servers {
        let address = SocketAddr::from(([127, 0, 0, 1], 9_000 + number as u16));
        let data_centre = data_centre(number % deployment.data_centres);
        servers.insert(
            format!("s-{number}"),
            json!({"data_centre": data_centre, "address": address, "role": "plain"}),
        );
    }
    let caller_kinds: BTreeMap<_, _> = deployment
        .caller_kinds
        .iter()
        .map(|kind| {
            let window = json!({
                "from": "00:00", "until": "24:00",
                "first_token_ms": kind.first_token_ms, "per_token_ms": kind.per_token_ms,
            });
            let targets = json!({
                "time_zone": "Africa/Dakar",
                "goodput_weight": kind.goodput_weight,
                "wasted_prefill_weight": kind.wasted_prefill_weight,
                "windows": {"day": window},
            });
            (kind.name, targets)
        })
        .collect();
    let mut links = BTreeMap::new();
    for from in 0..deployment.data_centres {
        for to in 0..deployment.data_centres {
            let normal_bytes_per_ms =
                if from == to { LOCAL_BYTES_PER_MS } else { REMOTE_BYTES_PER_MS };
            let bytes_per_ms = (normal_bytes_per_ms as f64 * deployment.link_rate_ratio) as u64;
            let name = format!("{}.{}", data_centre(from), data_centre(to));
            links.insert(name, json!({"rate_bytes_per_second": bytes_per_ms * 1_000}));
        }
    }
    json!({
        "version": 1,
        "caller_kinds": caller_kinds,
        "models": {"m": {"default_version": "1", "versions": {"1": {"servers": engines}}}},
        "servers": servers,
        "links": links,
        "limits": {"kv_bytes_per_token": KV_BYTES_PER_TOKEN, "tokens_per_piece": TOKENS_PER_PIECE},
    })
}

fn holder(instance: usize) -> Holder {
    let instance: InstanceId = format!("i{instance}").parse().expect("plain id");
    Holder { instance, incarnation: Incarnation(1) }
}

fn data_centre(number: usize) -> DataCentreId {
    format!("dc{number}").parse().expect("plain id")
}

fn peer_address(instance: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 10_000 + instance as u16))
}
