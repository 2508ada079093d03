//! The decisions under load and faults: goodput and wasted prefill of each policy in each case.
//!
//! `cargo bench -p turmericrail-core --bench policy [-- PART]` runs the cases whose line would
//! hold PART; with `--ablations` it runs today's policy with one mechanism off at a time, with
//! `--cost` it measures the processor time of the decisions by the number of engines. The coordinators are the package's own [`Node`]s, one for each instance; engines and
//! links are small event-driven stand-ins; time is simulated and every seed is fixed, so that a
//! run gives the same figures each time.

#[path = "policy/bound.rs"]
mod bound;
#[path = "policy/cost.rs"]
mod cost;
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
#[path = "policy/simple.rs"]
mod simple;
#[path = "policy/transfers.rs"]
mod transfers;
#[path = "policy/workload.rs"]
mod workload;
#[path = "policy/world.rs"]
mod world;

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

use crate::bound::Engines;
use crate::engine::Engine;
use crate::fault::{FAULT_MS, Fault, NARROW_SHARE};
use crate::outcome::Measures;
use crate::simple::{Choose, Simple, least_loaded, power_of_two, round_robin};
use crate::transfers::{BYTES_PER_TOKEN, FAR_BYTES_PER_MS, NEAR_BYTES_PER_MS};
use crate::workload::{Deployment, PIECE_TOKENS, requests};
use crate::world::{Handle, Instance, World};

/// Seed of the workload where `--seed=N` names no other.
const SEED: u64 = 7;
const LARGE_ENGINES: [usize; 4] = [75, 300, 1_200, 4_800];
const LARGE_REQUESTS: usize = 2_000;

/// Builds what runs on one instance.
type Build = Box<dyn Fn(&Deployment, usize) -> Handle>;

struct Policy {
    name: &'static str,
    build: Build,
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

    /// Prefill and decode engines at work at a time; a slow one counts in part.
    fn engines(&self) -> Engines {
        let whole = (self.deployment.prefill_engines(), self.deployment.decode_engines());
        let lost = self.fault.lost_engines();
        Box::new(
            move |now_ms| {
                if now_ms < FAULT_MS { whole } else { (whole.0 - lost.0, whole.1 - lost.1) }
            },
        )
    }
}

fn main() {
    let wanted: Vec<_> = std::env::args().skip(1).filter(|arg| !arg.starts_with("--")).collect();
    if std::env::args().any(|arg| arg == "--cost") {
        measure_cost();
        return;
    }
    let has_ablations = std::env::args().any(|arg| arg == "--ablations");
    for case in cases() {
        let flood_from_ms = if case.fault == Fault::Flood { FAULT_MS } else { u64::MAX };
        let asked = requests(&case.deployment, case.load, seed(), flood_from_ms);
        let bound = bound::upper_bound(&asked, &case.engines());
        let policies = if has_ablations { ablations() } else { policies() };
        for policy in policies {
            let title = format!("case={} policy={}", case.name(), policy.name);
            if !wanted.iter().all(|part| title.contains(part.as_str())) {
                continue;
            }
            let mut world = build_world(&case, &asked, &policy);
            world.run();
            let computed: f64 = world.engines.values().map(|engine| engine.computed_ms).sum();
            let wasted: f64 = world.engines.values().map(|engine| engine.wasted_ms).sum();
            let wasted_ratio = wasted / computed.max(1.0);
            let measures = Measures::of(&asked, &world.outcomes, bound, wasted_ratio);
            println!("{title} {measures} bound_requests={bound:.0} offered={}", asked.len());
        }
    }
}

fn seed() -> u64 {
    let named = std::env::args().find_map(|arg| arg.strip_prefix("--seed=")?.parse().ok());
    named.unwrap_or(SEED)
}

/// Processor time of the decisions on one request by the number of engines.
fn measure_cost() {
    for engines in LARGE_ENGINES {
        let deployment = Deployment::large(engines);
        let mut asked = requests(&deployment, 0.9, seed(), u64::MAX);
        asked.truncate(LARGE_REQUESTS);
        let last_ms = asked.last().map_or(0, |asked| asked.arrives_ms);
        let spent = cost::Spent::default();
        let measured = std::rc::Rc::clone(&spent);
        let build = move |deployment: &Deployment, instance: usize| -> Handle {
            let today = with_mechanisms("today", Mechanisms::ALL);
            cost::measured((today.build)(deployment, instance), std::rc::Rc::clone(&measured))
        };
        let policy = Policy { name: "today", build: Box::new(build) };
        let case = Case { deployment, load: 0.9, fault: Fault::None };
        let mut world = build_world(&case, &asked, &policy);
        world.run_until(last_ms + 1_000);
        println!(
            "cost=decision instances=32 engines={engines} requests={} p50_us={:.1} p95_us={:.1}",
            asked.len(),
            cost::percentile_us(&spent, 50),
            cost::percentile_us(&spent, 95),
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
            let narrow = Deployment { link_share: NARROW_SHARE, ..deployment.clone() };
            cases.push(Case { deployment: narrow, load, fault: Fault::NarrowLinks });
        }
        cases.push(Case { deployment, load: 2.0, fault: Fault::Flood });
    }
    cases
}

fn policies() -> Vec<Policy> {
    vec![
        simple("round_robin", round_robin),
        simple("least_loaded", |_| least_loaded()),
        simple("power_of_two", |instance| power_of_two(instance as u64)),
        with_mechanisms("first", Mechanisms::NONE),
        with_mechanisms("today", Mechanisms::ALL),
    ]
}

