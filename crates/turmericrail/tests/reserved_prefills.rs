//! Prefills that take longer than the reservation of the decode engine's memory.

mod forward_support;

use std::time::Duration;

use forward_support::{ForwardInstance, configuration, wait_for};
use serde_json::json;
use turmericrail_fakes::registered::{self, Behaviour, FakeStore, RegisteredServer};

/// Starts an instance whose stream routes have different ranks and whose engines keep reservations
/// for 400 ms; prefills of two seconds are not given up.
fn start(name: &str) -> ForwardInstance {
    let mut configuration = configuration(1);
    for route in configuration["routes"].as_array_mut().unwrap() {
        route["priority"] = json!(if route["name"] == "resumable" { 2 } else { 0 });
        route["latencyTargetMs"] = json!(2_800);
        route["timeoutMs"] = json!(9_000);
    }
    configuration["services"][1]["engine"]["holdMs"] = json!(400.0);
    let store = FakeStore::start().unwrap();
    store.publish(&configuration);
    ForwardInstance::start_with_store(name, store)
}

fn send(instance: &ForwardInstance, id: &str) -> u16 {
    // A prompt that is long enough for a prefill engine, whatever else is queued there.
    let text = registered::request_text("stream", "x", id, 6_000).replace("100,50", "5200,600");
    instance.send(&text).expect("an answer comes").status()
}

/// Headers of the calls that an engine ran: the source of the KV cache and the reservation.
fn calls(engine: &RegisteredServer) -> Vec<(bool, bool)> {
    let calls = engine.executed_calls();
    let has = |call: &registered::ExecutedCall, name: &str| call.head.headers.text(name).is_some();
    calls.iter().map(|call| (has(call, "X-Kv-Source"), has(call, "X-Kv-Hold"))).collect()
}

/// Guards against a prompt that is read for nothing because the reservation ended first.
#[test]
fn renewed_reservation() {
    let instance = start("renewed-reservation");
    let prefill = instance.start_engine("p1", "prefill");
    let decode = instance.start_engine("d1", "decode");
    prefill.set_next_behaviours(&[Behaviour::AnswerLate]);
    assert_eq!(send(&instance, "r1"), 200);
    assert_eq!(calls(&decode), [(true, true)], "the room is still reserved");
    assert!(instance.read_log().contains("event=reservation_renewed"));
    assert_eq!(prefill.executed_calls().len(), 1);
}

/// Guards against a prompt that is read twice because the engine with the reservation is full.
#[test]
fn room_elsewhere() {
    let instance = start("room-elsewhere");
    let prefill = instance.start_engine("p1", "prefill");
    let first = instance.start_engine("d1", "decode");
    prefill.set_next_behaviours(&[Behaviour::AnswerLate]);
    std::thread::scope(|scope| {
        let caller = scope.spawn(|| send(&instance, "r1"));
        wait_for("the prefill", || !prefill.executed_calls().is_empty());
        first.set_full(true);
        let second = instance.start_engine("d2", "decode");
        assert_eq!(caller.join().unwrap(), 200);
        assert_eq!(calls(&second), [(true, true)], "it goes on with the KV cache");
    });
    assert_eq!((calls(&first).len(), prefill.executed_calls().len()), (0, 1));
}

/// Guards against room that stays reserved after the caller has left during the prefill.
#[test]
fn left_caller() {
    let instance = start("left-caller");
    let prefill = instance.start_engine("p1", "prefill");
    let decode = instance.start_engine("d1", "decode");
    prefill.set_next_behaviours(&[Behaviour::AnswerLate]);
    let mut stream = instance.connect();
    let text = registered::request_text("stream", "x", "r1", 6_000);
    std::io::Write::write_all(&mut stream, text.as_bytes()).unwrap();
    wait_for("the prefill", || !prefill.executed_calls().is_empty());
    drop(stream);
    wait_for("the release", || decode.release_count() > 0);
    std::thread::sleep(Duration::from_millis(600));
    let renewals = instance.read_log().matches("event=reservation_renewed").count();
    assert!(renewals <= 1, "nothing is reserved for a caller who has left: {renewals}");
    assert!(calls(&decode).is_empty());
}

/// Guards against prompts that are read in vain while decode engines fill up and empty again, and
/// while prefills take longer than reservations.
#[test]
fn few_vain_prompts() {
    const CALLS: usize = 120;
    let instance = start("few-vain-prompts");
    let prefill =
        ["p1", "p2", "p3", "p4", "p5", "p6"].map(|id| instance.start_engine(id, "prefill"));
    let decode = ["d1", "d2", "d3"].map(|id| instance.start_engine(id, "decode"));
    prefill[0].set_next_behaviours(&[Behaviour::AnswerLate; 10]);
    std::thread::scope(|scope| {
        let calls: Vec<_> = (0..CALLS)
            .map(|number| {
                let instance = &instance;
                scope.spawn(move || {
                    std::thread::sleep(Duration::from_millis(20 * number as u64));
                    send(instance, &format!("r{number}"))
                })
            })
            .collect();
        for round in 0..30 {
            for (number, engine) in decode.iter().enumerate() {
                engine.set_full((round + number) % 3 != 0);
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        decode.iter().for_each(|engine| engine.set_full(false));
        let answered = calls.into_iter().map(|call| call.join().unwrap());
        let answered = answered.filter(|status| *status == 200).count();
        assert!(answered * 10 >= CALLS * 9, "{answered} of {CALLS} answered");
    });
    let done: usize = prefill.iter().map(|engine| engine.executed_calls().len()).sum();
    // A prompt without reserved room for its answer is as good as lost at a full engine.
    let used = decode.iter().flat_map(calls).filter(|call| *call == (true, true)).count();
    assert!(done >= CALLS / 2, "{done} prefills");
    assert!((done - used) * 100 < done, "{} of {done} prompts read in vain", done - used);
}
