//! The instances, the stand-ins and the course of a run: episodes of overlapping faults, and between
//! them calm times in which everything must work.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use turmericrail_fakes::FaultProxy;
use turmericrail_fakes::ports::free_address;
use turmericrail_fakes::registered::{FakeStore, RegisteredServer, configuration};

use crate::callers::{self, Callers, Record};
use crate::checks::{self, Executions};
use crate::fault::Fault;
use crate::instance::Instance;

/// Length of an episode of faults.
const EPISODE: Duration = Duration::from_millis(8_000);
/// Longest pause between the starts of two faults.
const MAX_GAP_MS: u64 = 400;
/// Longest fault.
const MAX_FAULT_MS: u64 = 3_000;
/// Time in which all instances serve again after the last fault; the platform's bound.
const RECOVERY: Duration = Duration::from_secs(12);
/// Time after the last fault from which on the bounds of calm times hold; the platform's bound.
const CATCH_UP: Duration = Duration::from_millis(4_000);
/// Time after which a leaving server gets nothing, with a moment for calls under way.
const DRAIN: Duration = Duration::from_millis(2_000);
/// Time for which new work at a leaving server is looked for after that.
const DRAIN_LOOK: Duration = Duration::from_millis(1_000);
/// Longest time for the requests of callers who have left to be forgotten.
const HELD_LIMIT: Duration = Duration::from_secs(5);
/// Time between looks at the instances.
const LOOK_STEP: Duration = Duration::from_millis(50);
/// Servers that a call may be sent to, also one that runs once at the most.
const ATTEMPTS: u64 = 2;
/// Plain servers, which come first among the servers.
pub const PLAIN_SERVERS: usize = 3;
/// Servers by id and role.
const SERVERS: [(&str, Option<&str>); 7] = [
    ("s1", None),
    ("s2", None),
    ("s3", None),
    ("p1", Some("prefill")),
    ("p2", Some("prefill")),
    ("d1", Some("decode")),
    ("d2", Some("decode")),
];

/// A server behind a link.
pub struct LinkedServer {
    /// The server.
    pub server: RegisteredServer,
    /// The link that its entry names.
    pub link: FaultProxy,
}

impl LinkedServer {
    fn start(store: &FakeStore, id: &str, role: Option<&'static str>) -> Self {
        let server = RegisteredServer::start(store, id, role).expect("loopback ports are free");
        let link = async_std::task::block_on(FaultProxy::start(server.address()));
        let linked = Self { server, link: link.expect("loopback ports are free") };
        linked.register(store, "ready");
        linked
    }

    /// Writes its entry.
    pub fn register(&self, store: &FakeStore, state: &str) {
        self.server.register_at(store, state, self.link.address);
    }

    /// Removes its entry.
    pub fn remove(&self, store: &FakeStore) {
        self.server.unregister(store);
    }
}

/// What a run came to.
#[derive(Default)]
pub struct Sums {
    /// Requests that were sent.
    pub requests: usize,
    /// Faults that began.
    pub faults: usize,
    /// Promises that broke.
    pub violations: Vec<String>,
}

impl Sums {
    fn violate(&mut self, problem: String) {
        println!("violation {problem}");
        self.violations.push(problem);
    }
}

/// The instances and the stand-ins.
pub struct World {
    /// The store.
    pub store: FakeStore,
    /// The instances.
    pub instances: Vec<Instance>,
    /// The servers.
    pub servers: Vec<LinkedServer>,
    version: u64,
    folder: PathBuf,
}

