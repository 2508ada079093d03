//! Answers that come before the server has read the upload: whole ones reach the caller, and those
//! whose connection is reset meanwhile don't pass for whole.

mod forward_support;

use std::io::Write;

use forward_support::{ForwardInstance, configuration, read_reply, register_raw};
use turmericrail_fakes::registered::{
    FakeStore, RawAnswer, RawServer, Reply, granted_reservation, request_head,
};
use turmericrail_wire::http1::RequestHead;

/// Larger than the buffers of both sockets, so that the upload isn't written when the answer comes.
const UPLOAD_BYTES: usize = 4 << 20;
const ROUNDS: usize = 12;
const EVENTS: &str = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n";

/// An instance whose callers may send long uploads.
fn start_instance(name: &str) -> ForwardInstance {
    let store = FakeStore::start().unwrap();
    let mut configuration = configuration(1);
    configuration["limits"]["maxBodyBytes"] = (8 << 20).into();
    store.publish(&configuration);
    ForwardInstance::start_with_store(name, store)
}

/// Starts a server that gives this answer to each upload before it has read it.
fn start_server(
    instance: &ForwardInstance,
    stage: Option<&str>,
    answer: impl Fn(&RequestHead) -> RawAnswer + Send + Sync + 'static,
) -> RawServer {
    let server = RawServer::start_early(move |head| match head.path() {
        "/hold-take" => {
            let body = granted_reservation();
            let framing = format!("Connection: close\r\nContent-Length: {}\r\n", body.len());
            RawAnswer::BytesThenEnd(self::answer(head, &framing, &body))
        }
        _ => answer(head),
    });
    let server = server.unwrap();
    register_raw(instance, "s1", stage, &server);
    server
}

fn upload(instance: &ForwardInstance, route: &str, id: &str) -> Reply {
    let mut stream = instance.connect();
    let head = request_head(route, "x", id, 2_000, UPLOAD_BYTES);
    stream.write_all(head.as_bytes()).unwrap();
    stream.write_all(&vec![b'x'; UPLOAD_BYTES]).unwrap();
    read_reply(&mut stream, &mut Vec::new()).expect("an answer comes")
}

/// A signed answer, up to the end of the connection unless `framing` says otherwise.
fn answer(head: &RequestHead, framing: &str, body: &str) -> Vec<u8> {
    let id = head.headers.text("X-Request-Id").unwrap_or_default();
    let fields = format!("X-Request-Id: {id}\r\nX-Response-Signature: s\r\n{framing}");
    format!("HTTP/1.1 200 OK\r\n{fields}\r\n{body}").into_bytes()
}

#[test]
fn reset_plain_answers() {
    // Guards against a part of an answer without length that passes for the whole, after its
    // connection was reset while the upload was written.
    let instance = start_instance("reset-plain");
    let _server = start_server(&instance, None, |head| {
        RawAnswer::BytesThenReset(answer(head, "", "a part of the body"))
    });
    for number in 0..ROUNDS {
        for route in ["order", "read"] {
            let reply = upload(&instance, route, &format!("{route}{number}"));
            assert_eq!(reply.status(), 502, "{route} {number}");
        }
    }
}

#[test]
fn reset_streams() {
    // Guards against the same in streams, whose events reach the caller before the reset is known.
    let instance = start_instance("reset-streams");
    let _server = start_server(&instance, Some("decode"), |head| {
        RawAnswer::BytesThenReset(answer(head, "Content-Type: text/event-stream\r\n", EVENTS))
    });
    for number in 0..ROUNDS {
        let reply = upload(&instance, "stream", &format!("r{number}"));
        let is_broken = reply.status() == 502 || !reply.is_complete;
        assert!(is_broken, "{number}: {} {:?}", reply.status(), reply.body);
    }
}

/// Sends uploads whose early answers end in order, and asserts that the callers get them whole.
fn assert_whole(name: &str, stage: Option<&str>, end: fn(Vec<u8>) -> RawAnswer) {
    let instance = start_instance(name);
    let (route, body) = if stage.is_some() { ("stream", EVENTS) } else { ("order", "a body") };
    let _server = start_server(&instance, stage, move |head| {
        end(answer(head, "Content-Type: text/event-stream\r\n", body))
    });
    for number in 0..ROUNDS {
        let reply = upload(&instance, route, &format!("r{number}"));
        assert_eq!((reply.status(), reply.is_complete), (200, true), "{name} {number}");
        assert_eq!(reply.body, body, "{name} {number}");
    }
    assert_eq!(instance.refused_answers(), 0);
}

#[test]
fn ended_answers() {
    // Guards against an early answer that is refused although the server ended its side in order.
    assert_whole("ended-plain", None, RawAnswer::BytesThenEnd);
    assert_whole("ended-stream", Some("decode"), RawAnswer::BytesThenEnd);
}

#[test]
fn closed_after_end() {
    // Guards against the same where the server's system resets the connection after its end.
    assert_whole("closed-plain", None, RawAnswer::BytesThenEndUnread);
    assert_whole("closed-stream", Some("decode"), RawAnswer::BytesThenEndUnread);
}

#[test]
fn stated_lengths() {
    // Guards against a whole answer with a length or chunks that is refused for the reset after it.
    let instance = start_instance("stated-lengths");
    let _server = start_server(&instance, None, |head| {
        let is_chunked = head.headers.text("X-Request-Id").is_some_and(|id| id.ends_with('c'));
        RawAnswer::BytesThenReset(match is_chunked {
            true => answer(head, "Transfer-Encoding: chunked\r\n", "5\r\nwhole\r\n0\r\n\r\n"),
            false => answer(head, "Content-Length: 5\r\n", "whole"),
        })
    });
    for number in 0..ROUNDS {
        for framing in ["l", "c"] {
            let reply = upload(&instance, "order", &format!("r{number}{framing}"));
            // The reset may also destroy the answer on its way.
            let is_whole = (reply.status(), reply.body.as_str()) == (200, "whole");
            assert!(is_whole || reply.status() == 502, "{} {:?}", reply.status(), reply.body);
        }
    }
}
