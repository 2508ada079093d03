//! Simulation of a single instance whose engines return the load reports that the test sets.

#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};

use serde_json::{Value, json};
use turmericrail_core::action::Action;
use turmericrail_core::at_most_once::SealKey;
use turmericrail_core::error_kind::ErrorKind;
use turmericrail_core::event::{Event, ModelRequest, Now};
use turmericrail_core::ids::{
    AdapterId, ConfigVersion, Incarnation, RequestId, ServerId, StreamId,
};
use turmericrail_core::node::{Node, NodeSettings};
use turmericrail_core::report::{HeldStream, Holder, LoadReport};
use turmericrail_core::units::{KvPieces, Millis, Streams, Tokens, WallMillis};

const TICK_INTERVAL_MS: u64 = 50;
const WARM_UP_MS: u64 = 6_000;

/// An instance `i1` in data centre `a`.
pub struct Simulation {
    pub node: Node,
    pub now_ms: u64,
    /// Streams that engines report as held, with their KV pieces.
    pub reported_streams: BTreeMap<ServerId, Vec<(StreamId, u64)>>,
    pub unresponsive_servers: BTreeSet<ServerId>,
    /// Adapters of version `1` of model `m` that engines report as loaded.
    pub loaded_adapters: BTreeMap<ServerId, AdapterId>,
}

pub fn server(data_centre: &str, role: &str, port: u16) -> Value {
    json!({"data_centre": data_centre, "address": format!("127.0.0.1:{port}"), "role": role})
}

/// Settings of a caller kind with one time window for the whole day.
pub fn caller_kind(first_token_ms: u64, goodput_weight: f64, wasted_prefill_weight: f64) -> Value {
    let window = json!({
        "from": "00:00", "until": "24:00",
        "first_token_ms": first_token_ms, "per_token_ms": 30,
    });
    json!({
        "time_zone": "Africa/Dakar",
        "goodput_weight": goodput_weight,
        "wasted_prefill_weight": wasted_prefill_weight,
        "windows": {"day": window},
    })
}

/// A configuration with one prefill and two decode engines in the instance's own data centre, and one
/// of each in the other data centre.
pub fn document() -> Value {
    let servers = json!({
        "d1": server("a", "decode", 1), "d2": server("a", "decode", 2), "p1": server("a", "prefill", 3),
        "q1": server("b", "prefill", 4), "x1": server("b", "decode", 5),
    });
    json!({
        "version": 1,
        "caller_kinds": {
            "printer": caller_kind(3_000, 3.0, 1.0), "salesman": caller_kind(1_500, 3.0, 1.0),
            "careful": caller_kind(3_000, 1.0, 9.0),
        },
        "models": {"m": {
            "default_version": "1",
            "versions": {"1": {"servers": ["d1", "d2", "p1", "q1", "x1"]}},
        }},
        "servers": servers,
        "links": {
            "a.a": {"rate_bytes_per_second": 4_000_000_000_u64},
            "b.b": {"rate_bytes_per_second": 4_000_000_000_u64},
        },
    })
}

/// The configuration of [`document`], whose model is served by engines of data centre `a` only.
pub fn local_document() -> Value {
    let mut document = document();
    document["models"]["m"]["versions"]["1"]["servers"] = json!(["d1", "d2", "p1"]);
    document
}

/// A request of the caller kind `printer`.
pub fn printer_request(request: u64, prompt_tokens: u64) -> ModelRequest {
    ModelRequest {
        request: RequestId(request),
        workspace: "w1".parse().unwrap(),
        caller_kind: "printer".parse().unwrap(),
        model: "m".parse().unwrap(),
        version: None,
        adapter: None,
        prompt_tokens: Tokens(prompt_tokens),
        max_tokens: Tokens(100),
        prefix_hashes: Vec::new(),
        fingerprint: 1,
    }
}

