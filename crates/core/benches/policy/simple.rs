//! Simple routers to compare with: the engines are chosen on arrival, nothing is set aside, a full
//! decode engine is answered by trying another, and a prompt that waits past its target times out.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use turmericrail_core::action::{Action, PrefillCall, ReadCall, ServerEndpoint, TransferCall};
use turmericrail_core::error_kind::ErrorKind;
use turmericrail_core::event::{Event, ModelRequest};
use turmericrail_core::ids::{RequestId, ServerId, StreamId};
use turmericrail_core::report::{Holder, LoadReport};
use turmericrail_core::units::{KvPieces, Millis};
use turmericrail_core::weights::Weights;

use crate::workload::PIECE_TOKENS;

const POLL_MS: u64 = 500;
const DECODE_TRIES: usize = 4;
const SILENCE_MS: Millis = Millis(3_000);

/// Choice among engines, given the load of each (queued tokens, or streams held).
pub type Choose = Box<dyn FnMut(&[(ServerId, u64)]) -> usize>;

/// A simple router on one instance.
pub struct Simple {
    pub holder: Holder,
    pub prefill: Vec<ServerId>,
    pub decode: Vec<ServerId>,
    pub addresses: BTreeMap<ServerId, SocketAddr>,
    pub choose: Choose,
    pub first_token_ms: BTreeMap<String, u64>,
    reports: BTreeMap<ServerId, LoadReport>,
    calls: BTreeMap<RequestId, Call>,
    next_poll_ms: u64,
}

struct Call {
    asked: ModelRequest,
    stream: StreamId,
    prefill: ServerId,
    decode: ServerId,
    tries: usize,
}

impl Simple {
    pub fn new(
        holder: Holder,
        addresses: BTreeMap<ServerId, SocketAddr>,
        first_token_ms: BTreeMap<String, u64>,
        choose: Choose,
    ) -> Self {
        let starting = |start: &str| {
            addresses.keys().filter(|id| id.as_str().starts_with(start)).cloned().collect()
        };
        Self {
            holder,
            prefill: starting("p"),
            decode: starting("d"),
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
                self.next_poll_ms = now_ms + POLL_MS;
                self.addresses.keys().map(|server| Action::Poll(self.target(server))).collect()
            }
            Event::Report(server, report) => {
                self.reports.insert(server, report);
                Vec::new()
            }
            Event::ReportFailed(server) => {
                self.reports.remove(&server);
                Vec::new()
            }
            Event::ModelRequest(asked) => self.start(asked),
            Event::PrefillDone { request, .. } => self.transfer(request),
            Event::TransferFailed(request, _) => self.transfer_elsewhere(request),
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

    fn target(&self, server: &ServerId) -> ServerEndpoint {
        ServerEndpoint { server: server.clone(), address: self.addresses[server] }
    }

    fn pick(&mut self, is_prefill: bool, except: Option<&ServerId>) -> ServerId {
        let servers = if is_prefill { &self.prefill } else { &self.decode };
        let loads: Vec<_> = servers
            .iter()
            .filter(|server| Some(*server) != except)
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

    fn start(&mut self, asked: ModelRequest) -> Vec<Action> {
        let request = asked.request;
        let stream: StreamId = format!("{}_{request}", self.holder.instance).parse().unwrap();
        let prefill = self.pick(true, None);
        let decode = self.pick(false, None);
        let timeout_ms = self.first_token_ms[asked.caller_kind.as_str()];
        let call = PrefillCall {
            request,
            stream: stream.clone(),
            target: self.target(&prefill),
            weights: Weights::of_version(asked.model.clone(), "1".parse().unwrap()),
            holder: self.holder.clone(),
            priority: 0,
            timeout_ms: Millis(timeout_ms),
        };
        self.calls.insert(request, Call { asked, stream, prefill, decode, tries: 1 });
        vec![Action::Prefill(call)]
    }

    fn transfer(&mut self, request: RequestId) -> Vec<Action> {
        let Some(call) = self.calls.get(&request) else {
            return Vec::new();
        };
        let tokens = call.asked.prompt_tokens.0 + call.asked.max_tokens.0;
        vec![Action::Transfer(TransferCall {
            request,
            stream: call.stream.clone(),
            target: self.target(&call.decode),
            source: self.target(&call.prefill),
            holder: self.holder.clone(),
            kv_pieces: KvPieces(tokens.div_ceil(PIECE_TOKENS)),
            max_tokens: call.asked.max_tokens,
            timeout_ms: Millis(1_000),
        })]
    }

    fn transfer_elsewhere(&mut self, request: RequestId) -> Vec<Action> {
        let Some(call) = self.calls.get(&request) else {
            return Vec::new();
        };
        if call.tries >= DECODE_TRIES {
            return self.fail(request);
        }
        let failed = call.decode.clone();
        let decode = self.pick(false, Some(&failed));
        let call = self.calls.get_mut(&request).expect("looked up above");
        call.decode = decode;
        call.tries += 1;
        self.transfer(request)
    }

    fn read(&mut self, request: RequestId) -> Vec<Action> {
        let Some(call) = self.calls.get(&request) else {
            return Vec::new();
        };
        vec![Action::Read(ReadCall {
            request,
            stream: call.stream.clone(),
            target: self.target(&call.decode),
            holder: self.holder.clone(),
            takes_over: false,
            from_index: 0,
            silence_ms: SILENCE_MS,
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
                target: self.target(server),
                stream: call.stream.clone(),
                holder: self.holder.clone(),
            })
            .into()
    }
}

/// Engines in turn.
pub fn round_robin(seed: usize) -> Choose {
    let mut next = seed;
    Box::new(move |loads| {
        next += 1;
        next % loads.len()
    })
}

/// The least loaded by the last report.
pub fn least_loaded() -> Choose {
    Box::new(|loads| {
        let order = loads.iter().enumerate();
        order.min_by_key(|(_, (_, load))| *load).map_or(0, |(place, _)| place)
    })
}

/// The less loaded of two drawn at random.
pub fn power_of_two(seed: u64) -> Choose {
    let mut rng = fastrand::Rng::with_seed(seed);
    Box::new(move |loads| {
        let first = rng.usize(0..loads.len());
        let second = rng.usize(0..loads.len());
        if loads[first].1 <= loads[second].1 { first } else { second }
    })
}
