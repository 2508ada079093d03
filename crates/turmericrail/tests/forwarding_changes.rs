//! Changes while a forwarding instance runs: configuration, servers, settings, and its shutdown.

mod forward_support;

use std::io::Write;
use std::time::{Duration, Instant};

use forward_support::{ForwardInstance, configuration, read_reply, request_text, wait_for};
use serde_json::json;
use turmericrail_fakes::registered::{Behaviour, FakeStore};
use turmericrail_fakes::{Fault, FaultProxy, FaultScope};

/// Time within which a watch starts after the store has been read.
const WATCH_START_TIME: Duration = Duration::from_millis(600);

/// Time in which the load balancer notices that an instance isn't ready: two checks, one a second.
const BALANCER_NOTICE_TIME: Duration = Duration::from_millis(2_800);

#[test]
fn new_configuration() {
    let instance = ForwardInstance::start("new-config");
    instance.start_plain_server("s1");
    let mut next = configuration(5);
    next["routes"][0]["pathPrefix"] = json!("/moved/");
    instance.store.publish(&next);
    wait_for("the new route", || instance.send_request("moved", "r1").status() == 200);
    instance.store.publish(&configuration(3));
    instance.wait_for_log("version=3 revision=4 routes=4 source=store outcome=not_newer");
    assert_eq!(instance.send_request("moved", "r2").status(), 200);
    assert_eq!(instance.send_request("read", "r3").status(), 404);
}

#[test]
fn missed_events() {
    // A watch that was closed may have missed events before: everything must be read again after
    // it.
    let instance = ForwardInstance::start("deaf");
    instance.start_plain_server("s1");
    instance.store.withhold_events();
    let mut next = configuration(5);
    next["routes"][0]["pathPrefix"] = json!("/moved/");
    instance.store.publish(&next);
    instance.store.close_watches();
    let closed_at = Instant::now();
    wait_for("the new route", || instance.send_request("moved", "r1").status() == 200);
    assert!(closed_at.elapsed() < Duration::from_secs(2));
}

#[test]
fn silent_watch() {
    // The connections of an instance to the store stop carrying data but stay open. Once another
    // instance has announced a change, it must read the store again and see the next change in
    // time.
    let first = ForwardInstance::start("silent-watch-1");
    let proxy = async_std::task::block_on(FaultProxy::start(first.store.address())).unwrap();
    let second = first.start_peer("silent-watch-2", FakeStore::start().unwrap(), proxy.address);
    second.wait_for_log("event=members_changed count=2");
    proxy.add_fault(Fault::DropAll, FaultScope::Existing, |_| true);
    std::thread::sleep(Duration::from_millis(100));
    first.store.publish(&configuration(2));
    second.wait_for_log("event=config version=2 ");
    second.wait_for_log("event=watch_silent prefix=op/config ");
    std::thread::sleep(Duration::from_millis(600));
    first.store.publish(&configuration(3));
    std::thread::sleep(Duration::from_millis(900));
    assert!(second.read_log().contains("event=config version=3 "), "{}", second.read_log());
}

/// Times that a test begins anew because the machine was too busy for it to act in time.
const MAX_TRIES: usize = 5;

/// Lets the first watch after a lost connection get neither an answer nor an error. Returns whether
/// the fault came while that watch was under way.
fn play_silent_reconnect() -> bool {
    let store = FakeStore::start().unwrap();
    store.publish(&configuration(1));
    let proxy = async_std::task::block_on(FaultProxy::start(store.address())).unwrap();
    let instance = ForwardInstance::start_with_store_address("silent-return", store, proxy.address);
    std::thread::sleep(WATCH_START_TIME);
    let closed_at = Instant::now();
    proxy.add_fault(Fault::Close, FaultScope::Existing, |_| true);
    let next_watch = || instance.store.last_watch("op/config").filter(|watch| watch.at > closed_at);
    wait_for("a watch after the loss", || next_watch().is_some());
    let watch = next_watch().unwrap();
    proxy.clear_faults();
    proxy.add_fault(Fault::DropAll, FaultScope::Existing, |_| true);
    instance.store.publish(&configuration(2));
    std::thread::sleep(Duration::from_millis(200));
    proxy.clear_faults();
    let is_in_time = watch.at.elapsed() < watch.wait;
    let is_known = || instance.read_log().contains("event=config version=2 ");
    if is_in_time {
        wait_for("the new configuration", is_known);
    }
    is_in_time
}

#[test]
fn silent_reconnect() {
    // After a lost connection, the watch on the next one gets neither an answer nor an error: it
    // must be abandoned within the time in which an instance has to catch up. A later watch is
    // known to have a working connection and may last longer.
    assert!((0..MAX_TRIES).any(|_| play_silent_reconnect()), "the fault came too late each time");
}

