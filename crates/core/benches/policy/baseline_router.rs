//! Baseline routers for comparison.
//!
//! They choose both engines on arrival and reserve nothing. When a decode engine is full they try
//! another one, and a prompt that waits longer than its first-token target fails.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use turmericrail_core::action::{Action, PrefillCall, ReadCall, ServerEndpoint, TransferCall};
use turmericrail_core::error_kind::ErrorKind;
use turmericrail_core::event::{Event, ModelRequest};
use turmericrail_core::ids::{RequestId, ServerId, StreamId};
use turmericrail_core::report::{Holder, LoadReport};
use turmericrail_core::units::{KvPieces, Millis};
use turmericrail_core::weights::Weights;

use crate::workload::TOKENS_PER_PIECE;

const POLL_INTERVAL_MS: u64 = 500;
const MAX_DECODE_ATTEMPTS: usize = 4;
const SILENCE_TIMEOUT_MS: Millis = Millis(3_000);

/// Returns the position of the chosen engine, given the load of each: queued tokens of prefill
/// engines, held streams of decode engines.
pub type ChooseEngine = Box<dyn FnMut(&[(ServerId, u64)]) -> usize>;

/// A baseline router on one instance.
pub struct BaselineRouter {
    pub holder: Holder,
    pub prefill: Vec<ServerId>,
    pub decode: Vec<ServerId>,
    pub addresses: BTreeMap<ServerId, SocketAddr>,
    pub choose: ChooseEngine,
    pub first_token_ms: BTreeMap<String, u64>,
    reports: BTreeMap<ServerId, LoadReport>,
    calls: BTreeMap<RequestId, Call>,
    next_poll_ms: u64,
}

struct Call {
    model_request: ModelRequest,
    stream: StreamId,
    prefill: ServerId,
    decode: ServerId,
    decode_attempts: usize,
}

impl BaselineRouter {
    pub fn new(
        holder: Holder,
        addresses: BTreeMap<ServerId, SocketAddr>,
        first_token_ms: BTreeMap<String, u64>,
        choose: ChooseEngine,
    ) -> Self {
        let with_prefix = |prefix: &str| {
            addresses.keys().filter(|id| id.as_str().starts_with(prefix)).cloned().collect()
        };
        Self {
            holder,
            prefill: with_prefix("p"),
            decode: with_prefix("d"),
            addresses,
            choose,
            first_token_ms,
            reports: BTreeMap::new(),
            calls: BTreeMap::new(),
            next_poll_ms: 0,
        }
    }

    pub fn handle(&mut self, now_ms: u64, event: Event) -> Vec<Action> {
        match event {
            Event::Tick if now_ms >= self.next_poll_ms => {
                self.next_poll_ms = now_ms + POLL_INTERVAL_MS;
                self.addresses.keys().map(|server| Action::Poll(self.endpoint(server))).collect()
            }
            Event::Report(server, report) => {
                self.reports.insert(server, report);
                Vec::new()
            }
            Event::ReportFailed(server) => {
                self.reports.remove(&server);
                Vec::new()
            }
            Event::ModelRequest(model_request) => self.start(model_request),
            Event::PrefillDone { request, .. } => self.transfer(request),
            Event::TransferFailed(request, _) => self.retry_transfer(request),
            Event::TransferDone(request, _) => self.read(request),
            Event::StreamEnded(request, _) => {
                self.calls.remove(&request);
                Vec::new()
            }
            Event::PrefillFailed(request, _) | Event::StreamBroken { request, .. } => {
                self.fail(request)
            }
            Event::CallerGone(request) => self.cancel(request),
            _ => Vec::new(),
        }
    }

    fn endpoint(&self, server: &ServerId) -> ServerEndpoint {
        ServerEndpoint { server: server.clone(), address: self.addresses[server] }
    }

    fn choose_engine(&mut self, is_prefill: bool, excluded: Option<&ServerId>) -> ServerId {
        let servers = if is_prefill { &self.prefill } else { &self.decode };
        let loads: Vec<_> = servers
            .iter()
            .filter(|server| Some(*server) != excluded)
            .map(|server| {
                let load = self.reports.get(server).map_or(u64::MAX, |report| match is_prefill {
                    true => report.queued_tokens.0,
                    false => report.held.len() as u64,
                });
                (server.clone(), load)
            })
            .collect();
        let known: Vec<_> = loads.iter().filter(|(_, load)| *load != u64::MAX).cloned().collect();
        let loads = if known.is_empty() { loads } else { known };
        let chosen = (self.choose)(&loads);
        loads[chosen].0.clone()
    }

