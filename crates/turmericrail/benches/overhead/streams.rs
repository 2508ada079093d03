//! Streams of tokens, read through the router or directly from the engines.

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
/// Longest pause before a request, so that streams start spread out.
const MAX_PAUSE_MS: u64 = 200;
/// Longest wait for an answer.
const PATIENCE: Duration = Duration::from_secs(30);
/// The prompt: some hundred tokens.
const PROMPT: &str = "die-line note, board 350 g, two colours, window patch; ";

/// How streams are read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Way {
    /// At the engines.
    Direct,
    /// Through the router.
    Routed,
}

/// Streams that run at the same time.
#[derive(Clone, Copy, Debug)]
pub struct Phase {
    /// Streams at a time.
    pub streams: u64,
    /// Requests that each makes, one after the other.
    pub requests: u64,
    /// Tokens of each answer.
    pub tokens: u64,
}

/// Times of one answer.
#[derive(Clone, Debug, Default)]
pub struct Times {
    /// From the request to the first token.
    pub first: Duration,
    /// Between each two tokens.
    pub gaps: Vec<Duration>,
}

/// Where everything listens.
pub struct World {
    router: SocketAddr,
    prefill: SocketAddr,
    decode: SocketAddr,
    next_stream: AtomicU64,
}

impl World {
    /// The addresses of a fleet.
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

/// Runs one phase and returns the times of every answer.
pub async fn run_phase(world: &Arc<World>, way: Way, phase: Phase) -> Vec<Times> {
    let mut streams = Vec::new();
    for number in 0..phase.streams {
        let world = Arc::clone(world);
        streams.push(task::spawn(async move {
            let mut rng = Rng::with_seed(SEED ^ number);
            let mut times = Vec::new();
            for _ in 0..phase.requests {
                task::sleep(Duration::from_millis(rng.u64(0..MAX_PAUSE_MS))).await;
                times.push(read_stream(&world, way, phase.tokens).await);
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

async fn read_stream(world: &World, way: Way, tokens: u64) -> Times {
    let started = Instant::now();
    let answer = match way {
        Way::Direct => open_direct(world, tokens).await,
        Way::Routed => open_routed(world, tokens).await,
    };
    let mut lines = BufReader::new(answer);
    let mut line = String::new();
    let mut times = Times::default();
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
            0 => times.first = now - started,
            _ => times.gaps.push(now - last),
        }
        last = now;
        count += 1;
    }
    line.clear();
    lines.read_line(&mut line).await.expect("the end comes");
    times
}

async fn open_routed(world: &World, tokens: u64) -> Response {
    let body = json!({
        "model": "quote", "prompt": PROMPT.repeat(20), "max_tokens": tokens, "stream": true,
        "workspace": "bench", "caller_kind": "printer",
    });
    open(Call::post(world.router, "/v1/completions", &body, PATIENCE)).await
}

async fn open_direct(world: &World, tokens: u64) -> Response {
    let number = world.next_stream.fetch_add(1, Ordering::Relaxed);
    let stream = format!("direct-{number}");
    let holder = json!({"instance": "bench", "incarnation": 1});
    let prefill = json!({
        "stream": stream, "holder": holder, "model": "quote", "version": "v1",
        "prompt": PROMPT.repeat(20), "priority": 1,
    });
    let _: Value = Call::post(world.prefill, "/prefill", &prefill, PATIENCE)
        .send_json()
        .await
        .expect("the prefill engine answers");
    let import = json!({
        "stream": stream, "holder": holder, "source": world.prefill, "kv_pieces": 40,
        "max_tokens": tokens,
    });
    let import = Call::post(world.decode, "/import", &import, PATIENCE).send().await;
    assert!(import.is_ok_and(|(answer, _)| answer.status().is_success()), "the import succeeds");
    let path =
        format!("/tokens?stream={stream}&from=0&instance=bench&incarnation=1&takes_over=false");
    open(Call::get(world.decode, path, PATIENCE)).await
}

async fn open(call: Call) -> Response {
    let answer = call.open().await.expect("the receiver answers");
    assert!(answer.status().is_success(), "status {}", answer.status());
    answer
}
