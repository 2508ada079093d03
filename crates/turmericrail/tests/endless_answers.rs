//! Servers that write bytes without end in place of an answer: each call ends soon, and the instance
//! stays within the memory of the smallest machine that it runs on.

mod forward_support;

use std::io::{Read, Write};
use std::thread;
use std::time::{Duration, Instant};

use forward_support::{ForwardInstance, request_text, wait_for};
use turmericrail_fakes::registered::{self, Behaviour, EndlessBytes};

const ENDLESS: [EndlessBytes; 6] = [
    EndlessBytes::HeadLines,
    EndlessBytes::InterimHeads,
    EndlessBytes::Body,
    EndlessBytes::Chunks,
    EndlessBytes::Trailers,
    EndlessBytes::ForeignAnswers,
];
/// Memory of the smallest machine, less what the instance needs for other work.
const MAX_MEMORY_KIB: u64 = 64 * 1024;
const CONCURRENT_CALLS: usize = 40;
/// Well below the caller's timeout.
const MAX_CALL_TIME: Duration = Duration::from_millis(5_000);
/// Well below the time for which the events go on.
const MAX_DELAY: Duration = Duration::from_millis(500);
const CALLER_TIMEOUT_MS: u64 = 20_000;

/// Sends calls at once and returns status and duration of each.
fn send_at_once(instance: &ForwardInstance, route: &str) -> Vec<(Option<u16>, Duration)> {
    let send = |number: usize| {
        let text =
            registered::request_text(route, "x", &format!("{route}{number}"), CALLER_TIMEOUT_MS);
        let sent_at = Instant::now();
        let reply = instance.send(&text);
        (reply.map(|reply| reply.status()), sent_at.elapsed())
    };
    thread::scope(|scope| {
        let send = &send;
        let calls: Vec<_> =
            (0..CONCURRENT_CALLS).map(|number| scope.spawn(move || send(number))).collect();
        calls.into_iter().map(|call| call.join().unwrap()).collect()
    })
}

fn play(name: &str, route: &str, stage: Option<&'static str>) {
    for bytes in ENDLESS {
        let instance =
            ForwardInstance::start_with_timeout(&format!("{name}-{bytes:?}"), CALLER_TIMEOUT_MS);
        let server = match stage {
            Some(stage) => instance.start_engine("s1", stage),
            None => instance.start_plain_server("s1"),
        };
        server.set_behaviour(Behaviour::Endless(bytes));
        for (status, elapsed) in send_at_once(&instance, route) {
            assert_ne!(status, Some(200), "{bytes:?}");
            assert!(elapsed < MAX_CALL_TIME, "{bytes:?}: {status:?} after {elapsed:?}");
        }
        let memory_kib = instance.peak_memory_kib();
        println!("bytes={bytes:?} memory_kib={memory_kib}");
        assert!(memory_kib < MAX_MEMORY_KIB, "{bytes:?}: {memory_kib} KiB");
        server.set_behaviour(Behaviour::Answer);
        wait_for("an answer", || instance.send_request(route, "after").status() == 200);
    }
}

#[test]
fn endless_events() {
    // Guards against events without end that keep the other calls waiting, or go on after the
    // caller's deadline.
    let instance = ForwardInstance::start("endless-events");
    instance.start_plain_server("s1");
    let engine = instance.start_engine("d1", "decode");
    engine.set_behaviour(Behaviour::Endless(EndlessBytes::Events));
    let mut stream = instance.connect();
    let sent_at = Instant::now();
    stream.write_all(request_text("stream", "r1").as_bytes()).unwrap();
    let mut bytes = vec![0; 1 << 16];
    assert!(stream.read(&mut bytes).unwrap() > 0);
    let reading = thread::spawn(move || {
        while stream.read(&mut bytes).is_ok_and(|read| read > 0) {}
        sent_at.elapsed()
    });
    for number in 0..20 {
        let called_at = Instant::now();
        assert_eq!(instance.send_request("read", &format!("q{number}")).status(), 200);
        assert!(called_at.elapsed() < MAX_DELAY, "{:?}", called_at.elapsed());
    }
    let elapsed = reading.join().unwrap();
    assert!(elapsed < Duration::from_millis(3_000), "{elapsed:?}");
}

#[test]
fn endless_plain_answers() {
    // Guards against memory, and calls until their deadline, for bytes that servers write without
    // end.
    play("endless-plain", "order", None);
}

#[test]
fn endless_engine_answers() {
    // Guards against the same for bytes that engines write without end.
    play("endless-engine", "stream", Some("decode"));
}
