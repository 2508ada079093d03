//! Broken answers of servers at the product's own interface: no caller gets them, and those without
//! end take neither the memory of the process nor the time of other callers.

mod common;
mod plain_support;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use async_std::task;
use common::{completion, peak_memory_kib};
use plain_support::{
    Answer, apply_config_patch, book, read_stock, request_ticket, start_fleet, wait_for,
};
use serde_json::json;
use turmericrail_fakes::registered::{RawAnswer, RawServer};
use turmericrail_fakes::{AnswerEvent, Fleet, StreamCaller};

const CONCURRENT_CALLS: usize = 100;
/// What `limits.max_answer_bytes` and `limits.max_buffered_bytes` allow together.
const MAX_MEMORY_KIB: u64 = (64 + 128) * 1024;
/// Time in which a completion of a few tokens is answered, however busy the machine is.
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(6);

/// Answers that are none of HTTP, or whose end can be read in more than one way.
const BROKEN: [&str; 16] = [
    "HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 099 X\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 600 X\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 100 Continue\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 101 Switching Protocols\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nContent-Length: 9\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n",
    "HTTP/1.1 200 OK\nContent-Length: 2\n\nok",
    "HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nX Extra: 1\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nX\u{1}Extra: 1\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nX-Extra : 1\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nok\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok",
];

const FAITHFUL: [&str; 6] = [
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200\r\ncontent-length:2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;a=b\r\no\r\n1\r\nk\r\n0\r\nX: y\r\n\r\n",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 500 bytes after an answer",
];

/// Starts a server that gives this answer, in the place of one of the fleet.
async fn replace_server(
    fleet: &Fleet,
    id: &str,
    answer: RawAnswer,
) -> (RawServer, Arc<AtomicUsize>) {
    let calls = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&calls);
    let server = RawServer::start(move |_, _| {
        count.fetch_add(1, Ordering::SeqCst);
        answer.clone()
    });
    let server = server.unwrap();
    let entry = json!({"address": server.address.to_string()});
    apply_config_patch(fleet, json!({"servers": {id: entry}})).await;
    (server, calls)
}

fn close_after(answer: &str) -> RawAnswer {
    RawAnswer::BytesThenClose(answer.as_bytes().to_vec())
}

#[async_std::test]
async fn broken_answers() {
    // Guards against answers with the status 100, two lengths, a content coding and the like that
    // reach the caller of an order.
    let fleet = start_fleet("interface-broken").await;
    let home = fleet.instances[0].caller_address;
    for answer in BROKEN {
        let _first = replace_server(&fleet, "plain-1", close_after(answer)).await;
        let _second = replace_server(&fleet, "plain-2", close_after(answer)).await;
        let booking = book(home, &request_ticket(home).await, "member 1").await;
        let told = (booking.field("error"), booking.outcome());
        assert_eq!(told, ("server_lost".to_owned(), "unknown".to_owned()), "{answer:?}");
    }
}

#[async_std::test]
async fn faithful_answers() {
    // Guards against unusual answers that servers may send, and that are refused.
    let fleet = start_fleet("interface-faithful").await;
    let home = fleet.instances[0].caller_address;
    for answer in FAITHFUL {
        let _first = replace_server(&fleet, "plain-1", close_after(answer)).await;
        let _second = replace_server(&fleet, "plain-2", close_after(answer)).await;
        let booking = book(home, &request_ticket(home).await, "member 1").await;
        assert_eq!(booking, Answer { status: 200, body: "ok".to_owned() }, "{answer:?}");
    }
}

#[async_std::test]
async fn next_server() {
    // Guards against an idempotent call that fails although another server gives a sound answer.
    let fleet = start_fleet("interface-next").await;
    let home = fleet.instances[0].caller_address;
    let (_broken, calls) = replace_server(&fleet, "plain-2", close_after(BROKEN[0])).await;
    for _ in 0..200 {
        let answer = read_stock(home).await;
        assert_eq!(answer.status, 200);
        assert!(answer.body.starts_with("GET /stock/b1 execution="), "{}", answer.body);
        if calls.load(Ordering::SeqCst) > 0 {
            return;
        }
    }
    panic!("the broken server gets no call");
}

/// Sends calls at once to servers that answer with these bytes again and again, and a completion
/// beside them; returns the peak memory of the instance.
async fn call_endless(name: &str, rest: &[u8], timeout_ms: u64) -> u64 {
    let fleet = start_fleet(name).await;
    let route = json!({"timeout_ms": timeout_ms});
    apply_config_patch(&fleet, json!({"routes": {"read-stock": route}})).await;
    let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
    let endless = RawAnswer::BytesWithoutEnd(head, rest.to_vec());
    let _first = replace_server(&fleet, "plain-1", endless.clone()).await;
    let (_second, calls) = replace_server(&fleet, "plain-2", endless).await;
    let address = fleet.instances[0].caller_address;
    let reads: Vec<_> = (0..CONCURRENT_CALLS).map(|_| task::spawn(read_stock(address))).collect();
    wait_for("a call", || calls.load(Ordering::SeqCst) > 0).await;
    let request = completion("a tray for eggs", 3, true);
    let completing = async {
        loop {
            // A new connection may wait too long while so many others are opened.
            if let Some(mut caller) = StreamCaller::open(address, &request).await {
                return caller.read_all().await;
            }
        }
    };
    let completed = async_std::future::timeout(COMPLETION_TIMEOUT, completing).await;
    assert_eq!(completed.expect("other callers are answered"), AnswerEvent::End(3));
    for read in reads {
        assert_ne!(read.await.status, 200);
    }
    peak_memory_kib(&fleet)
}

#[async_std::test]
async fn endless_chunks() {
    // Guards against answers of small chunks without end that keep other callers waiting.
    let memory_kib = call_endless("endless-small", &b"3\r\nabc\r\n".repeat(1_000), 2_000).await;
    assert!(memory_kib < MAX_MEMORY_KIB, "{memory_kib} KiB");
}

#[async_std::test]
async fn endless_bodies() {
    // Guards against bodies without end that take the memory of the process.
    let chunk = [b"10000\r\n".to_vec(), vec![b'x'; 1 << 16], b"\r\n".to_vec()].concat();
    let memory_kib = call_endless("endless-large", &chunk, 15_000).await;
    assert!(memory_kib < MAX_MEMORY_KIB, "{memory_kib} KiB");
}
