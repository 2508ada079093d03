//! Fleet and completion helpers; each test file uses a part of them.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::time::Duration;

use http_types::Response;
use serde_json::{Value, json};
use turmericrail_fakes::{Fleet, FleetPlan};
use turmericrail_wire::client::{Call, CallError};

/// Timeout of every wait. Generous for slow machines, since these tests assert no durations.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Layout of a small fleet; `name` tells the folders of tests apart.
pub fn small_fleet_plan(name: &str) -> FleetPlan {
    FleetPlan::small(env!("CARGO_BIN_EXE_turmericrail"), name)
}

pub async fn start_fleet(name: &str) -> Fleet {
    Fleet::start(small_fleet_plan(name)).await.expect("loopback ports are free")
}

/// Body of a completion request.
pub fn completion(prompt: &str, max_tokens: u64, stream: bool) -> Value {
    json!({
        "model": "quote", "prompt": prompt, "max_tokens": max_tokens, "stream": stream,
        "workspace": "w1", "caller_kind": "printer",
    })
}

/// Sends a completion request and reads the complete answer.
pub async fn complete(address: SocketAddr, body: &Value) -> Result<(Response, Vec<u8>), CallError> {
    Call::post(address, "/v1/completions", body, WAIT_TIMEOUT).send().await
}

/// Most memory that the first instance has held at once, in KiB.
pub fn peak_memory_kib(fleet: &Fleet) -> u64 {
    let process = fleet.instances[0].process.as_ref().expect("the instance runs");
    let status = std::fs::read_to_string(format!("/proc/{}/status", process.id())).unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
    line.split_whitespace().next().unwrap().parse().unwrap()
}
