//! Answers of engines whose body ends in order inside an event, or before the first one.

mod forward_support;

use std::io::Write;

use forward_support::{ForwardInstance, read_reply};
use turmericrail_fakes::registered::Behaviour;

/// Ways in which the body of an answer ends in order before its last event is whole.
const UNFINISHED: [Behaviour; 3] =
    [Behaviour::EndMidEvent, Behaviour::LastChunkMidEvent, Behaviour::FullLengthMidEvent];

fn events(numbers: std::ops::RangeInclusive<u64>) -> String {
    numbers.map(|number| format!("id: {number}\ndata: token {number}\n\n")).collect()
}

#[test]
fn unfinished_event() {
    // Guards against an answer that ended inside an event and reached its caller as complete.
    let instance = ForwardInstance::start("unfinished-event");
    let engine = instance.start_engine("d1", "decode");
    for (number, behaviour) in UNFINISHED.into_iter().enumerate() {
        engine.set_next_behaviours(&[behaviour]);
        let reply = instance.send_request("stream", &format!("r{number}"));
        assert_eq!((reply.status(), reply.is_complete), (200, false), "{behaviour:?}");
        assert_eq!(reply.body, events(1..=2), "{behaviour:?}");
    }
}

#[test]
fn resumed_elsewhere() {
    // Guards against an unfinished event that is joined with those of the engine that goes on.
    let instance = ForwardInstance::start("resumed-elsewhere");
    let engines = [instance.start_engine("d1", "decode"), instance.start_engine("d2", "decode")];
    for (number, behaviour) in UNFINISHED.into_iter().enumerate() {
        engines.iter().for_each(|engine| engine.set_next_behaviours(&[behaviour]));
        let reply = instance.send_request("resumable", &format!("q{number}"));
        let arrivals = engines.iter().map(|engine| engine.arrivals().len()).sum::<usize>();
        assert_eq!(arrivals, 2 * (number + 1), "{behaviour:?}: each engine gets the call once");
        // The second engine stops inside the fifth event: it goes on after the second one.
        assert_eq!((reply.status(), reply.is_complete), (200, false), "{behaviour:?}");
        assert_eq!(reply.body, events(1..=4), "{behaviour:?}");
    }
    engines.iter().for_each(|engine| engine.set_next_behaviours(&[]));
    engines[0].set_behaviour(Behaviour::EndMidEvent);
    for number in 0..4 {
        let reply = instance.send_request("resumable", &format!("s{number}"));
        assert_eq!((reply.is_complete, reply.body), (true, events(1..=5)));
    }
}

#[test]
fn resuming_caller() {
    // Guards against an unfinished event in an answer that the caller itself resumes.
    let instance = ForwardInstance::start("resuming-caller");
    let engine = instance.start_engine("d1", "decode");
    engine.set_next_behaviours(&[Behaviour::Answer, Behaviour::EndMidEvent]);
    assert!(instance.send_request("stream", "begun").is_complete);
    let fields = "Last-Event-Id: 1\r\nResumes: begun\r\nX-Request-Id";
    let text = forward_support::request_text("stream", "r1");
    let reply = instance.send(&text.replace("X-Request-Id", fields));
    let reply = reply.unwrap();
    assert_eq!((reply.status(), reply.is_complete), (200, false));
    assert_eq!(reply.body, events(2..=3));
}

#[test]
fn old_caller() {
    // Guards against a cut answer that looks complete to a caller with HTTP/1.0, whose answers end
    // with the connection.
    let instance = ForwardInstance::start("old-caller");
    let engine = instance.start_engine("d1", "decode");
    let send = |id: &str| {
        let text = forward_support::request_text("stream", id).replace("HTTP/1.1", "HTTP/1.0");
        instance.send(&text).unwrap()
    };
    let reply = send("r1");
    assert_eq!((reply.is_complete, reply.body), (true, events(1..=5)));
    for (number, behaviour) in UNFINISHED.into_iter().enumerate() {
        engine.set_next_behaviours(&[behaviour]);
        let reply = send(&format!("q{number}"));
        assert_eq!((reply.status(), reply.is_complete), (200, false), "{behaviour:?}");
    }
}

#[test]
fn no_event() {
    // Guards against an answer without an event that passes for a complete one.
    let instance = ForwardInstance::start("no-event");
    let engine = instance.start_engine("d1", "decode");
    engine.set_next_behaviours(&[Behaviour::EndBeforeEvents]);
    assert_eq!(instance.send_request("stream", "r1").status(), 502);
    engine.set_next_behaviours(&[Behaviour::EndBeforeEvents]);
    instance.start_engine("d2", "decode");
    for number in 0..4 {
        let reply = instance.send_request("resumable", &format!("q{number}"));
        assert_eq!((reply.is_complete, reply.body), (true, events(1..=5)));
    }
}

#[test]
fn whole_answer() {
    // Guards against a whole answer without length and chunks that is taken for a broken one.
    let instance = ForwardInstance::start("whole-answer");
    let engine = instance.start_engine("d1", "decode");
    engine.set_behaviour(Behaviour::AnswerUntilClose);
    for route in ["stream", "resumable"] {
        let mut stream = instance.connect();
        let mut buffer = Vec::new();
        for number in 0..3 {
            let text = forward_support::request_text(route, &format!("{route}{number}"));
            stream.write_all(text.as_bytes()).unwrap();
            let reply = read_reply(&mut stream, &mut buffer).unwrap();
            assert_eq!((reply.is_complete, reply.body), (true, events(1..=5)));
        }
    }
}
