//! Adapters of a model version: validation of their configuration, and requests that name one.
//!
//! A server may be configured for an adapter that it has not loaded yet, so such requests go only to
//! engines that report the adapter as loaded.

mod single_instance;

use serde_json::{Value, json};
use single_instance::{Simulation, document, printer_request};
use turmericrail_core::action::Action;
use turmericrail_core::config::parse_value;
use turmericrail_core::error_kind::ErrorKind;
use turmericrail_core::event::{Event, ModelRequest};
use turmericrail_core::ids::{ConfigVersion, Incarnation, RequestId, ServerId};
use turmericrail_core::membership::{ListedInstance, ListedState};
use turmericrail_core::message::{Envelope, PeerMessage, SeatReply, SeatRequest, StreamOnServer};
use turmericrail_core::report::Holder;
use turmericrail_core::units::{KvPieces, Millis};
use turmericrail_core::weights::Weights;

fn document_with_adapter(servers: Value, weights_bytes: Value) -> Value {
    let mut document = document();
    let adapter = json!({"servers": servers, "weights_bytes": weights_bytes});
    document["models"]["m"]["versions"]["1"]["adapters"] = json!({"kaolack": adapter});
    document
}

fn adapter_request(request: u64, adapter: &str) -> ModelRequest {
    ModelRequest { adapter: Some(adapter.parse().unwrap()), ..printer_request(request, 1_000) }
}

fn started_prefill(actions: &[Action]) -> Option<(ServerId, String)> {
    actions.iter().find_map(|action| match action {
        Action::Prefill(call) => Some((call.target.server.clone(), call.weights.to_string())),
        _ => None,
    })
}

fn logged_servers(actions: &[Action], event: &str) -> Vec<String> {
    let mut servers = Vec::new();
    for action in actions {
        let Action::Log(decision) = action else {
            continue;
        };
        if decision.event != event {
            continue;
        }
        let server = decision.fields.iter().find(|(name, _)| *name == "server");
        servers.extend(server.map(|(_, server)| server.clone()));
    }
    servers
}

#[test]
fn request_needs_loaded_adapter() {
    let mut simulation =
        Simulation::start(document_with_adapter(json!(["d1", "d2", "p1"]), json!("1MB")));
    let mut actions = simulation.submit(adapter_request(1, "kaolack"));
    actions.extend(simulation.advance(3_100));
    assert_eq!(
        started_prefill(&actions),
        None,
        "sent to an engine that has not loaded the adapter"
    );
    let is_refused_for_now = |action: &Action| matches!(action, Action::AnswerError { kind, .. } if kind.answer().has_retry_after);
    assert!(actions.iter().any(is_refused_for_now), "the request got no answer");
    for server in ["p1", "d2"] {
        simulation.loaded_adapters.insert(server.parse().unwrap(), "kaolack".parse().unwrap());
    }
    simulation.advance(2_000);
    let mut actions = simulation.submit(adapter_request(2, "kaolack"));
    actions.extend(simulation.advance(500));
    let expected = ("p1".parse().unwrap(), "m:1:kaolack".to_owned());
    assert_eq!(started_prefill(&actions), Some(expected));
    assert_eq!(logged_servers(&actions, "choose_decode").last().unwrap(), "d2");
}

#[test]
fn owner_refuses_seat_without_adapter() {
    let mut simulation =
        Simulation::start(document_with_adapter(json!(["d1", "p1"]), json!("1MB")));
    let listed = ListedInstance {
        data_centre: "b".parse().unwrap(),
        peer_address: "127.0.0.1:8".parse().unwrap(),
        state: ListedState::Live,
    };
    simulation.handle_event(Event::InstanceList([("i2".parse().unwrap(), listed)].into()));
    let weights = adapter_weights("kaolack");
    for (server, latest_in_ms) in [("d1", 0), ("p1", 2_000)] {
        let seat =
            StreamOnServer { server: server.parse().unwrap(), stream: "i2_1_9_1".parse().unwrap() };
        let adapter_seat_request = SeatRequest {
            request: RequestId(9),
            seat,
            kv_pieces: KvPieces(60),
            latest_in_ms: Millis(latest_in_ms),
            cost: 1_000,
            weights: Some(weights.clone()),
        };
        assert!(seat_reply(&mut simulation, &adapter_seat_request).is_lacking, "{server}");
        let version_seat_request =
            SeatRequest { weights: Some(weights.base()), ..adapter_seat_request.clone() };
        let reply = seat_reply(&mut simulation, &version_seat_request);
        assert!(reply.is_granted && !reply.is_lacking, "{server}: {reply:?}");
    }
}

fn adapter_weights(adapter: &str) -> Weights {
    let adapter = Some(adapter.parse().unwrap());
    let (model, version) = ("m".parse().unwrap(), "1".parse().unwrap());
    Weights { model, version, adapter }
}

fn seat_reply(simulation: &mut Simulation, request: &SeatRequest) -> SeatReply {
    let from = Holder { instance: "i2".parse().unwrap(), incarnation: Incarnation(1) };
    let message = PeerMessage::SeatRequest(request.clone());
    let envelope = Envelope { from, config_version: ConfigVersion(1), message };
    let actions = simulation.handle_event(Event::Peer(envelope));
    let reply = actions.iter().find_map(|action| match action {
        Action::Send { envelope, .. } => match &envelope.message {
            PeerMessage::SeatReply(reply) => Some(reply.clone()),
            _ => None,
        },
        _ => None,
    });
    reply.expect("the owner sends a reply")
}

#[test]
fn unknown_adapter_is_refused() {
    let mut simulation = Simulation::start(document_with_adapter(json!(["p1"]), json!("1MB")));
    let actions = simulation.handle_event(Event::ModelRequest(adapter_request(1, "thies")));
    let is_unknown_adapter = |action: &Action| {
        matches!(action, Action::AnswerError { kind: ErrorKind::UnknownAdapter, .. })
    };
    assert!(actions.iter().any(is_unknown_adapter));
}

#[test]
fn invalid_adapters_are_refused() {
    let key_path = "models.m.versions.1.adapters.kaolack";
    let cases = [
        (json!(["p9"]), json!("1MB"), "unknown server"),
        (json!(["p1", "p1"]), json!("1MB"), "duplicate server"),
        (json!(["p1"]), json!(0), "must be more than zero"),
        (json!(["z1"]), json!("1MB"), "does not serve the version"),
    ];
    for (servers, weights_bytes, expected) in cases {
        let mut document = document_with_adapter(servers, weights_bytes);
        document["servers"]["z1"] = single_instance::server("a", "decode", 9);
        let error = parse_value(&document).unwrap_err().to_string();
        assert!(error.contains(expected) && error.contains(key_path), "{error}");
    }
    let mut document = document_with_adapter(json!(["p1"]), json!("2GB"));
    document["servers"]["p1"]["weights_memory_bytes"] = json!("1GB");
    let error = parse_value(&document).unwrap_err().to_string();
    assert!(error.contains("servers.p1.weights_memory_bytes"), "{error}");
    assert!(error.contains("m:1:kaolack needs 2000000000 bytes"), "{error}");
    document["models"]["m"]["versions"]["1"]["weights_bytes"] = json!("1GB");
    let error = parse_value(&document).unwrap_err().to_string();
    assert!(error.contains("is larger than the 1000000000 bytes"), "{error}");
}
