//! Calls that an instance gives up while a server has not answered them.

mod forward_support;

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::time::Duration;

use forward_support::ForwardInstance;
use serde_json::json;
use turmericrail_fakes::ports::free_listener;

const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Registers a listener as a plain server.
fn register(instance: &ForwardInstance, listener: &TcpListener) {
    let address = listener.local_addr().unwrap().to_string();
    let entry = json!({
        "service": "desk", "address": address, "zone": "dc-a", "version": "v1", "slots": 6,
        "state": "ready", "born": 1,
    });
    instance.store.put("servers/s1", &entry);
    instance.wait_for_log("event=server_changed server=s1 ");
}

fn read_request(stream: &mut TcpStream) {
    stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    let mut text = Vec::new();
    while !text.windows(4).any(|window| window == b"\r\n\r\n") {
        let mut bytes = [0; 4096];
        let read = stream.read(&mut bytes).unwrap();
        text.extend_from_slice(&bytes[..read]);
    }
}

#[test]
fn reset_connection() {
    // Guards against a call that reaches its server seconds after it was given up: what a cut link
    // holds back is delivered after an orderly close, and dropped after a reset.
    let instance = ForwardInstance::start("reset-connection");
    let listener = free_listener().unwrap();
    register(&instance, &listener);
    let mut caller = instance.connect();
    caller.write_all(forward_support::request_text("order", "o1").as_bytes()).unwrap();
    let (mut stream, _) = listener.accept().unwrap();
    read_request(&mut stream);
    caller.shutdown(Shutdown::Both).unwrap();
    let ended = stream.read(&mut [0; 16]).map_err(|error| error.kind());
    assert_eq!(ended, Err(ErrorKind::ConnectionReset));
}
