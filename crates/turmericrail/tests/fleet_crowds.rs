//! Crowds of callers of the product's own interface that don't behave: the process lives, within the
//! memory and the descriptors of the smallest machine, and answers an ordinary request afterwards.

mod crowd_support;
mod plain_support;

use std::net::SocketAddr;
use std::process::Command;
use std::sync::Arc;
use std::thread;

use async_std::task;
use crowd_support::{Crowd, MAX_OPEN_FILES, Pieces, Watch, run_alone, text_pieces};
use http_types::Method;
use plain_support::send;
use turmericrail_fakes::{Fleet, FleetPlan};

const MAX_BODY_BYTES: usize = 1 << 20;
const LIMITS: &str =
    "limits:\n  max_body_bytes: 1MiB\n  max_buffered_bytes: 16MiB\n  receive_timeout_ms: 60s\n";
/// Attempts of an ordinary caller, which comes back after a refusal.
const ORDINARY_ATTEMPTS: usize = 5;
const COMPLETION: &str = r#"{"model": "quote", "prompt": "die-line note: 350 g board",
    "max_tokens": 3, "workspace": "kaolack-3", "caller_kind": "printer"}"#;
/// Descriptors of a process whose limit is lowered, and how many of them may be open: the rest is
/// for servers, the platform and other instances.
const FEW_OPEN_FILES: u32 = 512;
const MAX_FEW_OPEN_FILES: usize = 448;

struct Trial {
    fleet: Fleet,
    watch: Watch,
}

impl Trial {
    fn start(name: &str) -> Self {
        let mut plan = FleetPlan::small(env!("CARGO_BIN_EXE_turmericrail"), name);
        plan.extra_settings = LIMITS.to_owned();
        let fleet = task::block_on(Fleet::start(plan)).unwrap();
        let watch = Watch::start(process_id(&fleet), &[fleet.instances[0].caller_address.port()]);
        Self { fleet, watch }
    }

    fn caller_address(&self) -> SocketAddr {
        self.fleet.instances[0].caller_address
    }

    /// Asserts that an ordinary caller gets an answer.
    fn assert_answers(&self, description: &str) {
        let mut problems = Vec::new();
        for _ in 0..ORDINARY_ATTEMPTS {
            let address = self.caller_address();
            let sending = send(address, Method::Post, "/v1/completions", "", COMPLETION);
            match task::block_on(sending) {
                Some(answer) if answer.status == 200 => {
                    println!("{description}: {problems:?}");
                    return;
                }
                answer => problems.push(answer),
            }
        }
        panic!("{description}: {problems:?}");
    }

    /// Asserts that the process has borne a crowd, while it stays and after it has left.
    fn end(mut self, crowd: Crowd, max_files: usize) {
        assert!(crowd.len() > 0);
        self.assert_answers("while the crowd stays");
        drop(crowd);
        self.assert_answers("after the crowd has left");
        let process = self.fleet.instances[0].process.as_mut().unwrap();
        assert!(process.try_wait().unwrap().is_none(), "the process has ended");
        self.watch.assert_bounded(max_files);
    }
}

fn process_id(fleet: &Fleet) -> u32 {
    fleet.instances[0].process.as_ref().unwrap().id()
}

fn head(fields: &str) -> String {
    format!("POST /v1/completions HTTP/1.1\r\nhost: h\r\n{fields}\r\n")
}

/// A crowd whose members send the same bytes after a head with these fields.
fn body_crowd(trial: &Trial, count: usize, fields: &str, body: Vec<u8>) -> Crowd {
    let body: Arc<[u8]> = body.into();
    Crowd::start(trial.caller_address(), count, |_| {
        let mut pieces = text_pieces(head(fields));
        pieces.push(Arc::clone(&body));
        pieces
    })
}

