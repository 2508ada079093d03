//! Slow, oversized, malformed and half-closed callers get a clear error and take nothing from
//! others.

mod plain_support;

use std::net::SocketAddr;

use async_std::io::prelude::*;
use async_std::net::TcpStream;
use http_types::Method;
use plain_support::{PATIENCE, book, executions, read_stock, send, send_raw, take_ticket};
use quickcheck::{Arbitrary, Gen};
use turmericrail_fakes::{Fleet, FleetPlan};

/// A fleet with tight limits.
async fn start_tight(name: &str) -> Fleet {
    start_limited(name, "  max_body_bytes: 2KiB\n  receive_timeout_ms: 1500ms\n").await
}

async fn start_limited(name: &str, limits: &str) -> Fleet {
    let mut plan = FleetPlan::small(env!("CARGO_BIN_EXE_turmericrail"), name);
    plan.extra_settings = format!("limits:\n{limits}");
    Fleet::start(plan).await.expect("loopback ports are free")
}

fn address(fleet: &Fleet) -> SocketAddr {
    fleet.instances[0].caller_address
}

/// Asserts that an answer has a status and holds some texts, and that others are still served.
async fn assert_refused(fleet: &Fleet, answer: &str, status: u16, texts: &[&str]) {
    assert!(answer.starts_with(&format!("HTTP/1.1 {status} ")), "{answer:?}");
    let names_request = answer.contains("x-request-id: ");
    assert_eq!(names_request, status != 200, "{answer:?}");
    for text in texts {
        assert!(answer.contains(text), "{text:?} is not in {answer:?}");
    }
    assert_eq!(read_stock(address(fleet)).await.status, 200);
}

#[async_std::test]
async fn malformed_heads() {
    let fleet = start_tight("malformed-heads").await;
    let heads = ["rubbish\r\n\r\n", "GET / HTTP/1.1\r\n\r\n", "GET /x HTTP/9.9\r\nhost: h\r\n\r\n"];
    for head in heads {
        let answer = send_raw(address(&fleet), head.as_bytes(), false).await;
        assert_refused(&fleet, &answer, 400, &["head_refused", "no HTTP/1.1 head"]).await;
    }
}

#[async_std::test]
async fn long_heads() {
    let fleet = start_tight("long-heads").await;
    let one_line = "x".repeat(100_000);
    let many_lines = format!("GET / HTTP/1.1\r\n{}", "a: b\r\n".repeat(20_000));
    for head in [one_line, many_lines] {
        let answer = send_raw(address(&fleet), head.as_bytes(), false).await;
        assert_refused(&fleet, &answer, 400, &["head_refused", "longer than 8192 bytes"]).await;
    }
}

#[async_std::test]
async fn slow_head() {
    let fleet = start_tight("slow-head").await;
    let answer = send_raw(address(&fleet), b"GET / HTTP/1.1\r\nhost:", false).await;
    assert_refused(&fleet, &answer, 400, &["head_refused", "did not arrive within 1500ms"]).await;
}

#[async_std::test]
async fn slow_body() {
    let fleet = start_tight("slow-body").await;
    let head = "POST /slots/7/bookings HTTP/1.1\r\nhost: h\r\ncontent-length: 100\r\n";
    let answer = send_raw(address(&fleet), format!("{head}\r\nhalf").as_bytes(), false).await;
    assert_refused(&fleet, &answer, 408, &["receive_timeout", "not_run"]).await;
    let ticket = take_ticket(address(&fleet)).await;
    let copy = format!("{head}idempotency-key: {ticket}\r\n\r\nhalf");
    let answer = send_raw(address(&fleet), copy.as_bytes(), false).await;
    assert_refused(&fleet, &answer, 400, &["copy_refused", "unknown"]).await;
}

#[async_std::test]
async fn large_body() {
    let fleet = start_tight("large-body").await;
    let body = "x".repeat(5_000);
    let answer = book(address(&fleet), "", &body).await;
    assert_eq!((answer.status, answer.field("error").as_str()), (413, "too_large"));
    assert!(answer.field("message").contains("limits.max_body_bytes"), "{answer:?}");
    let ticket = take_ticket(address(&fleet)).await;
    let copy = book(address(&fleet), &ticket, &body).await;
    assert_eq!(
        (copy.field("error").as_str(), copy.outcome().as_str()),
        ("copy_refused", "unknown")
    );
    let chunk = format!("{:x}\r\n{}\r\n", body.len(), body);
    let chunked = format!(
        "POST /installs HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n{}",
        chunk.repeat(10)
    );
    let answer = send_raw(address(&fleet), chunked.as_bytes(), false).await;
    assert_refused(&fleet, &answer, 413, &["too_large"]).await;
}

