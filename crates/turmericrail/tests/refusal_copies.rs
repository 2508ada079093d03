//! Servers that write an earlier refusal once more on a connection that is in use again.

mod forward_support;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use forward_support::{ForwardInstance, answer_with as answer, register_raw, wait_for};
use serde_json::json;
use turmericrail_fakes::registered::{self, FakeStore, RawAnswer, RawServer, Reply};
use turmericrail_wire::http1::RequestHead;

/// Time from a refusal to its copy; the next request is sent meanwhile.
const COPY_DELAY: Duration = Duration::from_millis(200);
/// Time from a request to the next one, before the copy of the refusal.
const REQUEST_GAP: Duration = Duration::from_millis(50);
/// Least time of a request that waits behind a copy.
const MIN_COPY_WAIT: Duration = Duration::from_millis(100);

/// Number of runs by path.
type Runs = Arc<Mutex<BTreeMap<String, u32>>>;
/// Ids of reservations.
type Holds = Arc<Mutex<Vec<String>>>;

fn refusal(status: &str, id: Option<&str>) -> Vec<u8> {
    let id_line = id.map(|id| format!("X-Request-Id: {id}\r\n")).unwrap_or_default();
    format!("HTTP/1.1 {status}\r\n{id_line}X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n").into()
}

fn own_id(head: &RequestHead) -> Option<&str> {
    head.headers.text("X-Request-Id")
}

/// Starts two servers for calls that may run once, at an instance that may send them three times.
fn start(
    name: &str,
    on_refused: impl Fn(&RequestHead) -> RawAnswer + Clone + Send + Sync + 'static,
) -> (ForwardInstance, Runs, [RawServer; 2]) {
    let store = FakeStore::start().unwrap();
    store.publish(&registered::configuration(1, 3));
    let instance = ForwardInstance::start_with_store(name, store);
    let runs = Runs::default();
    let servers = ["s1", "s2"].map(|id| {
        let (runs, on_refused) = (Arc::clone(&runs), on_refused.clone());
        let server = RawServer::start(move |head, _| {
            if head.path().ends_with("/refused") {
                return on_refused(head);
            }
            *runs.lock().unwrap().entry(head.path().to_owned()).or_default() += 1;
            RawAnswer::Bytes(answer(head, head.path()))
        });
        let server = server.unwrap();
        register_raw(&instance, id, None, &server);
        server
    });
    (instance, runs, servers)
}

fn send(instance: &ForwardInstance, path: &str, id: &str) -> Reply {
    let head = format!("POST {path} HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: {id}\r\n");
    instance.send(&format!("{head}X-Deadline-Ms: 2500\r\nContent-Length: 0\r\n\r\n")).unwrap()
}

/// Sends pairs of requests with these ids, of which the first is refused. The second must run once
/// and be answered. Returns how many of the second ones waited behind a copy.
fn play(instance: &ForwardInstance, runs: &Runs, ids: [&str; 2]) -> u32 {
    let mut waits = 0;
    for round in 0..8 {
        let first = send(instance, &format!("/order/{round}/refused"), ids[0]);
        assert_eq!(first.status(), 503, "both servers refused it");
        thread::sleep(REQUEST_GAP);
        let (path, sent_at) = (format!("/order/{round}"), Instant::now());
        let second = send(instance, &path, ids[1]);
        waits += u32::from(sent_at.elapsed() >= MIN_COPY_WAIT);
        assert_eq!((second.status(), &*second.body), (200, &*path), "{}", instance.read_log());
        assert_eq!(runs.lock().unwrap().remove(&path), Some(1), "{path}");
        thread::sleep(COPY_DELAY);
    }
    waits
}

#[test]
fn late_refusals() {
    // Guards against a call that runs and is said not to have run, or runs at a second server,
    // because of a refusal of an earlier call that comes before its answer.
    for status in ["503 Service Unavailable", "429 Too Many Requests", "421 Misdirected Request"] {
        let (instance, runs, _servers) = start(&format!("refusal-{}", &status[..3]), move |head| {
            let own = refusal("503 Service Unavailable", own_id(head));
            RawAnswer::BytesThenBytes(own, COPY_DELAY, refusal(status, own_id(head)))
        });
        assert!(play(&instance, &runs, ["r1", "r2"]) > 0, "{status}: no copy came in between");
    }
}

#[test]
fn same_id() {
    // Guards against the same where the earlier call has the id of the present one.
    let (instance, runs, _servers) = start("refusal-same-id", |head| {
        let own = refusal("503 Service Unavailable", own_id(head));
        RawAnswer::BytesThenBytes(own.clone(), COPY_DELAY, own)
    });
    play(&instance, &runs, ["r1", "r1"]);
}

