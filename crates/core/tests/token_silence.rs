//! A stream without new tokens is read again soon; its engine counts as lost much later.

mod single_instance;

use single_instance::{Simulation, document, prefills, printer_request};
use turmericrail_core::action::Action;
use turmericrail_core::event::Event;
use turmericrail_core::ids::{RequestId, StreamId};

/// Silence after which a stream is read again. It is the lower bound, since five tokens at the
/// latency target of 30 ms each take less.
const REREAD_SILENCE_MS: u64 = 300;

fn decoding_stream() -> (Simulation, StreamId) {
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

/// Silence limits, in milliseconds, of the read calls among the actions.
fn read_silences_ms(actions: &[Action]) -> Vec<u64> {
    let calls = actions.iter().filter_map(|action| match action {
        Action::Read(call) => Some(call.silence_ms.0),
        _ => None,
    });
    calls.collect()
}

#[test]
fn silent_engine() {
    let (mut simulation, stream) = decoding_stream();
    let mut silent_ms = 0;
    loop {
        simulation.advance(REREAD_SILENCE_MS);
        silent_ms += REREAD_SILENCE_MS;
        let actions = break_stream(&mut simulation, &stream);
        if !prefills(&actions).is_empty() {
            break;
        }
        assert_eq!(read_silences_ms(&actions), [REREAD_SILENCE_MS]);
    }
    assert_eq!(silent_ms, 6_000);
}

#[test]
fn refusing_engine() {
    let (mut simulation, stream) = decoding_stream();
    for _ in 0..3 {
        assert_eq!(read_silences_ms(&break_stream(&mut simulation, &stream)).len(), 1);
    }
    assert_eq!(prefills(&break_stream(&mut simulation, &stream)).len(), 1);
}

#[test]
fn unreachable_engine() {
    let (mut simulation, stream) = decoding_stream();
    simulation.advance(REREAD_SILENCE_MS);
    assert_eq!(read_silences_ms(&break_stream(&mut simulation, &stream)).len(), 1);
    let mut elapsed_ms = REREAD_SILENCE_MS;
    while prefills(&break_stream(&mut simulation, &stream)).is_empty() {
        let silences_ms = read_silences_ms(&simulation.advance(REREAD_SILENCE_MS));
        assert_eq!(silences_ms.len(), 1, "one read per silence limit");
        elapsed_ms += REREAD_SILENCE_MS;
    }
    assert_eq!(elapsed_ms, 3_000);
}
