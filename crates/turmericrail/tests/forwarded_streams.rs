//! Model calls through a process: prefill and decode apart, and answers that go on elsewhere.

mod forward_support;

use std::io::Write;
use std::time::Duration;

use forward_support::{World, read_reply, request_text, wait_for};
use turmericrail_fakes::registered::Behaviour;

fn whole_stream() -> String {
    (1..=5).map(|number| format!("id: {number}\ndata: token {number}\n\n")).collect()
}

#[test]
fn split_path() {
    let world = World::start("split");
    let prefill = world.engine("p1", "prefill");
    let decode = world.engine("d1", "decode");
    let reply = world.request("stream", "r1");
    assert_eq!((reply.status(), reply.is_complete), (200, true));
    assert_eq!(reply.body, whole_stream());
    assert_eq!(prefill.executed_calls().len(), 1);
    let seen = decode.executed_calls();
    let source = format!("{}/kv1", prefill.address());
    assert_eq!(seen[0].head.headers.text("X-Kv-Source"), Some(source.as_str()));
    assert_eq!(seen[0].head.headers.text("X-Kv-Hold"), Some("h1"));
    assert_eq!(seen[0].body, b"body of the call");
}

#[test]
fn lost_prefill() {
    // A prefill is no run: where it is lost, the decode engine reads the prompt itself.
    let world = World::start("lost-prefill");
    let prefill = world.engine("p1", "prefill");
    let decode = world.engine("d1", "decode");
    prefill.set_next_behaviours(&[Behaviour::CloseWithoutAnswer]);
    let reply = world.request("stream", "r1");
    assert_eq!((reply.status(), reply.body), (200, whole_stream()));
    assert_eq!(decode.executed_calls()[0].head.headers.text("X-Kv-Source"), None);
}

#[test]
fn refused_prefill() {
    // An engine that refuses is passed over for another one before a decode engine reads prompts.
    let world = World::start("refused-prefill");
    let prefill = [world.engine("p1", "prefill"), world.engine("p2", "prefill")];
    let decode = world.engine("d1", "decode");
    prefill[0].set_next_behaviours(&[Behaviour::Refuse; 16]);
    let mut number = 0;
    let refused = loop {
        number += 1;
        assert!(number <= 16, "the engine that refuses is chosen now and then");
        let id = format!("r{number}");
        let reply = world.request("stream", &id);
        assert_eq!((reply.status(), reply.body), (200, whole_stream()));
        let log = world.log();
        let mut lines = log.lines().filter(|line| line.contains("event=prefill_call"));
        if lines.any(|line| line.contains("outcome=refused")) {
            break id;
        }
    };
    let is_refused = |id: Option<&str>| id == Some(refused.as_str());
    let runs = decode.executed_calls();
    let run = runs.iter().find(|seen| is_refused(seen.request_id())).unwrap();
    let source = format!("{}/kv1", prefill[1].address());
    assert_eq!(run.head.headers.text("X-Kv-Source"), Some(source.as_str()));
    for _ in 0..8 {
        number += 1;
        world.request("stream", &format!("r{number}"));
    }
    let refusals = world.log().matches("outcome=refused").count();
    assert_eq!(refusals, 1, "an engine that refused is left out for a while");
}

#[test]
fn resumed_stream() {
    let world = World::start("resumed");
    world.engine("p1", "prefill");
    let engines = [world.engine("d1", "decode"), world.engine("d2", "decode")];
    for engine in &engines {
        engine.set_next_behaviours(&[Behaviour::CloseMidEvent]);
    }
    let broken = world.request("stream", "r1");
    assert_eq!((broken.status(), broken.is_complete), (200, false));
    assert!(whole_stream().starts_with(&broken.body), "{}", broken.body);
    for engine in &engines {
        engine.set_next_behaviours(&[]);
    }
    engines[0].set_next_behaviours(&[Behaviour::CloseMidEvent]);
    engines[1].set_next_behaviours(&[]);
    let mut resumed = 0;
    for number in 0..4 {
        let reply = world.request("resumable", &format!("q{number}"));
        assert_eq!((reply.is_complete, reply.body), (true, whole_stream()));
        let seen = engines.iter().flat_map(|engine| engine.executed_calls());
        resumed = seen.filter(|call| call.head.headers.text("Last-Event-Id").is_some()).count();
    }
    assert!(resumed <= 1);
}

#[test]
fn full_fleet() {
    // The engine of an answer is lost while the only other one is full; it goes on there once a
    // place is free.
    let world = World::start("full-fleet");
    world.engine("p1", "prefill");
    let [first, second] = ["d1", "d2"].map(|id| world.engine(id, "decode"));
    first.set_next_behaviours(&[Behaviour::CloseMidEvent]);
    second.set_full(true);
    let mut stream = world.connect();
    stream.write_all(request_text("resumable", "r1").as_bytes()).unwrap();
    wait_for("the loss", || world.log().contains("event=answer_cut"));
    std::thread::sleep(Duration::from_millis(400));
    second.set_full(false);
    let reply = read_reply(&mut stream, &mut Vec::new()).unwrap();
    assert_eq!((reply.is_complete, reply.body), (true, whole_stream()));
}

#[test]
fn silent_engine() {
    // An engine pauses for longer than is wanted while the only other one is full: its answer is
    // waited for, not cut.
    let world = World::start("silent-engine");
    world.engine("p1", "prefill");
    let decode = world.engine("d1", "decode");
    let other = world.engine("d2", "decode");
    other.set_full(true);
    decode.set_next_behaviours(&[Behaviour::Pause]);
    let reply = world.request("resumable", "r1");
    assert_eq!((reply.is_complete, reply.body), (true, whole_stream()));
    // Once the other engine has a place the answer goes on there.
    other.set_full(false);
    decode.set_next_behaviours(&[Behaviour::Pause; 4]);
    for number in 0..3 {
        let reply = world.request("resumable", &format!("q{number}"));
        assert_eq!((reply.is_complete, reply.body), (true, whole_stream()));
    }
}

#[test]
fn caller_leaves() {
    // The place is given back when the caller is gone before the answer begins.
    let world = World::start("leaves");
    let prefill = world.engine("p1", "prefill");
    let decode = world.engine("d1", "decode");
    prefill.set_next_behaviours(&[Behaviour::NeverAnswer]);
    let stream = {
        use std::io::Write;
        let mut stream = world.connect();
        stream.write_all(forward_support::request_text("stream", "r1").as_bytes()).unwrap();
        stream
    };
    forward_support::wait_for("the prefill", || !prefill.executed_calls().is_empty());
    drop(stream);
    forward_support::wait_for("the release", || decode.release_count() == 1);
    assert!(decode.executed_calls().is_empty());
}
