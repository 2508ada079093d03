//! Reads token streams through the router or directly from the engines.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use async_std::io::BufReader;
use async_std::io::prelude::*;
use async_std::task;
use fastrand::Rng;
use http_types::Response;
use serde_json::{Value, json};
use turmericrail_fakes::Fleet;
use turmericrail_wire::client::Call;

/// Seed of the pauses between requests.
const SEED: u64 = 7;
/// Longest pause before a request; random pauses keep the streams from starting together.
const MAX_PAUSE_MS: u64 = 200;
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Repeated to form a prompt of some hundred tokens.
const PROMPT: &str = "die-line note, board 350 g, two colours, window patch; ";

/// Where streams are read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AccessPath {
    /// At the engines.
    Direct,
    /// Through the router.
    Routed,
}

/// A number of concurrent streams and their requests.
#[derive(Clone, Copy, Debug)]
pub struct Phase {
    /// Concurrent streams.
    pub streams: u64,
    /// Requests of each stream, one after the other.
    pub requests: u64,
    pub tokens: u64,
}

/// Token times of one answer.
#[derive(Clone, Debug, Default)]
pub struct AnswerTimes {
    /// Time from the request to the first token.
    pub first_token: Duration,
    /// Times between successive tokens.
    pub gaps: Vec<Duration>,
}

/// Addresses of the router and the engines.
pub struct Endpoints {
    router: SocketAddr,
    prefill: SocketAddr,
    decode: SocketAddr,
    next_stream: AtomicU64,
}

impl Endpoints {
    /// Returns the addresses of a fleet with one instance and one engine of each role.
    pub fn new(fleet: &Fleet) -> Self {
        let first = |engines: &std::collections::BTreeMap<
            String,
            turmericrail_fakes::FakeEngine,
        >| { engines.values().next().expect("the plan has one").address };
        Self {
            router: fleet.instances[0].caller_address,
            prefill: first(&fleet.prefill),
            decode: first(&fleet.decode),
            next_stream: AtomicU64::new(1),
        }
    }
}

/// Runs one phase and returns the times of all answers.
pub async fn run_phase(
    endpoints: &Arc<Endpoints>,
    access_path: AccessPath,
    phase: Phase,
) -> Vec<AnswerTimes> {
    let mut streams = Vec::new();
    for number in 0..phase.streams {
        let endpoints = Arc::clone(endpoints);
        streams.push(task::spawn(async move {
            let mut rng = Rng::with_seed(SEED ^ number);
            let mut times = Vec::new();
            for _ in 0..phase.requests {
                task::sleep(Duration::from_millis(rng.u64(0..MAX_PAUSE_MS))).await;
                times.push(read_stream(&endpoints, access_path, phase.tokens).await);
            }
            times
        }));
    }
    let mut times = Vec::new();
    for stream in streams {
        times.extend(stream.await);
    }
    times
}

async fn read_stream(endpoints: &Endpoints, access_path: AccessPath, tokens: u64) -> AnswerTimes {
    let started = Instant::now();
    let answer = match access_path {
        AccessPath::Direct => open_direct(endpoints, tokens).await,
        AccessPath::Routed => open_routed(endpoints, tokens).await,
    };
    let mut lines = BufReader::new(answer);
    let mut line = String::new();
    let mut times = AnswerTimes::default();
    let mut last = started;
    let mut count = 0;
    while count < tokens {
        line.clear();
        let read = lines.read_line(&mut line).await.expect("the stream goes on");
        assert!(read > 0, "the stream was cut after {count} tokens");
        if !line.contains("\"index\"") {
            continue;
        }
        let now = Instant::now();
        match count {
            0 => times.first_token = now - started,
            _ => times.gaps.push(now - last),
        }
        last = now;
        count += 1;
    }
    line.clear();
    lines.read_line(&mut line).await.expect("the end comes");
    times
}

async fn open_routed(endpoints: &Endpoints, tokens: u64) -> Response {
    let body = json!({
        "model": "quote", "prompt": PROMPT.repeat(20), "max_tokens": tokens, "stream": true,
        "workspace": "bench", "caller_kind": "printer",
    });
    open(Call::post(endpoints.router, "/v1/completions", &body, CALL_TIMEOUT)).await
}

async fn open_direct(endpoints: &Endpoints, tokens: u64) -> Response {
    let number = endpoints.next_stream.fetch_add(1, Ordering::Relaxed);
    let stream = format!("direct-{number}");
    let holder = json!({"instance": "bench", "incarnation": 1});
    let prefill = json!({
        "stream": stream, "holder": holder, "model": "quote", "version": "v1",
        "prompt": PROMPT.repeat(20), "priority": 1,
    });
    let _: Value = Call::post(endpoints.prefill, "/prefill", &prefill, CALL_TIMEOUT)
        .send_json()
        .await
        .expect("the prefill engine answers");
    let import = json!({
        "stream": stream, "holder": holder, "source": endpoints.prefill, "kv_pieces": 40,
        "max_tokens": tokens,
    });
    let import = Call::post(endpoints.decode, "/import", &import, CALL_TIMEOUT).send().await;
    assert!(import.is_ok_and(|(answer, _)| answer.status().is_success()), "the import succeeds");
    let path =
        format!("/tokens?stream={stream}&from=0&instance=bench&incarnation=1&takes_over=false");
    open(Call::get(endpoints.decode, path, CALL_TIMEOUT)).await
}

async fn open(call: Call) -> Response {
    let answer = call.open().await.expect("the receiver answers");
    assert!(answer.status().is_success(), "status {}", answer.status());
    answer
}
