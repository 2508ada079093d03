//! Configuration document for tests of forwarding.

use serde_json::{Value, json};

/// A configuration with a route of each kind. `at_most_once_attempts` is the number of
/// attempts of the routes whose calls run at most once.
pub fn configuration(version: u64, at_most_once_attempts: u64) -> Value {
    let route = |name: &str, kind: &str, service: &str, attempts: u64| {
        json!({
            "name": name, "host": "a.example", "pathPrefix": format!("/{name}/"), "kind": kind,
            "timeoutMs": 3000, "latencyTargetMs": 500, "priority": 1, "service": service,
            "maxAttempts": attempts, "resumable": name == "resumable", "gapAimMs": 300,
        })
    };
    json!({
        "version": version,
        "routes": [
            route("read", "safe", "desk", 2),
            route("order", "unsafe", "desk", at_most_once_attempts),
            route("stream", "streaming", "llm", at_most_once_attempts),
            route("resumable", "streaming", "llm", 2),
        ],
        "services": [
            {"name": "desk", "healthPath": "/health", "maxConnections": 100},
            {"name": "llm", "healthPath": "/health", "maxConnections": 100,
             "engine": {"slots": 64, "kvCapacity": 60000, "handleTtlS": 0.5, "holdMs": 2000.0}},
        ],
        "limits": {"maxHeaderBytes": 4096, "maxBodyBytes": 65536, "headerTimeoutMs": 500,
                   "idleTimeoutMs": 5000},
    })
}
