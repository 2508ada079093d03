//! Crowds of callers of a forwarding instance that don't behave: the process lives, within the memory
//! and the descriptors of the smallest machine, and answers an ordinary request afterwards.

mod crowd_support;
mod forward_support;

use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crowd_support::{Crowd, MAX_OPEN_FILES, Pieces, Watch, run_alone, text_pieces};
use forward_support::{
    ForwardInstance, answer_with, configuration, read_reply, register_raw, request_text, wait_for,
};
use turmericrail_fakes::registered::{FakeStore, RawAnswer, RawServer};

const MAX_HEAD_BYTES: usize = 16 << 10;
const MAX_BODY_BYTES: usize = 4 << 20;
/// Longer than a test, so that no limit on time ends a crowd.
const TIMEOUT_MS: u64 = 60_000;
/// Time that the server takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(300);
const LARGE_ANSWER_BYTES: usize = 300_000;
/// Attempts of an ordinary caller, which comes back after a refusal.
const ORDINARY_ATTEMPTS: usize = 5;
/// Longest wait of an ordinary caller before it comes back.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Descriptors of a process whose limit is lowered, and how many of them may be open: the rest is
/// for servers, the store, other instances and operators.
const FEW_OPEN_FILES: u32 = 512;
const MAX_FEW_OPEN_FILES: usize = 448;

struct Trial {
    instance: ForwardInstance,
    _server: RawServer,
    watch: Watch,
}

impl Trial {
    /// Starts an instance with the longest limits, and a server.
    fn start(name: &str) -> Self {
        let store = FakeStore::start().unwrap();
        let mut document = configuration(1);
        for route in document["routes"].as_array_mut().unwrap() {
            route["timeoutMs"] = TIMEOUT_MS.into();
        }
        for (limit, value) in [
            ("maxHeaderBytes", MAX_HEAD_BYTES as u64),
            ("maxBodyBytes", MAX_BODY_BYTES as u64),
            ("headerTimeoutMs", TIMEOUT_MS),
            ("idleTimeoutMs", TIMEOUT_MS),
        ] {
            document["limits"][limit] = value.into();
        }
        store.publish(&document);
        let instance = ForwardInstance::start_with_store(name, store);
        let server = RawServer::start(|head, _| {
            let is_large = head.path().starts_with("/order/large");
            let body = "a".repeat(if is_large { LARGE_ANSWER_BYTES } else { 8 });
            RawAnswer::WithPauses(vec![answer_with(head, &body)], ANSWER_TIME)
        });
        let server = server.unwrap();
        register_raw(&instance, "s1", None, &server);
        let ports = [instance.caller_address.port(), instance.handover_port];
        let watch = Watch::start(instance.process_id(), &ports);
        Self { instance, _server: server, watch }
    }

    fn caller_address(&self) -> SocketAddr {
        self.instance.caller_address
    }

    /// Asserts that an ordinary caller gets an answer.
    fn assert_answers(&self, description: &str) {
        let text = request_text("order", "ordinary");
        let mut problems = Vec::new();
        for _ in 0..ORDINARY_ATTEMPTS {
            let mut stream = self.instance.connect();
            let written = stream.write_all(text.as_bytes());
            let reply = written.ok().and_then(|()| read_reply(&mut stream, &mut Vec::new()));
            let Some(reply) = reply else {
                problems.push("closed".to_owned());
                continue;
            };
            if reply.status() == 200 {
                println!("{description}: {problems:?}");
                return;
            }
            let retry_after = reply.head.headers.text("Retry-After");
            let retry_after = retry_after.and_then(|text| text.parse().ok()).unwrap_or_default();
            thread::sleep(Duration::from_secs_f64(retry_after).min(MAX_RETRY_AFTER));
            problems.push(format!("{} {}", reply.status(), reply.body));
        }
        panic!("{description}: {problems:?}");
    }

    /// Asserts that the process has borne a crowd, while it stays and after it has left.
    fn end(mut self, crowd: Crowd, max_files: usize) {
        self.bear(crowd);
        self.instance.assert_sound("at the end");
        self.watch.assert_bounded(max_files);
    }

    fn bear(&mut self, crowd: Crowd) {
        assert!(crowd.len() > 0);
        self.assert_answers("while the crowd stays");
        self.instance.assert_sound("while the crowd stays");
        drop(crowd);
        self.assert_answers("after the crowd has left");
    }
}

