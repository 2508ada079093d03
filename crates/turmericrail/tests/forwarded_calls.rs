//! Plain calls through a process: passed on as they came, retried where that does no harm, and
//! never run twice where it does.

mod forward_support;

use std::io::Write;

use forward_support::{World, read_reply, request_text};
use turmericrail_fakes::registered::Behaviour;

#[test]
fn calm_calls() {
    let world = World::start("calm");
    let server = world.plain("s1");
    let read = world.request("read", "r1");
    assert_eq!((read.status(), read.body.as_str()), (200, "answer of s1"));
    assert_eq!(read.head.headers.text("X-Response-Signature"), Some("s1"));
    assert_eq!(read.head.headers.text("X-Instance-Load"), None);
    let order = world.request("order", "r2");
    assert_eq!(order.status(), 200);
    let seen = server.executed_calls();
    assert_eq!(seen[0].head.target, "/read/x/../y?q=%2f");
    assert_eq!(seen[1].body, b"body of the call");
    let left_ms: u64 = seen[1].head.headers.text("X-Deadline-Ms").unwrap().parse().unwrap();
    assert!((1..=2_000).contains(&left_ms));
}

#[test]
fn kept_connection() {
    let world = World::start("kept");
    let server = world.plain("s1");
    let mut stream = world.connect();
    let mut buffer = Vec::new();
    let both = request_text("read", "r1") + &request_text("order", "r2");
    stream.write_all(both.as_bytes()).unwrap();
    for _ in 0..2 {
        assert_eq!(read_reply(&mut stream, &mut buffer).unwrap().status(), 200);
    }
    assert_eq!(server.executed_calls().len(), 2);
}

#[test]
fn lost_read() {
    let world = World::start("lost-read");
    let servers = [world.plain("s1"), world.plain("s2")];
    for server in &servers {
        server.set_next_behaviours(&[Behaviour::CloseWithoutAnswer]);
    }
    // Both lose their first answer: one retry is allowed, so that the second request succeeds.
    assert_eq!(world.request("read", "r1").status(), 502);
    assert_eq!(world.request("read", "r2").status(), 200);
    servers[0].set_next_behaviours(&[Behaviour::CloseWithoutAnswer]);
    servers[1].set_next_behaviours(&[]);
    assert_eq!(world.request("read", "r3").status(), 200);
}

#[test]
fn mute_read() {
    // A server that falls silent costs an idempotent call a part of its target, not its patience.
    let world = World::start("mute-read");
    let servers = [world.plain("s1"), world.plain("s2")];
    servers[0].set_next_behaviours(&[Behaviour::NeverAnswer; 8]);
    let started = std::time::Instant::now();
    for number in 0..6 {
        assert_eq!(world.request("read", &format!("r{number}")).status(), 200);
    }
    assert!(started.elapsed().as_millis() < 2_000);
}

#[test]
fn lost_order() {
    let world = World::start("lost-order");
    let servers = [world.plain("s1"), world.plain("s2")];
    for server in &servers {
        server.set_next_behaviours(&[Behaviour::CloseWithoutAnswer]);
    }
    assert_eq!(world.request("order", "r1").status(), 502);
    let runs: usize = servers.iter().map(|server| server.executed_calls().len()).sum();
    assert_eq!(runs, 1);
}

#[test]
fn refused_order() {
    let world = World::start("refused-order");
    let server = world.plain("s1");
    server.set_next_behaviours(&[Behaviour::Refuse]);
    let refused = world.request("order", "r1");
    assert_eq!(refused.status(), 503);
    assert!(refused.head.headers.text("Retry-After").is_some());
    assert!(server.executed_calls().is_empty());
}

#[test]
fn foreign_answer() {
    // The answer to an earlier request is passed over; the connection is not used again.
    let world = World::start("foreign");
    let server = world.plain("s1");
    server.set_next_behaviours(&[Behaviour::ForeignAnswerFirst]);
    let order = world.request("order", "r1");
    assert_eq!((order.status(), order.body.as_str()), (200, "answer of s1"));
}

#[test]
fn no_server() {
    let world = World::start("no-server");
    let refused = world.request("order", "r1");
    assert_eq!(refused.status(), 503);
    assert!(refused.body.contains("not_run"), "{}", refused.body);
    let unknown = world.send("GET /none/ HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: r\r\n\r\n");
    assert_eq!(unknown.unwrap().status(), 404);
}

#[test]
fn smuggled_requests() {
    let world = World::start("smuggled");
    let server = world.plain("s1");
    let hidden = request_text("order", "hidden");
    for field in [
        "Transfer-Encoding: xchunked",
        "Transfer-Encoding: chunked\r\nContent-Length: 4",
        "Content-Length: 0\r\nContent-Length: 400",
        "Content-Length: +0",
    ] {
        let text = format!(
            "POST /order/ HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: r\r\n{field}\r\n\r\n{hidden}"
        );
        let mut stream = world.connect();
        stream.write_all(text.as_bytes()).unwrap();
        let mut buffer = Vec::new();
        assert_eq!(read_reply(&mut stream, &mut buffer).unwrap().status(), 400, "{field}");
        assert!(read_reply(&mut stream, &mut buffer).is_none(), "{field}");
    }
    let large =
        format!("GET /read/ HTTP/1.1\r\nHost: a.example\r\nX: {}\r\n\r\n", "x".repeat(8_000));
    assert_eq!(world.send(&large).unwrap().status(), 431);
    let long = "POST /order/ HTTP/1.1\r\nHost: a.example\r\nContent-Length: 70000\r\n\r\nabc";
    assert_eq!(world.send(long).unwrap().status(), 413);
    assert!(server.executed_calls().is_empty());
}
