//! Case: many clients come at once, each with a body as long as the configuration allows. The
//! platform kills a process that exceeds its memory, and starts it again.

#[path = "kit.rs"]
mod kit;

use std::fs;
use std::io::Write;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use kit::*;

/// `memoryMb` of the sheet.
const MEMORY_MB: u64 = 88;
/// `maxBodyBytes` of the configuration.
const BODY_BYTES: usize = 4_194_304;
const CLIENTS: usize = 31;
const DEADLINE_MS: u64 = 1_500;
const WORK_MS: u64 = 60;
/// Time between the first requests of two clients.
const STAGGER_MS: u64 = 3;
const SLOTS: u64 = 6;
const MAX_LOST: usize = 3;

fn configuration() -> String {
    r#"{"version":3,"routes":[{"name":"r-capture","host":"cards.example","pathPrefix":"/capture/",
    "kind":"unsafe","timeoutMs":1500,"latencyTargetMs":300,"priority":2,"service":"acquiring",
    "maxAttempts":1}],"services":[{"name":"acquiring","healthPath":"/health","maxConnections":490,
    "protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,
    "headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#
        .to_owned()
}

fn post(id: &str, length: usize) -> Vec<u8> {
    let head = format!(
        "POST /capture/7 HTTP/1.1\r\nHost: cards.example\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: {length}\r\n\r\n"
    );
    let mut bytes = head.into_bytes();
    bytes.resize(bytes.len() + length, b'b');
    bytes
}

fn main() {
    let folder = PathBuf::from(std::env::args().nth(1).expect("the folder of the case"));
    let record = Record::new();
    let code = run(&record);
    record.write(&folder.join("record.txt"));
    std::process::exit(code);
}

/// Resident memory of a process.
fn resident_mb(process: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1));
    kilobytes.and_then(|text| text.parse::<u64>().ok()).unwrap_or(0) / 1_024
}

fn run(record: &Arc<Record>) -> i32 {
    let files = temporary_folder("review-large-bodies");
    let store = Store::start();
    store.put("op/config", &configuration());
    let passed: Arc<Mutex<Vec<String>>> = Arc::default();
    let slots = Arc::new((Mutex::new(SLOTS), std::sync::Condvar::new()));
    let (noted, running) = (Arc::clone(record), Arc::clone(&passed));
    let desk = Server::start(move |request, stream| {
        let id = request.header("x-request-id").unwrap_or_default().to_owned();
        lock(&running).push(id.clone());
        noted.line(format!("runner i-g1 has request {id}, {} bytes", request.body.len()));
        let mut free = lock(&slots.0);
        while *free == 0 {
            free = slots.1.wait(free).unwrap_or_else(|poisoned| poisoned.into_inner());
        }
        *free -= 1;
        drop(free);
        thread::sleep(millis(WORK_MS));
        *lock(&slots.0) += 1;
        slots.1.notify_all();
        let signature = signature(&id);
        let headers = [
            ("X-Request-Id", id.as_str()),
            ("X-Response-Signature", &signature),
            ("X-Instance-Load", "3,0,6"),
        ];
        let is_written = answer(stream, "200 OK", &headers, &[b'r'; 800]);
        noted.line(format!("runner i-g1 has run {id}, answer written: {is_written}"));
        After::Keep
    });
    store.put(
        "servers/i-g1",
        &format!(
            r#"{{"service":"acquiring","address":"{}","zone":"dakar-pikine","version":"v1","slots":6,
            "state":"ready","coldRemainingMs":0,"sequence":1,"born":{}}}"#,
            desk.address,
            unix_ms()
        ),
    );
    let mut machine = Machine::start(
        &files,
        "front-dakar-pikine-1",
        "dakar-pikine",
        "127.0.0.1",
        free_port(),
        &["127.0.0.1"],
        store.address,
    );
    if !machine.wait_until_ready() {
        record.line("the machine didn't become ready");
        return 2;
    }
    thread::sleep(millis(4_000));
    let process = machine.process_id();
    let (is_over, highest) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    let is_killed = Arc::new(AtomicBool::new(false));
    let watching = {
        let (record, is_over, highest) =
            (Arc::clone(record), Arc::clone(&is_over), Arc::clone(&highest));
        let is_killed = Arc::clone(&is_killed);
        thread::spawn(move || {
            while !is_over.load(Ordering::SeqCst) {
                let memory = resident_mb(process);
                highest.fetch_max(memory, Ordering::SeqCst);
                if memory > MEMORY_MB {
                    record.line(format!(
                        "the process holds {memory} MB, more than {MEMORY_MB}: the platform kills it"
                    ));
                    is_killed.store(true, Ordering::SeqCst);
                    signal_process(process, SIGKILL);
                    return;
                }
                thread::sleep(millis(5));
            }
        })
    };
    let (lost, served) = (Arc::new(Mutex::new(Vec::new())), Arc::new(AtomicU64::new(0)));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, lost, served) =
                (Arc::clone(record), Arc::clone(&lost), Arc::clone(&served));
            let front = machine.front;
            thread::spawn(move || {
                thread::sleep(millis(STAGGER_MS * client as u64));
                let Ok(stream) = std::net::TcpStream::connect(front) else {
                    return;
                };
                let _ = stream.set_read_timeout(Some(millis(DEADLINE_MS)));
                let mut reader = Reader::new(stream);
                let length = if has_trouble() { BODY_BYTES } else { 600 };
                for (number, length) in [(1, 600), (2, length)] {
                    let id = new_id();
                    record.line(format!("client {client} sends {id}, {length} bytes"));
                    let sent = reader.stream.write_all(&post(&id, length));
                    match sent.and_then(|()| read_reply(&mut reader, false)) {
                        Ok(reply) if reply.is_whole => {
                            served.fetch_add(1, Ordering::SeqCst);
                            record.line(format!("client {client} has for {id}: {}", reply.status));
                        }
                        other => {
                            let error = other.err().map(|error| error.to_string());
                            record.line(format!(
                                "client {client}: the channel ends without the answer to {id}: {}",
                                error.unwrap_or_else(|| "cut".to_owned())
                            ));
                            lock(&lost).push(id);
                            return;
                        }
                    }
                    if number == 1 {
                        thread::sleep(millis(500));
                    }
                }
            })
        })
        .collect();
    clients.into_iter().for_each(|client| client.join().expect("no client panics"));
    is_over.store(true, Ordering::SeqCst);
    watching.join().expect("no thread panics");
    thread::sleep(millis(500));
    machine.kill();
    let passed = lock(&passed).clone();
    let lost = lock(&lost).clone();
    let passed_on = lost.iter().filter(|id| passed.contains(id)).count();
    record.line(format!(
        "most memory: {} MB; killed: {}; whole answers: {}; without an answer: {}, of which {passed_on} \
         had reached the runner (the rule allows {MAX_LOST})",
        highest.load(Ordering::SeqCst),
        is_killed.load(Ordering::SeqCst),
        served.load(Ordering::SeqCst),
        lost.len()
    ));
    if served.load(Ordering::SeqCst) < CLIENTS as u64 {
        return 2;
    }
    i32::from(passed_on > MAX_LOST)
}
