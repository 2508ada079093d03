//! What changes while an instance runs: configuration, servers, settings, and its own end.

mod forward_support;

use std::io::Write;
use std::time::{Duration, Instant};

use forward_support::{World, configuration, read_reply, request_text, wait_for};
use serde_json::json;
use turmericrail_fakes::registered::{Behaviour, FakeStore};
use turmericrail_fakes::{Fault, FaultProxy, FaultScope};

/// Time after a reading in which a watch has begun.
const WATCH_PAUSE: Duration = Duration::from_millis(600);

#[test]
fn new_configuration() {
    let world = World::start("new-config");
    world.plain("s1");
    let mut next = configuration(5);
    next["routes"][0]["pathPrefix"] = json!("/moved/");
    world.store.publish(&next);
    wait_for("the new route", || world.request("moved", "r1").status() == 200);
    world.store.publish(&configuration(3));
    world.wait_for_log("version=3 revision=4 routes=4 source=store outcome=not_newer");
    assert_eq!(world.request("moved", "r2").status(), 200);
    assert_eq!(world.request("read", "r3").status(), 404);
}

#[test]
fn deaf_watch() {
    // A watch that was cut may have been deaf before: everything is read anew after it.
    let world = World::start("deaf");
    world.plain("s1");
    world.store.withhold_events();
    let mut next = configuration(5);
    next["routes"][0]["pathPrefix"] = json!("/moved/");
    world.store.publish(&next);
    world.store.close_watches();
    let cut = Instant::now();
    wait_for("the new route", || world.request("moved", "r1").status() == 200);
    assert!(cut.elapsed() < Duration::from_secs(2));
}

#[test]
fn silent_watch() {
    // An instance's connections to the store die without a sign. Once another instance has told it
    // of a change, it reads the store anew and hears of the next one in time.
    let first = World::start("silent-watch-1");
    let link = async_std::task::block_on(FaultProxy::start(first.store.address())).unwrap();
    let second = first.start_peer("silent-watch-2", FakeStore::start().unwrap(), link.address);
    second.wait_for_log("event=members_changed count=2");
    link.add_fault(Fault::DropAll, FaultScope::Existing, |_| true);
    std::thread::sleep(Duration::from_millis(100));
    first.store.publish(&configuration(2));
    second.wait_for_log("event=config version=2 ");
    second.wait_for_log("event=watch_silent prefix=op/config ");
    std::thread::sleep(Duration::from_millis(600));
    first.store.publish(&configuration(3));
    std::thread::sleep(Duration::from_millis(900));
    assert!(second.log().contains("event=config version=3 "), "{}", second.log());
}

#[test]
fn silent_return() {
    // After a loss, the watch of the next connection gets no answer and no error: it is given up
    // within the time in which an instance has to catch up.
    let store = FakeStore::start().unwrap();
    store.publish(&configuration(1));
    let link = async_std::task::block_on(FaultProxy::start(store.address())).unwrap();
    let world = World::start_behind("silent-return", store, link.address);
    std::thread::sleep(WATCH_PAUSE);
    link.add_fault(Fault::Close, FaultScope::Existing, |_| true);
    world.wait_for_log("event=store_regained prefix=op/config ");
    std::thread::sleep(WATCH_PAUSE);
    link.clear_faults();
    link.add_fault(Fault::DropAll, FaultScope::Existing, |_| true);
    world.store.publish(&configuration(2));
    std::thread::sleep(Duration::from_millis(500));
    link.clear_faults();
    wait_for("the new configuration", || world.log().contains("event=config version=2 "));
}

#[test]
fn late_configuration() {
    // Without a configuration the instance is not ready and refuses what comes.
    let store = FakeStore::start().unwrap();
    store.publish(&json!({"version": 1, "routes": "none"}));
    let address = store.address();
    assert_ne!(address.port(), 0);
    let world = std::thread::spawn(move || {
        let world = World::start_with("late-config", store);
        world.is_ready()
    });
    assert!(world.join().is_err(), "an instance with a bad configuration became ready");
}

