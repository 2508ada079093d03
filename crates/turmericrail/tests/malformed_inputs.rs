//! A running instance whose callers, servers, store and peers send malformed inputs, made from valid
//! ones: it goes on, and its memory stays bounded.

mod forward_support;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Mutex;
use std::time::Duration;

use forward_support::{ForwardInstance, answer_with, configuration, register_raw, wait_for};
use prost::Message;
use serde_json::json;
use turmericrail::forward::settings::ForwardSettings;
use turmericrail_fakes::InputMutator;
use turmericrail_fakes::registered::{RawAnswer, RawServer, request_text};
use turmericrail_wire::http1::RequestHead;
use turmericrail_wire::relay::relay_client::RelayClient;
use turmericrail_wire::relay::{
    BegunStream, BegunStreams, ExchangeRequest, FindStreamRequest, FollowRequest, KnownSet,
    LeavingRun, LossNotices, Member, PartLoss, RequestLosses, ServerLimit, Survival,
};

const MAX_MEMORY_KIB: u64 = 64 * 1024;
const READ_TIMEOUT: Duration = Duration::from_millis(150);

fn assert_sound(instance: &mut ForwardInstance, description: &str) {
    instance.assert_sound(description);
    let memory_kib = instance.peak_memory_kib();
    assert!(memory_kib < MAX_MEMORY_KIB, "{description}: {memory_kib} KiB");
}

/// Sends bytes on a new connection and reads until it is closed or silent.
fn send_bytes(address: SocketAddr, bytes: &[u8]) {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    // The instance may close the connection before it has read all of them.
    let _ = stream.write_all(bytes);
    let _ = stream.shutdown(Shutdown::Write);
    let mut answer = vec![0; 4096];
    while stream.read(&mut answer).is_ok_and(|read| read > 0) {}
}

/// Sends bytes on a new connection and reads until it is closed.
fn send_whole(instance: &ForwardInstance, bytes: &[u8]) -> Vec<u8> {
    let mut stream = instance.connect();
    stream.write_all(bytes).unwrap();
    let mut answer = Vec::new();
    // A cut answer may end with a reset.
    let _ = stream.read_to_end(&mut answer);
    answer
}

#[test]
fn callers() {
    // Guards against a caller's bytes, at any of the ports, that end the instance: 1,200 inputs.
    let mut instance = ForwardInstance::start("malformed-callers");
    instance.start_plain_server("s1");
    let mut mutator = InputMutator::new(21);
    let chunked = "POST /order/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: r\r\n\
                   X-Deadline-Ms: 90\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n";
    let valid = [
        request_text("order", "x", "r1", 90),
        request_text("read", "x", "r2", 90),
        request_text("stream", "x", "r3", 90),
        chunked.to_owned(),
    ];
    for number in 0..1_200 {
        let bytes = match number % 5 {
            4 => mutator.random_bytes(3_000),
            _ => mutator.mutated(valid[number % 5].as_bytes()),
        };
        let ports = [instance.operator_address, instance.ready_address, instance.peer_address];
        send_bytes(instance.caller_address, &bytes);
        if number % 40 < 3 {
            send_bytes(ports[number % 40], &bytes);
        }
    }
    assert_sound(&mut instance, "callers");
    let reply = instance.send_request("read", "after");
    assert_eq!(reply.status(), 200, "{}", reply.body);
}

/// Answers with a few changes; most are left as they are, so that the server is called again.
fn mutated_answer(mutator: &Mutex<(InputMutator, u64)>, head: &RequestHead) -> RawAnswer {
    let body = match head.path() {
        "/hold-take" => turmericrail_fakes::registered::granted_reservation(),
        "/report" => json!({"stage": "decode", "busy": false, "sequence": 4, "waiting": 1,
            "running": 2, "kvUsed": 20_000, "kvTotal": 60_000})
        .to_string(),
        _ if head.headers.text("X-Serving-Stage").is_some() => {
            json!({"kvHandle": "kv1", "tokens": 100, "version": 1}).to_string()
        }
        _ => "id: 1\nversion: v1\ndata: a\n\nid: 2\ndata: b\n\n".to_owned(),
    };
    let fields = "HTTP/1.1 200 OK\r\nX-Instance-Load: 1,0,6,100\r\nServer-Limit: 9000.5\r\n\
                  Keep-Alive: timeout=18446744073709551615\r\nRetry-After: 0.010\r\n";
    let answer = answer_with(head, &body);
    let answer = [fields.as_bytes(), &answer["HTTP/1.1 200 OK\r\n".len()..]].concat();
    let (mutator, count) = &mut *mutator.lock().unwrap();
    *count += 1;
    match *count % 8 {
        0 => RawAnswer::BytesThenClose(mutator.mutated(&answer)),
        1 | 2 => RawAnswer::Bytes(mutator.mutated(&answer)),
        _ => RawAnswer::Bytes(answer),
    }
}