#[test]
fn invalid_configuration() {
    // An instance must not become ready without a valid configuration: the wait in the thread
    // fails.
    let store = FakeStore::start().unwrap();
    store.publish(&json!({"version": 1, "routes": "none"}));
    let address = store.address();
    assert_ne!(address.port(), 0);
    let instance = std::thread::spawn(move || {
        let instance = ForwardInstance::start_with_store("late-config", store);
        instance.is_ready()
    });
    assert!(instance.join().is_err(), "an instance with an invalid configuration became ready");
}

#[test]
fn draining_server() {
    let instance = ForwardInstance::start("leaving-server");
    let servers = [instance.start_plain_server("s1"), instance.start_plain_server("s2")];
    servers[0].register(&instance.store, "draining");
    instance.wait_for_log("server=s1 revision=4 state=draining");
    for number in 0..10 {
        assert_eq!(instance.send_request("order", &format!("r{number}")).status(), 200);
    }
    assert!(servers[0].executed_calls().is_empty());
}

#[test]
fn malformed_entries() {
    let instance = ForwardInstance::start("foreign-entries");
    instance.store.put_bytes("servers/odd", &[0xff, 0xfe]);
    instance.store.put("servers/half", &json!({"service": "desk", "address": 7}));
    let server = instance.start_plain_server("s1");
    assert_eq!(instance.send_request("order", "r1").status(), 200);
    assert_eq!(server.executed_calls().len(), 1);
}

#[test]
fn changed_settings() {
    let mut instance = ForwardInstance::start("changed-settings");
    instance.start_plain_server("s1");
    let text = std::fs::read_to_string(&instance.settings_path).unwrap();
    std::fs::write(&instance.settings_path, text.replace("retry_slack: 56", "retry_slack: 9"))
        .unwrap();
    instance.signal("HUP");
    instance.wait_for_log("event=settings_reloaded is_changed=true");
    std::fs::write(&instance.settings_path, "instance: 7 7\n").unwrap();
    instance.signal("HUP");
    instance.wait_for_log("event=settings_refused");
    assert!(!instance.has_exited());
    assert_eq!(instance.send_request("order", "r1").status(), 200);
}

/// Stops an instance under way. Returns whether the requests were sent before the load balancer
/// must have noticed; later ones may be refused.
fn play_graceful_shutdown() -> bool {
    let mut instance = ForwardInstance::start("ordered-end");
    instance.start_engine("p1", "prefill");
    instance.start_engine("d1", "decode");
    instance.start_plain_server("s1");
    let mut kept_stream = instance.connect();
    let mut buffer = Vec::new();
    kept_stream.write_all(request_text("read", "r1").as_bytes()).unwrap();
    assert_eq!(read_reply(&mut kept_stream, &mut buffer).unwrap().status(), 200);
    let mut stream = instance.connect();
    stream.write_all(request_text("stream", "r2").as_bytes()).unwrap();
    let shutdown_started = Instant::now();
    instance.signal("TERM");
    instance.wait_for_log("event=shutdown");
    assert!(!instance.is_ready());
    // The load balancer may not have noticed yet: new and kept-alive connections are still served.
    let reply = instance.send_request("order", "r3");
    kept_stream.write_all(request_text("read", "r4").as_bytes()).unwrap();
    let last_reply = read_reply(&mut kept_stream, &mut buffer).unwrap();
    if shutdown_started.elapsed() >= BALANCER_NOTICE_TIME {
        return false;
    }
    assert_eq!(reply.status(), 200);
    assert_eq!((last_reply.status(), last_reply.head.is_kept_alive), (200, false));
    assert!(read_reply(&mut stream, &mut Vec::new()).unwrap().is_complete);
    // Late requests are refused, since their answers might not end within the grace time.
    std::thread::sleep(Duration::from_millis(3_000).saturating_sub(shutdown_started.elapsed()));
    let late_reply = instance.send_request("order", "r5");
    assert_eq!(
        (late_reply.status(), late_reply.head.headers.text("Retry-After").is_some()),
        (503, true)
    );
    let deadline = Instant::now() + Duration::from_secs(8);
    while !instance.has_exited() {
        assert!(Instant::now() < deadline, "the process has not exited");
        std::thread::sleep(Duration::from_millis(50));
    }
    true
}

#[test]
fn graceful_shutdown() {
    assert!(
        (0..MAX_TRIES).any(|_| play_graceful_shutdown()),
        "the requests came too late each time"
    );
}

#[test]
fn failure_in_log() {
    // The log alone must lead from the id of a failed request to its cause.
    let instance = ForwardInstance::start("explained");
    let server = instance.start_plain_server("s1");
    server.set_next_behaviours(&[Behaviour::CloseWithoutAnswer]);
    assert_eq!(instance.send_request("order", "lost-order").status(), 502);
    instance.wait_for_log("event=answer request=lost-order");
    let log = instance.read_log();
    let lines: Vec<_> = log.lines().filter(|line| line.contains("request=lost-order")).collect();
    assert!(lines[0].contains("event=server_call") && lines[0].contains("outcome=lost"), "{log}");
    assert!(lines[0].contains("server=s1") && lines[0].contains("config_version=1"), "{log}");
    assert!(lines[1].contains("outcome=server_lost status=502"), "{log}");
}
