//! Requests whose engines are owned by instances that have fallen silent.

mod fleet;

use std::cell::RefCell;
use std::rc::Rc;

use fleet::Fleet;
use serde_json::json;
use turmericrail_core::event::{Event, ModelRequest};
use turmericrail_core::ids::{RequestId, ServerId};
use turmericrail_core::message::PeerMessage;
use turmericrail_core::units::Tokens;

const FLEET: usize = 6;
/// Engines, every third of them for prefill.
const ENGINES: usize = 12;
const START_MS: u64 = 10_000;
const STEP_MS: u64 = 50;
/// Time of the 2 s until the first token that two silent owners may take, so that another engine
/// can still compute the prompt.
const MAX_SILENT_MS: u64 = 1_000;

fn model_request() -> ModelRequest {
    ModelRequest {
        request: RequestId(1),
        workspace: "w1".parse().unwrap(),
        caller_kind: "printer".parse().unwrap(),
        model: "m".parse().unwrap(),
        version: None,
        adapter: None,
        prompt_tokens: Tokens(500),
        max_tokens: Tokens(100),
        prefix_hashes: Vec::new(),
        fingerprint: 1,
    }
}

/// A fleet whose instances all know the configuration and the loads of all engines.
fn start_fleet() -> Fleet {
    let mut fleet = Fleet::new(1, &[FLEET], ENGINES);
    let servers: Vec<_> = (0..ENGINES).map(|number| format!("dc0-e{number}")).collect();
    let window = json!({
        "from": "00:00", "until": "24:00", "first_token_ms": 2_000, "per_token_ms": 30,
    });
    fleet.service.document["caller_kinds"] = json!({"printer": {
        "time_zone": "Africa/Dakar", "goodput_weight": 1.0, "wasted_prefill_weight": 1.0,
        "windows": {"day": window},
    }});
    fleet.service.document["models"] = json!({
        "m": {"default_version": "1", "versions": {"1": {"servers": servers}}},
    });
    fleet.service.document["links"] =
        json!({"dc0.dc0": {"rate_bytes_per_second": 4_000_000_000_u64}});
    fleet.start_all();
    fleet.run_for(START_MS);
    fleet
}

fn is_prefill(server: &ServerId) -> bool {
    (0..ENGINES).step_by(3).any(|number| server.to_string() == format!("dc0-e{number}"))
}

/// An instance that owns no prefill engine.
fn choose_caller(fleet: &Fleet) -> usize {
    let owns_prefill = |index: &usize| {
        let status = fleet.status(*index).unwrap();
        let engines = status.servers.iter().filter(|(server, _)| is_prefill(server));
        let mut owners = engines.filter_map(|(_, server_status)| server_status.owner.clone());
        owners.any(|owner| owner == fleet.members[*index].id)
    };
    (0..FLEET).find(|index| !owns_prefill(index)).unwrap()
}

#[test]
fn silent_owners() {
    // Guards against callers rejected at their deadline because the owners of two engines were
    // silent one after the other.
    let mut fleet = start_fleet();
    let caller = choose_caller(&fleet);
    let asked: Rc<RefCell<Vec<ServerId>>> = Rc::default();
    let seen = Rc::clone(&asked);
    fleet.on_send = Box::new(move |from, envelope| {
        let PeerMessage::SeatRequest(seat_request) = &envelope.message else {
            return;
        };
        let server = &seat_request.seat.server;
        if from == caller && !seen.borrow().contains(server) {
            seen.borrow_mut().push(server.clone());
        }
    });
    for index in (0..FLEET).filter(|index| *index != caller) {
        fleet.members[index].is_paused = true;
    }
    let asked_ms = fleet.now_ms;
    fleet.handle_event(caller, Event::ModelRequest(model_request()));
    while asked.borrow().len() < 3 {
        assert!(fleet.now_ms - asked_ms < MAX_SILENT_MS, "asked: {:?}", asked.borrow());
        fleet.run_for(STEP_MS);
    }
}
