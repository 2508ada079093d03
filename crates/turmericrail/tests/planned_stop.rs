//! A planned stop: every request that an instance accepts is answered within its grace period, also
//! the late ones of callers and balancers that haven't noticed the stop.

mod forward_support;

use std::collections::BTreeMap;
use std::io::Write;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use forward_support::{ForwardInstance, answer_with, read_reply, register_raw, request_text};
use turmericrail_fakes::registered::{Behaviour, RawAnswer, RawServer, request_text as timed_text};

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

/// Time between two requests, and of the answers of a server that answers.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);
const ANSWER_TIME: Duration = Duration::from_millis(300);

/// Sends a request on a connection that was opened before; `None` if it ends without an answer.
fn send_at(stream: TcpStream, time: Instant, id: &str) -> Option<u16> {
    let mut stream = stream;
    sleep_until(time);
    stream.write_all(timed_text("order", id, id, 20_000).as_bytes()).ok()?;
    read_reply(&mut stream, &mut Vec::new()).map(|reply| reply.status())
}

/// Sends requests throughout the stop of an instance, kills it at the end of its grace period as the
/// platform does, and returns what became of those that it had passed on to a server, by id.
fn stop_under_load(name: &str, grace: Duration) -> BTreeMap<String, Option<u16>> {
    let grace_text = format!("{}s", grace.as_secs());
    let mut instance = ForwardInstance::start_with_grace(name, &grace_text, 20_000);
    let passed_on = Arc::new(Mutex::new(Vec::new()));
    let arrived = Arc::clone(&passed_on);
    let server = RawServer::start(move |head, _| {
        let id = head.headers.text("X-Request-Id").unwrap_or_default().to_owned();
        let is_silent = id.ends_with("silent");
        arrived.lock().unwrap().push(id);
        match is_silent {
            true => RawAnswer::NoAnswer,
            false => RawAnswer::WithPauses(vec![answer_with(head, "done")], ANSWER_TIME),
        }
    });
    let server = server.unwrap();
    register_raw(&instance, "p1", None, &server);
    let count = (grace.as_millis() / REQUEST_INTERVAL.as_millis()) as u32;
    let stopped_at = stop(&instance);
    let ended = thread::scope(|scope| {
        let calls: Vec<_> = (0..count)
            .map(|number| {
                let kind = ["answered", "silent"][number as usize % 2];
                let (id, time) =
                    (format!("r{number}-{kind}"), stopped_at + REQUEST_INTERVAL * number);
                let address = instance.caller_address;
                // Half of the connections are new, the others were opened before the stop.
                let opened = (number % 4 < 2).then(|| instance.connect());
                scope.spawn(move || {
                    sleep_until(time);
                    let stream = opened.or_else(|| TcpStream::connect(address).ok());
                    let status = stream.and_then(|stream| send_at(stream, time, &id));
                    (id, status)
                })
            })
            .collect();
        sleep_until(stopped_at + grace);
        instance.kill();
        calls.into_iter().map(|call| call.join().unwrap()).collect::<BTreeMap<_, _>>()
    });
    let passed_on = passed_on.lock().unwrap();
    ended.into_iter().filter(|(id, _)| passed_on.contains(id)).collect()
}

#[test]
fn every_grace_period() {
    // Guards against requests that are passed on and cut at the end of a grace period that is shorter
    // than the usual steps of a stop.
    thread::scope(|scope| {
        for grace_s in [2, 3, 4, 8] {
            scope.spawn(move || {
                let ended =
                    stop_under_load(&format!("grace-{grace_s}"), Duration::from_secs(grace_s));
                assert!(ended.len() > 4, "{grace_s} s: {ended:?}");
                for (id, status) in &ended {
                    let expected = if id.ends_with("silent") { [504, 504] } else { [200, 504] };
                    let is_told = status.is_some_and(|status| expected.contains(&status));
                    assert!(is_told, "{grace_s} s: {id} got {status:?} of {ended:?}");
                }
            });
        }
    });
}
