//! What the process tests share.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::time::Duration;

use http_types::Response;
use serde_json::{Value, json};
use turmericrail_fakes::{Fleet, FleetPlan};
use turmericrail_wire::client::{Call, CallError};

/// Longest wait for an answer in tests; no test asserts a time.
pub const PATIENCE: Duration = Duration::from_secs(30);

/// Layout of a small fleet of the daemon under test.
pub fn small_plan(name: &str) -> FleetPlan {
    FleetPlan::small(env!("CARGO_BIN_EXE_turmericrail"), name)
}

/// Starts a small fleet of the daemon under test.
pub async fn start_fleet(name: &str) -> Fleet {
    Fleet::start(small_plan(name)).await.expect("loopback ports are free")
}

/// The body of a completion request.
pub fn completion(prompt: &str, max_tokens: u64, stream: bool) -> Value {
    json!({
        "model": "quote", "prompt": prompt, "max_tokens": max_tokens, "stream": stream,
        "workspace": "w1", "caller_kind": "printer",
    })
}

/// Sends a completion request and reads the whole answer.
pub async fn complete(address: SocketAddr, body: &Value) -> Result<(Response, Vec<u8>), CallError> {
    Call::post(address, "/v1/completions", body, PATIENCE).send().await
}