#[async_std::test]
async fn cut_body() {
    let fleet = start_tight("cut-body").await;
    let ticket = take_ticket(address(&fleet)).await;
    let copy = format!(
        "POST /slots/7/bookings HTTP/1.1\r\nhost: h\r\nidempotency-key: {ticket}\r\n\
         content-length: 100\r\n\r\nmember 1"
    );
    send_raw(address(&fleet), copy.as_bytes(), true).await;
    assert_eq!(executions(&fleet, "member 1"), 0);
    assert_eq!(book(address(&fleet), &ticket, "member 1").await.status, 200);
    assert_eq!(executions(&fleet, "member 1"), 1);
}

#[async_std::test]
async fn unread_body() {
    let fleet = start_tight("unread-body").await;
    let head = "GET /health HTTP/1.1\r\nhost: h\r\ncontent-length: 1000000\r\n\r\nslow";
    let answer = send_raw(address(&fleet), head.as_bytes(), false).await;
    assert_refused(&fleet, &answer, 200, &[]).await;
}

#[async_std::test]
async fn many_connections() {
    let limits = "  max_connections: 20\n  receive_timeout_ms: 60s\n";
    let fleet = start_limited("many-connections", limits).await;
    let mut idle = Vec::new();
    for _ in 0..20 {
        let mut stream = TcpStream::connect(address(&fleet)).await.unwrap();
        stream.write_all(b"GET /stock/b1 HTTP/1.1\r\nhost: h\r\n").await.unwrap();
        idle.push(stream);
    }
    let answer = send_raw(address(&fleet), b"GET /health HTTP/1.1\r\nhost: h\r\n\r\n", false).await;
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer:?}");
    assert!(answer.contains("too_many_connections") && answer.contains("retry-after: 1"));
    for mut stream in idle {
        stream.write_all(b"connection: close\r\n\r\n").await.unwrap();
        let mut answer = String::new();
        let reading = async_std::io::timeout(PATIENCE, stream.read_to_string(&mut answer));
        reading.await.unwrap();
        assert!(answer.starts_with("HTTP/1.1 200 "), "{answer:?}");
    }
}

#[async_std::test]
async fn half_closed_read() {
    let fleet = start_tight("half-closed").await;
    fleet.plain.values().for_each(|plain| plain.state().delay_ms = 60_000);
    let head = b"GET /stock/b1 HTTP/1.1\r\nhost: h\r\n\r\n";
    let answer = send_raw(address(&fleet), head, true).await;
    assert_eq!(answer, "", "a caller that closed its sending half counts as gone");
    fleet.plain.values().for_each(|plain| plain.state().delay_ms = 0);
    assert_eq!(read_stock(address(&fleet)).await.status, 200);
}

#[async_std::test]
async fn bad_json() {
    let fleet = start_tight("bad-json").await;
    let texts = [("{", "EOF"), ("{\"modle\": 1}", "unknown field `modle`"), ("{}", "`model`")];
    for (body, expected) in texts {
        let answer =
            send(address(&fleet), Method::Post, "/v1/completions", "", body).await.unwrap();
        assert_eq!((answer.status, answer.field("error").as_str()), (400, "bad_request"));
        let message = answer.field("message");
        assert!(message.contains(expected) && message.contains("line 1 column"), "{message}");
    }
}

#[async_std::test]
async fn altered_texts() {
    let fleet = start_tight("altered-texts").await;
    let ticket = take_ticket(address(&fleet)).await;
    let altered = ticket.replacen('1', "2", 1);
    let answer = book(address(&fleet), &altered, "member 1").await;
    assert_eq!((answer.status, answer.field("error").as_str()), (400, "bad_ticket"));
    let resume = "GET /v1/completions/resume HTTP/1.1\r\nhost: h\r\nconnection: close\r\n";
    let request = format!("{resume}last-event-id: a/b/1~c\r\n\r\n");
    let answer = send_raw(address(&fleet), request.as_bytes(), false).await;
    assert_refused(&fleet, &answer, 400, &["bad_cursor"]).await;
}

