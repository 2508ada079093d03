//! Model calls through a forwarding instance: prefill and decode at different engines, and answers
//! that are resumed at another engine.

mod forward_support;

use std::io::Write;
use std::time::Duration;

use forward_support::{ForwardInstance, read_reply, request_text, wait_for};
use turmericrail_fakes::registered::{self, Behaviour};

fn complete_stream() -> String {
    (1..=5).map(|number| format!("id: {number}\ndata: token {number}\n\n")).collect()
}

#[test]
fn split_prefill_decode() {
    let instance = ForwardInstance::start("split");
    let prefill = instance.start_engine("p1", "prefill");
    let decode = instance.start_engine("d1", "decode");
    let reply = instance.send_request("stream", "r1");
    assert_eq!((reply.status(), reply.is_complete), (200, true));
    assert_eq!(reply.body, complete_stream());
    assert_eq!(prefill.executed_calls().len(), 1);
    let calls = decode.executed_calls();
    let source = format!("{}/kv1", prefill.address());
    assert_eq!(calls[0].head.headers.text("X-Kv-Source"), Some(source.as_str()));
    let reservation = calls[0].head.headers.text("X-Kv-Hold");
    assert!(reservation.is_some_and(|id| id.starts_with('h')), "{reservation:?}");
    assert_eq!(calls[0].body, b"body of the call");
}

#[test]
fn lost_prefill() {
    // A lost prefill doesn't count as an execution: the decode engine computes the prompt itself.
    let instance = ForwardInstance::start("lost-prefill");
    let prefill = instance.start_engine("p1", "prefill");
    let decode = instance.start_engine("d1", "decode");
    prefill.set_next_behaviours(&[Behaviour::CloseWithoutAnswer]);
    let reply = instance.send_request("stream", "r1");
    assert_eq!((reply.status(), reply.body), (200, complete_stream()));
    assert_eq!(decode.executed_calls()[0].head.headers.text("X-Kv-Source"), None);
}

#[test]
fn refused_prefill() {
    // After a refused prefill another prefill engine is tried before the decode engine computes the
    // prompt.
    let instance = ForwardInstance::start("refused-prefill");
    let prefill = [instance.start_engine("p1", "prefill"), instance.start_engine("p2", "prefill")];
    let decode = instance.start_engine("d1", "decode");
    prefill[0].set_next_behaviours(&[Behaviour::Refuse; 16]);
    let mut number = 0;
    let refused_id = loop {
        number += 1;
        assert!(number <= 16, "the refusing engine is chosen at least once");
        let id = format!("r{number}");
        let reply = instance.send_request("stream", &id);
        assert_eq!((reply.status(), reply.body), (200, complete_stream()));
        let log = instance.read_log();
        let mut lines = log.lines().filter(|line| line.contains("event=prefill_call"));
        if lines.any(|line| line.contains("outcome=refused")) {
            break id;
        }
    };
    let has_refused_id = |id: Option<&str>| id == Some(refused_id.as_str());
    let calls = decode.executed_calls();
    let call = calls.iter().find(|call| has_refused_id(call.request_id())).unwrap();
    let source = format!("{}/kv1", prefill[1].address());
    assert_eq!(call.head.headers.text("X-Kv-Source"), Some(source.as_str()));
    for _ in 0..8 {
        number += 1;
        instance.send_request("stream", &format!("r{number}"));
    }
    let refusals = instance.read_log().matches("outcome=refused").count();
    assert_eq!(refusals, 1, "an engine that refused is not chosen for a while");
}

#[test]
fn resumed_stream() {
    let instance = ForwardInstance::start("resumed");
    instance.start_engine("p1", "prefill");
    let engines = [instance.start_engine("d1", "decode"), instance.start_engine("d2", "decode")];
    for engine in &engines {
        engine.set_next_behaviours(&[Behaviour::CloseMidEvent]);
    }
    let incomplete = instance.send_request("stream", "r1");
    assert_eq!((incomplete.status(), incomplete.is_complete), (200, false));
    assert!(complete_stream().starts_with(&incomplete.body), "{}", incomplete.body);
    for engine in &engines {
        engine.set_next_behaviours(&[]);
    }
    engines[0].set_next_behaviours(&[Behaviour::CloseMidEvent]);
    engines[1].set_next_behaviours(&[]);
    let mut resumed_count = 0;
    for number in 0..4 {
        let reply = instance.send_request("resumable", &format!("q{number}"));
        assert_eq!((reply.is_complete, reply.body), (true, complete_stream()));
        let calls = engines.iter().flat_map(|engine| engine.executed_calls());
        resumed_count =
            calls.filter(|call| call.head.headers.text("Last-Event-Id").is_some()).count();
    }
    assert!(resumed_count <= 1);
}

