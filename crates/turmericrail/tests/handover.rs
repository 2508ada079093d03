//! An instance that reaches no server hands its requests over to one that does.
//!
//! The servers of the first instance have addresses that refuse connections in its own store; in
//! that of the second one the same servers have their true addresses.

mod forward_support;

use std::io::{Read, Write};
use std::time::Duration;

use serde_json::{Value, json};
use turmericrail_fakes::ports::free_address;
use turmericrail_fakes::registered::{Behaviour, FakeStore, RegisteredServer};
use turmericrail_wire::http1::ResponseHead;

use forward_support::{ForwardInstance, configuration, read_reply, request_text, wait_for};

const PLAIN: [&str; 3] = ["d1", "d2", "d3"];
const ENGINES: [&str; 3] = ["e1", "e2", "e3"];

/// Two instances of which the first reaches no server.
struct Pair {
    cut_off: ForwardInstance,
    reaching: ForwardInstance,
    servers: Vec<RegisteredServer>,
}

fn entry(stage: Option<&str>, address: &str) -> Value {
    let service = if stage.is_some() { "llm" } else { "desk" };
    let mut entry = json!({
        "service": service, "address": address, "zone": "dc-a", "version": "v1", "slots": 6,
        "state": "ready", "coldRemainingMs": 0, "sequence": 1, "born": 1,
    });
    if let Some(stage) = stage {
        entry["stage"] = json!(stage);
    }
    entry
}

fn put_unreachable(store: &FakeStore) {
    store.publish(&configuration(1));
    let ids =
        PLAIN.iter().map(|id| (id, None)).chain(ENGINES.iter().map(|id| (id, Some("decode"))));
    for (id, stage) in ids {
        let address = free_address().unwrap().to_string();
        store.put(&format!("servers/{id}"), &entry(stage, &address));
    }
}

fn start_servers(store: &FakeStore) -> Vec<RegisteredServer> {
    store.publish(&configuration(1));
    let plain = PLAIN.iter().map(|id| RegisteredServer::start(store, id, None).unwrap());
    let mut servers: Vec<_> = plain.collect();
    let engine = |id: &&str| RegisteredServer::start(store, id, Some("decode")).unwrap();
    servers.extend(ENGINES.iter().map(engine));
    servers
}

fn start_pair(name: &str) -> Pair {
    let ports = (free_address().unwrap().port(), free_address().unwrap().port());
    let stores = [FakeStore::start().unwrap(), FakeStore::start().unwrap()];
    put_unreachable(&stores[0]);
    let servers = start_servers(&stores[1]);
    let [cut_off_store, reaching_store] = stores;
    let start = |number: u8, store| {
        let name = format!("{name}-{number}");
        ForwardInstance::start_numbered(&name, number, store, ports)
    };
    let cut_off = start(1, cut_off_store);
    let reaching = start(2, reaching_store);
    for instance in [&cut_off, &reaching] {
        instance.wait_for_log("event=members_changed ");
        PLAIN.iter().chain(&ENGINES).for_each(|id| {
            instance.wait_for_log(&format!("event=server_changed server={id} "));
        });
    }
    Pair { cut_off, reaching, servers }
}

/// Starts one more instance that reaches the servers.
fn add_reaching(pair: &Pair, name: &str) -> ForwardInstance {
    let store = FakeStore::start().unwrap();
    store.publish(&configuration(1));
    pair.servers.iter().for_each(|server| server.register(&store, "ready"));
    let ports = (pair.cut_off.peer_address.port(), pair.cut_off.handover_port);
    let added = ForwardInstance::start_numbered(&format!("{name}-3"), 3, store, ports);
    pair.cut_off.wait_for_log("event=members_changed count=3 ");
    added
}

impl Pair {
    fn executed(&self, id: &str) -> usize {
        let calls = self.servers.iter().flat_map(RegisteredServer::executed_calls);
        calls.filter(|call| call.request_id() == Some(id)).count()
    }
}

// Guards against refusals by an instance that reaches no server while others do.
#[test]
fn plain_calls() {
    let pair = start_pair("plain-calls");
    for index in 0..8 {
        for route in ["read", "order"] {
            let id = format!("{route}-{index}");
            let reply = pair.cut_off.send_request(route, &id);
            assert_eq!(reply.status(), 200, "{}", pair.cut_off.read_log());
            assert_eq!(reply.request_id(), Some(&*id));
            assert!(reply.head.headers.text("X-Response-Signature").is_some());
            assert_eq!(pair.executed(&id), 1);
        }
    }
    pair.cut_off.wait_for_log("event=handed_over request=order-7 ");
    pair.reaching.wait_for_log("event=taken_over request=order-7 ");
}

// Guards against streams that end or lose events on their way through another instance.
#[test]
fn streamed_calls() {
    let pair = start_pair("streamed-calls");
    let direct = pair.reaching.send_request("stream", "direct");
    for index in 0..4 {
        for route in ["stream", "resumable"] {
            let id = format!("{route}-{index}");
            let reply = pair.cut_off.send_request(route, &id);
            assert_eq!(reply.status(), 200, "{}", pair.cut_off.read_log());
            assert!(reply.is_complete);
            assert_eq!(reply.body.lines().count(), direct.body.lines().count());
            assert_eq!(pair.executed(&id), 1);
        }
    }
}

