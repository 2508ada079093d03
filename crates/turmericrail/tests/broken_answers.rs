//! Answers of servers that are none of HTTP: no caller gets them, whichever call they answer, and
//! faithful answers of unusual form are passed on.

mod forward_support;

use std::sync::{Arc, Mutex};

use forward_support::{ForwardInstance, answer_with, register_raw, wait_for};
use turmericrail_fakes::registered::{RawAnswer, RawServer, granted_reservation};
use turmericrail_wire::http1::RequestHead;

/// Statuses that HTTP doesn't define, with and without a body.
const UNDEFINED_STATUSES: [&str; 7] = ["000", "001", "020", "099", "600", "799", "999"];

/// Lines of a head whose name is no token, among other broken ones.
const BROKEN_LINES: [&[u8]; 12] = [
    b"X Extra: 1",
    b"X-Extra : 1",
    b"X-Extra\t: 1",
    b"X\x01Extra: 1",
    b"X\x00Extra: 1",
    b"X\x7fExtra: 1",
    b"X(Extra): 1",
    b"X\xe9Extra: 1",
    b"X-Extra",
    b": 1",
    b" folded",
    b"X-Extra: a\x01b",
];

/// Most requests until a server of two gets one.
const MAX_REQUESTS: usize = 200;

/// The next answer of a server, in which `{id}` stands for the id of the request.
type NextAnswer = Arc<Mutex<Vec<u8>>>;

fn is_control_call(head: &RequestHead) -> bool {
    head.path() == "/hold-take" || head.path() == "/report" || head.method == "DELETE"
}

fn with_id(template: &[u8], head: &RequestHead) -> Vec<u8> {
    let id = head.headers.text("X-Request-Id").unwrap_or_default();
    let at = template.windows(4).position(|bytes| bytes == b"{id}");
    at.map_or_else(
        || template.to_vec(),
        |at| [&template[..at], id.as_bytes(), &template[at + 4..]].concat(),
    )
}

/// A server that gives the next answer and closes the connection.
fn start_server(
    instance: &ForwardInstance,
    id: &str,
    stage: Option<&str>,
) -> (RawServer, NextAnswer) {
    let next = NextAnswer::default();
    let answer = Arc::clone(&next);
    let server = RawServer::start(move |head, _| {
        if is_control_call(head) {
            return RawAnswer::Bytes(answer_with(head, &granted_reservation()));
        }
        RawAnswer::BytesThenClose(with_id(&answer.lock().unwrap(), head))
    });
    let server = server.unwrap();
    register_raw(instance, id, stage, &server);
    (server, next)
}

/// A signed answer in which these bytes stand for the status and a line of the head.
fn signed(status: &str, line: &[u8], framing: &str, body: &str) -> Vec<u8> {
    let first = format!("HTTP/1.1 {status} X\r\nX-Request-Id: {{id}}\r\n");
    let rest = format!("X-Response-Signature: s\r\n{framing}\r\n{body}");
    let line = if line.is_empty() { Vec::new() } else { [line, b"\r\n"].concat() };
    [first.as_bytes(), &line, rest.as_bytes()].concat()
}

/// Has each answer given to a call on each route, and asserts that the caller gets none of them.
fn assert_refused(name: &str, answers: &[Vec<u8>]) {
    let instance = ForwardInstance::start(name);
    let (_plain, next_plain) = start_server(&instance, "p1", None);
    let (_engine, next_engine) = start_server(&instance, "e1", Some("decode"));
    for (number, answer) in answers.iter().enumerate() {
        *next_plain.lock().unwrap() = answer.clone();
        *next_engine.lock().unwrap() = answer.clone();
        for route in ["read", "order", "stream", "resumable"] {
            let shown = String::from_utf8_lossy(answer);
            let reply = instance.send_request(route, &format!("{route}{number}"));
            assert_eq!(reply.status(), 502, "{route} {shown:?}");
            assert!(reply.head.headers.text("X-Response-Signature").is_none(), "{shown:?}");
            assert!(reply.body.contains("unknown"), "{shown:?}: {}", reply.body);
        }
    }
    assert_eq!(instance.refused_answers(), 4 * answers.len() as u64);
    for server in ["p1", "e1"] {
        let line = format!("event=answer_refused server={server} reason=");
        wait_for(&line, || instance.read_log().matches(&line).count() == 2 * answers.len());
    }
}

