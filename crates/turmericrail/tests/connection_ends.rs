//! Ends of callers' connections: each is logged with its reason, and no request is lost to one.

mod forward_support;

use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::thread;
use std::time::Duration;

use forward_support::{ForwardInstance, configuration, read_reply, request_text, wait_for};
use turmericrail_fakes::registered::FakeStore;

/// Limits of the configuration of these tests.
const HEADER_TIMEOUT: Duration = Duration::from_millis(500);
const IDLE_LIMIT: Duration = Duration::from_millis(800);
/// Time from the signal to stop until idle connections are closed.
const STOP_TIME: Duration = Duration::from_millis(5_300);

/// Sends bytes on a new connection, and closes it once an answer came if one is expected.
fn send_and_close(instance: &ForwardInstance, text: &str, is_answered: bool) {
    let mut stream = instance.connect();
    stream.write_all(text.as_bytes()).unwrap();
    if is_answered {
        read_reply(&mut stream, &mut Vec::new()).expect("an answer comes");
    } else {
        thread::sleep(HEADER_TIMEOUT / 5);
    }
    stream.shutdown(Shutdown::Both).unwrap();
}

#[test]
fn logged_ends() {
    // Guards against a connection that ends with bytes of a request on it, and of which no log says
    // why.
    let instance = ForwardInstance::start("logged-ends");
    let _server = instance.start_plain_server("p1");
    let head = "POST /order/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: r1\r\n";
    send_and_close(&instance, &request_text("order", "r0"), true);
    send_and_close(&instance, head, false);
    send_and_close(&instance, &format!("{head}Content-Length: 9\r\n\r\nab"), false);
    send_and_close(&instance, &format!("{head}Connection: close\r\n\r\n"), true);
    send_and_close(&instance, "rubbish\r\n\r\n", true);
    reset(&instance, head);
    for (reason, rest) in [
        ("closed_in_head", format!("error=none * requests=0 unfinished_bytes={} ", head.len())),
        ("closed_in_body", "error=none * requests=0 ".to_owned()),
        ("answered", "error=none * requests=1 unfinished_bytes=0 discarded_bytes=0".to_owned()),
        ("refused", "error=none * requests=0 unfinished_bytes=11 ".to_owned()),
        ("read_failed", "error=ConnectionReset * requests=0 ".to_owned()),
    ] {
        instance.wait_for_log(&format!("event=connection_ended reason={reason} "));
        let log = instance.read_log();
        let line = log.lines().find(|line| line.contains(&format!("reason={reason} "))).unwrap();
        assert!(rest.split('*').all(|part| line.contains(part)), "{rest}: {line}");
    }
    let metrics = instance.get_page(instance.operator_address, "/metrics").unwrap().body;
    let counted =
        r#"turmericrail_connection_ends_total{error="ConnectionReset",reason="read_failed"} 1"#;
    assert!(metrics.contains(counted), "{metrics}");
    assert!(metrics.contains(r#"{error="none",reason="closed_idle"} 1"#), "{metrics}");
    assert!(!instance.read_log().contains("reason=closed_idle"));
}

/// Sends bytes and resets the connection once they were read.
fn reset(instance: &ForwardInstance, text: &str) {
    let mut stream: TcpStream = instance.connect();
    stream.write_all(text.as_bytes()).unwrap();
    thread::sleep(HEADER_TIMEOUT / 5);
    socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
}

/// Starts an instance with an idle limit.
fn start_limited(name: &str, idle_limit: Duration) -> ForwardInstance {
    let store = FakeStore::start().unwrap();
    let mut limited = configuration(1);
    limited["limits"]["idleTimeoutMs"] = (idle_limit.as_millis() as u64).into();
    store.publish(&limited);
    ForwardInstance::start_with_store(name, store)
}

/// Sends a request on each of 40 idle connections, from 200 ms before the time at which they are to
/// end to 190 ms after it. Returns the ids, and whether an answer came.
fn send_across_end(instance: &ForwardInstance, end: Duration) -> Vec<(String, bool)> {
    let send = |number: u64| {
        let mut stream = instance.connect();
        let begin = end - Duration::from_millis(200);
        thread::sleep(begin + Duration::from_millis(10 * number));
        let id = format!("r{number}");
        // Fails where the connection has ended.
        let _ = stream.write_all(request_text("order", &id).as_bytes());
        (id, read_reply(&mut stream, &mut Vec::new()).is_some())
    };
    thread::scope(|scope| {
        let sending: Vec<_> = (0..40).map(|number| scope.spawn(move || send(number))).collect();
        sending.into_iter().map(|sent| sent.join().unwrap()).collect()
    })
}

/// Asserts that some requests were answered, and that none of the others was read.
fn assert_unread(instance: &ForwardInstance, sent: &[(String, bool)], reason: &str) {
    let unread_count = sent.iter().filter(|(_, is_answered)| !is_answered).count();
    assert!((1..sent.len()).contains(&unread_count), "{unread_count}");
    let reason = format!("reason={reason} ");
    let ended = || instance.read_log().matches(&reason).count();
    wait_for("the ends in the log", || ended() == unread_count);
    for line in instance.read_log().lines().filter(|line| line.contains(&reason)) {
        assert!(line.contains(" unfinished_bytes=0 discarded_bytes=0"), "{line}");
    }
}

#[test]
fn idle_limit() {
    // Guards against a request that crosses the end of an idle connection, is read and gets no
    // answer.
    let instance = start_limited("idle-limit", IDLE_LIMIT);
    let server = instance.start_plain_server("p1");
    let sent = send_across_end(&instance, IDLE_LIMIT);
    for (id, is_answered) in &sent {
        let has_run = server.executed_calls().iter().any(|call| call.request_id() == Some(id));
        assert_eq!(*is_answered, has_run, "{id}");
    }
    assert_unread(&instance, &sent, "idle_limit");
}

#[test]
fn stop() {
    // Guards against a request that crosses the end of an idle connection at a stop, is read and
    // gets no answer.
    let instance = start_limited("stop", 3 * STOP_TIME);
    instance.signal("TERM");
    let sent = send_across_end(&instance, STOP_TIME);
    assert_unread(&instance, &sent, "stopping");
}

#[test]
fn raised_limit() {
    // Guards against a connection that is closed by an earlier idle limit than its caller goes by.
    let instance = start_limited("raised-limit", IDLE_LIMIT);
    let _server = instance.start_plain_server("p1");
    let mut stream = instance.connect();
    let mut raised = configuration(2);
    raised["limits"]["idleTimeoutMs"] = (5 * IDLE_LIMIT.as_millis() as u64).into();
    instance.store.publish(&raised);
    instance.wait_for_log("event=config version=2 ");
    thread::sleep(3 * IDLE_LIMIT);
    stream.write_all(request_text("read", "r1").as_bytes()).unwrap();
    let reply = read_reply(&mut stream, &mut Vec::new());
    assert_eq!(reply.map(|reply| reply.status()), Some(200), "{}", instance.read_log());
}
