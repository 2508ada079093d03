//! Answers that are lost: work that may run once isn't run again, also across a move to a second
//! server, and a caller is never told that work that has run has not.

mod forward_support;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use forward_support::{ForwardInstance, answer_with, register_raw};
use serde_json::json;
use turmericrail_fakes::ports::free_address;
use turmericrail_fakes::registered::{
    FakeStore, RawAnswer, RawServer, Reply, configuration, request_text,
};
use turmericrail_wire::http1::RequestHead;

/// What the servers do with the calls of one request, in the order in which these arrive.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    /// Doesn't run the call, and says so.
    Refuse,
    /// Runs the call and closes the connection without an answer.
    Lose,
    /// Runs the call and never answers.
    Silent,
    /// Runs the call; a proxy before the server answers that there is none.
    ProxyAnswer,
    /// Runs the call and closes the connection in the middle of the answer.
    Cut,
    Answer,
}

/// Three servers of one service that play the steps together.
struct Servers {
    calls: Arc<AtomicUsize>,
    runs: Arc<AtomicUsize>,
    _servers: Vec<RawServer>,
}

fn is_control_call(head: &RequestHead) -> bool {
    head.path() == "/hold-take" || head.path() == "/report" || head.method == "DELETE"
}

fn start_servers(instance: &ForwardInstance, stage: Option<&str>, steps: &[Step]) -> Servers {
    let (calls, runs) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let start = |number: usize| {
        let (calls, runs, steps) = (Arc::clone(&calls), Arc::clone(&runs), steps.to_vec());
        let server = RawServer::start(move |head, _| {
            if is_control_call(head) {
                return RawAnswer::Bytes(answer_with(
                    head,
                    &turmericrail_fakes::registered::granted_reservation(),
                ));
            }
            let step = steps.get(calls.fetch_add(1, Ordering::SeqCst)).copied();
            let step = step.unwrap_or(Step::Answer);
            if step != Step::Refuse {
                runs.fetch_add(1, Ordering::SeqCst);
            }
            let own = answer_with(head, "id: 1\ndata: done\n\n");
            let id = head.headers.text("X-Request-Id").unwrap_or_default();
            match step {
                Step::Refuse => RawAnswer::Bytes(
                    format!(
                        "HTTP/1.1 503 Busy\r\nX-Request-Id: {id}\r\nX-Not-Executed: 1\r\n\
                         Content-Length: 0\r\n\r\n"
                    )
                    .into_bytes(),
                ),
                Step::Lose => RawAnswer::BytesThenClose(Vec::new()),
                Step::Silent => RawAnswer::NoAnswer,
                Step::ProxyAnswer => RawAnswer::Bytes(
                    format!("HTTP/1.1 503 Gone\r\nX-Request-Id: {id}\r\nContent-Length: 0\r\n\r\n")
                        .into_bytes(),
                ),
                Step::Cut => RawAnswer::BytesThenClose(own[..own.len() - 12].to_vec()),
                Step::Answer => RawAnswer::Bytes(own),
            }
        });
        let server = server.unwrap();
        register_raw(instance, &format!("s{number}"), stage, &server);
        server
    };
    let servers = (0..3).map(start).collect();
    Servers { calls, runs, _servers: servers }
}

fn start_instance(name: &str) -> ForwardInstance {
    let store = FakeStore::start().unwrap();
    // Routes whose calls run at most once may still be sent to two servers.
    store.publish(&configuration(1, 2));
    ForwardInstance::start_with_store(name, store)
}

/// Sends one request to servers that play these steps; returns the answer, the calls and the runs.
fn play(name: &str, route: &str, steps: &[Step]) -> (Reply, usize, usize) {
    let instance = start_instance(name);
    let stage = matches!(route, "stream" | "resumable").then_some("decode");
    let servers = start_servers(&instance, stage, steps);
    let reply = instance.send(&request_text(route, "x", "r1", 2_500)).unwrap();
    // A call that is sent again would arrive by now.
    thread::sleep(Duration::from_millis(200));
    (reply, servers.calls.load(Ordering::SeqCst), servers.runs.load(Ordering::SeqCst))
}

/// Whether the caller may take the call as not run.
fn says_not_run(reply: &Reply) -> bool {
    matches!(reply.status(), 408 | 421 | 429 | 503) || reply.body.contains("not_run")
}

