//! Adapters of a version: their checks, and requests that name one.

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

fn with_adapter(servers: Value, weights_bytes: Value) -> Value {
    let mut document = document();
    let adapter = json!({"servers": servers, "weights_bytes": weights_bytes});
    document["models"]["m"]["versions"]["1"]["adapters"] = json!({"kaolack": adapter});
    document
}

fn asked(request: u64, adapter: &str) -> ModelRequest {
    ModelRequest { adapter: Some(adapter.parse().unwrap()), ..printer_request(request, 1_000) }
}

fn prefill_of(actions: &[Action]) -> Option<(ServerId, String)> {
    actions.iter().find_map(|action| match action {
        Action::Prefill(call) => Some((call.target.server.clone(), call.weights.to_string())),
        _ => None,
    })
}

fn log_of(actions: &[Action], event: &str) -> Vec<String> {
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
fn only_where_loaded() {
    let mut simulation = Simulation::start(with_adapter(json!(["d1", "d2", "p1"]), json!("1MB")));
    let mut actions = simulation.submit(asked(1, "kaolack"));
    actions.extend(simulation.advance(3_100));
    assert_eq!(prefill_of(&actions), None, "sent to an engine without the adapter");
    let is_given_up = |action: &Action| matches!(action, Action::AnswerError { kind, .. } if kind.answer().has_retry_after);
    assert!(actions.iter().any(is_given_up), "left without an answer");
    for server in ["p1", "d2"] {
        simulation.loaded_adapters.insert(server.parse().unwrap(), "kaolack".parse().unwrap());
    }
    simulation.advance(2_000);
    let mut actions = simulation.submit(asked(2, "kaolack"));
    actions.extend(simulation.advance(500));
    let expected = ("p1".parse().unwrap(), "m:1:kaolack".to_owned());
    assert_eq!(prefill_of(&actions), Some(expected));
    assert_eq!(log_of(&actions, "choose_decode").last().unwrap(), "d2");
}

#[test]
fn owner_refuses() {
    let mut simulation = Simulation::start(with_adapter(json!(["d1", "p1"]), json!("1MB")));
    let listed = ListedInstance {
        data_centre: "b".parse().unwrap(),
        peer_address: "127.0.0.1:8".parse().unwrap(),
        state: ListedState::Live,
    };
    simulation.handle_event(Event::InstanceList([("i2".parse().unwrap(), listed)].into()));
    let weights = with_weights("kaolack");
    for (server, latest_in_ms) in [("d1", 0), ("p1", 2_000)] {
        let seat =
            StreamOnServer { server: server.parse().unwrap(), stream: "i2_1_9_1".parse().unwrap() };
        let asked = SeatRequest {
            request: RequestId(9),
            seat,
            kv_pieces: KvPieces(60),
            latest_in_ms: Millis(latest_in_ms),
            cost: 1_000,
            weights: Some(weights.clone()),
        };
        assert!(reply_to(&mut simulation, &asked).is_lacking, "{server}");
        let of_version = SeatRequest { weights: Some(weights.base()), ..asked.clone() };
        let reply = reply_to(&mut simulation, &of_version);
        assert!(reply.is_granted && !reply.is_lacking, "{server}: {reply:?}");
    }
}

fn with_weights(adapter: &str) -> Weights {
    let adapter = Some(adapter.parse().unwrap());
    let (model, version) = ("m".parse().unwrap(), "1".parse().unwrap());
    Weights { model, version, adapter }
}

fn reply_to(simulation: &mut Simulation, asked: &SeatRequest) -> SeatReply {
    let from = Holder { instance: "i2".parse().unwrap(), incarnation: Incarnation(1) };
    let message = PeerMessage::SeatRequest(asked.clone());
    let envelope = Envelope { from, config_version: ConfigVersion(1), message };
    let actions = simulation.handle_event(Event::Peer(envelope));
    let reply = actions.iter().find_map(|action| match action {
        Action::Send { envelope, .. } => match &envelope.message {
            PeerMessage::SeatReply(reply) => Some(reply.clone()),
            _ => None,
        },
        _ => None,
    });
    reply.expect("the owner answers")
}

#[test]
fn unknown_adapter() {
    let mut simulation = Simulation::start(with_adapter(json!(["p1"]), json!("1MB")));
    let actions = simulation.handle_event(Event::ModelRequest(asked(1, "thies")));
    let is_unknown = |action: &Action| {
        matches!(action, Action::AnswerError { kind: ErrorKind::UnknownAdapter, .. })
    };
    assert!(actions.iter().any(is_unknown));
}

#[test]
fn mistakes() {
    let adapters = "models.m.versions.1.adapters.kaolack";
    let cases = [
        (json!(["p9"]), json!("1MB"), "unknown server"),
        (json!(["p1", "p1"]), json!("1MB"), "duplicate server"),
        (json!(["p1"]), json!(0), "must be more than zero"),
        (json!(["z1"]), json!("1MB"), "does not serve the version"),
    ];
    for (servers, weights_bytes, expected) in cases {
        let mut document = with_adapter(servers, weights_bytes);
        document["servers"]["z1"] = single_instance::server("a", "decode", 9);
        let problem = parse_value(&document).unwrap_err().to_string();
        assert!(problem.contains(expected) && problem.contains(adapters), "{problem}");
    }
    let mut document = with_adapter(json!(["p1"]), json!("2GB"));
    document["servers"]["p1"]["weights_memory_bytes"] = json!("1GB");
    let problem = parse_value(&document).unwrap_err().to_string();
    assert!(problem.contains("servers.p1.weights_memory_bytes"), "{problem}");
    assert!(problem.contains("m:1:kaolack needs 2000000000 bytes"), "{problem}");
    document["models"]["m"]["versions"]["1"]["weights_bytes"] = json!("1GB");
    let problem = parse_value(&document).unwrap_err().to_string();
    assert!(problem.contains("is larger than the 1000000000 bytes"), "{problem}");
}
