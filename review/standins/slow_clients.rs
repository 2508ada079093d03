//! Case: clients that read slowly. Eight clients with small windows keep their channels; each posts
//! two sign-offs, and reads the second answer after a pause (with `TROUBLE=0` at once).

#[path = "kit.rs"]
mod kit;

use std::io::Write;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use kit::*;

const CLIENTS: usize = 8;
/// The longest answer to a sign-off in the site file.
const ANSWER_BYTES: usize = 4_800;
const DEADLINE_MS: u64 = 4_000;
/// Less than the client's deadline.
const PAUSE_MS: u64 = 3_200;
/// `work ms` of the sheet.
const WORK_MS: u64 = 60;
/// Segment and window of a small terminal; the system doubles the window for its own bookkeeping.
const SEGMENT_BYTES: i32 = 536;
const WINDOW_BYTES: i32 = 1_152;
/// More than three break the rule.
const MAX_LOST: usize = 3;

fn configuration() -> String {
    r#"{"version":3,"routes":[{"name":"r-signoff","host":"records.example","pathPrefix":"/signoff/",
    "kind":"unsafe","timeoutMs":4000,"latencyTargetMs":300,"priority":2,"service":"records-api",
    "maxAttempts":1}],"services":[{"name":"records-api","healthPath":"/health",
    "maxConnections":480,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,
    "maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#
        .to_owned()
}

fn post(id: &str) -> Vec<u8> {
    let body = "journeyworker 7, 12 hours";
    format!(
        "POST /signoff/7 HTTP/1.1\r\nHost: records.example\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: {}\r\n\r\n{body}",
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

fn run(record: &Arc<Record>) -> i32 {
    let files = temporary_folder("review-slow-clients");
    let store = Store::start();
    store.put("op/config", &configuration());
    let (running, noted) = (Arc::new(AtomicU64::new(0)), Arc::clone(record));
    let desk = Server::start(move |request, stream| {
        let id = request.header("x-request-id").unwrap_or_default().to_owned();
        noted.line(format!("runner i-records-1 runs {id}"));
        let now = running.fetch_add(1, Ordering::SeqCst) + 1;
        thread::sleep(millis(WORK_MS));
        running.fetch_sub(1, Ordering::SeqCst);
        let (signature, load) = (signature(&id), format!("{now},0,12"));
        let headers = [
            ("X-Request-Id", id.as_str()),
            ("X-Response-Signature", &signature),
            ("X-Instance-Load", &load),
        ];
        let is_written = answer(stream, "200 OK", &headers, &vec![b'r'; ANSWER_BYTES]);
        noted.line(format!("runner has written the whole answer to {id}: {is_written}"));
        After::Keep
    });
    store.put(
        "servers/i-records-1",
        &format!(
            r#"{{"service":"records-api","address":"{}","zone":"pnw-a","version":"v1","slots":12,
            "state":"ready","coldRemainingMs":0,"sequence":1,"born":{}}}"#,
            desk.address,
            unix_ms()
        ),
    );
    let mut machine = Machine::start(
        &files,
        "front-pnw-a-1",
        "pnw-a",
        "127.0.0.1",
        free_port(),
        &["127.0.0.1"],
        store.address,
    );
    if !machine.wait_until_ready() {
        record.line("the machine didn't become ready");
        return 2;
    }
    // `contactMs` of the site, and some.
    thread::sleep(millis(5_000));
    let lost = Arc::new(Mutex::new(Vec::new()));
    let served = Arc::new(AtomicU64::new(0));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, lost, served) =
                (Arc::clone(record), Arc::clone(&lost), Arc::clone(&served));
            let front = machine.front;
            thread::spawn(move || {
                thread::sleep(millis(100 * client as u64));
                let Ok(stream) = connect_small(front, SEGMENT_BYTES, WINDOW_BYTES) else {
                    return;
                };
                let _ = stream.set_read_timeout(Some(millis(8_000)));
                let mut reader = Reader::new(stream);
                for (number, pause_ms) in [(1, 0), (2, PAUSE_MS)] {
                    let pause_ms = if has_trouble() { pause_ms } else { 0 };
                    let id = new_id();
                    record.line(format!("client {client} sends {id}, sign-off {number}"));
                    if reader.stream.write_all(&post(&id)).is_err() {
                        record.line(format!("client {client} can't send {id}"));
                        return;
                    }
                    thread::sleep(millis(pause_ms));
                    match read_reply(&mut reader, false) {
                        Ok(reply) if reply.is_whole => {
                            served.fetch_add(1, Ordering::SeqCst);
                            record.line(format!(
                                "client {client} has the answer to {id} after a pause of {pause_ms} ms: \
                                 {}, {} bytes, signature {}",
                                reply.status,
                                reply.body.len(),
                                reply.header("x-response-signature").unwrap_or("none")
                            ));
                        }
                        other => {
                            let what = match other {
                                Ok(reply) => format!("{} with a cut body", reply.status),
                                Err(error) => error.to_string(),
                            };
                            record.line(format!(
                                "client {client}: the channel ends without the answer to {id}: {what}"
                            ));
                            lost.lock().expect("no holder panics").push(id);
                            return;
                        }
                    }
                }
            })
        })
        .collect();
    clients.into_iter().for_each(|client| client.join().expect("no client panics"));
    let is_down = machine.has_ended();
    machine.kill();
    let lost = lost.lock().expect("no holder panics").len();
    let served = served.load(Ordering::SeqCst);
    record.line(format!(
        "requests with a whole answer: {served}; passed on to a sound runner, and the channel closed \
         without an answer: {lost} (the rule allows {MAX_LOST})"
    ));
    if is_down || served < CLIENTS as u64 {
        return 2;
    }
    i32::from(lost > MAX_LOST)
}
