//! A planned stop: every request that an instance accepts is answered within its grace period, also
//! the late ones of callers and balancers that haven't noticed the stop.

mod forward_support;

use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

use forward_support::{ForwardInstance, read_reply, request_text};
use turmericrail_fakes::registered::Behaviour;

const GRACE: Duration = Duration::from_secs(8);
/// Time from the stop signal until the listener and idle connections are to be closed.
const CLOSE_TIME: Duration = Duration::from_millis(3_800);
/// Time at which the late requests of these tests are sent.
const LATE_TIME: Duration = Duration::from_millis(3_940);

fn sleep_until(time: Instant) {
    std::thread::sleep(time.saturating_duration_since(Instant::now()));
}

fn stop(instance: &ForwardInstance) -> Instant {
    instance.signal("TERM");
    Instant::now()
}

fn assert_answered(stream: &mut TcpStream, status: u16, what: &str) {
    let reply = read_reply(stream, &mut Vec::new());
    let reply = reply.unwrap_or_else(|| panic!("{what}: closed without an answer"));
    assert_eq!(reply.status(), status, "{what}");
}

#[test]
fn late_requests() {
    // Guards against a connection that is closed as idle while the request on it is under way, on a
    // new connection and on one that was used before.
    let instance = ForwardInstance::start("late-requests");
    let _server = instance.start_plain_server("p1");
    let mut used = instance.connect();
    used.write_all(request_text("order", "r1").as_bytes()).unwrap();
    assert_answered(&mut used, 200, "before the stop");
    let stopped_at = stop(&instance);
    sleep_until(stopped_at + CLOSE_TIME - Duration::from_millis(100));
    let mut new = instance.connect();
    let mut begun = instance.connect();
    begun.write_all(b"POST /order/x HTTP/1.1\r\n").unwrap();
    sleep_until(stopped_at + LATE_TIME);
    new.write_all(request_text("order", "r2").as_bytes()).unwrap();
    used.write_all(request_text("order", "r3").as_bytes()).unwrap();
    let rest = "Host: a.example\r\nX-Request-Id: r4\r\nContent-Length: 2\r\n\r\nab";
    begun.write_all(rest.as_bytes()).unwrap();
    assert_answered(&mut new, 503, "new connection");
    assert_answered(&mut used, 503, "used connection");
    assert_answered(&mut begun, 503, "begun head");
}

#[test]
fn unfinished_body() {
    // Guards against a request whose head was read, and whose connection ends with the process.
    let mut instance = ForwardInstance::start("unfinished-body");
    let stopped_at = stop(&instance);
    let mut stream = instance.connect();
    let head = "POST /order/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: r1\r\n\
                X-Deadline-Ms: 20000\r\nContent-Length: 100\r\n\r\nab";
    stream.write_all(head.as_bytes()).unwrap();
    assert_answered(&mut stream, 408, "unfinished body");
    assert!(stopped_at.elapsed() < GRACE);
    drop(stream);
    sleep_until(stopped_at + GRACE);
    assert!(instance.has_exited());
}

#[test]
fn unanswered_call() {
    // Guards against a call that a server doesn't answer in the grace period, and whose caller is
    // told nothing: the call may have run.
    let instance = ForwardInstance::start_with_timeout("unanswered-call", 20_000);
    let server = instance.start_plain_server("p1");
    server.set_behaviour(Behaviour::NeverAnswer);
    let text = request_text("order", "r1").replace("X-Deadline-Ms: 2000", "X-Deadline-Ms: 20000");
    let mut stream = instance.connect();
    stream.write_all(text.as_bytes()).unwrap();
    let stopped_at = stop(&instance);
    let reply = read_reply(&mut stream, &mut Vec::new()).expect("an answer comes");
    assert!(stopped_at.elapsed() < GRACE);
    assert_eq!(reply.status(), 504);
    assert!(reply.body.contains("unknown"), "{}", reply.body);
}

#[test]
fn early_exit() {
    // Guards against a stop that lasts for the whole grace period without any connection.
    let mut instance = ForwardInstance::start("early-exit");
    let stopped_at = stop(&instance);
    sleep_until(stopped_at + LATE_TIME + Duration::from_millis(700));
    assert!(instance.has_exited());
}
