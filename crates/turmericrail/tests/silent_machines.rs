//! Machines that are only silent, or slow to report, for a while: their running work goes on.

mod forward_support;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use forward_support::{ForwardInstance, answer_with, register_raw, wait_for};
use turmericrail_fakes::registered::{RawAnswer, RawServer, Reply, request_text};

/// Duration of the work, during which the machine is silent.
const WORK_TIME: Duration = Duration::from_millis(2_400);
const ROUTE_TIMEOUT_MS: u64 = 8_000;
/// Answers in the pieces of a stream, an event each.
const EVENT_COUNT: u32 = 12;

/// A server that works on each request for `WORK_TIME`; as an engine it writes events meanwhile. It
/// answers its control calls only if it reports. Counts its runs.
fn start_server(
    instance: &ForwardInstance,
    id: &str,
    stage: Option<&str>,
    is_reporting: bool,
) -> Arc<AtomicUsize> {
    let runs = Arc::new(AtomicUsize::new(0));
    let (counted, is_engine) = (Arc::clone(&runs), stage.is_some());
    let server = RawServer::start(move |head, _| {
        if head.path() == "/hold-take" {
            return RawAnswer::Bytes(answer_with(
                head,
                &turmericrail_fakes::registered::granted_reservation(),
            ));
        }
        if head.path() == "/report" || head.method == "DELETE" {
            return if is_reporting {
                RawAnswer::Bytes(answer_with(head, "{}"))
            } else {
                RawAnswer::NoAnswer
            };
        }
        counted.fetch_add(1, Ordering::SeqCst);
        if !is_engine {
            return RawAnswer::WithPauses(vec![answer_with(head, "done")], WORK_TIME);
        }
        let events: Vec<_> = (1..=EVENT_COUNT).map(|id| format!("id: {id}\ndata: x\n\n")).collect();
        let answer = answer_with(head, &events.concat());
        let head_bytes = answer.len() - events.concat().len();
        let parts = [answer[..head_bytes].to_vec()].into_iter();
        let parts = parts.chain(events.into_iter().map(String::into_bytes)).collect();
        RawAnswer::WithPauses(parts, WORK_TIME / EVENT_COUNT)
    });
    register_raw(instance, id, stage, &server.unwrap());
    runs
}

fn start(name: &str) -> ForwardInstance {
    ForwardInstance::start_with_timeout(name, ROUTE_TIMEOUT_MS)
}

/// Sends a request of each of the routes, waits until their work runs, does something, and returns
/// the answers.
fn send_during(
    instance: &ForwardInstance,
    routes: &[&str],
    runs: &[Arc<AtomicUsize>],
    act: impl FnOnce(),
) -> Vec<Reply> {
    let count = || runs.iter().map(|runs| runs.load(Ordering::SeqCst)).sum::<usize>();
    thread::scope(|scope| {
        let calls: Vec<_> = routes
            .iter()
            .map(|route| {
                let text = request_text(route, "x", route, ROUTE_TIMEOUT_MS);
                scope.spawn(move || instance.send(&text).unwrap())
            })
            .collect();
        wait_for("the work", || count() == routes.len());
        thread::sleep(Duration::from_millis(300));
        act();
        let replies = calls.into_iter().map(|call| call.join().unwrap()).collect();
        assert_eq!(count(), routes.len(), "work was started again");
        replies
    })
}

fn assert_whole(replies: &[Reply]) {
    for reply in replies {
        assert_eq!((reply.status(), reply.is_complete), (200, true), "{}", reply.body);
        let events = reply.body.matches("data: x").count();
        assert!(reply.body == "done" || events == EVENT_COUNT as usize, "{}", reply.body);
    }
}

#[test]
fn removed_entry() {
    // Guards against work that is given up or started again because the server's entry has expired
    // or been written anew, as it does when the server is slow to report to the store.
    let instance = start("removed-entry");
    let mut runs = Vec::new();
    for id in ["s1", "s2"] {
        runs.push(start_server(&instance, id, None, true));
    }
    for id in ["d1", "d2"] {
        runs.push(start_server(&instance, id, Some("decode"), true));
    }
    let replies = send_during(&instance, &["order", "stream", "resumable"], &runs, || {
        for id in ["s1", "s2", "d1", "d2"] {
            instance.store.remove(&format!("servers/{id}"));
            instance.wait_for_log(&format!("event=server_changed server={id} revision="));
        }
        wait_for("the removals", || instance.read_log().matches("state=gone").count() == 4);
    });
    assert_whole(&replies);
}

#[test]
fn silent_reports() {
    // Guards against streams that are given up because their engine doesn't answer the router's own
    // calls while it runs them.
    let instance = start("silent-reports");
    let runs: Vec<_> = ["d1", "d2"]
        .into_iter()
        .map(|id| start_server(&instance, id, Some("decode"), false))
        .collect();
    let replies = send_during(&instance, &["stream", "resumable"], &runs, || {});
    assert_whole(&replies);
}

#[test]
fn paused_instance() {
    // Guards against work that is started again, or given up, when the instance itself was paused:
    // its timers have passed when it goes on, and the answers wait to be read.
    let instance = start("paused-instance");
    let mut runs: Vec<_> =
        ["s1", "s2"].into_iter().map(|id| start_server(&instance, id, None, true)).collect();
    for id in ["d1", "d2"] {
        runs.push(start_server(&instance, id, Some("decode"), true));
    }
    let replies = send_during(&instance, &["order", "stream", "resumable"], &runs, || {
        instance.signal("STOP");
        thread::sleep(WORK_TIME + Duration::from_millis(600));
        instance.signal("CONT");
    });
    assert_whole(&replies);
}