#[async_std::test]
async fn bulk_tickets() {
    let fleet = start_tight("bulk-tickets").await;
    let ask = |body: &'static str| send(address(&fleet), Method::Post, "/v1/tickets", "", body);
    let answer = ask("{\"count\": 3}").await.unwrap();
    let body: serde_json::Value = serde_json::from_str(&answer.body).unwrap();
    for (number, ticket) in body["tickets"].as_array().unwrap().iter().enumerate() {
        let member = format!("member {number}");
        let answer = book(address(&fleet), ticket.as_str().unwrap(), &member).await;
        assert_eq!((answer.status, executions(&fleet, &member)), (200, 1));
    }
    for body in ["{\"count\": 0}", "{\"count\": 101}", "{\"number\": 1}", "[]"] {
        let answer = ask(body).await.unwrap();
        assert_eq!((answer.status, answer.field("error").as_str()), (400, "bad_request"));
    }
}

#[async_std::test]
async fn buffered_bodies() {
    let limits = "  max_body_bytes: 4KiB\n  max_buffered_bytes: 8KiB\n  receive_timeout_ms: 60s\n";
    let fleet = start_limited("buffered-bodies", limits).await;
    let ticket = take_ticket(address(&fleet)).await;
    let head = "POST /slots/7/bookings HTTP/1.1\r\nhost: h\r\ncontent-length: 4000\r\n";
    let mut slow = Vec::new();
    let refused = async {
        loop {
            let mut stream = TcpStream::connect(address(&fleet)).await.unwrap();
            stream.write_all(format!("{head}\r\nhalf").as_bytes()).await.unwrap();
            slow.push(stream);
            let answer = book(address(&fleet), &ticket, &"x".repeat(4_000)).await;
            if answer.field("error") == "copy_refused" {
                return answer;
            }
            assert_eq!(answer.status, 200, "{answer:?}");
        }
    };
    let refused = async_std::future::timeout(PATIENCE, refused).await.expect("the limit holds");
    assert!(refused.field("message").contains("limits.max_buffered_bytes"), "{refused:?}");
    assert_eq!(read_stock(address(&fleet)).await.status, 200);
    drop(slow);
    let large =
        async { while book(address(&fleet), &ticket, &"x".repeat(4_000)).await.status != 200 {} };
    async_std::future::timeout(PATIENCE, large).await.expect("callers that left hold nothing");
}

/// Asserts that no task of the instance panicked.
fn assert_no_panic(fleet: &Fleet) {
    let log = std::fs::read(&fleet.instances[0].log_path).unwrap();
    let log = String::from_utf8_lossy(&log).into_owned();
    let panics: Vec<_> = log.lines().filter(|line| line.contains("panicked at")).collect();
    assert!(panics.is_empty(), "{panics:?}");
}

#[async_std::test]
async fn odd_heads() {
    let fleet = start_tight("odd-heads").await;
    let head = "POST /installs HTTP/1.1\r\nhost: h\r\nconnection: close\r\n";
    let odd = [
        "GET /health HTTP/1.1\r\nhost: h\r\nx: \u{e9}\r\n\r\n".to_owned(),
        "GET /\u{e9} HTTP/1.1\r\nhost: h\r\n\r\n".to_owned(),
        "GET /%ff/%00 HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n".to_owned(),
        "GET http://%zz/ HTTP/1.1\r\nhost: h\r\n\r\n".to_owned(),
        "GET / HTTP/1.1\r\nhost: a b\r\n\r\n".to_owned(),
        "OPTIONS * HTTP/1.1\r\nhost: h\r\n\r\n".to_owned(),
        "CONNECT a:1 HTTP/1.1\r\nhost: a:1\r\nconnection: close\r\n\r\n".to_owned(),
        format!("{head}content-length: -1\r\n\r\n"),
        format!("{head}content-length: 99999999999999999999\r\n\r\n"),
        format!("{head}content-length: 1\r\ntransfer-encoding: chunked\r\n\r\nx"),
        format!("{head}content-type: ;;;\r\n\r\n"),
        format!("{head}content-type: a/b; c=\"\r\n\r\n"),
        format!("{head}idempotency-key: \r\n\r\n"),
        format!("{head}expect: 100-continue\r\ncontent-length: 1\r\n\r\nx"),
    ];
    for request in odd {
        let answer = send_raw(address(&fleet), request.as_bytes(), false).await;
        assert!(answer.starts_with("HTTP/1.1 "), "{request:?} was answered {answer:?}");
    }
    assert_no_panic(&fleet);
    let trailers = format!("{head}transfer-encoding: chunked\r\n\r\n0\r\nx: \u{e9}\r\n\r\n");
    let answer = send_raw(address(&fleet), trailers.as_bytes(), false).await;
    assert_refused(&fleet, &answer, 400, &["bad_request", "malformed trailers"]).await;
}

