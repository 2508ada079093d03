//! Routes, servers and a forwarder for tests of `turmericrail_core::forward`.
#![allow(dead_code)]

use turmericrail_core::config::ServerRole;
use turmericrail_core::forward::{
    ChosenServer, EngineLimits, Forwarder, ForwarderSettings, ModelCallSize, RequestLimits,
    RetryBounds, Route, RouteKind, RouteTable, ServerEntry, ServerState, ServerUpdate, Service,
    WeightedService,
};
use turmericrail_core::ids::{ConfigVersion, ServiceId};
use turmericrail_core::units::{Bytes, Millis, Tokens, WallMillis};

/// Retry limits of a typical deployment.
pub const RETRY_BOUNDS: RetryBounds =
    RetryBounds { ratio: 0.2, slack: 56, window_ms: Millis(10_000) };

pub const REQUEST_LIMITS: RequestLimits = RequestLimits {
    max_header_bytes: Bytes(16_384),
    max_body_bytes: Bytes(1 << 20),
    header_timeout_ms: Millis(3_000),
    idle_timeout_ms: Millis(15_000),
};

/// Numbers that look random and are the same in every run.
pub fn mixed(number: u64) -> u64 {
    let mixed = number.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (mixed ^ (mixed >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9)
}

pub fn service_id() -> ServiceId {
    "desk".parse().unwrap()
}

pub fn route(name: &str, host: &str, path_prefix: &str) -> Route {
    Route {
        name: name.parse().unwrap(),
        host: host.to_owned(),
        path_prefix: path_prefix.to_owned(),
        kind: RouteKind::Idempotent,
        max_attempts: 2,
        timeout_ms: Millis(1_000),
        target_ms: Millis(100),
        gap_target_ms: Millis(300),
        priority: 1,
        is_public: false,
        services: vec![WeightedService { service: service_id(), weight: 1 }],
    }
}

pub fn service() -> Service {
    Service {
        name: service_id(),
        max_connections: 100,
        engine: Some(EngineLimits {
            max_batch_requests: 64,
            kv_tokens: Tokens(60_000),
            handle_ttl_ms: Millis(500),
            max_reservation_ms: Millis(2_000),
        }),
    }
}

/// A call with a prompt of that many tokens and an answer of typical length.
pub fn model_call_size(tokens: u64) -> ModelCallSize {
    let output = Tokens(500);
    ModelCallSize {
        prompt_tokens: Tokens(tokens),
        max_output_tokens: output,
        expected_output_tokens: output,
    }
}

pub fn table(version: u64, routes: Vec<Route>) -> RouteTable {
    RouteTable::new(ConfigVersion(version), REQUEST_LIMITS, vec![service()], routes).unwrap()
}

/// A registry entry; the port of its address is the server's number.
pub fn server_entry(number: u16, role: ServerRole, data_centre: &str) -> ServerEntry {
    ServerEntry {
        started_ms: WallMillis(1),
        service: service_id(),
        address: ([127, 0, 0, 1], number).into(),
        data_centre: data_centre.parse().unwrap(),
        max_concurrent_calls: 6,
        state: ServerState::Ready,
        role,
        version: "v1".parse().ok(),
    }
}

pub fn server_update(number: u16, revision: u64, entry: Option<ServerEntry>) -> ServerUpdate {
    ServerUpdate { server: format!("s{number}").parse().unwrap(), revision, entry }
}

/// A forwarder in `dc-a` that has just started and knows no other instance.
pub fn started_forwarder(started_ms: Millis, assumed_instance_count: usize) -> Forwarder {
    let mut forwarder = Forwarder::new(ForwarderSettings {
        data_centre: "dc-a".parse().unwrap(),
        retry_bounds: RETRY_BOUNDS,
        started_ms,
        assumed_instance_count,
        gives_orders: true,
    });
    forwarder.apply_table(table(1, vec![route("r", "a.example", "/")]));
    forwarder
}

/// A forwarder in `dc-a` that knows servers with these roles and data centres, numbered from 1.
pub fn forwarder(servers: &[(ServerRole, &str)]) -> Forwarder {
    let mut forwarder = started_forwarder(Millis::ZERO, 1);
    for (index, (role, data_centre)) in servers.iter().enumerate() {
        let number = index as u16 + 1;
        let entry = server_entry(number, *role, data_centre);
        forwarder
            .apply_server_update(Millis(0), server_update(number, u64::from(number), Some(entry)));
    }
    forwarder
}

pub fn server_number(choice: &ChosenServer) -> u16 {
    choice.address.port()
}
