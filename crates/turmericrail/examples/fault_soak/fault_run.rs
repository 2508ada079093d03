//! The course of a run: episodes of overlapping faults, and calm periods between them in which
//! everything must work.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use turmericrail_fakes::FaultProxy;
use turmericrail_fakes::ports::free_address;
use turmericrail_fakes::registered::{Behaviour, FakeStore, RegisteredServer, configuration};

use crate::call_counts;
use crate::callers::{self, Callers, RequestRecord};
use crate::checks::{self, Executions};
use crate::crowd::Crowd;
use crate::fault::Fault;
use crate::instance::{Instance, Programs};

const EPISODE_DURATION: Duration = Duration::from_millis(8_000);
/// Longest time between the starts of two faults.
const MAX_FAULT_INTERVAL_MS: u64 = 400;
const MAX_FAULT_DURATION_MS: u64 = 3_000;
/// Time within which the platform requires all instances to serve again after the last fault.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);
/// Time after the last fault from which on the bounds of calm periods apply, as the platform
/// requires.
const CATCH_UP_BOUND: Duration = Duration::from_millis(4_000);
/// Time after which a leaving server must get no more calls, with a margin for calls under way.
const DRAIN_BOUND: Duration = Duration::from_millis(2_000);
/// Time after `DRAIN_BOUND` in which calls at the leaving server count as violations.
const DRAIN_CHECK_DURATION: Duration = Duration::from_millis(1_000);
/// Time after a server first names a limit from which the limit must hold.
const LIMIT_CONTACT: Duration = Duration::from_secs(3);
/// Time after it for which the calls of the limited server are checked.
const LIMIT_CHECK_DURATION: Duration = Duration::from_secs(5);
/// Greatest limit that a server names, in calls a second.
const MAX_LIMIT_PER_S: f64 = 4.0;
/// Time within which instances must release the requests of callers that have left.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time between checks of the instances.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of servers to which a call is sent, also on routes that run at most once.
const MAX_ATTEMPTS: u64 = 2;
/// Number of plain servers; they come first in `SERVERS`.
pub const PLAIN_SERVERS: usize = 3;
/// Id and role of each server; no role for plain servers.
const SERVERS: [(&str, Option<&str>); 7] = [
    ("s1", None),
    ("s2", None),
    ("s3", None),
    ("p1", Some("prefill")),
    ("p2", Some("prefill")),
    ("d1", Some("decode")),
    ("d2", Some("decode")),
];

/// A server behind a fault proxy.
pub struct ProxiedServer {
    pub server: RegisteredServer,
    /// The proxy, whose address the server's entry names.
    pub proxy: FaultProxy,
}

impl ProxiedServer {
    fn start(store: &FakeStore, id: &str, role: Option<&'static str>) -> Self {
        let server = RegisteredServer::start(store, id, role).expect("loopback ports are free");
        let proxy = async_std::task::block_on(FaultProxy::start(server.address()));
        let proxied_server = Self { server, proxy: proxy.expect("loopback ports are free") };
        proxied_server.register(store, "ready");
        proxied_server
    }

    /// Writes the server's entry.
    pub fn register(&self, store: &FakeStore, state: &str) {
        self.server.register_at(store, state, self.proxy.address);
    }

    /// Removes the server's entry.
    pub fn remove(&self, store: &FakeStore) {
        self.server.unregister(store);
    }
}

/// Totals of a run.
#[derive(Default)]
pub struct Totals {
    pub requests: usize,
    pub faults: usize,
    /// Violated guarantees.
    pub violations: Vec<String>,
}

impl Totals {
    fn report_violation(&mut self, violation: String) {
        println!("violation {violation}");
        self.violations.push(violation);
    }
}

/// The instances and fake servers of a run.
pub struct FaultRun {
    pub store: FakeStore,
    pub instances: Vec<Instance>,
    pub servers: Vec<ProxiedServer>,
    version: u64,
    folder: PathBuf,
}