#[test]
fn resume_when_free() {
    // The engine of an answer is lost while the only other one is full; the answer is resumed there
    // once it has room.
    let instance = ForwardInstance::start("full-fleet");
    instance.start_engine("p1", "prefill");
    let [first, second] = ["d1", "d2"].map(|id| instance.start_engine(id, "decode"));
    first.set_next_behaviours(&[Behaviour::CloseMidEvent]);
    second.set_full(true);
    let mut stream = instance.connect();
    stream.write_all(request_text("resumable", "r1").as_bytes()).unwrap();
    wait_for("the cut answer", || instance.read_log().contains("event=answer_cut"));
    std::thread::sleep(Duration::from_millis(400));
    second.set_full(false);
    let reply = read_reply(&mut stream, &mut Vec::new()).unwrap();
    assert_eq!((reply.is_complete, reply.body), (true, complete_stream()));
}

#[test]
fn paused_engine() {
    // An engine pauses for longer than the target gap between tokens while the only other one is
    // full: the caller gets the rest after the pause, not a cut answer.
    let instance = ForwardInstance::start("silent-engine");
    instance.start_engine("p1", "prefill");
    let decode = instance.start_engine("d1", "decode");
    let other = instance.start_engine("d2", "decode");
    other.set_full(true);
    decode.set_next_behaviours(&[Behaviour::Pause]);
    let reply = instance.send_request("resumable", "r1");
    assert_eq!((reply.is_complete, reply.body), (true, complete_stream()));
    // Once the other engine has room, answers of a paused engine are resumed there.
    other.set_full(false);
    decode.set_next_behaviours(&[Behaviour::Pause; 4]);
    for number in 0..3 {
        let reply = instance.send_request("resumable", &format!("q{number}"));
        assert_eq!((reply.is_complete, reply.body), (true, complete_stream()));
    }
}

#[test]
fn late_prefill() {
    // Guards against a prefill that is given up while no other call may be sent in its place: the
    // caller was refused. Within the bound on retries the decode engine reads the prompt instead.
    let text = |id| registered::request_text("stream", "x", id, 2_900);
    let prefill_waited_for = |instance: &ForwardInstance| {
        let prefill = instance.start_engine("p1", "prefill");
        let decode = instance.start_engine("d1", "decode");
        prefill.set_behaviour(Behaviour::AnswerLate);
        let reply = instance.send(&text("r1")).unwrap();
        assert_eq!((reply.status(), reply.body), (200, complete_stream()));
        decode.executed_calls()[0].head.headers.text("X-Kv-Source").is_some()
    };
    let without_retries = ForwardInstance::start_with_retry_slack("late-prefill-0", 0);
    assert!(prefill_waited_for(&without_retries));
    let with_retries = ForwardInstance::start("late-prefill");
    assert!(!prefill_waited_for(&with_retries));
}

#[test]
fn stalled_engine() {
    // Guards against calls that are sent again because a sound engine was silent for a second; one
    // that stays silent is given up.
    let instance = ForwardInstance::start("stalled-engine");
    let engines = [instance.start_engine("d1", "decode"), instance.start_engine("d2", "decode")];
    engines.iter().for_each(|engine| engine.set_behaviour(Behaviour::Stall));
    let reply = instance.send_request("resumable", "r1");
    assert_eq!((reply.is_complete, reply.body), (true, complete_stream()));
    let arrivals = |id: &str| {
        let arrived = engines.iter().flat_map(|engine| engine.arrivals());
        arrived.filter(|arrival| arrival.request_id == id).count()
    };
    assert_eq!(arrivals("r1"), 1);
    // The other engine is full until the silent one has got the call.
    let [silent, other] = &engines;
    silent.set_behaviour(Behaviour::NeverAnswer);
    other.set_behaviour(Behaviour::Answer);
    other.set_full(true);
    let reply = std::thread::scope(|scope| {
        let reply =
            scope.spawn(|| instance.send(&registered::request_text("resumable", "x", "r2", 2_900)));
        forward_support::wait_for("the call at the silent engine", || {
            silent.arrivals().iter().any(|arrival| arrival.request_id == "r2")
        });
        other.set_full(false);
        reply.join().unwrap().unwrap()
    });
    assert_eq!((reply.is_complete, reply.body), (true, complete_stream()));
    assert_eq!(arrivals("r2"), 2);
}

#[test]
fn caller_disconnects() {
    // The reservation is released if the caller disconnects before the answer begins.
    let instance = ForwardInstance::start("leaves");
    let prefill = instance.start_engine("p1", "prefill");
    let decode = instance.start_engine("d1", "decode");
    prefill.set_next_behaviours(&[Behaviour::NeverAnswer]);
    let stream = {
        use std::io::Write;
        let mut stream = instance.connect();
        stream.write_all(forward_support::request_text("stream", "r1").as_bytes()).unwrap();
        stream
    };
    forward_support::wait_for("the prefill", || !prefill.executed_calls().is_empty());
    drop(stream);
    forward_support::wait_for("the release", || decode.release_count() == 1);
    assert!(decode.executed_calls().is_empty());
}