// Guards against fields and bodies that change on the way through another instance.
#[test]
fn unchanged_requests() {
    let pair = start_pair("unchanged-requests");
    let body = "bytes \u{1}\u{7f} of the body";
    let text = format!(
        "POST /order/a/../b?q=%2f HTTP/1.1\r\nHost: A.example:80\r\nX-Request-Id: same\r\n\
         X-Deadline-Ms: 2000\r\nHandover-Config: 7\r\nX-Own: one\r\nx-own: two\r\n\
         Authorization: Token abc\r\nExpect: 100-continue\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut stream = pair.cut_off.connect();
    stream.write_all(text.as_bytes()).unwrap();
    let mut buffer = Vec::new();
    let reply = loop {
        let reply = read_reply(&mut stream, &mut buffer).unwrap();
        if reply.status() != 100 {
            break reply;
        }
    };
    assert_eq!(reply.status(), 200);
    let calls: Vec<_> = pair.servers.iter().flat_map(RegisteredServer::executed_calls).collect();
    let [call] = &calls[..] else { panic!("{} calls", calls.len()) };
    assert_eq!(call.head.method, "POST");
    assert_eq!(call.head.target, "/order/a/../b?q=%2f");
    assert_eq!(call.body, body.as_bytes());
    let values = |name: &str| -> Vec<String> {
        let values = call.head.headers.values(name);
        values.map(|value| String::from_utf8_lossy(value).into_owned()).collect()
    };
    assert_eq!(values("X-Own"), ["one", "two"]);
    assert_eq!(values("Handover-Config"), ["7"]);
    assert_eq!(values("Authorization"), ["Token abc"]);
    assert_eq!(values("Host"), ["A.example:80"]);
    let left_ms: u64 = values("X-Deadline-Ms")[0].parse().unwrap();
    assert!(left_ms <= 2_000);
}

// Guards against requests that run although their caller was told that they didn't, and against
// endless handing over between instances that are all cut off.
#[test]
fn both_cut_off() {
    let ports = (free_address().unwrap().port(), free_address().unwrap().port());
    let start = |number: u8| {
        let store = FakeStore::start().unwrap();
        put_unreachable(&store);
        let name = format!("both-cut-off-{number}");
        ForwardInstance::start_numbered(&name, number, store, ports)
    };
    let instances = [start(1), start(2)];
    instances.iter().for_each(|instance| instance.wait_for_log("event=members_changed "));
    for index in 0..6 {
        for (number, instance) in instances.iter().enumerate() {
            let reply = instance.send_request("order", &format!("{number}-{index}"));
            assert_eq!(reply.status(), 503);
            assert!(reply.head.headers.text("Retry-After").is_some());
            assert!(reply.head.headers.text("Handover-Declined").is_none());
        }
    }
    let has_declined =
        || instances.iter().any(|it| it.read_log().contains("event=handover_declined "));
    wait_for("a declined request", has_declined);
    assert!(instances.iter().all(|it| !it.read_log().contains("outcome=completed")));
}

// Guards against calls that go on at a server after their caller has left.
#[test]
fn leaving_callers() {
    let pair = start_pair("leaving-callers");
    assert_eq!(pair.cut_off.send_request("read", "before").status(), 200);
    pair.servers.iter().for_each(|server| server.set_behaviour(Behaviour::NeverAnswer));
    let mut stream = pair.cut_off.connect();
    stream.write_all(request_text("order", "left").as_bytes()).unwrap();
    wait_for("the call", || pair.executed("left") == 1);
    drop(stream);
    let is_cancelled = || {
        let log = pair.reaching.read_log();
        log.contains("event=answer request=left outcome=caller_gone")
    };
    wait_for("the cancellation", is_cancelled);
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(pair.executed("left"), 1);
}

// Guards against a body after the head of an answer to HEAD, and a length that isn't that of GET.
#[test]
fn head_calls() {
    let pair = start_pair("head-calls");
    let mut stream = pair.cut_off.connect();
    for id in ["head-1", "head-2"] {
        let text = format!(
            "HEAD /read/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: {id}\r\n\
             X-Deadline-Ms: 2000\r\n\r\n"
        );
        stream.write_all(text.as_bytes()).unwrap();
        let mut buffer = Vec::new();
        while !buffer.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            stream.read_exact(&mut byte).unwrap();
            buffer.push(byte[0]);
        }
        let (head, _) = ResponseHead::parse(&buffer, "HEAD").unwrap().unwrap();
        assert_eq!(head.status, 200);
        assert_eq!(head.headers.text("X-Request-Id"), Some(id));
        assert_eq!(pair.executed(id), 1);
    }
}

