//! Model calls that find no room where requests of different ranks compete.

mod forward_support;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use forward_support::{ForwardInstance, configuration, wait_for};
use serde_json::json;
use turmericrail_fakes::registered::FakeStore;

/// Starts an instance whose two stream routes have different ranks.
fn start(name: &str) -> ForwardInstance {
    let mut configuration = configuration(1);
    for route in configuration["routes"].as_array_mut().unwrap() {
        route["priority"] = json!(if route["name"] == "resumable" { 2 } else { 0 });
    }
    let store = FakeStore::start().unwrap();
    store.publish(&configuration);
    ForwardInstance::start_with_store(name, store)
}

fn read_metrics(instance: &ForwardInstance) -> String {
    let mut stream = TcpStream::connect(instance.operator_address).unwrap();
    stream.write_all(b"GET /metrics HTTP/1.1\r\nHost: o\r\nConnection: close\r\n\r\n").unwrap();
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    text
}

/// Guards against a call that is lost because engines were full until its target had passed.
#[test]
fn late_room() {
    let instance = start("late-room");
    instance.start_engine("p1", "prefill");
    let decode = instance.start_engine("d1", "decode");
    decode.set_full(true);
    let (status, elapsed) = std::thread::scope(|scope| {
        let sent = Instant::now();
        let caller = scope.spawn(|| instance.send_request("resumable", "r1").status());
        std::thread::sleep(Duration::from_millis(700));
        decode.set_full(false);
        (caller.join().unwrap(), sent.elapsed())
    });
    assert_eq!(status, 200);
    assert!(elapsed > Duration::from_millis(600), "it waited for {elapsed:?}");
    instance.wait_for_log("event=placed request=r1 service=llm rank=1 standing=late");
}

/// Guards against calls that wait although their answer can't come before the deadline, and
/// against refusals whose reason can't be read from the log and the metrics.
#[test]
fn refused_by_rank() {
    let instance = start("refused-by-rank");
    instance.start_engine("p1", "prefill");
    instance.start_engine("d1", "decode").set_full(true);
    let sent = Instant::now();
    let reply = instance.send_request("resumable", "r1");
    assert_eq!(reply.status(), 503);
    assert!(sent.elapsed() < Duration::from_millis(2_000), "{:?}", sent.elapsed());
    instance.wait_for_log(
        "event=place_refused request=r1 service=llm reason=overloaded rank=1 standing=late",
    );
    wait_for("the metrics", || {
        let metrics = read_metrics(&instance);
        metrics.contains("turmericrail_overload_refusals_total{rank=\"1\"} 1")
            && metrics.contains("turmericrail_waiting_calls{rank=\"1\"} 0")
    });
}
