//! Servers that name a limit on the calls of all instances together get no more than it allows.

mod forward_support;

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use forward_support::{ForwardInstance, wait_for};
use turmericrail_fakes::registered::{FakeStore, RegisteredServer};

const LIMIT_PER_S: f64 = 1.8;
/// Time for which the calls of all instances are counted together.
const COUNT_WINDOW: Duration = Duration::from_secs(4);
/// Time after the first statement of a limit from which it must hold.
const CONTACT_TIME: Duration = Duration::from_secs(3);
const LOAD_TIME: Duration = Duration::from_secs(9);
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);

fn start_fleet(name: &str) -> [ForwardInstance; 3] {
    let first = ForwardInstance::start(name);
    let address = first.store.address();
    let peer = |number| {
        let store = FakeStore::start().unwrap();
        first.start_numbered_peer(&format!("{name}-{number}"), number, store, address)
    };
    let (second, third) = (peer(2), peer(3));
    [first, second, third]
}

fn start_server(
    fleet: &[ForwardInstance],
    id: &str,
    stage: Option<&'static str>,
) -> RegisteredServer {
    let server = RegisteredServer::start(&fleet[0].store, id, stage).unwrap();
    for instance in fleet {
        instance.wait_for_log(&format!("event=server_changed server={id} "));
    }
    server
}

/// Sends requests to every instance at once for a time; returns status, `Retry-After` and duration
/// of each.
fn send_load(fleet: &[ForwardInstance], route: &str) -> Vec<(u16, Option<f64>, Duration)> {
    let is_over = AtomicBool::new(false);
    let send = |instance: &ForwardInstance, number: usize| {
        let mut results = Vec::new();
        while !is_over.load(Ordering::Relaxed) {
            let sent_at = Instant::now();
            let reply = instance.send_request(route, &format!("{route}{number}-{}", results.len()));
            let retry_after = reply.head.headers.text("Retry-After");
            let retry_after = retry_after.map(|text| text.parse().unwrap());
            results.push((reply.status(), retry_after, sent_at.elapsed()));
            thread::sleep(REQUEST_INTERVAL);
        }
        results
    };
    thread::scope(|scope| {
        let send = &send;
        let callers: Vec<_> = fleet
            .iter()
            .enumerate()
            .map(|(number, instance)| scope.spawn(move || send(instance, number)))
            .collect();
        thread::sleep(LOAD_TIME);
        is_over.store(true, Ordering::Relaxed);
        callers.into_iter().flat_map(|caller| caller.join().unwrap()).collect()
    })
}

/// Checks the calls of any kind that arrived later than the contact time after `limited_at`.
fn assert_within_limit(server: &RegisteredServer, limited_at: Instant) {
    let times = server.call_times();
    let counted: Vec<_> = times.into_iter().filter(|at| *at > limited_at + CONTACT_TIME).collect();
    let allowed = 1.5 * LIMIT_PER_S * COUNT_WINDOW.as_secs_f64() + 5.0;
    for (index, start) in counted.iter().enumerate() {
        let in_window =
            counted[index..].iter().take_while(|at| **at < *start + COUNT_WINDOW).count();
        assert!(in_window as f64 <= allowed, "{}: {in_window} calls, allowed {allowed}", server.id);
    }
}

#[test]
fn limited_server() {
    // Guards against more calls than a server takes: the others of its service get them.
    let fleet = start_fleet("limited-server");
    let limited = start_server(&fleet, "s1", None);
    let servers = [start_server(&fleet, "s2", None), start_server(&fleet, "s3", None)];
    limited.set_notices(&format!("Server-Limit: {LIMIT_PER_S}\r\n"));
    let limited_at = Instant::now();
    let results = send_load(&fleet, "order");
    assert_within_limit(&limited, limited_at);
    assert!(results.iter().all(|(status, ..)| *status == 200), "the other servers have room");
    assert!(servers.iter().all(|server| server.call_count() > 0));
    // Once it names no limit, every instance calls it again.
    limited.set_notices("");
    let mut call_count = limited.call_count();
    for instance in &fleet {
        wait_for("a call of each instance", || {
            instance.send_request("read", "r1");
            instance.send_request("read", "r2");
            limited.call_count() > call_count + 1
        });
        call_count = limited.call_count();
    }
}

#[test]
fn limited_service() {
    // Guards against more calls than the last servers of a service take: what they can't take is
    // refused at once, with a time after which there is room again.
    let fleet = start_fleet("limited-service");
    let servers = ["s1", "s2"].map(|id| start_server(&fleet, id, None));
    let notice = format!("Server-Limit: {LIMIT_PER_S}\r\n");
    servers.iter().for_each(|server| server.set_notices(&notice));
    let limited_at = Instant::now();
    let results = send_load(&fleet, "order");
    servers.iter().for_each(|server| assert_within_limit(server, limited_at));
    let served = results.iter().filter(|(status, ..)| *status == 200).count();
    assert!(served > 12, "the limit is hardly used: {served} calls");
    for (status, retry_after, duration) in results {
        if status == 200 {
            continue;
        }
        assert_eq!(status, 503);
        assert!(retry_after.is_some_and(|seconds| seconds > 0.0));
        assert!(duration < Duration::from_millis(300), "refused after {duration:?}");
    }
}

#[test]
fn limited_engines() {
    // Guards against reservations, releases and prefills beside the limit.
    let fleet = start_fleet("limited-engines");
    let limited =
        [start_server(&fleet, "p1", Some("prefill")), start_server(&fleet, "d1", Some("decode"))];
    let free = start_server(&fleet, "d2", Some("decode"));
    let notice = format!("Server-Limit: {LIMIT_PER_S}\r\n");
    limited.iter().for_each(|engine| engine.set_notices(&notice));
    let limited_at = Instant::now();
    let results = send_load(&fleet, "stream");
    limited.iter().for_each(|engine| assert_within_limit(engine, limited_at));
    assert!(results.iter().all(|(status, ..)| *status == 200), "another engine has room");
    assert!(free.call_count() > 0);
}
