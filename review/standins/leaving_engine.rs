//! Case: a model runner is emptied while the runner that reads a prompt for it is slow.

#[path = "engine.rs"]
mod engine;
#[path = "kit.rs"]
mod kit;

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Instant;

use engine::State;
use kit::*;

const DRAIN_MS: u64 = 2_000;
/// Time after `drainMs` for which a runner that leaves goes on (`linger_ms` of the site file).
const LINGER_MS: u64 = 1_500;
/// The slow runner takes so many tenths of its usual time, for `SLOW_MS`.
const SLOWNESS: u64 = 75;
const SLOW_MS: u64 = 6_500;
/// Time from the start of the machine to the first request; it is in touch from `contactMs` on.
const START_MS: u64 = 4_000;
const REQUESTS: usize = 3;
const INTERVAL_MS: u64 = 100;
/// Time from the last request to the notice of the leaving runner.
const LEAVE_AFTER_MS: u64 = 100;
/// The longest prompt of the sheet's site file.
const PROMPT_TOKENS: u64 = 11_000;

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

fn post(id: &str) -> Vec<u8> {
    let body = "x".repeat(PROMPT_TOKENS as usize);
    format!(
        "POST /food/7 HTTP/1.1\r\nHost: quote.example\r\nX-Request-Id: {id}\r\nX-Model: m\r\n\
         X-Token-Usage: {PROMPT_TOKENS},67\r\nX-Length-Hint: 67\r\n\
         X-Prefix-Hash: 5c1e07a2:200,{}:{}\r\nX-Deadline-Ms: 14000\r\nContent-Length: {}\r\n\r\n{body}",
        &id[8..],
        PROMPT_TOKENS - 200,
        body.len()
    )
    .into_bytes()
}

fn main() {
    let folder = PathBuf::from(std::env::args().nth(1).expect("the folder of the case"));
    let record = Record::new();
    let code = run(&record);
    record.write(&folder.join("record.txt"));
    std::process::exit(code);
}

/// A runner with its server, whose entry is in the store.
struct Runner {
    state: Arc<State>,
    server: Server,
    born: u64,
}

fn start_runner(store: &Store, id: &str, stage: &str, record: &Arc<Record>) -> Runner {
    let state = State::new(id, stage, record);
    let runner = Runner { server: engine::start(&state, DRAIN_MS), state, born: unix_ms() };
    runner.register(store, "ready");
    record.line(format!("runner {id} is ready, stage {stage}"));
    runner
}

impl Runner {
    fn register(&self, store: &Store, state: &str) {
        let address = self.server.address.to_string();
        let stage = lock(&self.state.stage).clone();
        let entry = engine::entry("devis-llm", &address, "dkr-a", &stage, state, self.born);
        store.put(&format!("servers/{}", self.state.id), &entry);
    }
}

fn run(record: &Arc<Record>) -> i32 {
    let files = temporary_folder("review-leaving");
    let store = Store::start();
    store.put("op/config", &configuration());
    let prefill = start_runner(&store, "i-p1", "prefill", record);
    let decode = ["i-d1", "i-d2", "i-d3"].map(|id| start_runner(&store, id, "decode", record));
    let mut machine = Machine::start(
        &files,
        "front-dkr-a-1",
        "dkr-a",
        "127.0.0.1",
        free_port(),
        &["127.0.0.1"],
        store.address,
    );
    if !machine.wait_until_ready() {
        record.line("the machine didn't become ready");
        return 2;
    }
    thread::sleep(millis(START_MS));
    if has_trouble() {
        record.line(format!("runner {} turns slow for {SLOW_MS} ms", prefill.state.id));
        prefill.state.slowness.store(SLOWNESS, Ordering::SeqCst);
    }
    let slow_begin = Instant::now();
    let (whole, other) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let mut clients = Vec::new();
    for _ in 0..REQUESTS {
        let (record, front) = (Arc::clone(record), machine.front);
        let (whole, other) = (Arc::clone(&whole), Arc::clone(&other));
        clients.push(thread::spawn(move || {
            let id = new_id();
            record.line(format!("client sends {id}"));
            let (counter, text) = match exchange(front, &post(&id), 14_000) {
                Ok(reply) if reply.status == 200 && reply.is_whole => (whole, "200, whole".into()),
                Ok(reply) if reply.status == 200 => (other, "200, cut before its end".into()),
                Ok(reply) => (other, format!("{}", reply.status)),
                Err(error) => (other, error.to_string()),
            };
            counter.fetch_add(1, Ordering::SeqCst);
            record.line(format!("client has for {id}: {text}"));
        }));
        thread::sleep(millis(INTERVAL_MS));
    }
    thread::sleep(millis(LEAVE_AFTER_MS));
    // The runner that was the last to give a place to a request is emptied; sound ones are left.
    let holder = decode.iter().max_by_key(|runner| runner.state.last_hold());
    let leaving: Vec<_> = holder.into_iter().filter(|_| has_trouble()).collect();
    for runner in &leaving {
        runner.register(&store, "draining");
        *lock(&runner.state.left_at) = Some(Instant::now());
        record.line(format!("runner {} is draining: acknowledged by the store", runner.state.id));
    }
    let left = Instant::now();
    while slow_begin.elapsed() < millis(SLOW_MS) {
        thread::sleep(millis(10));
        if left.elapsed() > millis(DRAIN_MS + LINGER_MS) {
            for runner in &leaving {
                if !runner.server.has_ended() {
                    store.remove(&format!("servers/{}", runner.state.id));
                    record.line(format!("runner {} exits", runner.state.id));
                    runner.server.end();
                }
            }
        }
    }
    prefill.state.slowness.store(10, Ordering::SeqCst);
    clients.into_iter().for_each(|client| client.join().expect("no client panics"));
    let is_down = machine.has_ended();
    machine.kill();
    let late: usize = decode.iter().map(|runner| lock(&runner.state.late).len()).sum();
    let (whole, other) = (whole.load(Ordering::SeqCst), other.load(Ordering::SeqCst));
    record.line(format!(
        "whole answers: {whole}; others: {other}; requests that reached a runner too late: {late}"
    ));
    if is_down || whole + other != REQUESTS as u64 || leaving.is_empty() == has_trouble() {
        return 2;
    }
    i32::from(late > 0)
}
