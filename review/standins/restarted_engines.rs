//! Case: a model runner crashes just after it has accepted an order, and starts again under the id
//! that it had.

#[path = "engine.rs"]
mod engine;
#[path = "kit.rs"]
mod kit;

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Instant;

use engine::State;
use kit::*;

const DRAIN_MS: u64 = 2_000;
/// `leaseMs` of the sheet.
const LEASE_S: f64 = 3.0;
const ZONES: [&str; 3] = ["dkr-a", "dkr-b", "dkr-c"];
const PREFILL_RUNNERS: usize = 5;
const DECODE_RUNNERS: usize = 4;
/// Time from an accepted order to the crash, and from the crash to the next start.
const CRASH_DELAY_MS: u64 = 300;
const DOWN_MS: u64 = 500;
/// Runners that may crash in one run of the case, one at a time.
const MAX_CRASHES: usize = 6;
const LENGTH_MS: u64 = 40_000;
/// Memory in use at the decode runners: more than half, so that runners are ordered to generate.
const KV_USED: u64 = 60_000;
/// Requests that take it.
const RUNNING: u64 = 9;

fn configuration() -> String {
    r#"{"version":3,"routes":[{"name":"r-food","host":"quote.example","pathPrefix":"/food/",
    "kind":"streaming","timeoutMs":14000,"latencyTargetMs":900,"priority":1,"service":"devis-llm",
    "maxAttempts":1,"sessionAffinity":true,"resumable":false,"gapAimMs":300}],
    "services":[{"name":"devis-llm","healthPath":"/health","maxConnections":370,"protocol":"h1",
    "tls":false,"engine":{"slots":64,"kvCapacity":65384,"tokenKvBytes":35136,"linkMbps":740000.0,
    "moves":true,"backups":true,"stride":8,"most":12,"handleTtlS":0.5,"switchS":6.0,"pinMs":4000.0,
    "holdMs":2000.0,"models":[{"name":"m"}]}}],"limits":{"maxHeaderBytes":16384,
    "maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#
        .to_owned()
}

fn main() {
    let folder = PathBuf::from(std::env::args().nth(1).expect("the folder of the case"));
    let record = Record::new();
    let code = run(&record);
    record.write(&folder.join("record.txt"));
    std::process::exit(code);
}

/// A runner: its boots come one after the other, under one id and address.
struct Runner {
    id: String,
    zone: &'static str,
    stage: &'static str,
    state: Arc<State>,
    server: Option<Server>,
    address: String,
    /// Holder and time of each order that came to any boot.
    orders: Vec<(String, u64, f64)>,
    boots: usize,
    born: u64,
}

impl Runner {
    fn start(number: usize, stage: &'static str, store: &Store, record: &Arc<Record>) -> Self {
        let id = format!("i-{}{number}", &stage[..1]);
        let state = State::new(&id, stage, record);
        let mut runner = Self {
            id,
            zone: ZONES[number % ZONES.len()],
            stage,
            state,
            server: None,
            address: "127.0.0.1:0".to_owned(),
            orders: Vec::new(),
            boots: 0,
            born: 0,
        };
        runner.boot(store, record);
        runner
    }

    /// Starts a process of the runner, which knows nothing of an earlier one.
    fn boot(&mut self, store: &Store, record: &Arc<Record>) {
        self.state = State::new(&self.id, self.stage, record);
        if self.stage == "decode" {
            self.state.kv_used.store(KV_USED, Ordering::SeqCst);
            self.state.running.store(RUNNING, Ordering::SeqCst);
        }
        let server = engine::start_at(&self.state, DRAIN_MS, &self.address);
        self.address = server.address.to_string();
        self.server = Some(server);
        self.boots += 1;
        self.born = unix_ms();
        record.line(format!("runner {} starts, boot {}, born {}", self.id, self.boots, self.born));
        self.register(store, self.born);
    }

