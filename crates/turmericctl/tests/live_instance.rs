//! `status` and `explain` against a running instance.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use async_std::task;
use common::{RunOutput, turmericctl};
use serde_json::{Value, json};
use turmericrail::settings::Settings;
use turmericrail_fakes::ports::free_address;
use turmericrail_fakes::{FakePlain, FakePlatform};
use turmericrail_wire::client::Call;

/// Timeout of calls to the instance, long enough for a loaded machine.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

async fn start_instance() -> SocketAddr {
    let plain = FakePlain::start().await.unwrap();
    let document = json!({
        "version": 1,
        "routes": {"read-stock": {
            "method": "GET", "path": "/stock/{board}", "idempotent": true,
            "timeout_ms": 2000, "servers": ["desk-1"],
        }},
        "servers": {"desk-1": {
            "data_centre": "dc-a", "address": plain.address.to_string(), "role": "plain",
        }},
    });
    let platform = FakePlatform::start(document).await.unwrap();
    let address = free_address().unwrap();
    let text = format!(
        "deployment: test\ninstance: dc-a-1\ndata_centre: dc-a\ncaller_address: {address}\n\
         peer_address: {}\nplatform_address: {}\nseal_key: 0123456789abcdef\nlog_level: error\n",
        free_address().unwrap(),
        platform.address
    );
    task::spawn(turmericrail::daemon::run(Settings::parse(&text).unwrap()));
    loop {
        let ready = Call::get(address, "/ready", CALL_TIMEOUT).send().await;
        if ready.is_ok_and(|(answer, _)| answer.status().is_success()) {
            return address;
        }
        task::sleep(Duration::from_millis(20)).await;
    }
}

async fn run(arguments: &[&str]) -> RunOutput {
    let arguments: Vec<String> = arguments.iter().map(|text| text.to_string()).collect();
    let running = task::spawn_blocking(move || {
        let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
        turmericctl(&arguments)
    });
    running.await
}

#[async_std::test]
async fn status_and_decisions() {
    let address = start_instance().await;
    let text = address.to_string();

    let shown = run(&["status", &text]).await;
    assert_eq!(shown.exit_code, 0, "{}", shown.stderr);
    let heading = format!("instance dc-a-1 at {text}: ready, configuration version 1,");
    assert!(shown.stdout.starts_with(&heading), "{}", shown.stdout);
    assert!(shown.stdout.contains("server desk-1"));
    let shown = run(&["status", &text, "127.0.0.1:1", "--json"]).await;
    assert_eq!(shown.exit_code, 3);
    let pages: Value = serde_json::from_str(&shown.stdout).unwrap();
    assert_eq!(pages[0]["status"]["config_version"], 1);
    assert!(pages[1]["error"].is_string());

    let (answer, _) = Call::get(address, "/stock/board-3", CALL_TIMEOUT).send().await.unwrap();
    let request = answer.header("x-request-id").unwrap().as_str().to_owned();
    let shown = run(&["explain", &text, &request]).await;
    assert_eq!(shown.exit_code, 0, "{}", shown.stderr);
    assert!(shown.stdout.contains("server=desk-1"), "{}", shown.stdout);
    let shown = run(&["explain", &text, &request, "--json"]).await;
    let decisions: Value = serde_json::from_str(&shown.stdout).unwrap();
    assert_eq!(decisions["request"].to_string(), request);
    let shown = run(&["explain", &text, "987654321"]).await;
    assert_eq!(shown.exit_code, 4, "{}", shown.stderr);
}
