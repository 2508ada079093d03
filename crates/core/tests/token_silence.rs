//! A stream that falls silent is read again soon; its engine is taken for lost much later.

mod single_instance;

use single_instance::{Simulation, document, prefills, printer_request};
use turmericrail_core::action::Action;
use turmericrail_core::event::Event;
use turmericrail_core::ids::{RequestId, StreamId};

/// Five tokens at the target of 30 ms, but not below the least limit.
const READ_AGAIN_MS: u64 = 300;

fn decoding() -> (Simulation, StreamId) {
    let mut simulation = Simulation::start(document());
    let (_, stream, _) = prefills(&simulation.submit(printer_request(1, 500)))[0].clone();
    simulation.finish_prefill((RequestId(1), stream.clone()));
    simulation.handle_event(Event::TransferDone(RequestId(1), stream.clone()));
    simulation.handle_event(Event::FirstToken(RequestId(1), stream.clone()));
    (simulation, stream)
}

fn break_stream(simulation: &mut Simulation, stream: &StreamId) -> Vec<Action> {
    let (request, stream) = (RequestId(1), stream.clone());
    simulation.handle_event(Event::StreamBroken { request, stream, next_index: 0, is_held: true })
}

/// Silence limits of the readings among actions.
fn reads(actions: &[Action]) -> Vec<u64> {
    let calls = actions.iter().filter_map(|action| match action {
        Action::Read(call) => Some(call.silence_ms.0),
        _ => None,
    });
    calls.collect()
}

#[test]
fn silent_engine() {
    let (mut simulation, stream) = decoding();
    let mut silent_ms = 0;
    loop {
        simulation.advance(READ_AGAIN_MS);
        silent_ms += READ_AGAIN_MS;
        let actions = break_stream(&mut simulation, &stream);
        if !prefills(&actions).is_empty() {
            break;
        }
        assert_eq!(reads(&actions), [READ_AGAIN_MS]);
    }
    assert_eq!(silent_ms, 6_000);
}

#[test]
fn refusing_engine() {
    let (mut simulation, stream) = decoding();
    for _ in 0..3 {
        assert_eq!(reads(&break_stream(&mut simulation, &stream)).len(), 1);
    }
    assert_eq!(prefills(&break_stream(&mut simulation, &stream)).len(), 1);
}

#[test]
fn unreachable_engine() {
    let (mut simulation, stream) = decoding();
    simulation.advance(READ_AGAIN_MS);
    assert_eq!(reads(&break_stream(&mut simulation, &stream)).len(), 1);
    let mut passed_ms = READ_AGAIN_MS;
    while prefills(&break_stream(&mut simulation, &stream)).is_empty() {
        let again = reads(&simulation.advance(READ_AGAIN_MS));
        assert_eq!(again.len(), 1, "readings are spaced");
        passed_ms += READ_AGAIN_MS;
    }
    assert_eq!(passed_ms, 3_000);
}