#[test]
fn servers() {
    // Guards against a server's bytes that end the instance: answers to plain calls, reservations,
    // reports, prefills and streams, 600 requests.
    let mut instance = ForwardInstance::start("malformed-servers");
    let stages =
        [None, None, None, Some("prefill"), Some("decode"), Some("decode"), Some("decode")];
    for (seed, stage) in stages.into_iter().enumerate() {
        let id = format!("s{seed}");
        let mutator = Mutex::new((InputMutator::new(31 + seed as u64), 0));
        let server = RawServer::start(move |head, _| mutated_answer(&mutator, head));
        register_raw(&instance, &id, stage, &server.unwrap());
    }
    std::thread::scope(|scope| {
        for worker in 0..20 {
            let (instance, route) =
                (&instance, ["order", "read", "stream", "resumable"][worker % 4]);
            scope.spawn(move || {
                for number in 0..30 {
                    let id = format!("r{worker}-{number}");
                    let text = request_text(route, &id, &id, 400);
                    let text = text.replace("Host:", "Connection: close\r\nHost:");
                    let answer = send_whole(instance, text.as_bytes());
                    assert!(answer.starts_with(b"HTTP/1.1 "), "{id}: {answer:?}");
                }
            });
        }
    });
    assert!(instance.read_log().matches("event=first_event ").count() > 20);
    assert_sound(&mut instance, "servers");
    let server = instance.start_plain_server("s9");
    wait_for("an answer", || {
        instance.send_request("read", "after").status() == 200
            && !server.executed_calls().is_empty()
    });
}

