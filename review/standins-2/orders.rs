//! Prefill runners that were ordered to change crash and start again under their ids.

mod kit;

use std::io::BufReader;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{SystemTime, UNIX_EPOCH};

use kit::{Message, Place, Record, Store};

/// `leaseMs` and `contactMs` of the small sites.
const LEASE_MS: u64 = 3_000;
const CONTACT_MS: u64 = 3_000;
/// `switchS` of the runners.
const SWITCH_MS: u64 = 6_000;
/// Time after an order at which its runner crashes, and for which it is down.
const CRASH_AFTER_MS: u64 = 100;
const DOWN_MS: u64 = 500;
/// Time for which orders are watched, and most runners that crash.
const WATCH_MS: u64 = 25_000;
const MAX_CRASHES: usize = 4;

/// An order that reached a runner.
#[derive(Clone, Debug)]
struct Order {
    at_ms: u64,
    runner: String,
    holder: String,
}

#[derive(Default)]
struct State {
    born: u64,
    stage: &'static str,
    sequence: u64,
    fence: u64,
    beats: u64,
    is_down: bool,
    /// Record time at which the order that is carried out will be done.
    changed_at_ms: Option<u64>,
    streams: Vec<TcpStream>,
}

/// A model runner that takes orders. Its memory is nearly used up if it makes tokens.
struct Runner {
    id: String,
    zone: String,
    address: SocketAddr,
    state: Mutex<State>,
    orders: Arc<Mutex<Vec<Order>>>,
    store: Arc<Store>,
    record: Record,
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

impl Runner {
    fn start(
        id: String,
        zone: &str,
        stage: &'static str,
        orders: &Arc<Mutex<Vec<Order>>>,
        store: &Arc<Store>,
        record: &Record,
    ) -> Arc<Self> {
        let listener =
            TcpListener::bind("127.0.0.1:0").unwrap_or_else(|_| kit::fail("no runner port"));
        let runner = Arc::new(Self {
            id,
            zone: zone.to_owned(),
            address: listener.local_addr().unwrap(),
            state: Mutex::new(State { born: unix_ms(), stage, ..State::default() }),
            orders: Arc::clone(orders),
            store: Arc::clone(store),
            record: record.clone(),
        });
        runner.beat();
        let served = Arc::clone(&runner);
        kit::serve(listener, move |stream| served.serve_connection(stream));
        runner
    }

    fn beat(&self) {
        let mut state = self.state.lock().unwrap();
        state.beats += 1;
        let entry = format!(
            r#"{{"service":"llm","address":"{}","zone":"{}","version":"v1","slots":64,"state":"ready","coldRemainingMs":0,"stage":"{}","models":[{{"name":"m","version":1,"adapters":[]}}],"sequence":{},"born":{}}}"#,
            self.address, self.zone, state.stage, state.beats, state.born
        );
        self.store.put(&format!("servers/{}", self.id), &entry);
    }

    /// Changes the stage once the order is carried out.
    fn finish_change(&self) {
        let mut state = self.state.lock().unwrap();
        let is_due = |at_ms: &u64| self.record.now_ms() >= *at_ms;
        if state.changed_at_ms.take_if(|at_ms| is_due(at_ms)).is_some() {
            state.stage = "decode";
            drop(state);
            self.record.note(format!("runner {} makes tokens now", self.id));
            self.beat();
        }
    }

    /// Crashes and starts again under the same id; it knows nothing of before.
    fn restart(&self) {
        {
            let mut state = self.state.lock().unwrap();
            state.is_down = true;
            for stream in state.streams.drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
        self.record.note(format!("runner {} crashes", self.id));
        kit::sleep_ms(DOWN_MS);
        {
            let mut state = self.state.lock().unwrap();
            *state = State { born: unix_ms(), stage: "prefill", ..State::default() };
            self.record.note(format!("runner {} starts again, born {}", self.id, state.born));
        }
        self.beat();
    }

    fn serve_connection(&self, stream: TcpStream) {
        {
            let mut state = self.state.lock().unwrap();
            if state.is_down {
                return;
            }
            state.streams.push(stream.try_clone().unwrap());
        }
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some(request) = kit::read_message(&mut reader) {
            if self.answer(&stream, &request).is_err() {
                return;
            }
        }
    }

    fn answer(&self, stream: &TcpStream, request: &Message) -> std::io::Result<()> {
        let json = [("Content-Type", "application/json")];
        if request.header("x-expect-instance").is_some_and(|id| id != self.id) {
            return kit::write_answer(stream, 421, &[("X-Instance-Id", &self.id)], "");
        }
        match request.target() {
            "/report" => {
                let (stage, sequence, is_busy) = {
                    let state = self.state.lock().unwrap();
                    (state.stage, state.sequence, state.changed_at_ms.is_some())
                };
                let (running, used) = if stage == "decode" { (8, 42_000) } else { (0, 0) };
                let body = format!(
                    r#"{{"stage":"{stage}","models":[{{"name":"m","version":1,"adapters":[]}}],"busy":{is_busy},"sequence":{sequence},"waiting":0,"running":{running},"kvUsed":{used},"kvTotal":58379,"kvHandles":0,"runs":[]}}"#
                );
                kit::write_answer(stream, 200, &json, &body)
            }
            "/order" => {
                let text = request.text();
                let (fence, expect) = (number(&text, "fence"), number(&text, "expect"));
                let holder = field(&text, "holder").trim_matches('"').to_owned();
                let mut state = self.state.lock().unwrap();
                let status = match () {
                    () if fence < state.fence => 412,
                    () if expect != state.sequence || state.changed_at_ms.is_some() => 409,
                    () => 202,
                };
                state.fence = state.fence.max(fence);
                let (at_ms, born) = (self.record.now_ms(), state.born);
                if status == 202 {
                    state.sequence += 1;
                    state.changed_at_ms = Some(at_ms + SWITCH_MS);
                }
                drop(state);
                self.record.note(format!(
                    "runner {} (born {born}) gets an order of {holder}, fence {fence}: {status}",
                    self.id
                ));
                let runner = self.id.clone();
                self.orders.lock().unwrap().push(Order { at_ms, runner, holder });
                kit::write_answer(stream, status, &json, "{}")
            }
            _ => kit::write_answer(stream, 503, &[("X-Not-Executed", "1")], ""),
        }
    }
}

fn field<'a>(text: &'a str, name: &str) -> &'a str {
    let rest = text.split_once(&format!("\"{name}\":")).map_or("", |(_, rest)| rest);
    rest.split([',', '}']).next().unwrap_or("").trim()
}