// Guards against refusals that lose what the taking instance says of them, and against a second hop.
#[test]
fn refused_elsewhere() {
    let pair = start_pair("refused-elsewhere");
    assert_eq!(pair.cut_off.send_request("read", "before").status(), 200);
    pair.servers.iter().for_each(|server| server.set_behaviour(Behaviour::Refuse));
    let reply = pair.cut_off.send_request("order", "refused");
    assert_eq!(reply.status(), 503);
    assert!(reply.head.headers.text("Retry-After").is_some());
    assert_eq!(pair.executed("refused"), 0);
    pair.cut_off.wait_for_log("event=handed_over request=refused ");
    assert!(!pair.reaching.read_log().contains("event=handed_over "));
}

// Guards against calls that run twice, or are said not to have run, when the taking instance is lost.
#[test]
fn lost_taker() {
    let mut pair = start_pair("lost-taker");
    let other = add_reaching(&pair, "lost-taker");
    assert_eq!(pair.cut_off.send_request("read", "before").status(), 200);
    pair.servers.iter().for_each(|server| server.set_behaviour(Behaviour::NeverAnswer));
    // Sent until one is taken by the instance that is killed.
    let (mut stream, id) = (0..20)
        .find_map(|index| {
            let id = format!("order-{index}");
            let mut stream = pair.cut_off.connect();
            stream.write_all(request_text("order", &id).as_bytes()).unwrap();
            wait_for("the call", || pair.executed(&id) == 1);
            let taken = format!("event=taken_over request={id} ");
            let is_taken_by = |instance: &ForwardInstance| instance.read_log().contains(&taken);
            wait_for("the request", || is_taken_by(&pair.reaching) || is_taken_by(&other));
            is_taken_by(&pair.reaching).then_some((stream, id))
        })
        .expect("the instance takes a request");
    pair.reaching.kill();
    let reply = read_reply(&mut stream, &mut Vec::new()).unwrap();
    assert!([502, 504].contains(&reply.status()), "{}", reply.status());
    assert_eq!(pair.executed(&id), 1);
}

// Guards against streams that are cut although they may be resumed, when the taking instance is lost.
#[test]
fn resumed_streams() {
    let mut pair = start_pair("resumed-streams");
    let other = add_reaching(&pair, "resumed-streams");
    let whole = pair.cut_off.send_request("resumable", "whole");
    assert!(whole.is_complete);
    pair.servers.iter().for_each(|server| server.set_behaviour(Behaviour::Stall));
    for index in 0..20 {
        let id = format!("stream-{index}");
        let mut stream = pair.cut_off.connect();
        stream.write_all(request_text("resumable", &id).as_bytes()).unwrap();
        wait_for("the call", || pair.executed(&id) == 1);
        std::thread::sleep(Duration::from_millis(250));
        let is_taken =
            pair.reaching.read_log().contains(&format!("event=taken_over request={id} "));
        if is_taken {
            pair.reaching.kill();
        }
        let reply = read_reply(&mut stream, &mut Vec::new()).unwrap();
        assert_eq!(reply.status(), 200);
        assert!(reply.is_complete, "{}", pair.cut_off.read_log());
        assert_eq!(reply.body, whole.body);
        if is_taken {
            other.wait_for_log(&format!("event=taken_over request={id} "));
            return;
        }
    }
    panic!("the instance that is to be killed took no stream");
}

/// Has a stream break off at an instance and continue at another one, whose engines answer with 204.
/// Returns whether that answer came: an instance that doesn't know the stream's version refuses it.
fn continue_without_content(name: &str) -> bool {
    let mut pair = start_pair(name);
    let other = add_reaching(&pair, name);
    let whole = pair.cut_off.send_request("resumable", "whole");
    for index in 0..20 {
        pair.servers.iter().for_each(|server| server.set_behaviour(Behaviour::Stall));
        let id = format!("stream-{index}");
        let mut stream = pair.cut_off.connect();
        stream.write_all(request_text("resumable", &id).as_bytes()).unwrap();
        wait_for("the call", || pair.executed(&id) == 1);
        // Other instances hear of the stream's version meanwhile.
        std::thread::sleep(Duration::from_millis(700));
        let is_taken =
            pair.reaching.read_log().contains(&format!("event=taken_over request={id} "));
        if is_taken {
            pair.servers.iter().for_each(|server| server.set_behaviour(Behaviour::NoContent));
            pair.reaching.kill();
        }
        let reply = read_reply(&mut stream, &mut Vec::new()).unwrap();
        assert_eq!((reply.status(), reply.is_complete), (200, !is_taken));
        assert!(whole.body.starts_with(&reply.body), "{}", reply.body);
        if is_taken {
            other.wait_for_log(&format!("event=taken_over request={id} "));
            let has_answered = pair.executed(&id) == 2;
            assert_eq!(pair.cut_off.refused_answers(), u64::from(has_answered));
            return has_answered;
        }
    }
    panic!("the instance that is to be killed took no stream");
}

// Guards against a success of another kind that ends a stream as complete, through another instance.
#[test]
fn continued_without_content() {
    for round in 0..4 {
        if continue_without_content(&format!("without-content-{round}")) {
            return;
        }
    }
}
