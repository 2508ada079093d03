//! Calls beyond the first of their request stay within the bound on retries, counted by what the
//! servers received, for every pair of faults at the servers of a service.

mod forward_support;

use std::collections::BTreeMap;
use std::io::Write;
use std::thread;

use forward_support::{ForwardInstance, wait_for};
use turmericrail_fakes::registered::{Arrival, Behaviour, RegisteredServer, Reply, request_text};

const RETRY_RATIO: f64 = 0.2;
const RETRY_SLACK: u64 = 10;
const REQUESTS: usize = 40;
const CONCURRENT_REQUESTS: usize = 20;
const CALLER_TIMEOUT_MS: u64 = 900;
/// Enough that each refuses a prefill before the instance leaves all of them alone.
const PREFILL_ENGINES: usize = 24;
const DECODE_ENGINES: usize = 4;

const FAULTS: [Behaviour; 6] = [
    Behaviour::Answer,
    Behaviour::Refuse,
    Behaviour::Fail,
    Behaviour::CloseWithoutAnswer,
    Behaviour::CloseMidEvent,
    Behaviour::NeverAnswer,
];

/// Sends requests to the routes in turn.
fn send_requests(instance: &ForwardInstance, routes: &[&str]) {
    thread::scope(|scope| {
        for first in 0..CONCURRENT_REQUESTS {
            scope.spawn(move || {
                for number in (first..REQUESTS).step_by(CONCURRENT_REQUESTS) {
                    let text = request_text(
                        routes[number % routes.len()],
                        "x",
                        &format!("r{number}"),
                        CALLER_TIMEOUT_MS,
                    );
                    let mut stream = instance.connect();
                    stream.write_all(text.as_bytes()).unwrap();
                    let _ = Reply::read(&mut stream, &mut Vec::new());
                }
            });
        }
    });
}

/// Arrivals beyond the first of each request. The first prefill that is done doesn't count.
fn extra_arrivals(servers: &[RegisteredServer]) -> usize {
    let mut by_request: BTreeMap<String, Vec<Arrival>> = BTreeMap::new();
    for arrival in servers.iter().flat_map(RegisteredServer::arrivals) {
        by_request.entry(arrival.request_id.clone()).or_default().push(arrival);
    }
    let extra = |arrivals: &Vec<Arrival>| {
        let done_prefills = arrivals.iter().filter(|arrival| arrival.is_done_prefill).count();
        (arrivals.len() - done_prefills.min(1)).saturating_sub(1)
    };
    by_request.values().map(extra).sum()
}

fn assert_within_bound(servers: &[RegisteredServer], faults: &str) {
    let allowed = RETRY_RATIO * REQUESTS as f64 + RETRY_SLACK as f64;
    let extra = extra_arrivals(servers);
    assert!(extra as f64 <= allowed, "{faults}: {extra} repeated calls, allowed {allowed}");
}

fn play_engines(prefill_fault: Behaviour, decode_fault: Behaviour) {
    let faults = format!("{prefill_fault:?}-{decode_fault:?}");
    let instance = ForwardInstance::start_with_retry_slack(&faults, RETRY_SLACK);
    let start = |number: usize, stage: &'static str, fault: Behaviour| {
        let id = format!("{stage}{number}");
        let engine = RegisteredServer::start(&instance.store, &id, Some(stage)).unwrap();
        engine.set_behaviour(fault);
        engine
    };
    let mut engines = Vec::new();
    engines.extend((0..PREFILL_ENGINES).map(|number| start(number, "prefill", prefill_fault)));
    engines.extend((0..DECODE_ENGINES).map(|number| start(number, "decode", decode_fault)));
    for engine in &engines {
        instance.wait_for_log(&format!("event=server_changed server={} ", engine.id));
    }
    send_requests(&instance, &["stream", "resumable"]);
    assert_within_bound(&engines, &faults);
}

/// Plays every pair of faults, those with the same first one after each other.
fn play_all_pairs(play: impl Fn(Behaviour, Behaviour) + Sync) {
    thread::scope(|scope| {
        for first in FAULTS {
            let play = &play;
            scope.spawn(move || FAULTS.into_iter().for_each(|second| play(first, second)));
        }
    });
}

#[test]
fn failing_engine_pairs() {
    // Guards against prefills that are sent again, or calls that follow a refused prefill, beside
    // the bound on retries.
    play_all_pairs(play_engines);
}

#[test]
fn failing_server_pairs() {
    // Guards against plain calls that are sent again beside the bound on retries.
    play_all_pairs(|first, second| {
        let faults = format!("plain-{first:?}-{second:?}");
        let instance = ForwardInstance::start_with_retry_slack(&faults, RETRY_SLACK);
        let servers = [("s1", first), ("s2", second), ("s3", first), ("s4", second)];
        let servers = servers.map(|(id, fault)| {
            let server = instance.start_plain_server(id);
            server.set_behaviour(fault);
            server
        });
        send_requests(&instance, &["read", "order"]);
        assert_within_bound(&servers, &faults);
    });
}

#[test]
fn unused_retry() {
    // Guards against a retry that is taken for a call for which no engine has room: the next call
    // was refused though an engine had room.
    let instance = ForwardInstance::start_with_retry_slack("unused-retry", 0);
    let [first, second] = ["d1", "d2"].map(|id| instance.start_engine(id, "decode"));
    // One retry is allowed for each five calls.
    for number in 0..5 {
        assert!(instance.send_request("resumable", &format!("q{number}")).is_complete);
    }
    first.set_behaviour(Behaviour::Refuse);
    second.set_full(true);
    assert_eq!(instance.send_request("resumable", "r1").status(), 503);
    let reply = std::thread::scope(|scope| {
        let reply = scope.spawn(|| instance.send_request("resumable", "r2"));
        wait_for("the refused call", || {
            first.arrivals().iter().any(|arrival| arrival.request_id == "r2")
        });
        second.set_full(false);
        reply.join().unwrap()
    });
    assert_eq!((reply.status(), reply.is_complete), (200, true));
}
