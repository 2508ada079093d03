//! Connections to servers that live on while new ones are refused.

mod forward_support;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use forward_support::{ForwardInstance, answer_with, configuration, read_reply, request_text};
use serde_json::json;
use turmericrail_fakes::ports::free_listener;
use turmericrail_fakes::registered::FakeStore;
use turmericrail_wire::http1::RequestHead;

/// A server that accepts so many connections and refuses all others; `slow` requests take a second.
fn start_server(store: &FakeStore, id: &str, connections: usize) -> thread::JoinHandle<()> {
    let listener = free_listener().unwrap();
    let address = listener.local_addr().unwrap().to_string();
    store.put(
        &format!("servers/{id}"),
        &json!({
            "service": "desk", "address": address, "zone": "dc-a", "version": "v1", "slots": 6,
            "state": "ready", "coldRemainingMs": 0, "sequence": 1, "born": 1,
        }),
    );
    thread::spawn(move || {
        let streams: Vec<_> = (0..connections).map(|_| listener.accept().unwrap().0).collect();
        drop(listener);
        let serving: Vec<_> =
            streams.into_iter().map(|stream| thread::spawn(move || serve(stream))).collect();
        serving.into_iter().for_each(|it| drop(it.join()));
    })
}

fn serve(mut stream: TcpStream) {
    let (mut buffer, mut bytes) = (Vec::new(), [0; 4096]);
    loop {
        if let Ok(Some((head, length))) = RequestHead::parse(&buffer) {
            let body = head.headers.text("content-length").map_or(0, |it| it.parse().unwrap());
            if buffer.len() >= length + body {
                buffer.drain(..length + body);
                let id = head.headers.text("x-request-id").unwrap_or_default();
                if id.starts_with("slow") {
                    thread::sleep(Duration::from_millis(1_000));
                }
                if stream.write_all(&answer_with(&head, "done")).is_err() {
                    return;
                }
                continue;
            }
        }
        match stream.read(&mut bytes) {
            Ok(read) if read > 0 => buffer.extend_from_slice(&bytes[..read]),
            _ => return,
        }
    }
}

fn send(instance: &ForwardInstance, route: &str, id: &str) -> TcpStream {
    let mut stream = instance.connect();
    stream.write_all(request_text(route, id).as_bytes()).unwrap();
    stream
}

fn status(mut stream: TcpStream) -> Option<u16> {
    read_reply(&mut stream, &mut Vec::new()).map(|reply| reply.status())
}

fn start(name: &str) -> ForwardInstance {
    let store = FakeStore::start().unwrap();
    store.publish(&configuration(1));
    let _server = start_server(&store, "s1", 1);
    let instance = ForwardInstance::start_with_store(name, store);
    instance.wait_for_log("event=server_changed server=s1 ");
    assert_eq!(status(send(&instance, "read", "warm")), Some(200));
    instance
}

#[test]
fn calls_in_progress() {
    // Guards against calls in progress that are given up as new connections are refused.
    let instance = start("calls-in-progress");
    let slow = send(&instance, "read", "slow-1");
    thread::sleep(Duration::from_millis(100));
    let _other = status(send(&instance, "read", "other"));
    let got = status(slow);
    assert_eq!(got, Some(200), "{}", instance.read_log());
}

#[test]
fn kept_connections() {
    // Guards against new requests that aren't served on a connection that lives on.
    let instance = start("kept-connections");
    let slow = send(&instance, "order", "slow-1");
    thread::sleep(Duration::from_millis(100));
    let _other = status(send(&instance, "order", "other"));
    assert_eq!(status(slow), Some(200), "{}", instance.read_log());
    for number in 0..4 {
        let got = status(send(&instance, "read", &format!("next-{number}")));
        assert_eq!(got, Some(200), "next-{number}\n{}", instance.read_log());
    }
}
