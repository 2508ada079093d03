//! Resumption of an answer with a cursor and, if the caller sends it again, the request: the stream
//! is taken over from the engine, the answer is computed again, or the call is refused.

mod single_instance;

use serde_json::json;
use single_instance::{Simulation, document, errors, prefills, printer_request, transfers};
use turmericrail_core::action::{Action, ReadCall};
use turmericrail_core::at_most_once::SealKey;
use turmericrail_core::error_kind::ErrorKind;
use turmericrail_core::event::{Event, ModelRequest};
use turmericrail_core::ids::{ConfigVersion, RequestId};
use turmericrail_core::request::{Cursor, RequestBinding};

const NEXT_INDEX: u64 = 40;

fn cursor(binding: Option<RequestBinding>) -> String {
    let (server, stream) = ("d1".parse().unwrap(), "i0_1_1_1".parse().unwrap());
    let cursor = Cursor { server, stream, next_index: NEXT_INDEX, binding };
    cursor.seal(&SealKey::new("a key for tests, long enough to be used"))
}

fn request_binding() -> Option<RequestBinding> {
    Some(RequestBinding { version: "1".parse().unwrap(), fingerprint: 1 })
}

fn resume(
    simulation: &mut Simulation,
    cursor: String,
    resent: Option<ModelRequest>,
) -> Vec<Action> {
    simulation.handle_event(Event::ResumeRequest {
        request: RequestId(1),
        cursor,
        model_request: resent,
    })
}

fn break_stream(simulation: &mut Simulation, next_index: u64, is_held: bool) -> Vec<Action> {
    let (request, stream) = (RequestId(1), "i0_1_1_1".parse().unwrap());
    simulation.handle_event(Event::StreamBroken { request, stream, next_index, is_held })
}

fn read_calls(actions: &[Action]) -> Vec<&ReadCall> {
    let calls = actions.iter().filter_map(|action| match action {
        Action::Read(call) => Some(call),
        _ => None,
    });
    calls.collect()
}

#[test]
fn held_stream_is_taken_over() {
    let mut simulation = Simulation::start(document());
    let actions = resume(&mut simulation, cursor(request_binding()), Some(printer_request(1, 500)));
    let calls = read_calls(&actions);
    assert_eq!((calls.len(), calls[0].from_index), (1, NEXT_INDEX));
    assert!(calls[0].takes_over);
    assert_eq!(calls[0].binding, request_binding(), "later cursors are bound to the same request");
    assert_eq!(prefills(&actions), [], "the engine holds the stream");
}

#[test]
fn lost_stream_is_recomputed() {
    let mut simulation = Simulation::start(document());
    resume(&mut simulation, cursor(request_binding()), Some(printer_request(1, 500)));
    let started = prefills(&break_stream(&mut simulation, NEXT_INDEX, false));
    assert_eq!(started.len(), 1);
    let stream = started[0].1.clone();
    assert_eq!(transfers(&simulation.finish_prefill((RequestId(1), stream.clone()))).len(), 1);
    let actions = simulation.handle_event(Event::TransferDone(RequestId(1), stream));
    let calls = read_calls(&actions);
    assert_eq!((calls.len(), calls[0].from_index), (1, NEXT_INDEX));
    assert!(!calls[0].takes_over);
}

#[test]
fn lost_stream_without_request_is_refused() {
    let mut simulation = Simulation::start(document());
    resume(&mut simulation, cursor(request_binding()), None);
    let refused = errors(&break_stream(&mut simulation, NEXT_INDEX, false));
    assert_eq!(refused, [(1, ErrorKind::CursorExpired, 0)]);
}

#[test]
fn cursor_of_other_request_is_refused() {
    let mut simulation = Simulation::start(document());
    let other = ModelRequest { fingerprint: 2, ..printer_request(1, 500) };
    let actions = resume(&mut simulation, cursor(request_binding()), Some(other));
    assert_eq!(errors(&actions), [(1, ErrorKind::BadCursor, 0)]);
    assert!(read_calls(&actions).is_empty());
}

#[test]
fn unbound_cursor_is_not_recomputed() {
    let mut simulation = Simulation::start(document());
    let actions = resume(&mut simulation, cursor(None), Some(printer_request(1, 500)));
    assert_eq!(read_calls(&actions).len(), 1);
    let refused = errors(&break_stream(&mut simulation, NEXT_INDEX, false));
    assert_eq!(refused, [(1, ErrorKind::CursorExpired, 0)]);
}

#[test]
fn removed_server_causes_recomputation() {
    let mut simulation = Simulation::start(document());
    let mut newer = document();
    newer["version"] = json!(2);
    newer["models"]["m"]["versions"]["1"]["servers"] = json!(["d2", "p1"]);
    newer["servers"].as_object_mut().unwrap().remove("d1");
    simulation.handle_event(Event::ConfigDocument(ConfigVersion(2), newer));
    let actions = resume(&mut simulation, cursor(request_binding()), Some(printer_request(1, 500)));
    assert_eq!(prefills(&actions).len(), 1);
}

#[test]
fn recomputation_keeps_model_version() {
    let mut simulation = Simulation::start(document());
    let mut newer = document();
    newer["version"] = json!(2);
    let served = newer["models"]["m"]["versions"]["1"].clone();
    newer["models"]["m"] = json!({"default_version": "2", "versions": {"1": served, "2": served}});
    simulation.handle_event(Event::ConfigDocument(ConfigVersion(2), newer.clone()));
    resume(&mut simulation, cursor(request_binding()), Some(printer_request(1, 500)));
    let actions = break_stream(&mut simulation, NEXT_INDEX, false);
    let versions = actions.iter().filter_map(|action| match action {
        Action::Prefill(call) => Some(call.weights.version.as_str()),
        _ => None,
    });
    assert_eq!(versions.collect::<Vec<_>>(), ["1"]);
}

#[test]
fn removed_model_version_is_refused() {
    let mut simulation = Simulation::start(document());
    let mut newer = document();
    newer["version"] = json!(2);
    let served = newer["models"]["m"]["versions"]["1"].clone();
    newer["models"]["m"] = json!({"default_version": "2", "versions": {"2": served}});
    simulation.handle_event(Event::ConfigDocument(ConfigVersion(2), newer));
    resume(&mut simulation, cursor(request_binding()), Some(printer_request(1, 500)));
    let refused = errors(&break_stream(&mut simulation, NEXT_INDEX, false));
    assert_eq!(refused, [(1, ErrorKind::VersionRemoved, 0)]);
}

#[test]
fn recomputations_stay_within_retry_budget() {
    let mut simulation = Simulation::start(document());
    let mut kinds = Vec::new();
    for _ in 0..12 {
        resume(&mut simulation, cursor(request_binding()), Some(printer_request(1, 500)));
        let actions = break_stream(&mut simulation, NEXT_INDEX, false);
        kinds.extend(errors(&actions).iter().map(|error| error.1));
        simulation.handle_event(Event::CallerGone(RequestId(1)));
    }
    assert_eq!(kinds, [ErrorKind::Overloaded; 2], "the budget starts with ten recomputations");
}

#[test]
fn shutdown_after_tokens_breaks_stream() {
    let mut simulation = Simulation::start(document());
    resume(&mut simulation, cursor(request_binding()), Some(printer_request(1, 500)));
    simulation.handle_event(Event::Shutdown);
    let refused = errors(&break_stream(&mut simulation, NEXT_INDEX + 5, false));
    assert_eq!(
        refused,
        [(1, ErrorKind::StreamBroken, 0)],
        "the caller got tokens, so the request has run"
    );
}