#[test]
fn leaving_server() {
    let world = World::start("leaving-server");
    let servers = [world.plain("s1"), world.plain("s2")];
    servers[0].register(&world.store, "draining");
    world.wait_for_log("server=s1 revision=4 state=draining");
    for number in 0..10 {
        assert_eq!(world.request("order", &format!("r{number}")).status(), 200);
    }
    assert!(servers[0].executed_calls().is_empty());
}

#[test]
fn foreign_entries() {
    let world = World::start("foreign-entries");
    world.store.put_bytes("servers/odd", &[0xff, 0xfe]);
    world.store.put("servers/half", &json!({"service": "desk", "address": 7}));
    let server = world.plain("s1");
    assert_eq!(world.request("order", "r1").status(), 200);
    assert_eq!(server.executed_calls().len(), 1);
}

#[test]
fn changed_settings() {
    let mut world = World::start("changed-settings");
    world.plain("s1");
    let text = std::fs::read_to_string(&world.settings_path).unwrap();
    std::fs::write(&world.settings_path, text.replace("retry_slack: 56", "retry_slack: 9"))
        .unwrap();
    world.signal("HUP");
    world.wait_for_log("event=settings_reloaded is_changed=true");
    std::fs::write(&world.settings_path, "instance: 7 7\n").unwrap();
    world.signal("HUP");
    world.wait_for_log("event=settings_refused");
    assert!(!world.has_ended());
    assert_eq!(world.request("order", "r1").status(), 200);
}

#[test]
fn ordered_end() {
    let mut world = World::start("ordered-end");
    world.engine("p1", "prefill");
    world.engine("d1", "decode");
    world.plain("s1");
    let mut kept = world.connect();
    let mut buffer = Vec::new();
    kept.write_all(request_text("read", "r1").as_bytes()).unwrap();
    assert_eq!(read_reply(&mut kept, &mut buffer).unwrap().status(), 200);
    let mut stream = world.connect();
    stream.write_all(request_text("stream", "r2").as_bytes()).unwrap();
    let ordered = Instant::now();
    world.signal("TERM");
    world.wait_for_log("event=shutdown");
    assert!(!world.is_ready());
    // The balancer has not noticed yet: new connections and kept ones are still served.
    assert_eq!(world.request("order", "r3").status(), 200);
    kept.write_all(request_text("read", "r4").as_bytes()).unwrap();
    let last = read_reply(&mut kept, &mut buffer).unwrap();
    assert_eq!((last.status(), last.head.is_kept_alive), (200, false));
    assert!(read_reply(&mut stream, &mut Vec::new()).unwrap().is_complete);
    // Late work is refused, since its answer might not fit into the grace.
    std::thread::sleep(Duration::from_millis(3_000).saturating_sub(ordered.elapsed()));
    let late = world.request("order", "r5");
    assert_eq!((late.status(), late.head.headers.text("Retry-After").is_some()), (503, true));
    let end = Instant::now() + Duration::from_secs(8);
    while !world.has_ended() {
        assert!(Instant::now() < end, "the process has not ended");
        std::thread::sleep(Duration::from_millis(50));
    }
}

#[test]
fn explained_failure() {
    // The log alone leads from the id of a failed request to its cause.
    let world = World::start("explained");
    let server = world.plain("s1");
    server.set_next_behaviours(&[Behaviour::CloseWithoutAnswer]);
    assert_eq!(world.request("order", "lost-order").status(), 502);
    world.wait_for_log("event=answer request=lost-order");
    let log = world.log();
    let lines: Vec<_> = log.lines().filter(|line| line.contains("request=lost-order")).collect();
    assert!(lines[0].contains("event=server_call") && lines[0].contains("outcome=lost"), "{log}");
    assert!(lines[0].contains("server=s1") && lines[0].contains("config_version=1"), "{log}");
    assert!(lines[1].contains("outcome=server_lost status=502"), "{log}");
}