fn head(number: usize, path: &str, fields: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: c{number}\r\n\
         X-Deadline-Ms: {TIMEOUT_MS}\r\n{fields}\r\n"
    )
}

fn body_of(bytes: usize) -> Arc<[u8]> {
    vec![b'x'; bytes].into()
}

/// A crowd whose members announce a body and send a part of it.
fn body_crowd(address: SocketAddr, count: usize, announced: usize, sent: usize) -> Crowd {
    let body = body_of(sent);
    let fields = format!("Content-Length: {announced}\r\n");
    Crowd::start(address, count, |number| {
        let mut pieces = text_pieces(head(number, "/order/x", &fields));
        pieces.push(Arc::clone(&body));
        pieces
    })
}

/// A crowd whose members send the same bytes after the head of a body in chunks.
fn chunk_crowd(address: SocketAddr, count: usize, chunks: Vec<u8>) -> Crowd {
    let chunks: Arc<[u8]> = chunks.into();
    Crowd::start(address, count, |number| {
        let mut pieces = text_pieces(head(number, "/order/x", "Transfer-Encoding: chunked\r\n"));
        pieces.push(Arc::clone(&chunks));
        pieces
    })
}

/// Chunks of a size, as many as fit into a body of `bytes`, without the last one.
fn chunks_of(size: usize, bytes: usize) -> Vec<u8> {
    format!("{size:x}\r\n{}\r\n", "x".repeat(size)).repeat(bytes / size).into_bytes()
}

fn silent_crowd(address: SocketAddr, count: usize) -> Crowd {
    Crowd::start(address, count, |_| Pieces::new())
}

/// Heads without their end.
fn head_crowd(address: SocketAddr, count: usize) -> Crowd {
    Crowd::start(address, count, |number| {
        let start = head(number, "/order/x", "X-Filler: ");
        let filler = "x".repeat(MAX_HEAD_BYTES - 8 - start.len());
        text_pieces(start.trim_end().to_owned() + " " + &filler)
    })
}

/// Requests ahead with bodies, whose answers nobody reads.
fn ahead_crowd(address: SocketAddr, count: usize) -> Crowd {
    let body = body_of(200_000);
    Crowd::start(address, count, |number| {
        let fields = format!("Content-Length: {}\r\n", body.len());
        let request = |ahead| {
            let mut pieces = text_pieces(head(number * 100 + ahead, "/order/large", &fields));
            pieces.push(Arc::clone(&body));
            pieces
        };
        (0..8).flat_map(request).collect()
    })
}

#[test]
fn whole_bodies() {
    // Guards against a process that is ended by bodies of the longest size that come at once.
    let _alone = run_alone();
    let trial = Trial::start("whole-bodies");
    let crowd = body_crowd(trial.caller_address(), 60, MAX_BODY_BYTES, MAX_BODY_BYTES);
    trial.end(crowd, MAX_OPEN_FILES);
}

#[test]
fn unfinished_bodies() {
    // Guards against a process that is ended by bodies that lack their last byte.
    let _alone = run_alone();
    let trial = Trial::start("unfinished-bodies");
    let crowd = body_crowd(trial.caller_address(), 60, MAX_BODY_BYTES, MAX_BODY_BYTES - 1);
    trial.end(crowd, MAX_OPEN_FILES);
}

#[test]
fn many_small_bodies() {
    // Guards against an account that leaves out what is small.
    let _alone = run_alone();
    let trial = Trial::start("many-small-bodies");
    let crowd = body_crowd(trial.caller_address(), 1_500, 65_000, 64_999);
    trial.end(crowd, MAX_OPEN_FILES);
}

#[test]
fn begun_bodies() {
    // Guards against room that is taken by what a body announces.
    let _alone = run_alone();
    let trial = Trial::start("begun-bodies");
    let crowd = body_crowd(trial.caller_address(), 2_500, MAX_BODY_BYTES, 5_000);
    trial.end(crowd, MAX_OPEN_FILES);
}

#[test]
fn large_chunks() {
    // Guards against a process that is ended by a large chunk of each body that lacks its last one.
    let _alone = run_alone();
    let trial = Trial::start("large-chunks");
    let chunks = chunks_of(MAX_BODY_BYTES - 1, MAX_BODY_BYTES);
    trial.end_of_chunks(60, chunks);
}