#[test]
fn undefined_statuses() {
    // Guards against status 000 and others outside HTTP that reach callers as answers.
    let bodies = [
        ("Content-Length: 5\r\n", "hello"),
        ("Content-Length: 0\r\n", ""),
        ("Transfer-Encoding: chunked\r\n", "5\r\nhello\r\n0\r\n\r\n"),
        ("", "hello"),
    ];
    let answer = |status| bodies.map(|(framing, body)| signed(status, b"", framing, body));
    let answers: Vec<_> = UNDEFINED_STATUSES.into_iter().flat_map(answer).collect();
    assert_refused("undefined-statuses", &answers);
}

#[test]
fn broken_heads() {
    // Guards against field names with a blank or a control byte, and other lines that are no field.
    let answer = |line: &[u8]| signed("200", line, "Content-Length: 5\r\n", "hello");
    assert_refused("broken-heads", &BROKEN_LINES.map(answer));
}

#[test]
fn undefined_interim() {
    // Guards against an undefined status that passes for an interim answer before the final one.
    let interim = |status| format!("HTTP/1.1 {status} X\r\n\r\n").into_bytes();
    let answer =
        |status| [interim(status), signed("200", b"", "Content-Length: 5\r\n", "hello")].concat();
    assert_refused("undefined-interim", &UNDEFINED_STATUSES.map(answer));
}

#[test]
fn next_server() {
    // Guards against an idempotent call that fails although another server gives a sound answer.
    let instance = ForwardInstance::start("next-server");
    let (_broken, next) = start_server(&instance, "p1", None);
    let _sound = instance.start_plain_server("p2");
    *next.lock().unwrap() = signed("000", b"", "Content-Length: 5\r\n", "hello");
    for number in 0.. {
        let reply = instance.send_request("read", &format!("r{number}"));
        assert_eq!((reply.status(), reply.body.as_str()), (200, "answer of p2"));
        if instance.refused_answers() > 0 {
            break;
        }
        assert!(number < MAX_REQUESTS, "the broken server gets no call");
    }
}

#[test]
fn refused_control_calls() {
    // Guards against reservations and prefills with a status outside HTTP that pass for granted.
    let instance = ForwardInstance::start("refused-control");
    let server = RawServer::start(move |head, _| {
        let body = granted_reservation();
        let framing = format!("Content-Length: {}\r\n", body.len());
        RawAnswer::Bytes(with_id(&signed("000", b"", &framing, &body), head))
    });
    let server = server.unwrap();
    register_raw(&instance, "e1", Some("decode"), &server);
    assert_ne!(instance.send_request("stream", "r1").status(), 200);
    instance.wait_for_log("event=answer_refused server=e1 reason=");
}

#[test]
fn faithful_answers() {
    // Guards against unusual answers that servers may send, and that are refused.
    let instance = ForwardInstance::start("faithful-answers");
    let (_plain, next_plain) = start_server(&instance, "p1", None);
    let interim = |text: &str| format!("HTTP/1.1 {text}\r\nX: y\r\n\r\n").into_bytes();
    let length = "Content-Length: 5\r\n";
    let answers = [
        signed("200", b"", "", "hello"),
        signed("200", b"", length, "hello"),
        signed("200", b"", length, "helloHTTP/1.1 500 bytes after an answer"),
        signed("299", b"", length, "hello"),
        signed(
            "200",
            b"X-Extra:",
            "Transfer-Encoding: chunked\r\n",
            "5;a=b\r\nhello\r\n0\r\nT: x\r\n\r\n",
        ),
        [interim("100 Continue"), signed("200", b"", length, "hello")].concat(),
        [interim("103 Early Hints"), interim("199 X"), signed("200", b"", "", "hello")].concat(),
        signed("404", b"", length, "hello"),
        signed("599", b"", length, "hello"),
    ];
    for (number, answer) in answers.iter().enumerate() {
        *next_plain.lock().unwrap() = answer.clone();
        let reply = instance.send_request("order", &format!("r{number}"));
        let shown = String::from_utf8_lossy(answer);
        assert!(reply.is_complete, "{shown:?}");
        assert_eq!(reply.body, "hello", "{shown:?}");
        assert!(reply.head.headers.text("X-Response-Signature").is_some(), "{shown:?}");
    }
    assert_eq!(instance.refused_answers(), 0);
}