/// Today's policy with one mechanism off at a time.
fn ablations() -> Vec<Policy> {
    let all = Mechanisms::ALL;
    vec![
        with_mechanisms("today", all),
        with_mechanisms("without_plan", Mechanisms { has_plan: false, ..all }),
        with_mechanisms("without_slots", Mechanisms { has_slots: false, ..all }),
        with_mechanisms("without_reseat", Mechanisms { has_reseat: false, ..all }),
        with_mechanisms("without_affinity", Mechanisms { has_affinity: false, ..all }),
        with_mechanisms("without_token_limit", Mechanisms { has_token_limit: false, ..all }),
        with_mechanisms("without_link_book", Mechanisms { has_link_book: false, ..all }),
        with_mechanisms("without_seat_plan", Mechanisms { has_seat_plan: false, ..all }),
        with_mechanisms("without_ejection", Mechanisms { has_ejection: false, ..all }),
        with_mechanisms("without_isolation", Mechanisms { has_isolation: false, ..all }),
    ]
}

fn simple(name: &'static str, choose: impl Fn(usize) -> Choose + 'static) -> Policy {
    let build = move |deployment: &Deployment, instance: usize| -> Handle {
        let kinds = deployment.kinds.iter();
        let targets = kinds.map(|kind| (kind.name.to_owned(), kind.first_token_ms)).collect();
        let servers = engine_places(deployment).into_iter();
        let addresses = servers.map(|(id, _, address)| (id, address)).collect();
        let mut simple = Simple::new(holder(instance), addresses, targets, choose(instance));
        Box::new(move |now, event| simple.handle(now.mono_ms.0, event))
    };
    Policy { name, build: Box::new(build) }
}

fn with_mechanisms(name: &'static str, mechanisms: Mechanisms) -> Policy {
    let build = move |deployment: &Deployment, instance: usize| -> Handle {
        let mut node = Node::with_mechanisms(node_settings(deployment, instance), mechanisms);
        prepare(&mut node, deployment);
        Box::new(move |now, event| node.handle(now, event))
    };
    Policy { name, build: Box::new(build) }
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

fn prepare(node: &mut Node, deployment: &Deployment) {
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

fn build_world(case: &Case, asked: &[workload::Asked], policy: &Policy) -> World {
    let instances = (0..case.deployment.instances).map(|instance| Instance {
        is_dead: false,
        data_centre: instance % case.deployment.data_centres,
        address: peer_address(instance),
        handle: (policy.build)(&case.deployment, instance),
    });
    let engines = engine_places(&case.deployment)
        .into_iter()
        .map(|(id, data_centre, _)| (id, Engine::new(data_centre)));
    let mut world = World::new(instances.collect(), engines.collect(), asked.to_vec(), case.fault);
    world.link_share = case.deployment.link_share;
    world
}

fn engine_places(deployment: &Deployment) -> Vec<(ServerId, usize, SocketAddr)> {
    let mut places = Vec::new();
    for data_centre in 0..deployment.data_centres {
        let counts =
            [("p", deployment.prefill_per_data_centre), ("d", deployment.decode_per_data_centre)];
        for (start, count) in counts {
            for number in 0..count {
                let id = format!("{start}-{data_centre}-{number}").parse().expect("plain id");
                let port = 20_000 + places.len() as u16;
                places.push((id, data_centre, SocketAddr::from(([127, 0, 0, 1], port))));
            }
        }
    }
    places
}

fn document(deployment: &Deployment) -> Value {
    let mut servers = BTreeMap::new();
    for (id, place, address) in engine_places(deployment) {
        let role = if id.as_str().starts_with('p') { "prefill" } else { "decode" };
        let data_centre = data_centre(place);
        servers.insert(
            id.to_string(),
            json!({"data_centre": data_centre, "address": address, "role": role}),
        );
    }
    let engines: Vec<_> = servers.keys().cloned().collect();
    for number in 0..deployment.plain {
        let address = SocketAddr::from(([127, 0, 0, 1], 9_000 + number as u16));
        let data_centre = data_centre(number % deployment.data_centres);
        servers.insert(
            format!("s-{number}"),
            json!({"data_centre": data_centre, "address": address, "role": "plain"}),
        );
    }
    let kinds: BTreeMap<_, _> = deployment
        .kinds
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
            let usual = if from == to { NEAR_BYTES_PER_MS } else { FAR_BYTES_PER_MS };
            let rate = (usual as f64 * deployment.link_share) as u64;
            let name = format!("{}.{}", data_centre(from), data_centre(to));
            links.insert(name, json!({"rate_bytes_per_second": rate * 1_000}));
        }
    }
    json!({
        "version": 1,
        "caller_kinds": kinds,
        "models": {"m": {"default_version": "1", "versions": {"1": {"servers": engines}}}},
        "servers": servers,
        "links": links,
        "limits": {"kv_bytes_per_token": BYTES_PER_TOKEN, "tokens_per_piece": PIECE_TOKENS},
    })
}

fn holder(instance: usize) -> Holder {
    let instance: InstanceId = format!("i{instance}").parse().expect("plain id");
    Holder { instance, incarnation: Incarnation(1) }
}

fn data_centre(place: usize) -> DataCentreId {
    format!("dc{place}").parse().expect("plain id")
}

fn peer_address(instance: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 10_000 + instance as u16))
}