impl FaultRun {
    fn start(programs: &Programs, seed: u64, instances: usize) -> Self {
        let folder = std::env::temp_dir().join(format!("fault-soak-{}-{seed}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("the folder can be written");
        let store = FakeStore::start().expect("loopback ports are free");
        store.publish(&configuration(1, MAX_ATTEMPTS));
        let servers =
            SERVERS.iter().map(|(id, role)| ProxiedServer::start(&store, id, *role)).collect();
        let peer_ports: [u16; 2] =
            std::array::from_fn(|_| free_address().expect("loopback ports are free").port());
        let start = |number| Instance::start(programs, &folder, number, &store, peer_ports);
        let instances = (0..instances).map(start).collect();
        Self { store, instances, servers, version: 1, folder }
    }

    /// Publishes the next configuration version.
    pub fn publish(&mut self) {
        self.version += 1;
        self.store.publish(&configuration(self.version, MAX_ATTEMPTS));
    }

    /// Counts the executions at the plain and decode servers; prefill servers run no requests.
    fn executions(&self) -> Executions {
        let mut executions = Executions::new();
        let executing_servers =
            self.servers.iter().filter(|proxied| !proxied.server.id.starts_with('p'));
        for executed_call in executing_servers.flat_map(|proxied| proxied.server.executed_calls()) {
            let id = executed_call.request_id().unwrap_or_default().to_owned();
            *executions.entry(id).or_default() += 1;
        }
        executions
    }
}

/// Runs instances of a program under faults; no new episode begins after `end`.
pub fn run(
    programs: Programs,
    seed: u64,
    instances: usize,
    end: Instant,
    answer_faults: &[Behaviour],
) -> Totals {
    let mut rng = fastrand::Rng::with_seed(seed);
    // Apart, so that the seeds of earlier failures play the same faults as then.
    let mut limit_rng = fastrand::Rng::with_seed(seed);
    let mut answer_rng = fastrand::Rng::with_seed(seed);
    let mut crowd_rng = fastrand::Rng::with_seed(seed);
    let mut run = FaultRun::start(&programs, seed, instances);
    let mut totals = Totals::default();
    await_recovery(&mut run, &mut totals);
    let addresses = run.instances.iter().map(|instance| instance.caller_address).collect();
    let mut callers = Callers::start(addresses, seed);
    let mut records = Vec::new();
    while Instant::now() < end {
        set_answer_faults(&run, &mut answer_rng, answer_faults);
        let crowded = crowd_rng.usize(..run.instances.len());
        let crowd = Crowd::start(run.instances[crowded].caller_address);
        run_fault_episode(&mut run, &mut totals, &mut rng);
        drop(crowd);
        run.servers.iter().for_each(|server| server.server.set_behaviour(Behaviour::Answer));
        let calm_start = Instant::now() + CATCH_UP_BOUND;
        await_recovery(&mut run, &mut totals);
        std::thread::sleep(calm_start.saturating_duration_since(Instant::now()));
        check_leaving_server(&mut run, &mut totals, &mut rng);
        check_limited_server(&run, &mut totals, &mut limit_rng);
        check_graceful_stop(&mut run, &mut totals, &mut rng, &callers, &mut records);
        records.extend(callers.take_records());
    }
    callers.stop();
    records.extend(callers.take_records());
    totals.requests = records.len();
    let executions = run.executions();
    for violation in records.iter().filter_map(|record| checks::check(record, &executions)) {
        totals.report_violation(violation);
    }
    check_repeated_calls(&run, &mut totals, &records);
    check_released_requests(&run, &mut totals);
    if totals.violations.is_empty() {
        let _ = std::fs::remove_dir_all(&run.folder);
    } else {
        println!("logs of the instances: {}", run.folder.display());
    }
    totals
}

/// Has one server answer each call wrongly, unless a fault of the episode says otherwise.
fn set_answer_faults(run: &FaultRun, rng: &mut fastrand::Rng, answer_faults: &[Behaviour]) {
    let server = rng.usize(..run.servers.len());
    if let Some(behaviour) = rng.choice(answer_faults) {
        run.servers[server].server.set_behaviour(*behaviour);
    }
}

/// Injects overlapping faults of random lengths.
fn run_fault_episode(run: &mut FaultRun, totals: &mut Totals, rng: &mut fastrand::Rng) {
    let end = Instant::now() + EPISODE_DURATION;
    let mut active: BTreeMap<Instant, Fault> = BTreeMap::new();
    let mut next_start = Instant::now();
    while Instant::now() < end {
        if Instant::now() >= next_start {
            let fault = Fault::random(rng, run.instances.len(), run.servers.len());
            fault.start(run);
            totals.faults += 1;
            let duration = Duration::from_millis(rng.u64(100..MAX_FAULT_DURATION_MS));
            active.insert(Instant::now() + duration, fault);
            next_start = Instant::now() + Duration::from_millis(rng.u64(0..MAX_FAULT_INTERVAL_MS));
        }
        let not_due = active.split_off(&Instant::now());
        for (_, fault) in std::mem::replace(&mut active, not_due) {
            fault.end(run);
        }
        check_config_version(run, totals);
    }
    for (_, fault) in active {
        fault.end(run);
    }
}

/// Checks that the configuration version of a random instance has not gone back.
fn check_config_version(run: &mut FaultRun, totals: &mut Totals) {
    std::thread::sleep(CHECK_INTERVAL);
    let number = fastrand::usize(..run.instances.len());
    if run.instances[number].has_version_gone_back() {
        totals.report_violation(format!("configuration_went_back instance={number}"));
    }
}

/// Waits until every instance serves every route again; a violation if one takes too long.
fn await_recovery(run: &mut FaultRun, totals: &mut Totals) {
    let begin = Instant::now();
    let mut violations = Vec::new();
    for (number, instance) in run.instances.iter().enumerate() {
        for route in ["read", "order", "stream", "resumable"] {
            let mut attempt = 0;
            let mut is_served = || {
                attempt += 1;
                let id = format!("probe-{number}-{route}-{attempt}-{}", totals.faults);
                let answer =
                    callers::exchange(instance.caller_address, &callers::request(route, &id));
                answer.is_some_and(|answer| answer.status() == 200 && answer.is_complete)
            };
            let mut has_recovered = is_served();
            while !has_recovered && begin.elapsed() < RECOVERY_TIMEOUT {
                std::thread::sleep(CHECK_INTERVAL);
                has_recovered = is_served();
            }
            if !has_recovered {
                violations.push(format!("not_recovered instance={number} route={route}"));
            }
        }
    }
    violations.into_iter().for_each(|violation| totals.report_violation(violation));
}

/// Removes a random server in a calm period, and checks that it gets no calls once the bound has
/// passed.
fn check_leaving_server(run: &mut FaultRun, totals: &mut Totals, rng: &mut fastrand::Rng) {
    let leaving = &run.servers[rng.usize(..run.servers.len())];
    if rng.bool() {
        leaving.register(&run.store, "draining");
    } else {
        leaving.remove(&run.store);
    }
    let bound = Instant::now() + DRAIN_BOUND;
    std::thread::sleep(DRAIN_BOUND + DRAIN_CHECK_DURATION);
    let late_calls = leaving
        .server
        .executed_calls()
        .iter()
        .filter(|executed_call| executed_call.at > bound)
        .count();
    leaving.register(&run.store, "ready");
    if late_calls > 0 {
        totals.report_violation(format!(
            "work_at_leaving server={} calls={late_calls}",
            leaving.server.id
        ));
    }
}

/// Lets a random server name a limit in a calm period, and checks that it gets no more calls.
fn check_limited_server(run: &FaultRun, totals: &mut Totals, rng: &mut fastrand::Rng) {
    let limited = &run.servers[rng.usize(..run.servers.len())].server;
    let limit_per_s = 1.0 + rng.f64() * (MAX_LIMIT_PER_S - 1.0);
    limited.set_notices(&format!("Server-Limit: {limit_per_s}\r\n"));
    let start = Instant::now() + LIMIT_CONTACT;
    std::thread::sleep(LIMIT_CONTACT + LIMIT_CHECK_DURATION);
    let call_times = limited.call_times();
    limited.set_notices("");
    let violation = call_counts::check_limited(&limited.id, limit_per_s, call_times, start);
    violation.into_iter().for_each(|violation| totals.report_violation(violation));
}

/// Checks the calls beyond the first of each request against the bound on retries, by service.
fn check_repeated_calls(run: &FaultRun, totals: &mut Totals, records: &[RequestRecord]) {
    let (plain_servers, engines) = run.servers.split_at(PLAIN_SERVERS);
    let services =
        [("desk", plain_servers, ["read", "order"]), ("llm", engines, ["stream", "resumable"])];
    for (service, servers, routes) in services {
        let arrivals = servers.iter().flat_map(|proxied| proxied.server.arrivals()).collect();
        let records: Vec<_> =
            records.iter().filter(|record| routes.contains(&record.route)).collect();
        let violation = call_counts::check_repeated(service, arrivals, &records);
        violation.into_iter().for_each(|violation| totals.report_violation(violation));
    }
}

/// Stops a random instance in a calm period, and checks that it cuts no request that it had
/// accepted.
fn check_graceful_stop(
    run: &mut FaultRun,
    totals: &mut Totals,
    rng: &mut fastrand::Rng,
    callers: &Callers,
    records: &mut Vec<RequestRecord>,
) {
    std::thread::sleep(DRAIN_BOUND);
    let number = rng.usize(..run.instances.len());
    records.extend(callers.take_records());
    let begin = Instant::now();
    if !run.instances[number].stop() {
        totals.report_violation(format!("did_not_end instance={number}"));
    }
    run.instances[number].restart();
    await_recovery(run, totals);
    let new_records = callers.take_records();
    // A request sent while the connection closes may be lost unread; one that a server has seen was
    // read.
    let executions = run.executions();
    let was_cut = |record: &&RequestRecord| {
        let answer = record.answer.as_ref().ok().and_then(Option::as_ref);
        let has_answer = answer.is_some_and(|answer| answer.is_complete);
        let is_affected = record.instance == number && record.sent < begin;
        is_affected && !has_answer && executions.contains_key(&record.id)
    };
    for record in new_records.iter().filter(was_cut) {
        totals.report_violation(format!("cut_by_end request={} route={}", record.id, record.route));
    }
    records.extend(new_records);
}

/// Checks that no instance counts a request once all callers have left.
fn check_released_requests(run: &FaultRun, totals: &mut Totals) {
    let begin = Instant::now();
    for (number, instance) in run.instances.iter().enumerate() {
        let calls = || instance.status().and_then(|status| status["calls"].as_u64());
        while calls() != Some(0) && begin.elapsed() < RELEASE_TIMEOUT {
            std::thread::sleep(CHECK_INTERVAL);
        }
        if calls() != Some(0) {
            totals.report_violation(format!("held instance={number} calls={:?}", calls()));
        }
    }
}
