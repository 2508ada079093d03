//! Streams that broke off, and what the next engine answers: only events that follow the last one go
//! on with a stream, and it ends as complete only after such an answer.

mod forward_support;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use forward_support::{ForwardInstance, configuration, register_raw, request_text};
use turmericrail_fakes::registered::{FakeStore, RawAnswer, RawServer, Reply, granted_reservation};
use turmericrail_wire::http1::RequestHead;

const EVENT_STREAM: &str = "text/event-stream";
/// State of an engine without work.
const REPORT: &str = r#"{"stage":"decode","busy":false,"sequence":0,"waiting":0,"running":0,"kvUsed":0,"kvTotal":60000}"#;

/// One answer of an engine.
#[derive(Clone, Debug)]
struct Answer {
    status: &'static str,
    /// Media type; empty if the answer names none.
    media_type: &'static str,
    /// More lines of the head, each with its line end.
    fields: &'static str,
    framing: Framing,
    body: String,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Framing {
    Length,
    Chunks,
    UntilClose,
    /// Chunks, without the last one.
    CutChunks,
}

impl Answer {
    fn new(status: &'static str, media_type: &'static str, body: &str) -> Self {
        let fields = "X-Response-Signature: s\r\n";
        Self { status, media_type, fields, framing: Framing::Length, body: body.to_owned() }
    }

    /// A sound answer with these events.
    fn events(body: &str) -> Self {
        Self { framing: Framing::Chunks, ..Self::new("200 OK", EVENT_STREAM, body) }
    }