fn number(text: &str, name: &str) -> u64 {
    field(text, name).parse().unwrap_or(0)
}

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| kit::fail("no folder"));
    let record = Record::create(&Path::new(&folder).join("record.txt"));
    let store = Store::start(&record);
    let orders = Arc::new(Mutex::new(Vec::new()));
    let zones = ["zone-a", "zone-b", "zone-c"];
    let start = |number: usize, stage| {
        let id = format!("i-{stage}-{number}");
        Runner::start(id, zones[number % 3], stage, &orders, &store, &record)
    };
    let prefill: Vec<_> = (0..9).map(|number| start(number, "prefill")).collect();
    let _decode: Vec<_> = (0..3).map(|number| start(number, "decode")).collect();
    store.put("op/config", &configuration());
    let places: Vec<_> = (0..3)
        .map(|number| Place {
            name: format!("front-{}", number + 1),
            zone: zones[number].to_owned(),
            ip: format!("127.0.0.{}", 11 + number),
        })
        .collect();
    let instances = kit::start_instances(&places, store.address);
    kit::wait_until_ready(&instances);
    record.note("all instances are ready and never disturbed from here on");
    let started_ms = record.now_ms();

    let mut crashed = 0;
    let mut seen = 0;
    while record.now_ms() < started_ms + WATCH_MS {
        kit::sleep_ms(20);
        prefill.iter().for_each(|runner| runner.finish_change());
        let new: Vec<Order> = orders.lock().unwrap()[seen..].to_vec();
        seen += new.len();
        for order in new {
            let runner = prefill.iter().find(|runner| runner.id == order.runner);
            let is_first = orders.lock().unwrap().iter().filter(|it| it.runner == order.runner).count() == 1;
            let Some(runner) = runner.filter(|_| is_first && crashed < MAX_CRASHES) else {
                continue;
            };
            if kit::has_trouble() {
                crashed += 1;
                let runner = Arc::clone(runner);
                thread::spawn(move || {
                    kit::sleep_ms(CRASH_AFTER_MS);
                    runner.restart();
                });
            }
        }
    }
    let orders = orders.lock().unwrap().clone();
    if orders.is_empty() {
        kit::fail("no orders were given; see record.txt");
    }
    let mut is_broken = false;
    for (index, order) in orders.iter().enumerate() {
        let before = orders[..index].iter().rev().find(|it| it.runner == order.runner);
        let Some(before) = before.filter(|it| it.holder != order.holder) else {
            continue;
        };
        let gap_ms = order.at_ms - before.at_ms;
        let are_in_touch = before.at_ms > started_ms + CONTACT_MS;
        if gap_ms < LEASE_MS && are_in_touch {
            is_broken = true;
            record.note(format!(
                "BROKEN: {} gave an order to {} {gap_ms} ms after {} (bound {LEASE_MS} ms)",
                order.holder, order.runner, before.holder
            ));
        }
    }
    kit::end(if is_broken { kit::BROKEN } else { kit::HELD });
}

fn configuration() -> String {
    r#"{"version":7,"routes":[{"name":"r-1","host":"mods.example","pathPrefix":"/review/","kind":"streaming","timeoutMs":14000,"latencyTargetMs":900,"priority":1,"service":"llm","maxAttempts":2,"sessionAffinity":true,"resumable":true,"gapAimMs":300}],"services":[{"name":"llm","healthPath":"/health","maxConnections":370,"protocol":"h1","tls":false,"engine":{"slots":64,"kvCapacity":58379,"tokenKvBytes":35136,"linkMbps":740000.0,"moves":true,"backups":true,"stride":8,"most":12,"handleTtlS":0.5,"switchS":6.0,"pinMs":4000.0,"holdMs":2000.0,"models":[{"name":"m"}]}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#
        .to_owned()
}