#[test]
fn begun_chunks() {
    // Guards against a budget that is reserved whole by bodies of a few bytes.
    let _alone = run_alone();
    let trial = Trial::start("begun-chunks");
    let chunk = b"a\r\n0123456789\r\n".to_vec();
    let crowd = body_crowd(&trial, 128, "transfer-encoding: chunked\r\n", chunk);
    trial.end(crowd, MAX_OPEN_FILES);
}

#[test]
fn tiny_chunks() {
    // Guards against a process that is ended by bodies in chunks of one byte.
    let _alone = run_alone();
    let trial = Trial::start("fleet-tiny-chunks");
    let chunks = "1\r\nx\r\n".repeat(60_000).into_bytes();
    let crowd = body_crowd(&trial, 400, "transfer-encoding: chunked\r\n", chunks);
    trial.end(crowd, MAX_OPEN_FILES);
}

#[test]
fn unfinished_bodies() {
    // Guards against bodies that lack their last byte and keep out all others.
    let _alone = run_alone();
    let trial = Trial::start("fleet-bodies");
    let fields = format!("content-length: {MAX_BODY_BYTES}\r\n");
    let crowd = body_crowd(&trial, 120, &fields, vec![b'x'; MAX_BODY_BYTES - 1]);
    trial.end(crowd, MAX_OPEN_FILES);
}

#[test]
fn many_small_bodies() {
    // Guards against small bodies that lack their last byte and keep out all others.
    let _alone = run_alone();
    let trial = Trial::start("fleet-small-bodies");
    let crowd = body_crowd(&trial, 2_000, "content-length: 32000\r\n", vec![b'x'; 31_999]);
    trial.end(crowd, MAX_OPEN_FILES);
}

#[test]
fn unfinished_heads() {
    // Guards against heads that lack their end.
    let _alone = run_alone();
    let trial = Trial::start("fleet-heads");
    let filler = "x".repeat(8_000);
    let crowd = Crowd::start(trial.caller_address(), 2_500, |_| {
        text_pieces(head("").trim_end().to_owned() + "\r\nx-filler: " + &filler)
    });
    trial.end(crowd, MAX_OPEN_FILES);
}

#[test]
fn silent_callers() {
    // Guards against connections that cost much before a byte was sent.
    let _alone = run_alone();
    let trial = Trial::start("fleet-silent");
    let crowd = Crowd::start(trial.caller_address(), 2_800, |_| Pieces::new());
    trial.end(crowd, MAX_OPEN_FILES);
}

#[test]
fn stopped_process() {
    // Guards against receive buffers that fill while the process doesn't run.
    let _alone = run_alone();
    let trial = Trial::start("fleet-stopped");
    let address = trial.caller_address();
    let crowd = Crowd::start(address, 1_500, |_| Pieces::new());
    trial.assert_answers("beside silent callers");
    trial.fleet.instances[0].signal("STOP");
    let request = head("content-length: 65000\r\n") + &"x".repeat(64_999);
    let request: Arc<[u8]> = request.into_bytes().into();
    let late_request = Arc::clone(&request);
    let sending = crowd.send_more(|_| vec![Arc::clone(&request)]);
    let newcomers =
        thread::spawn(move || Crowd::start(address, 200, |_| vec![Arc::clone(&late_request)]));
    trial.watch.wait_until_full();
    trial.fleet.instances[0].signal("CONT");
    sending.join();
    let _newcomers = newcomers.join().unwrap();
    trial.end(crowd, MAX_OPEN_FILES);
}

#[test]
fn few_descriptors() {
    // Guards against callers that leave no descriptor for servers, the platform and other instances.
    let _alone = run_alone();
    let trial = Trial::start("fleet-few");
    let pid = format!("--pid={}", process_id(&trial.fleet));
    let limit = format!("--nofile={FEW_OPEN_FILES}:{FEW_OPEN_FILES}");
    assert!(Command::new("prlimit").args([pid, limit]).status().unwrap().success());
    let crowd = Crowd::start(trial.caller_address(), 1_000, |_| Pieces::new());
    trial.end(crowd, MAX_FEW_OPEN_FILES);
}