#[test]
fn without_id() {
    // Guards against a refusal that names no request and passes for that of the present one.
    let (instance, runs, _servers) = start("refusal-no-id", |head| {
        let own = refusal("503 Service Unavailable", own_id(head));
        RawAnswer::BytesThenBytes(own, COPY_DELAY, refusal("503 Service Unavailable", None))
    });
    assert!(play(&instance, &runs, ["r1", "r2"]) > 0, "no copy came in between");
}

#[test]
fn adjacent_copy() {
    // Guards against a copy that directly follows a refusal and is kept for the next call.
    let (instance, runs, _servers) = start("refusal-adjacent", |head| {
        let own = refusal("503 Service Unavailable", own_id(head));
        RawAnswer::Bytes([own.clone(), own].concat())
    });
    play(&instance, &runs, ["r1", "r2"]);
    play(&instance, &runs, ["r1", "r1"]);
}

#[test]
fn only_refusal_without_id() {
    // Guards against a call that is said not to have run, or runs at a second server, by an answer
    // that doesn't name it, where the first server goes on with it.
    let arrivals = Arc::new(AtomicU64::new(0));
    let arriving = Arc::clone(&arrivals);
    let (instance, _, _servers) = start("refusal-only-no-id", move |_| {
        arriving.fetch_add(1, Ordering::SeqCst);
        RawAnswer::BytesThenClose(refusal("503 Service Unavailable", None))
    });
    let reply = send(&instance, "/order/x/refused", "r1");
    assert_eq!((reply.status(), arrivals.load(Ordering::SeqCst)), (502, 1));
}

#[test]
fn own_calls() {
    // Guards against the copy of a run's refusal that passes for the answer to a call of the
    // router's own, such as the release of a reservation.
    let instance = ForwardInstance::start("refusal-reservation");
    let (held, used) = (Holds::default(), Holds::default());
    let (issued, is_refused) = (AtomicU64::new(0), Arc::new(AtomicBool::new(false)));
    let (holding, using, refusing) =
        (Arc::clone(&held), Arc::clone(&used), Arc::clone(&is_refused));
    let decode = RawServer::start(move |head, _| {
        if head.path() == "/hold-take" {
            let hold = format!("h{}", issued.fetch_add(1, Ordering::SeqCst));
            holding.lock().unwrap().push(hold.clone());
            return RawAnswer::Bytes(answer(head, &json!({"hold": hold}).to_string()));
        }
        if let Some(hold) = head.path().strip_prefix("/hold-drop/") {
            using.lock().unwrap().push(hold.to_owned());
            return RawAnswer::Bytes(answer(head, ""));
        }
        if head.path().ends_with("/refused") {
            refusing.store(true, Ordering::SeqCst);
            let own = refusal("503 Service Unavailable", own_id(head));
            return RawAnswer::BytesThenBytes(own.clone(), COPY_DELAY, own);
        }
        let Some(hold) = head.headers.text("X-Kv-Hold") else {
            return RawAnswer::Bytes(answer(head, ""));
        };
        using.lock().unwrap().push(hold.to_owned());
        RawAnswer::Bytes(answer(head, "id: 1\ndata: x\n\n"))
    });
    let prefill = RawServer::start(|head, _| {
        if head.path().ends_with("/refused") {
            // Until the reservation no longer counts as recent at its connection.
            thread::sleep(Duration::from_millis(1_200));
        }
        RawAnswer::Bytes(answer(head, r#"{"kvHandle":"kv1","tokens":100,"version":1}"#))
    });
    register_raw(&instance, "p1", Some("prefill"), &prefill.unwrap());
    register_raw(&instance, "d1", Some("decode"), &decode.unwrap());
    let send = |path: &str, id: &str| {
        let text = registered::request_text("stream", path, id, 2_900);
        instance.send(&text.replace("100,50", "5200,600")).unwrap().status()
    };
    thread::scope(|scope| {
        let first = scope.spawn(|| send("x/refused", "r1"));
        wait_for("the refusal", || is_refused.load(Ordering::SeqCst));
        thread::sleep(REQUEST_GAP);
        assert_eq!(send("y", "r2"), 200, "{}", instance.read_log());
        assert_eq!(first.join().unwrap(), 503);
    });
    let is_settled = || used.lock().unwrap().len() >= held.lock().unwrap().len();
    wait_for("the use or release of all holds", is_settled);
    instance.wait_for_log("event=reservation_dropped ");
    let log = instance.read_log();
    let released = log.lines().filter(|line| line.contains("event=reservation_dropped "));
    for line in released {
        assert!(line.ends_with("status=200"), "{line}");
    }
}