#[test]
fn store() {
    // Guards against configurations and entries of servers that end the instance, at once or with
    // the calls that use them: 300 of each.
    let mut instance = ForwardInstance::start("malformed-store");
    let mut mutator = InputMutator::new(41);
    let entry = |stage: Option<&str>| {
        json!({"service": if stage.is_some() { "llm" } else { "desk" }, "address": "127.0.0.1:1",
            "zone": "dc-a", "version": "v1", "slots": 6, "state": "ready", "stage": stage,
            "coldRemainingMs": 0, "sequence": 1, "born": 17_000})
        .to_string()
    };
    for number in 0..300_u64 {
        let version = number * 2 + 2;
        let valid = configuration(version).to_string();
        instance.store.put_bytes("op/config", &mutator.mutated(valid.as_bytes()));
        let stage = [None, Some("prefill"), Some("decode")][number as usize % 3];
        let key = format!("servers/s{}", number % 30);
        instance.store.put_bytes(&key, &mutator.mutated(entry(stage).as_bytes()));
        for route in ["order", "stream"].into_iter().filter(|_| number % 6 == 0) {
            let text = request_text(route, "x", &format!("r{number}"), 40);
            send_bytes(instance.caller_address, text.as_bytes());
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    assert_sound(&mut instance, "store");
    for number in 0..30 {
        instance.store.remove(&format!("servers/s{number}"));
    }
    instance.store.publish(&configuration(1_000_000));
    instance.wait_for_log("event=config version=1000000 ");
    assert_sound(&mut instance, "store");
}

/// A valid message of each kind, as its bytes.
fn relay_messages() -> [Vec<u8>; 5] {
    let id = vec![7; 16];
    let sender = Member {
        instance: "x".into(),
        peer_address: "127.0.0.9:1".into(),
        age_ms: 1,
        data_centre: "dc-a".into(),
    };
    let known = |prefix: &str| KnownSet { prefix: prefix.into(), revision: 3, last_change: 2 };
    let loss = PartLoss {
        service: "llm".into(),
        server: "d1".into(),
        started_ms: 1,
        parts: vec![1, 2, 3],
        age_ms: 5,
        request: id.clone(),
        is_server_ended: true,
        is_late: false,
    };
    let losses = RequestLosses {
        service: "desk".into(),
        server: "s7".into(),
        started_ms: 1,
        age_ms: 2,
        requests: vec![id.clone()],
        late_requests: vec![id.clone()],
    };
    let survival = Survival { service: "llm".into(), part: 3, age_ms: 4, request: Vec::new() };
    let notices =
        LossNotices { losses: vec![loss], survivals: vec![survival], request_losses: vec![losses] };
    let limit =
        ServerLimit { server: "s7".into(), started_ms: 1, calls_per_s: Some(3.5), age_ms: 2 };
    let exchange = ExchangeRequest {
        sender: Some(sender.clone()),
        members: vec![sender],
        known: vec![known("op/config"), known("servers/")],
        leaving: vec![LeavingRun { server: "s7".into(), started_ms: 1 }],
        limits: vec![limit.clone()],
        members_hash: 1,
        ages_ms: vec![1, 2],
        notices_hash: 1,
        notices: Some(notices.clone()),
        ..Default::default()
    };
    let follow = FollowRequest {
        known: vec![known("servers/")],
        wait_ms: 1,
        limits: vec![limit],
        notices_epoch: 1,
        notices_after: 1,
        ..Default::default()
    };
    let stream = BegunStream { stream: id.clone(), request: id.clone(), ..Default::default() };
    let find = FindStreamRequest { stream: id.clone(), request: id, ..Default::default() };
    [
        exchange.encode_to_vec(),
        follow.encode_to_vec(),
        notices.encode_to_vec(),
        BegunStreams { streams: vec![stream], ..Default::default() }.encode_to_vec(),
        find.encode_to_vec(),
    ]
}

#[async_std::test]
async fn peers() {
    // Guards against messages of other instances that end this one: 4,000 of each kind, of which
    // those that decode are sent.
    let mut instance = ForwardInstance::start("malformed-peers");
    instance.start_plain_server("s1");
    let mut client =
        RelayClient::connect(format!("http://{}", instance.peer_address)).await.unwrap();
    let mut mutator = InputMutator::new(51);
    let [exchange, follow, notices, begun, find] = relay_messages();
    let mut sent = 0;
    for _ in 0..4_000 {
        if let Ok(message) = ExchangeRequest::decode(&*mutator.mutated(&exchange)) {
            let _ = client.exchange(message).await;
            sent += 1;
        }
        if let Ok(message) = FollowRequest::decode(&*mutator.mutated(&follow)) {
            let message = FollowRequest { wait_ms: message.wait_ms.min(1), ..message };
            let _ = client.follow(message).await;
            sent += 1;
        }
        if let Ok(message) = LossNotices::decode(&*mutator.mutated(&notices)) {
            let _ = client.notify_parts(message).await;
            sent += 1;
        }
        if let Ok(message) = BegunStreams::decode(&*mutator.mutated(&begun)) {
            let _ = client.notify_streams(message).await;
            sent += 1;
        }
        if let Ok(message) = FindStreamRequest::decode(&*mutator.mutated(&find)) {
            let _ = client.find_stream(message).await;
            sent += 1;
        }
    }
    assert!(sent > 2_000, "{sent} messages decode");
    assert_sound(&mut instance, "peers");
    assert_eq!(instance.send_request("read", "after").status(), 200);
}

#[test]
fn no_open_files() {
    // Guards against an instance that ends because it can't accept a peer's connection: callers'
    // connections have used up its files.
    let mut instance = ForwardInstance::start("no-open-files");
    instance.limit_open_files(60);
    let callers: Vec<_> = (0..80).map(|_| instance.connect()).collect();
    std::thread::sleep(Duration::from_millis(300));
    let peers: Vec<_> =
        (0..5).filter_map(|_| TcpStream::connect(instance.peer_address).ok()).collect();
    std::thread::sleep(Duration::from_millis(500));
    assert_sound(&mut instance, "no open files");
    drop((callers, peers));
    wait_for("readiness", || instance.is_ready());
    assert!(TcpStream::connect(instance.peer_address).is_ok());
}

#[test]
fn settings_file() {
    // Guards against a settings file that panics at start, 4,000 inputs, or ends a running instance
    // that reads it again, 40 inputs.
    let mut instance = ForwardInstance::start("malformed-settings");
    let valid = std::fs::read_to_string(&instance.settings_path).unwrap();
    assert!(ForwardSettings::parse(&valid).is_ok());
    let mut mutator = InputMutator::new(61);
    for number in 0..4_000 {
        let input = match number % 4 {
            0 => mutator.random_bytes(400),
            _ => mutator.mutated(valid.as_bytes()),
        };
        let _ = ForwardSettings::parse(&String::from_utf8_lossy(&input));
    }
    for _ in 0..40 {
        std::fs::write(&instance.settings_path, mutator.mutated(valid.as_bytes())).unwrap();
        instance.signal("HUP");
        std::thread::sleep(Duration::from_millis(10));
    }
    assert_sound(&mut instance, "settings");
    assert!(instance.is_ready());
}
