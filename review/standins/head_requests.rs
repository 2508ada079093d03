//! Case: a client asks with HEAD on a kept channel while no runner can be reached.

#[path = "kit.rs"]
mod kit;

use std::io::Write;
use std::net::TcpStream;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;

use kit::*;

const REQUESTS: usize = 4;
/// Time for which the runner is down.
const DOWN_MS: u64 = 4_500;

fn configuration() -> String {
    r#"{"version":3,"routes":[{"name":"r-stock","host":"quote.example","pathPrefix":"/stock/",
    "kind":"safe","timeoutMs":600,"latencyTargetMs":100,"priority":2,"service":"guichet",
    "maxAttempts":2}],"services":[{"name":"guichet","healthPath":"/health","maxConnections":110,
    "protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,
    "headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#
        .to_owned()
}

fn main() {
    let folder = PathBuf::from(std::env::args().nth(1).expect("the folder of the case"));
    let record = Record::new();
    let code = run(&record);
    record.write(&folder.join("record.txt"));
    std::process::exit(code);
}

fn run(record: &Arc<Record>) -> i32 {
    let files = temporary_folder("review-head-requests");
    let store = Store::start();
    store.put("op/config", &configuration());
    let noted = Arc::clone(record);
    let desk = Server::start(move |request, stream| {
        let id = request.header("x-request-id").unwrap_or_default().to_owned();
        noted.line(format!("runner i-g1 runs {id}, {}", request.method));
        thread::sleep(millis(15));
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: 800\r\nX-Request-Id: {id}\r\n\
             X-Response-Signature: {}\r\nX-Instance-Load: 1,0,6\r\n\r\n",
            signature(&id)
        );
        let body = if request.method == "HEAD" { String::new() } else { "r".repeat(800) };
        let is_written = stream.write_all((head + &body).as_bytes()).is_ok();
        if is_written { After::Keep } else { After::Close }
    });
    store.put(
        "servers/i-g1",
        &format!(
            r#"{{"service":"guichet","address":"{}","zone":"dkr-a","version":"v1","slots":6,
            "state":"ready","coldRemainingMs":0,"sequence":1,"born":{}}}"#,
            desk.address,
            unix_ms()
        ),
    );
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
    thread::sleep(millis(4_000));
    let Ok(stream) = TcpStream::connect(machine.front) else {
        return 2;
    };
    let _ = stream.set_read_timeout(Some(millis(2_000)));
    let mut reader = Reader::new(stream);
    let (mut answered, mut broken) = (0, 0);
    for number in 0..REQUESTS {
        if number == 1 && has_trouble() {
            record.line(format!("runner i-g1 crashes, for {DOWN_MS} ms"));
            desk.end();
            thread::sleep(millis(100));
        }
        let id = new_id();
        let request = format!(
            "HEAD /stock/7 HTTP/1.1\r\nHost: quote.example\r\nX-Request-Id: {id}\r\n\
             X-Deadline-Ms: 600\r\n\r\n"
        );
        record.line(format!("client sends {id}, HEAD, on its kept channel"));
        if reader.stream.write_all(request.as_bytes()).is_err() {
            break;
        }
        match read_reply(&mut reader, true) {
            Ok(reply) => {
                answered += 1;
                let answers = reply.header("x-request-id").unwrap_or("none").to_owned();
                record.line(format!("client has {} for {id}, to request {answers}", reply.status));
                broken += usize::from(answers != id);
            }
            Err(error) => {
                broken += 1;
                record.line(format!("client has bytes that are no answer for {id}: {error}"));
                break;
            }
        }
        thread::sleep(millis(100));
    }
    let is_down = machine.has_ended();
    machine.kill();
    record.line(format!("answers: {answered}; bytes that are no answer, or another's: {broken}"));
    if is_down || answered == 0 {
        return 2;
    }
    i32::from(broken > 0)
}