    fn start(&mut self, model_request: ModelRequest) -> Vec<Action> {
        let request = model_request.request;
        let stream: StreamId = format!("{}_{request}", self.holder.instance).parse().unwrap();
        let prefill = self.choose_engine(true, None);
        let decode = self.choose_engine(false, None);
        let timeout_ms = self.first_token_ms[model_request.caller_kind.as_str()];
        let call = PrefillCall {
            request,
            stream: stream.clone(),
            target: self.endpoint(&prefill),
            weights: Weights::of_version(model_request.model.clone(), "1".parse().unwrap()),
            holder: self.holder.clone(),
            priority: 0,
            timeout_ms: Millis(timeout_ms),
        };
        self.calls
            .insert(request, Call { model_request, stream, prefill, decode, decode_attempts: 1 });
        vec![Action::Prefill(call)]
    }

    fn transfer(&mut self, request: RequestId) -> Vec<Action> {
        let Some(call) = self.calls.get(&request) else {
            return Vec::new();
        };
        let tokens = call.model_request.prompt_tokens.0 + call.model_request.max_tokens.0;
        vec![Action::Transfer(TransferCall {
            request,
            stream: call.stream.clone(),
            target: self.endpoint(&call.decode),
            source: self.endpoint(&call.prefill),
            holder: self.holder.clone(),
            kv_pieces: KvPieces(tokens.div_ceil(TOKENS_PER_PIECE)),
            max_tokens: call.model_request.max_tokens,
            timeout_ms: Millis(1_000),
        })]
    }

    fn retry_transfer(&mut self, request: RequestId) -> Vec<Action> {
        let Some(call) = self.calls.get(&request) else {
            return Vec::new();
        };
        if call.decode_attempts >= MAX_DECODE_ATTEMPTS {
            return self.fail(request);
        }
        let failed = call.decode.clone();
        let decode = self.choose_engine(false, Some(&failed));
        let call = self.calls.get_mut(&request).expect("looked up above");
        call.decode = decode;
        call.decode_attempts += 1;
        self.transfer(request)
    }

    fn read(&mut self, request: RequestId) -> Vec<Action> {
        let Some(call) = self.calls.get(&request) else {
            return Vec::new();
        };
        vec![Action::Read(ReadCall {
            request,
            stream: call.stream.clone(),
            target: self.endpoint(&call.decode),
            holder: self.holder.clone(),
            takes_over: false,
            from_index: 0,
            silence_ms: SILENCE_TIMEOUT_MS,
            binding: None,
        })]
    }

    fn fail(&mut self, request: RequestId) -> Vec<Action> {
        let mut actions = self.cancel(request);
        let kind = ErrorKind::DeadlineUnreachable;
        actions.push(Action::AnswerError { request, kind, retry_after_ms: Some(Millis(2_000)) });
        actions
    }

    fn cancel(&mut self, request: RequestId) -> Vec<Action> {
        let Some(call) = self.calls.remove(&request) else {
            return Vec::new();
        };
        let servers = [&call.prefill, &call.decode];
        servers
            .map(|server| Action::Cancel {
                target: self.endpoint(server),
                stream: call.stream.clone(),
                holder: self.holder.clone(),
            })
            .into()
    }
}

pub fn round_robin(seed: usize) -> ChooseEngine {
    let mut next = seed;
    Box::new(move |loads| {
        next += 1;
        next % loads.len()
    })
}

/// Chooses the engine that reported the lowest load.
pub fn least_loaded() -> ChooseEngine {
    Box::new(|loads| {
        let order = loads.iter().enumerate();
        order.min_by_key(|(_, (_, load))| *load).map_or(0, |(position, _)| position)
    })
}

/// Chooses the less loaded of two random engines.
pub fn power_of_two(seed: u64) -> ChooseEngine {
    let mut rng = fastrand::Rng::with_seed(seed);
    Box::new(move |loads| {
        let first = rng.usize(0..loads.len());
        let second = rng.usize(0..loads.len());
        if loads[first].1 <= loads[second].1 { first } else { second }
    })
}