#[async_std::test]
async fn smuggled_requests() {
    let fleet = start_tight("smuggled").await;
    let hidden = "GET /health HTTP/1.1\r\nhost: h\r\n\r\n";
    let fields = [
        "transfer-encoding: xchunked",
        "transfer-encoding: gzip, chunked",
        "content-length: 0\r\ncontent-length: 40",
        "content-length: +0",
        "content-length: 4\r\ntransfer-encoding: chunked",
    ];
    for field in fields {
        let request = format!("POST /v1/tickets HTTP/1.1\r\nhost: h\r\n{field}\r\n\r\n{hidden}");
        let answer = send_raw(address(&fleet), request.as_bytes(), false).await;
        assert_eq!(answer.matches("HTTP/1.1 ").count(), 1, "{field}: {answer:?}");
        assert_refused(&fleet, &answer, 400, &["head_refused"]).await;
    }
}

#[async_std::test]
async fn dot_segments() {
    let fleet = start_tight("dot-segments").await;
    for path in ["/stock/x/../../health", "/./health", "/stock/%2E%2e/health", "/health/.."] {
        let request = format!("GET {path} HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n");
        let answer = send_raw(address(&fleet), request.as_bytes(), false).await;
        assert_refused(&fleet, &answer, 400, &["head_refused", "dot segments"]).await;
    }
}

#[async_std::test]
async fn pipelined_requests() {
    let fleet = start_tight("pipelined").await;
    let ticket = take_ticket(address(&fleet)).await;
    let booking = |end: &str| {
        format!(
            "POST /slots/7/bookings HTTP/1.1\r\nhost: h\r\nidempotency-key: {ticket}\r\n\
             content-length: 8\r\n{end}\r\nmember 1"
        )
    };
    let read = "GET /stock/b1 HTTP/1.1\r\nhost: h\r\n\r\n";
    let all = [booking(""), read.to_owned(), booking("connection: close\r\n")].concat();
    let answers = send_raw(address(&fleet), all.as_bytes(), false).await;
    assert_eq!(answers.matches("HTTP/1.1 200 ").count(), 3, "{answers}");
    assert_eq!(answers.matches("POST /slots/7/bookings execution=1").count(), 2, "{answers}");
    assert_eq!(executions(&fleet, "member 1"), 1);
}

/// A valid request with some bytes changed, cut out or repeated.
fn spoilt_request(dice: &mut Gen, valid: &[u8]) -> Vec<u8> {
    let mut bytes = valid.to_vec();
    for _ in 0..1 + u8::arbitrary(dice) % 4 {
        let place = usize::arbitrary(dice) % bytes.len();
        match u8::arbitrary(dice) % 3 {
            0 => bytes[place] = u8::arbitrary(dice),
            1 => bytes.truncate(place.max(1)),
            _ => bytes.extend_from_within(place..),
        }
    }
    bytes
}

#[async_std::test]
async fn spoilt_requests() {
    const REQUESTS: usize = 400;
    let fleet = start_tight("spoilt-requests").await;
    let ticket = take_ticket(address(&fleet)).await;
    let valid = [
        "GET /stock/b1 HTTP/1.1\r\nhost: h\r\n\r\n".to_owned(),
        format!(
            "POST /slots/7/bookings HTTP/1.1\r\nhost: h\r\nidempotency-key: {ticket}\r\n\
             content-length: 8\r\n\r\nmember 1"
        ),
        "POST /v1/completions HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n\
         2\r\n{}\r\n0\r\n\r\n"
            .to_owned(),
    ];
    let mut dice = Gen::from_size_and_seed(100, 31);
    for number in 0..REQUESTS {
        let bytes = spoilt_request(&mut dice, valid[number % valid.len()].as_bytes());
        send_raw(address(&fleet), &bytes, true).await;
    }
    assert!(executions(&fleet, "member 1") <= 1);
    assert_eq!(read_stock(address(&fleet)).await.status, 200);
    let closed = async {
        let metrics = "GET /metrics HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n";
        loop {
            let answer = send_raw(address(&fleet), metrics.as_bytes(), false).await;
            if answer.contains("turmericrail_connections 1\n") {
                return;
            }
        }
    };
    async_std::future::timeout(PATIENCE, closed).await.expect("no connection is left behind");
    assert_no_panic(&fleet);
}