/// Plays all cases at once: the route, the steps, and how many calls may arrive.
fn play_all(name: &str, cases: &[(&str, &[Step], usize)], check: impl Fn(&Reply, usize) + Sync) {
    thread::scope(|scope| {
        for (number, &(route, steps, max_calls)) in cases.iter().enumerate() {
            let check = &check;
            scope.spawn(move || {
                let (reply, calls, runs) = play(&format!("{name}-{number}"), route, steps);
                let is_truthful = runs == 0 || !says_not_run(&reply);
                assert!(is_truthful, "{route} {steps:?}: {} {}", reply.status(), reply.body);
                assert!(calls <= max_calls, "{route} {steps:?}: {calls} calls");
                check(&reply, runs);
            });
        }
    });
}

#[test]
fn run_once() {
    // Guards against a second run of a call that may run once, after its answer was lost at the
    // first server or at the one to which it moved.
    use Step::{Answer, Cut, Lose, ProxyAnswer, Refuse, Silent};
    let mut cases: Vec<(&str, &[Step], usize)> = Vec::new();
    for route in ["order", "stream"] {
        cases.extend([
            (route, &[Lose, Answer] as &[Step], 1),
            (route, &[Silent, Answer], 1),
            (route, &[ProxyAnswer, Answer], 1),
            (route, &[Cut, Answer], 1),
            (route, &[Refuse, Lose, Answer], 2),
            (route, &[Refuse, Silent, Answer], 2),
            (route, &[Refuse, Cut, Answer], 2),
            (route, &[Refuse, ProxyAnswer, Answer], 2),
        ]);
    }
    play_all("run-once", &cases, |reply, runs| {
        assert_eq!(runs, 1);
        assert!(reply.status() >= 500 || !reply.is_complete, "{} {}", reply.status(), reply.body);
    });
}

#[test]
fn moved_calls() {
    // Guards against "not run" in place of "unknown" for a repeatable call whose first run is lost
    // or silent and whose second server refuses it.
    use Step::{Cut, Lose, ProxyAnswer, Refuse, Silent};
    let mut cases: Vec<(&str, &[Step], usize)> = Vec::new();
    for route in ["read", "resumable"] {
        cases.extend([
            (route, &[Lose, Refuse, Refuse] as &[Step], 3),
            (route, &[Silent, Refuse, Refuse], 3),
            (route, &[ProxyAnswer, Refuse, Refuse], 3),
            (route, &[Cut, Refuse, Refuse], 3),
            (route, &[Refuse, Lose, Refuse], 3),
            (route, &[Refuse, Silent, Refuse], 3),
        ]);
    }
    play_all("moved", &cases, |_, runs| assert!(runs >= 1));
}

#[test]
fn refused_calls() {
    // Guards against "unknown" where every server said that it did not run the call, which keeps
    // callers from repeating it.
    use Step::Refuse;
    let routes = ["order", "read", "stream", "resumable"];
    let cases = routes.map(|route| (route, &[Refuse; 8] as &[Step], 4));
    play_all("refused", &cases, |reply, runs| {
        assert_eq!((runs, reply.status()), (0, 503), "{}", reply.body);
        assert!(reply.body.contains("not_run"), "{}", reply.body);
    });
}

#[test]
fn unreachable_second() {
    // Guards against "not run" after a lost answer because the second server can't be reached.
    let instance = start_instance("unreachable-second");
    let servers = start_servers(&instance, None, &[Step::Lose; 8]);
    for number in 0..3 {
        let entry = json!({
            "service": "desk", "address": free_address().unwrap().to_string(), "zone": "dc-a",
            "slots": 6, "state": "ready", "born": 1,
        });
        instance.store.put(&format!("servers/u{number}"), &entry);
        instance.wait_for_log(&format!("event=server_changed server=u{number} "));
    }
    for number in 0..12 {
        let runs_before = servers.runs.load(Ordering::SeqCst);
        let text = request_text("read", &number.to_string(), &format!("r{number}"), 2_500);
        let reply = instance.send(&text).unwrap();
        let has_run = servers.runs.load(Ordering::SeqCst) > runs_before;
        assert!(!has_run || !says_not_run(&reply), "{} {}", reply.status(), reply.body);
    }
}