impl Simulation {
    /// Starts an instance, which then has its configuration and a load report of every engine.
    pub fn start(document: Value) -> Self {
        let settings = NodeSettings {
            instance: "i1".parse().unwrap(),
            incarnation: Incarnation(1),
            data_centre: "a".parse().unwrap(),
            peer_address: "127.0.0.1:9".parse().unwrap(),
            seal_key: SealKey::new("a key for tests, long enough to be used"),
        };
        let node = Node::new(settings);
        let (reported_streams, unresponsive_servers, loaded_adapters) =
            (BTreeMap::new(), BTreeSet::new(), BTreeMap::new());
        let mut simulation =
            Self { node, now_ms: 0, reported_streams, unresponsive_servers, loaded_adapters };
        simulation.handle_event(Event::InstanceList(BTreeMap::new()));
        simulation.handle_event(Event::ConfigDocument(ConfigVersion(1), document));
        simulation.advance(WARM_UP_MS);
        simulation
    }

    /// Passes an event to the node.
    pub fn handle_event(&mut self, event: Event) -> Vec<Action> {
        let wall_ms = WallMillis(1_767_268_800_000 + self.now_ms);
        self.node.handle(Now { monotonic_ms: Millis(self.now_ms), wall_ms }, event)
    }

    /// Passes a model request to the node.
    pub fn submit(&mut self, model_request: ModelRequest) -> Vec<Action> {
        self.handle_event(Event::ModelRequest(model_request))
    }

    /// Advances the time and returns all actions; engines answer polls at once.
    pub fn advance(&mut self, duration_ms: u64) -> Vec<Action> {
        let end_ms = self.now_ms + duration_ms;
        let mut all_actions = Vec::new();
        while self.now_ms < end_ms {
            self.now_ms = (self.now_ms + TICK_INTERVAL_MS).min(end_ms);
            let actions = self.handle_event(Event::Tick);
            for action in &actions {
                if let Action::Poll(target) = action {
                    all_actions.extend(self.report(&target.server));
                }
            }
            all_actions.extend(actions);
        }
        all_actions
    }

    fn report(&mut self, server: &ServerId) -> Vec<Action> {
        if self.unresponsive_servers.contains(server) {
            return self.handle_event(Event::ReportFailed(server.clone()));
        }
        let holder = Holder { instance: "i1".parse().unwrap(), incarnation: Incarnation(1) };
        let streams = self.reported_streams.get(server).into_iter().flatten();
        let held = streams.map(|(stream, pieces)| {
            let kv_pieces = KvPieces(*pieces);
            (stream.clone(), HeldStream { holder: holder.clone(), kv_pieces })
        });
        let (model, version) = ("m".parse().unwrap(), "1".parse().unwrap());
        let adapter = self.loaded_adapters.get(server).cloned();
        let loaded_adapters = adapter.map(|adapter| (model, version, adapter));
        let report = LoadReport {
            loaded_adapters: loaded_adapters.into_iter().collect(),
            held: held.collect(),
            stream_limit_streams: Streams(20),
            kv_total_pieces: KvPieces(2_000),
            kv_free_pieces: KvPieces(2_000),
            ..LoadReport::default()
        };
        self.handle_event(Event::Report(server.clone(), report))
    }

    /// Reports the end of a prefill to the node.
    pub fn finish_prefill(&mut self, call: (RequestId, StreamId)) -> Vec<Action> {
        let (request, stream) = call;
        self.handle_event(Event::PrefillDone { request, stream, cached_tokens: Tokens::ZERO })
    }
}

/// Prefills among the actions: request, stream and engine.
pub fn prefills(actions: &[Action]) -> Vec<(u64, StreamId, String)> {
    let calls = actions.iter().filter_map(|action| match action {
        Action::Prefill(call) => Some(call),
        _ => None,
    });
    calls
        .map(|call| (call.request.0, call.stream.clone(), call.target.server.to_string()))
        .collect()
}

/// Decode engines of the KV transfers among the actions.
pub fn transfers(actions: &[Action]) -> Vec<String> {
    let calls = actions.iter().filter_map(|action| match action {
        Action::Transfer(call) => Some(call.target.server.to_string()),
        _ => None,
    });
    calls.collect()
}

/// Error answers among the actions: request, kind, and time to wait before a retry in milliseconds
/// (0 if none is given).
pub fn errors(actions: &[Action]) -> Vec<(u64, ErrorKind, u64)> {
    let answers = actions.iter().filter_map(|action| match action {
        Action::AnswerError { request, kind, retry_after_ms } => {
            Some((request.0, *kind, retry_after_ms.map_or(0, |wait| wait.0)))
        }
        _ => None,
    });
    answers.collect()
}