    fn register(&self, store: &Store, born: u64) {
        let entry = engine::entry("devis-llm", &self.address, self.zone, self.stage, "ready", born);
        store.put(&format!("servers/{}", self.id), &entry);
    }

    fn crash(&mut self, record: &Record) {
        record.line(format!("runner {} crashes", self.id));
        if let Some(server) = self.server.take() {
            server.end();
        }
    }

    fn collect_orders(&mut self) {
        self.orders.extend(lock(&self.state.orders).drain(..));
    }
}

fn run(record: &Arc<Record>) -> i32 {
    let files = temporary_folder("review-restarted");
    let store = Store::start();
    store.put("op/config", &configuration());
    let mut runners: Vec<_> =
        (1..=PREFILL_RUNNERS).map(|it| Runner::start(it, "prefill", &store, record)).collect();
    runners.extend((1..=DECODE_RUNNERS).map(|it| Runner::start(it, "decode", &store, record)));
    let peer_port = free_port();
    let seeds = ["127.0.1.1", "127.0.1.2", "127.0.1.3"];
    let mut machines: Vec<_> = (1..=3)
        .map(|number| {
            let zone = ZONES[number - 1];
            let (name, ip) = (format!("front-{zone}-1"), format!("127.0.1.{number}"));
            Machine::start(&files, &name, zone, &ip, peer_port, &seeds, store.address)
        })
        .collect();
    if !machines.iter().all(Machine::wait_until_ready) {
        record.line("a machine didn't become ready");
        return 2;
    }
    let begin = Instant::now();
    let mut crashes = 0;
    let mut changing: Vec<(usize, Instant)> = Vec::new();
    while begin.elapsed() < millis(LENGTH_MS) {
        thread::sleep(millis(50));
        for index in 0..runners.len() {
            let accepted = runners[index].state.busy.swap(false, Ordering::SeqCst);
            if !accepted {
                continue;
            }
            if has_trouble() && crashes < MAX_CRASHES && runners[index].boots <= 2 {
                crashes += 1;
                runners[index].state.busy.store(true, Ordering::SeqCst);
                thread::sleep(millis(CRASH_DELAY_MS));
                let runner = &mut runners[index];
                runner.crash(record);
                runner.collect_orders();
                thread::sleep(millis(DOWN_MS));
                runner.boot(&store, record);
                continue;
            }
            runners[index].state.busy.store(true, Ordering::SeqCst);
            if !changing.iter().any(|(known, _)| *known == index) {
                changing.push((index, Instant::now()));
            }
        }
        // A change of the stage takes `switchS`.
        changing.retain(|(index, since)| {
            if since.elapsed() < millis(6_000) {
                return true;
            }
            let runner = &mut runners[*index];
            runner.stage = "decode";
            *lock(&runner.state.stage) = "decode".to_owned();
            runner.state.kv_used.store(KV_USED, Ordering::SeqCst);
            runner.state.busy.store(false, Ordering::SeqCst);
            record.line(format!("runner {} has changed its stage", runner.id));
            runner.register(&store, runner.born);
            false
        });
    }
    let is_down = machines.iter_mut().any(Machine::has_ended);
    machines.iter_mut().for_each(Machine::kill);
    let (mut broken, mut count) = (0, 0);
    for runner in &mut runners {
        runner.collect_orders();
        count += runner.orders.len();
        for pair in runner.orders.windows(2) {
            let [(one, one_fence, one_at), (other, other_fence, other_at)] = pair else {
                continue;
            };
            if one != other && other_at - one_at <= LEASE_S {
                broken += 1;
                record.line(format!(
                    "BROKEN: runner {} gets orders of two holders within {:.3} s: {one} (epoch \
                     {one_fence}) and {other} (epoch {other_fence}); the lease lasts {LEASE_S} s",
                    runner.id,
                    other_at - one_at
                ));
            }
        }
    }
    record.line(format!("orders: {count}; crashes: {crashes}; turns within a lease: {broken}"));
    if is_down || count == 0 {
        return 2;
    }
    i32::from(broken > 0)
}