impl World {
    fn start(program: &Path, seed: u64, instances: usize) -> Self {
        let folder = std::env::temp_dir().join(format!("fault-soak-{}-{seed}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("the folder can be written");
        let store = FakeStore::start().expect("loopback ports are free");
        store.publish(&configuration(1, ATTEMPTS));
        let servers =
            SERVERS.iter().map(|(id, role)| LinkedServer::start(&store, id, *role)).collect();
        let peer_port = free_address().expect("loopback ports are free").port();
        let start = |number| Instance::start(program, &folder, number, &store, peer_port);
        let instances = (0..instances).map(start).collect();
        Self { store, instances, servers, version: 1, folder }
    }

    /// Publishes the next configuration.
    pub fn publish(&mut self) {
        self.version += 1;
        self.store.publish(&configuration(self.version, ATTEMPTS));
    }

    /// Executions at the servers that run requests.
    fn executions(&self) -> Executions {
        let mut executions = Executions::new();
        let running = self.servers.iter().filter(|it| !it.server.id.starts_with('p'));
        for seen in running.flat_map(|it| it.server.executed_calls()) {
            let id = seen.request_id().unwrap_or_default().to_owned();
            *executions.entry(id).or_default() += 1;
        }
        executions
    }
}

/// Runs instances of a program under faults until `end`.
pub fn run(program: PathBuf, seed: u64, instances: usize, end: Instant) -> Sums {
    let mut dice = fastrand::Rng::with_seed(seed);
    let mut world = World::start(&program, seed, instances);
    let mut sums = Sums::default();
    recover(&mut world, &mut sums);
    let addresses = world.instances.iter().map(|instance| instance.caller_address).collect();
    let mut callers = Callers::start(addresses, seed);
    let mut records = Vec::new();
    while Instant::now() < end {
        fault_episode(&mut world, &mut sums, &mut dice);
        let calm = Instant::now() + CATCH_UP;
        recover(&mut world, &mut sums);
        std::thread::sleep(calm.saturating_duration_since(Instant::now()));
        leave_in_calm(&mut world, &mut sums, &mut dice);
        end_in_calm(&mut world, &mut sums, &mut dice, &callers, &mut records);
        records.extend(callers.take_records());
    }
    callers.end();
    records.extend(callers.take_records());
    sums.requests = records.len();
    let executions = world.executions();
    for problem in records.iter().filter_map(|record| checks::check(record, &executions)) {
        sums.violate(problem);
    }
    look_for_held(&world, &mut sums);
    if sums.violations.is_empty() {
        let _ = std::fs::remove_dir_all(&world.folder);
    } else {
        println!("logs of the instances: {}", world.folder.display());
    }
    sums
}

/// Faults that overlap, each of a drawn length.
fn fault_episode(world: &mut World, sums: &mut Sums, dice: &mut fastrand::Rng) {
    let end = Instant::now() + EPISODE;
    let mut active: BTreeMap<Instant, Fault> = BTreeMap::new();
    let mut next = Instant::now();
    while Instant::now() < end {
        if Instant::now() >= next {
            let fault = Fault::draw(dice, world.instances.len(), world.servers.len());
            fault.begin(world);
            sums.faults += 1;
            let length = Duration::from_millis(dice.u64(100..MAX_FAULT_MS));
            active.insert(Instant::now() + length, fault);
            next = Instant::now() + Duration::from_millis(dice.u64(0..MAX_GAP_MS));
        }
        let later = active.split_off(&Instant::now());
        for (_, fault) in std::mem::replace(&mut active, later) {
            fault.end(world);
        }
        look(world, sums);
    }
    for (_, fault) in active {
        fault.end(world);
    }
}

/// Looks whether a configuration went back.
fn look(world: &mut World, sums: &mut Sums) {
    std::thread::sleep(LOOK_STEP);
    let number = fastrand::usize(..world.instances.len());
    if world.instances[number].has_gone_back() {
        sums.violate(format!("configuration_went_back instance={number}"));
    }
}

/// Waits until every instance serves every route again.
fn recover(world: &mut World, sums: &mut Sums) {
    let begin = Instant::now();
    let mut broken = Vec::new();
    for (number, instance) in world.instances.iter().enumerate() {
        for route in ["read", "order", "stream", "resumable"] {
            let mut attempt = 0;
            let mut is_served = || {
                attempt += 1;
                let id = format!("probe-{number}-{route}-{attempt}-{}", sums.faults);
                let answer =
                    callers::exchange(instance.caller_address, &callers::request(route, &id));
                answer.is_some_and(|answer| answer.status() == 200 && answer.is_complete)
            };
            let mut is_back = is_served();
            while !is_back && begin.elapsed() < RECOVERY {
                std::thread::sleep(LOOK_STEP);
                is_back = is_served();
            }
            if !is_back {
                broken.push(format!("not_recovered instance={number} route={route}"));
            }
        }
    }
    broken.into_iter().for_each(|problem| sums.violate(problem));
}

/// In calm, a server leaves and gets nothing once the bound has passed.
fn leave_in_calm(world: &mut World, sums: &mut Sums, dice: &mut fastrand::Rng) {
    let leaving = &world.servers[dice.usize(..world.servers.len())];
    if dice.bool() {
        leaving.register(&world.store, "draining");
    } else {
        leaving.remove(&world.store);
    }
    let bound = Instant::now() + DRAIN;
    std::thread::sleep(DRAIN + DRAIN_LOOK);
    let late = leaving.server.executed_calls().iter().filter(|seen| seen.at > bound).count();
    leaving.register(&world.store, "ready");
    if late > 0 {
        sums.violate(format!("work_at_leaving server={} calls={late}", leaving.server.id));
    }
}

/// In calm, an instance ends in order and cuts no request that it had taken.
fn end_in_calm(
    world: &mut World,
    sums: &mut Sums,
    dice: &mut fastrand::Rng,
    callers: &Callers,
    records: &mut Vec<Record>,
) {
    std::thread::sleep(DRAIN);
    let number = dice.usize(..world.instances.len());
    records.extend(callers.take_records());
    let begin = Instant::now();
    if !world.instances[number].end() {
        sums.violate(format!("did_not_end instance={number}"));
    }
    world.instances[number].restart();
    recover(world, sums);
    let fresh = callers.take_records();
    // A request that crosses the close may be lost unread; one of which a server knows was read.
    let executions = world.executions();
    let is_cut = |record: &&Record| {
        let answer = record.answer.as_ref().ok().and_then(Option::as_ref);
        let has_answer = answer.is_some_and(|answer| answer.is_complete);
        let is_concerned = record.instance == number && record.sent < begin;
        is_concerned && !has_answer && executions.contains_key(&record.id)
    };
    for record in fresh.iter().filter(is_cut) {
        sums.violate(format!("cut_by_end request={} route={}", record.id, record.route));
    }
    records.extend(fresh);
}

/// Once all callers have left, no instance counts a request any more.
fn look_for_held(world: &World, sums: &mut Sums) {
    let begin = Instant::now();
    for (number, instance) in world.instances.iter().enumerate() {
        let calls = || instance.status().and_then(|status| status["calls"].as_u64());
        while calls() != Some(0) && begin.elapsed() < HELD_LIMIT {
            std::thread::sleep(LOOK_STEP);
        }
        if calls() != Some(0) {
            sums.violate(format!("held instance={number} calls={:?}", calls()));
        }
    }
}