#[test]
fn small_chunks() {
    // Guards against a process that is ended by many small chunks of each body.
    let _alone = run_alone();
    let trial = Trial::start("small-chunks");
    trial.end_of_chunks(60, chunks_of(32, MAX_BODY_BYTES));
}

#[test]
fn tiny_chunks() {
    // Guards against a process that is ended by chunks of one byte.
    let _alone = run_alone();
    let trial = Trial::start("tiny-chunks");
    trial.end_of_chunks(1_000, chunks_of(1, 60_000));
}

#[test]
fn endless_chunk_lines() {
    // Guards against memory for the lines of chunks that don't end.
    let _alone = run_alone();
    let trial = Trial::start("endless-chunk-lines");
    trial.end_of_chunks(2_500, format!("1;{}", "x".repeat(4_000)).into_bytes());
}

#[test]
fn endless_trailers() {
    // Guards against memory for the fields after the last chunk.
    let _alone = run_alone();
    let trial = Trial::start("endless-trailers");
    trial.end_of_chunks(2_500, format!("0\r\nX-Filler: {}", "x".repeat(3_900)).into_bytes());
}

impl Trial {
    fn end_of_chunks(self, count: usize, chunks: Vec<u8>) {
        let crowd = chunk_crowd(self.caller_address(), count, chunks);
        self.end(crowd, MAX_OPEN_FILES);
    }
}

#[test]
fn unfinished_heads() {
    // Guards against a process that is ended by heads that lack their end.
    let _alone = run_alone();
    let trial = Trial::start("unfinished-heads");
    let crowd = head_crowd(trial.caller_address(), 2_500);
    trial.end(crowd, MAX_OPEN_FILES);
}

#[test]
fn tiny_fields() {
    // Guards against heads of many small fields, which take more memory than their bytes.
    let _alone = run_alone();
    let trial = Trial::start("tiny-fields");
    let fields = "a:\r\n".repeat(60) + "Content-Length: 9\r\n";
    let crowd = Crowd::start(trial.caller_address(), 2_500, |number| {
        text_pieces(head(number, "/order/x", &fields) + "12345678")
    });
    trial.end(crowd, MAX_OPEN_FILES);
}

#[test]
fn empty_lines() {
    // Guards against empty lines before a head, which are skipped.
    let _alone = run_alone();
    let trial = Trial::start("empty-lines");
    let lines: Arc<[u8]> = "\r\n".repeat(MAX_HEAD_BYTES / 2 - 2).into_bytes().into();
    let crowd = Crowd::start(trial.caller_address(), 2_500, |_| vec![Arc::clone(&lines)]);
    trial.end(crowd, MAX_OPEN_FILES);
}

#[test]
fn expected_bodies() {
    // Guards against callers that are told to go on and send nothing.
    let _alone = run_alone();
    let trial = Trial::start("expected-bodies");
    let fields = format!("Expect: 100-continue\r\nContent-Length: {MAX_BODY_BYTES}\r\n");
    let crowd = Crowd::start(trial.caller_address(), 2_500, |number| {
        text_pieces(head(number, "/order/x", &fields))
    });
    trial.end(crowd, MAX_OPEN_FILES);
}

#[test]
fn requests_ahead() {
    // Guards against a process that is ended by requests that are sent ahead, with answers unread.
    let _alone = run_alone();
    let trial = Trial::start("requests-ahead");
    let crowd = ahead_crowd(trial.caller_address(), 250);
    trial.end(crowd, MAX_OPEN_FILES);
}

#[test]
fn silent_callers() {
    // Guards against connections that cost much before a byte was sent.
    let _alone = run_alone();
    let trial = Trial::start("silent-callers");
    let crowd = silent_crowd(trial.caller_address(), 2_800);
    trial.end(crowd, MAX_OPEN_FILES);
}

#[test]
fn idle_callers() {
    // Guards against connections that keep what their last request took.
    let _alone = run_alone();
    let trial = Trial::start("idle-callers");
    let filler = format!("X-Filler: {}\r\n", "x".repeat(12_000));
    let crowd = Crowd::start(trial.caller_address(), 2_500, |number| {
        text_pieces(head(number, "/nowhere/x", &filler))
    });
    trial.end(crowd, MAX_OPEN_FILES);
}

