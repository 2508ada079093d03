//! Callers whose links hold packets for seconds, or who read slowly, within their deadlines.

mod forward_support;

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use forward_support::{
    ForwardInstance, answer_with, configuration, read_reply, register_raw, request_text,
};
use socket2::{SockFilter, SockRef};
use turmericrail_fakes::registered::{self, FakeStore, RawAnswer, RawServer};

/// Time for which packets to a caller wait.
const HELD_TIME: Duration = Duration::from_millis(3_400);
/// Deadline of the callers, and timeout of the routes.
const TIMEOUT_MS: u64 = 8_000;
/// Time after which an answer to a caller that waits for one second is given up.
const UNREAD_TIME: Duration = Duration::from_millis(8_000);
const LARGE_ANSWER_BYTES: usize = 4 << 20;
/// More than the system buffers for a connection.
const HUGE_ANSWER_BYTES: usize = 7 << 20;

/// Drops what arrives at a socket until it is detached: the other end sees no acknowledgement.
fn hold_packets(stream: &TcpStream) {
    let drop_packet = SockFilter::new(0x06, 0, 0, 0);
    SockRef::from(stream).attach_filter(&[drop_packet]).unwrap();
}

fn release_packets(stream: &TcpStream) {
    SockRef::from(stream).detach_filter().unwrap();
}

/// Starts an instance with long limits, and a server whose answers are as long as asked for.
fn start(name: &str) -> (ForwardInstance, RawServer) {
    let store = FakeStore::start().unwrap();
    let mut configuration = configuration(1);
    for route in configuration["routes"].as_array_mut().unwrap() {
        route["timeoutMs"] = TIMEOUT_MS.into();
    }
    configuration["limits"]["idleTimeoutMs"] = 15_000.into();
    store.publish(&configuration);
    let instance = ForwardInstance::start_with_store(name, store);
    let server = RawServer::start(|head, _| {
        let body = match head.path().rsplit('/').next() {
            Some("large") => "x".repeat(LARGE_ANSWER_BYTES),
            Some("huge") => "x".repeat(HUGE_ANSWER_BYTES),
            _ => "done".to_owned(),
        };
        RawAnswer::Bytes(answer_with(head, &body))
    });
    let server = server.unwrap();
    register_raw(&instance, "s1", None, &server);
    (instance, server)
}

/// A connection on which a request was answered.
fn connect(instance: &ForwardInstance) -> TcpStream {
    let mut stream = instance.connect();
    stream.write_all(request_text("order", "first").as_bytes()).unwrap();
    assert_eq!(read_reply(&mut stream, &mut Vec::new()).unwrap().status(), 200);
    stream
}

fn send(stream: &mut TcpStream, path: &str, id: &str) {
    let text = registered::request_text("order", path, id, TIMEOUT_MS);
    stream.write_all(text.as_bytes()).unwrap();
}

/// Asserts that the connection brings the whole answer to a request.
fn assert_answered(stream: &mut TcpStream, id: &str, body_bytes: usize, what: &str) {
    let reply = read_reply(stream, &mut Vec::new());
    let reply = reply.unwrap_or_else(|| panic!("{what}: closed without an answer"));
    assert_eq!((reply.status(), reply.request_id()), (200, Some(id)), "{what}");
    assert!(reply.is_complete, "{what}: {} bytes of the body", reply.body.len());
    assert_eq!(reply.body.len(), body_bytes, "{what}");
}

#[test]
fn held_requests() {
    // Guards against a kept connection that ends without an answer, as the caller's link holds back
    // acknowledgements while a request is under way.
    let (instance, _server) = start("held-requests");
    let held_ms = HELD_TIME.as_millis() as u64;
    thread::scope(|scope| {
        for sent_after_ms in [0, 500, 1_500, 2_600, 3_000, held_ms - 50, held_ms + 50] {
            let instance = &instance;
            scope.spawn(move || {
                let mut stream = connect(instance);
                // Probes of an idle connection have begun by then, if there are any.
                thread::sleep(Duration::from_millis(1_200));
                hold_packets(&stream);
                let held_at = Instant::now();
                let releasing = stream.try_clone().unwrap();
                let released = thread::spawn(move || {
                    thread::sleep(HELD_TIME);
                    release_packets(&releasing);
                });
                thread::sleep(
                    Duration::from_millis(sent_after_ms).saturating_sub(held_at.elapsed()),
                );
                send(&mut stream, "x", "r1");
                let what = format!("sent after {sent_after_ms} ms");
                assert_answered(&mut stream, "r1", 4, &what);
                released.join().unwrap();
            });
        }
    });
}

#[test]
fn held_answer() {
    // Guards against an answer that is cut, as the caller's link holds back packets in its middle.
    let (instance, _server) = start("held-answer");
    let mut stream = connect(&instance);
    SockRef::from(&stream).set_recv_buffer_size(16 << 10).unwrap();
    send(&mut stream, "large", "r1");
    assert_eq!(stream.peek(&mut [0]).unwrap(), 1);
    hold_packets(&stream);
    thread::sleep(HELD_TIME);
    release_packets(&stream);
    assert_answered(&mut stream, "r1", LARGE_ANSWER_BYTES, "held answer");
}

#[test]
fn slow_reader() {
    // Guards against an answer that is cut, as its caller reads nothing for a while.
    let (instance, _server) = start("slow-reader");
    let mut stream = connect(&instance);
    send(&mut stream, "large", "r1");
    thread::sleep(HELD_TIME);
    assert_answered(&mut stream, "r1", LARGE_ANSWER_BYTES, "slow reader");
}

#[test]
fn huge_unread_answer() {
    // Guards against an answer that nobody reads, and that is held for long after its deadline.
    let (instance, _server) = start("unread-answer");
    let mut stream = connect(&instance);
    SockRef::from(&stream).set_recv_buffer_size(16 << 10).unwrap();
    let text = registered::request_text("order", "huge", "r1", 1_000);
    stream.write_all(text.as_bytes()).unwrap();
    let sent_at = Instant::now();
    instance.wait_for_log("event=connection_ended reason=answer_unread ");
    assert!(sent_at.elapsed() < UNREAD_TIME, "{:?}", sent_at.elapsed());
    let reply = read_reply(&mut stream, &mut Vec::new());
    assert!(reply.is_none_or(|reply| !reply.is_complete));
}
