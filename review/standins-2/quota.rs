//! All machines lose their processes at once, and those that are named as seeds don't come back.

mod kit;

use std::io::BufReader;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use kit::{Place, Record, Store};

/// The cap of the tenant, in tokens, and the bounds of the site.
const RATE_PER_S: u64 = 60_000;
const BURST: u64 = 30_000;
const WINDOW_MS: u64 = 8_000;
const OVERAGE: f64 = 0.25;
const SLACK: u64 = 190_000;
/// Tokens of a request, and time between two requests to one machine.
const TOKENS: u64 = 5_000;
const REQUEST_INTERVAL_MS: u64 = 40;
/// Time for which processes that were killed are gone, and for which the seeds are.
const RESTART_MS: u64 = 300;
const SEEDS_DOWN_MS: u64 = 5_000;
/// Machines; the first three are the seeds.
const MACHINES: usize = 9;
const SEEDS: usize = 3;

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| kit::fail("no folder"));
    let record = Record::create(&Path::new(&folder).join("record.txt"));
    let store = Store::start(&record);
    let runs = Arc::new(Mutex::new(Vec::new()));
    start_server(&store, &runs, &record);
    store.put("op/config", &configuration());
    let zones = ["zone-a", "zone-b", "zone-c"];
    let places: Vec<_> = (0..MACHINES)
        .map(|number| Place {
            name: format!("front-{}", number + 1),
            zone: zones[number % 3].to_owned(),
            ip: format!("127.0.0.{}", 11 + number),
        })
        .collect();
    let instances = kit::start_instances(&places, store.address);
    kit::wait_until_ready(&instances);
    record.note("all instances are ready; front-1 to front-3 are the seeds");
    let started_ms = record.now_ms();
    record.wait_until(started_ms + 5_000);
    let has_ended = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for instance in &instances {
        let (address, name) = (instance.caller_address, instance.name.clone());
        let (record, has_ended) = (record.clone(), Arc::clone(&has_ended));
        clients.push(thread::spawn(move || send_requests(address, &name, &record, &has_ended)));
    }
    record.wait_until(started_ms + 10_000);
    if kit::has_trouble() {
        kit::kill(|_| true);
        record.note("all processes are killed");
        let killed_ms = record.now_ms();
        record.wait_until(killed_ms + RESTART_MS);
        places[SEEDS..].iter().for_each(|place| kit::start_process(&place.name));
        record.note("front-4 to front-9 are started again");
        record.wait_until(killed_ms + SEEDS_DOWN_MS);
        places[..SEEDS].iter().for_each(|place| kit::start_process(&place.name));
        record.note("front-1 to front-3, the seeds, are started again");
    }
    record.wait_until(started_ms + 28_000);
    has_ended.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| client.join().unwrap());

    let mut runs = runs.lock().unwrap().clone();
    runs.sort_unstable();
    if runs.is_empty() {
        kit::fail("no request was run; see record.txt");
    }
    let in_window = |begin_ms: u64| {
        let count = runs.iter().filter(|at| (begin_ms..begin_ms + WINDOW_MS).contains(*at)).count();
        count as u64 * TOKENS
    };
    for begin_ms in (started_ms / 1_000 * 1_000..record.now_ms()).step_by(1_000) {
        let count = runs.iter().filter(|at| (begin_ms..begin_ms + 1_000).contains(*at)).count() as u64;
        record.note(format!("from {begin_ms} ms: {} tokens were run in a second", count * TOKENS));
    }
    let (most, begin_ms) = runs.iter().map(|begin| (in_window(*begin), *begin)).max().unwrap();
    let within = (RATE_PER_S * WINDOW_MS / 1_000 + BURST) as f64;
    let allowed = (within * (1.0 + OVERAGE)) as u64 + SLACK;
    record.note(format!(
        "most tokens of the tenant in {WINDOW_MS} ms: {most}, from {begin_ms} ms; allowed: {allowed}"
    ));
    if most > allowed {
        record.note("BROKEN: the tenant's cap is exceeded by more than the rule allows");
    }
    kit::end(if most > allowed { kit::BROKEN } else { kit::HELD });
}

fn send_requests(address: SocketAddr, machine: &str, record: &Record, has_ended: &AtomicBool) {
    let (mut number, mut served, mut refused, mut other) = (0, 0, 0, 0);
    while !has_ended.load(Ordering::SeqCst) {
        number += 1;
        let request = format!(
            "GET /read/x HTTP/1.1\r\nHost: cards.example\r\nAuthorization: Token key-1\r\n\
             X-Request-Id: {machine}.{number}\r\nX-Token-Usage: {},{}\r\nX-Deadline-Ms: 1500\r\n\
             Connection: close\r\n\r\n",
            TOKENS - 100,
            100
        );
        match kit::exchange(address, &request, 2_000).map_or(0, |answer| answer.status()) {
            200 => served += 1,
            429 => refused += 1,
            _ => other += 1,
        }
        kit::sleep_ms(REQUEST_INTERVAL_MS);
    }
    record.note(format!(
        "clients of {machine}: {number} requests, {served} got 200, {refused} got 429, {other} something else or nothing"
    ));
}

fn start_server(store: &Store, runs: &Arc<Mutex<Vec<u64>>>, record: &Record) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|_| kit::fail("no server port"));
    let address = listener.local_addr().unwrap();
    let (runs, record) = (Arc::clone(runs), record.clone());
    kit::serve(listener, move |stream| {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some(request) = kit::read_message(&mut reader) {
            let id = request.header("x-request-id").unwrap_or("").to_owned();
            runs.lock().unwrap().push(record.now_ms());
            kit::sleep_ms(5);
            let fields = [("X-Request-Id", id.as_str()), ("X-Response-Signature", "s.1")];
            if kit::write_answer(&stream, 200, &fields, "read").is_err() {
                return;
            }
        }
    });
    let entry = format!(
        r#"{{"service":"shop","address":"{address}","zone":"zone-a","version":"v1","slots":64,"state":"ready","coldRemainingMs":0,"sequence":1,"born":1780000000000}}"#
    );
    store.put("servers/i-shop", &entry);
}

fn configuration() -> String {
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-1","host":"cards.example","pathPrefix":"/read/","kind":"safe","timeoutMs":1500,"latencyTargetMs":300,"priority":2,"service":"shop","maxAttempts":2}}],"services":[{{"name":"shop","healthPath":"/health","maxConnections":490,"protocol":"h1","tls":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"tailor","apiKeys":["key-1"],"priority":1,"unit":"token_count","plainTokens":100,"ratePerS":{RATE_PER_S},"burst":{BURST}}}]}}"#
    )
}