    fn bytes(&self, head: &RequestHead) -> Vec<u8> {
        let Self { status, media_type, fields, framing, body } = self;
        let id = head.headers.text("X-Request-Id").unwrap_or_default();
        let media_type = match *media_type {
            "" => String::new(),
            media_type => format!("Content-Type: {media_type}\r\n"),
        };
        let chunk = format!("{:x}\r\n{body}\r\n", body.len());
        let (length, body) = match framing {
            Framing::Length => (format!("Content-Length: {}\r\n", body.len()), body.clone()),
            Framing::Chunks if body.is_empty() => (chunked(), "0\r\n\r\n".to_owned()),
            Framing::Chunks => (chunked(), format!("{chunk}0\r\n\r\n")),
            Framing::CutChunks => (chunked(), chunk),
            Framing::UntilClose => (String::new(), body.clone()),
        };
        format!("HTTP/1.1 {status}\r\nX-Request-Id: {id}\r\n{media_type}{fields}{length}\r\n{body}")
            .into_bytes()
    }
}

fn chunked() -> String {
    "Transfer-Encoding: chunked\r\n".to_owned()
}

fn events(numbers: std::ops::RangeInclusive<u64>) -> String {
    numbers.map(|number| format!("id: {number}\ndata: token {number}\n\n")).collect()
}

/// The first three events of a stream that breaks off.
fn begun() -> Answer {
    Answer { framing: Framing::CutChunks, ..Answer::events(&events(1..=3)) }
}

/// An instance with an engine for each answer; the calls get them in their order.
fn start(name: &str, answers: &[Answer]) -> (ForwardInstance, Vec<RawServer>) {
    let store = FakeStore::start().unwrap();
    let mut configuration = configuration(1);
    for route in configuration["routes"].as_array_mut().unwrap() {
        if route["name"] == "resumable" {
            route["maxAttempts"] = answers.len().into();
        }
    }
    store.publish(&configuration);
    let instance = ForwardInstance::start_with_store(name, store);
    let calls = Arc::new(AtomicUsize::new(0));
    let start_engine = |number: usize| {
        let (calls, answers) = (Arc::clone(&calls), answers.to_vec());
        let engine = RawServer::start(move |head, _| {
            let granted =
                |body: &str| RawAnswer::Bytes(Answer::new("200 OK", "", body).bytes(head));
            match head.path() {
                "/hold-take" => granted(&granted_reservation()),
                "/report" => granted(REPORT),
                _ if head.method == "DELETE" => granted(""),
                _ => {
                    let number = calls.fetch_add(1, Ordering::SeqCst) % answers.len();
                    RawAnswer::BytesThenClose(answers[number].bytes(head))
                }
            }
        });
        let engine = engine.unwrap();
        register_raw(&instance, &format!("e{number}"), Some("decode"), &engine);
        engine
    };
    let engines = (0..answers.len()).map(start_engine).collect();
    (instance, engines)
}

/// What a caller gets if the answers come one after the other, and how many of them are refused.
fn play(name: &str, answers: &[Answer]) -> (Reply, u64) {
    let (instance, _engines) = start(name, answers);
    (instance.send_request("resumable", "r1"), instance.refused_answers())
}

/// Asserts that each answer is refused after three of five events, also if another engine then goes on.
fn assert_refused(name: &str, answers: &[Answer]) {
    for (number, answer) in answers.iter().enumerate() {
        let name = format!("{name}-{number}");
        let (reply, refused) = play(&name, &[begun(), answer.clone()]);
        assert_eq!((reply.status(), reply.is_complete), (200, false), "{answer:?}");
        assert_eq!(reply.body, events(1..=3), "{answer:?}");
        assert_eq!(refused, 1, "{answer:?}");
        let rest = Answer::events(&events(4..=5));
        let (reply, _) = play(&format!("{name}-more"), &[begun(), answer.clone(), rest]);
        assert_eq!((reply.is_complete, reply.body), (true, events(1..=5)), "{answer:?}");
    }
}

#[test]
fn other_successes() {
    // Guards against a success of another kind that ends a stream as complete.
    let unframed = |status| Answer { framing: Framing::UntilClose, ..Answer::new(status, "", "") };
    assert_refused(
        "other-successes",
        &[
            unframed("204 No Content"),
            Answer::new("205 Reset Content", "", ""),
            Answer::new("201 Created", EVENT_STREAM, &events(4..=5)),
            Answer::new("206 Partial Content", EVENT_STREAM, &events(4..=5)),
            Answer::new("200 OK", "application/json", ""),
            Answer::new("200 OK", "", ""),
        ],
    );
}

#[test]
fn resumed_with_error() {
    // Guards against an error's text in the middle of a stream.
    let head = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 10\r\n\r\noverloaded\n\n";
    assert_refused(
        "resumed-with-error",
        &[
            Answer::new("200 OK", "application/json", "{\"error\":\"overloaded\"}\n\n"),
            Answer::new("200 OK", "text/plain", "overloaded\n\n"),
            Answer::new("200 OK", "", "overloaded\n\n"),
            Answer::events(head),
            Answer::events("{\"error\":\"overloaded\"}\n\n"),
            Answer::events("event: error\ndata: overloaded\n\n"),
        ],
    );
}

#[test]
fn resumed_from_start() {
    // Guards against an engine that begins the stream again and whose events are joined on.
    assert_refused(
        "resumed-from-start",
        &[Answer::events(&events(1..=5)), Answer::events(&events(3..=5))],
    );
}

#[test]
fn resumed_with_failure() {
    // Guards against the text of a failure, or an answer that isn't the engine's, in a stream.
    let encoded = "X-Response-Signature: s\r\nContent-Encoding: gzip\r\n";
    let answers = [
        Answer::new("500 Internal Server Error", "text/plain", "failed\n\n"),
        Answer::new("503 Service Unavailable", "text/plain", "overloaded\n\n"),
        Answer::new("429 Too Many Requests", EVENT_STREAM, &events(4..=5)),
        Answer::new("404 Not Found", EVENT_STREAM, &events(4..=5)),
        Answer::new("302 Found", EVENT_STREAM, &events(4..=5)),
        Answer::new("000 X", EVENT_STREAM, &events(4..=5)),
        Answer { fields: "X Extra: 1\r\n", ..Answer::events(&events(4..=5)) },
        Answer { fields: "", ..Answer::events(&events(4..=5)) },
        Answer { fields: encoded, ..Answer::events(&events(4..=5)) },
    ];
    for (number, answer) in answers.into_iter().enumerate() {
        let (reply, _) = play(&format!("failure-{number}"), &[begun(), answer.clone()]);
        assert_eq!((reply.status(), reply.is_complete), (200, false), "{answer:?}");
        assert_eq!(reply.body, events(1..=3), "{answer:?}");
    }
}

#[test]
fn events_before_error() {
    // Guards against sound events that are lost with the error after them, or sent twice.
    let mixed = Answer::events(&format!("{}overloaded\n\n", events(4..=4)));
    let (reply, _) = play("before-error", &[begun(), mixed.clone()]);
    assert_eq!((reply.is_complete, reply.body), (false, events(1..=4)));
    let rest = Answer::events(&events(5..=5));
    let (reply, _) = play("before-error-more", &[begun(), mixed, rest]);
    assert_eq!((reply.is_complete, reply.body), (true, events(1..=5)));
}

#[test]
fn faithful_continuations() {
    // Guards against events that do go on with a stream and are refused.
    let rest = events(4..=5);
    let lines = "id:4\r\ndata: token 4\r\n\r\nid:5\r\ndata: token 5\r\n\r\n";
    let commented = format!(": still here\n\n\n{rest}: done\n\n");
    let versioned = format!("x-weight-versions: 7\n{rest}");
    let answers = [
        Answer::events(&rest),
        Answer::new("200 Very Well", EVENT_STREAM, &rest),
        Answer::new("200 OK", "Text/Event-Stream; charset=utf-8", &rest),
        Answer::new("200 OK", "", &rest),
        Answer { framing: Framing::UntilClose, ..Answer::events(&rest) },
        Answer::events(lines),
        Answer::events(&commented),
        Answer::events(&versioned),
        Answer::events("id: 14\ndata: token 4\n\n"),
    ];
    for (number, answer) in answers.into_iter().enumerate() {
        let (reply, refused) = play(&format!("faithful-{number}"), &[begun(), answer.clone()]);
        assert_eq!((reply.status(), reply.is_complete, refused), (200, true, 0), "{answer:?}");
        assert_eq!(reply.body, events(1..=3) + &answer.body, "{answer:?}");
    }
}

#[test]
fn lost_end() {
    // Guards against a stream that is refused although only its end was lost: nothing is left.
    for framing in [Framing::Length, Framing::Chunks] {
        let empty = Answer { framing, ..Answer::events("") };
        let (reply, _) = play(&format!("lost-end-{framing:?}"), &[begun(), empty]);
        assert_eq!((reply.is_complete, reply.body), (true, events(1..=3)), "{framing:?}");
    }
    let unstated = Answer { framing: Framing::UntilClose, ..Answer::events("") };
    let (reply, _) = play("lost-end-unstated", &[begun(), unstated]);
    assert_eq!((reply.is_complete, reply.body), (false, events(1..=3)));
}

#[test]
fn callers_continuation() {
    // Guards against a stream that its caller takes up, and whose engine begins it again.
    let whole = || Answer::events(&events(1..=5));
    let rest = || Answer::events(&events(4..=5));
    let resume = |name: &str, answers: &[Answer]| {
        let (instance, _engines) = start(name, answers);
        assert!(instance.send_request("resumable", "begun").is_complete);
        let fields = "Last-Event-Id: 3\r\nResumes: begun\r\nX-Request-Id";
        instance.send(&request_text("resumable", "r1").replace("X-Request-Id", fields)).unwrap()
    };
    let reply = resume("caller-again", &[whole(), whole()]);
    assert_eq!(reply.status(), 502, "{}", reply.body);
    let reply = resume("caller-next", &[whole(), whole(), rest()]);
    assert_eq!((reply.status(), reply.body), (200, events(4..=5)));
    let reply = resume("caller-faithful", &[whole(), rest()]);
    assert_eq!((reply.status(), reply.body), (200, events(4..=5)));
}
