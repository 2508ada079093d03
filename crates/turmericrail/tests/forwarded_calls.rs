//! Plain calls through a forwarding instance: forwarded unchanged, retried if idempotent, and
//! executed at most once otherwise.

mod forward_support;

use std::io::Write;

use forward_support::{ForwardInstance, read_reply, request_text};
use turmericrail_fakes::registered::Behaviour;

#[test]
fn unchanged_calls() {
    let instance = ForwardInstance::start("calm");
    let server = instance.start_plain_server("s1");
    let read = instance.send_request("read", "r1");
    assert_eq!((read.status(), read.body.as_str()), (200, "answer of s1"));
    assert_eq!(read.head.headers.text("X-Response-Signature"), Some("s1"));
    assert_eq!(read.head.headers.text("X-Instance-Load"), None);
    let order = instance.send_request("order", "r2");
    assert_eq!(order.status(), 200);
    let calls = server.executed_calls();
    assert_eq!(calls[0].head.target, "/read/x/../y?q=%2f");
    assert_eq!(calls[1].body, b"body of the call");
    let remaining_ms: u64 = calls[1].head.headers.text("X-Deadline-Ms").unwrap().parse().unwrap();
    assert!((1..=2_000).contains(&remaining_ms));
}

#[test]
fn pipelined_requests() {
    let instance = ForwardInstance::start("kept");
    let server = instance.start_plain_server("s1");
    let mut stream = instance.connect();
    let mut buffer = Vec::new();
    let both = request_text("read", "r1") + &request_text("order", "r2");
    stream.write_all(both.as_bytes()).unwrap();
    for _ in 0..2 {
        assert_eq!(read_reply(&mut stream, &mut buffer).unwrap().status(), 200);
    }
    assert_eq!(server.executed_calls().len(), 2);
}

#[test]
fn lost_read_answer() {
    let instance = ForwardInstance::start("lost-read");
    let servers = [instance.start_plain_server("s1"), instance.start_plain_server("s2")];
    for server in &servers {
        server.set_next_behaviours(&[Behaviour::CloseWithoutAnswer]);
    }
    // Both servers lose their first answer. Since one retry is allowed, the first request fails and
    // the second succeeds.
    assert_eq!(instance.send_request("read", "r1").status(), 502);
    assert_eq!(instance.send_request("read", "r2").status(), 200);
    servers[0].set_next_behaviours(&[Behaviour::CloseWithoutAnswer]);
    servers[1].set_next_behaviours(&[]);
    assert_eq!(instance.send_request("read", "r3").status(), 200);
}

#[test]
fn unanswered_read() {
    // A server that doesn't answer may delay an idempotent call by a part of its latency target,
    // not by the caller's timeout.
    let instance = ForwardInstance::start("mute-read");
    let servers = [instance.start_plain_server("s1"), instance.start_plain_server("s2")];
    servers[0].set_next_behaviours(&[Behaviour::NeverAnswer; 8]);
    let started = std::time::Instant::now();
    for number in 0..6 {
        assert_eq!(instance.send_request("read", &format!("r{number}")).status(), 200);
    }
    assert!(started.elapsed().as_millis() < 2_000);
}

#[test]
fn lost_order_answer() {
    let instance = ForwardInstance::start("lost-order");
    let servers = [instance.start_plain_server("s1"), instance.start_plain_server("s2")];
    for server in &servers {
        server.set_next_behaviours(&[Behaviour::CloseWithoutAnswer]);
    }
    assert_eq!(instance.send_request("order", "r1").status(), 502);
    let execution_count: usize = servers.iter().map(|server| server.executed_calls().len()).sum();
    assert_eq!(execution_count, 1);
}

#[test]
fn refused_order() {
    let instance = ForwardInstance::start("refused-order");
    let server = instance.start_plain_server("s1");
    server.set_next_behaviours(&[Behaviour::Refuse]);
    let refused = instance.send_request("order", "r1");
    assert_eq!(refused.status(), 503);
    assert!(refused.head.headers.text("Retry-After").is_some());
    assert!(server.executed_calls().is_empty());
}

#[test]
fn foreign_answer() {
    // The answer to an earlier request is discarded, and its connection is not used again.
    let instance = ForwardInstance::start("foreign");
    let server = instance.start_plain_server("s1");
    server.set_next_behaviours(&[Behaviour::ForeignAnswerFirst]);
    let order = instance.send_request("order", "r1");
    assert_eq!((order.status(), order.body.as_str()), (200, "answer of s1"));
}

#[test]
fn no_server() {
    let instance = ForwardInstance::start("no-server");
    let refused = instance.send_request("order", "r1");
    assert_eq!(refused.status(), 503);
    assert!(refused.body.contains("not_run"), "{}", refused.body);
    let unknown =
        instance.send("GET /none/ HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: r\r\n\r\n");
    assert_eq!(unknown.unwrap().status(), 404);
}

#[test]
fn smuggled_requests() {
    let instance = ForwardInstance::start("smuggled");
    let server = instance.start_plain_server("s1");
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
        let mut stream = instance.connect();
        stream.write_all(text.as_bytes()).unwrap();
        let mut buffer = Vec::new();
        assert_eq!(read_reply(&mut stream, &mut buffer).unwrap().status(), 400, "{field}");
        assert!(read_reply(&mut stream, &mut buffer).is_none(), "{field}");
    }
    let large =
        format!("GET /read/ HTTP/1.1\r\nHost: a.example\r\nX: {}\r\n\r\n", "x".repeat(8_000));
    assert_eq!(instance.send(&large).unwrap().status(), 431);
    let long = "POST /order/ HTTP/1.1\r\nHost: a.example\r\nContent-Length: 70000\r\n\r\nabc";
    assert_eq!(instance.send(long).unwrap().status(), 413);
    assert!(server.executed_calls().is_empty());
}