#[test]
fn stopped_process() {
    // Guards against receive buffers that fill beside what is held while the process doesn't run.
    let _alone = run_alone();
    let trial = Trial::start("stopped-process");
    let crowd = body_crowd(trial.caller_address(), 1_500, 65_000, 10_000);
    trial.assert_answers("beside begun bodies");
    trial.instance.signal("STOP");
    let rest = body_of(54_999);
    let sending = crowd.send_more(|_| vec![Arc::clone(&rest)]);
    let address = trial.caller_address();
    let newcomers = thread::spawn(move || body_crowd(address, 200, 65_000, 64_999));
    trial.watch.wait_until_full();
    trial.instance.signal("CONT");
    sending.join();
    let _newcomers = newcomers.join().unwrap();
    trial.end(crowd, MAX_OPEN_FILES);
}

#[test]
fn crowds_in_turn() {
    // Guards against memory that stays with the process after a crowd has left, so that the next one
    // of another kind ends it.
    let _alone = run_alone();
    let mut trial = Trial::start("crowds-in-turn");
    let address = trial.caller_address();
    trial.bear(silent_crowd(address, 2_500));
    trial.bear(head_crowd(address, 1_500));
    trial.bear(body_crowd(address, 1_000, 65_000, 64_999));
    trial.bear(chunk_crowd(address, 300, chunks_of(32, 300_000)));
    trial.bear(ahead_crowd(address, 100));
    trial.bear(body_crowd(address, 60, MAX_BODY_BYTES, MAX_BODY_BYTES));
    let last = body_crowd(address, 1_500, 30_000, 29_999);
    trial.end(last, MAX_OPEN_FILES);
}

#[test]
fn handover_bodies() {
    // Guards against a process that is ended by bodies at the port for other instances' requests.
    let _alone = run_alone();
    let trial = Trial::start("handover-bodies");
    let address = SocketAddr::new(trial.caller_address().ip(), trial.instance.handover_port);
    let crowd = body_crowd(address, 60, MAX_BODY_BYTES, MAX_BODY_BYTES - 1);
    trial.end(crowd, MAX_OPEN_FILES);
}

/// A crowd at one address of a process that may open few descriptors.
fn play_few_descriptors(name: &str, address: impl Fn(&ForwardInstance) -> SocketAddr) {
    let _alone = run_alone();
    let trial = Trial::start(name);
    trial.instance.limit_open_files(FEW_OPEN_FILES);
    let crowd = silent_crowd(address(&trial.instance), 1_000);
    wait_for("readiness", || trial.instance.is_ready());
    trial.end(crowd, MAX_FEW_OPEN_FILES);
}

#[test]
fn silent_at_callers_address() {
    // Guards against callers that leave no descriptor for servers, the store and operators.
    play_few_descriptors("few-callers", |instance| instance.caller_address);
}

#[test]
fn silent_at_handover_port() {
    // Guards against connections at the port for other instances that leave no descriptor for callers.
    play_few_descriptors("few-handover", |instance| {
        SocketAddr::new(instance.peer_address.ip(), instance.handover_port)
    });
}

#[test]
fn silent_at_ready_address() {
    // Guards against connections of the load balancer that leave no descriptor for callers.
    play_few_descriptors("few-ready", |instance| instance.ready_address);
}

#[test]
fn silent_at_operator_address() {
    // Guards against connections of operators that leave no descriptor for callers.
    play_few_descriptors("few-operators", |instance| instance.operator_address);
}

#[test]
fn longest_requests() {
    // Guards against limits that refuse a single request within the configured ones, beside others.
    let _alone = run_alone();
    let trial = Trial::start("longest-requests");
    let whole = vec![b'x'; MAX_BODY_BYTES];
    let fields = format!("Content-Length: {MAX_BODY_BYTES}\r\n");
    let mut chunked = chunks_of(1, MAX_BODY_BYTES);
    chunked.extend_from_slice(b"0\r\n\r\n");
    for (fields, body) in [(fields.as_str(), whole), ("Transfer-Encoding: chunked\r\n", chunked)] {
        let mut stream = trial.instance.connect();
        let text = head(1, "/order/x", fields);
        stream.write_all(text.as_bytes()).unwrap();
        stream.write_all(&body).unwrap();
        trial.assert_answers("beside a long request");
        let reply = read_reply(&mut stream, &mut Vec::new()).unwrap();
        assert_eq!(reply.status(), 200, "{}", reply.body);
    }
    trial.watch.assert_bounded(MAX_OPEN_FILES);
}
