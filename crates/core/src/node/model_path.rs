//! The way of a model request from the start of its prefill on: prefill, transfer, decode.

use crate::action::{Action, PrefillCall, TransferCall};
use crate::config::document::ServerRole;
use crate::error_kind::ErrorKind;
use crate::ids::{RequestId, ServerId, StreamId};
use crate::message::PeerMessage;
use crate::node::Node;
use crate::node::choice::RESULT_LIFE_MS;
use crate::request::{Flow, Stage};
use crate::units::{Millis, Tokens};

/// Least and greatest time after which a prefill counts as failed.
const PREFILL_TIMEOUT_MS: std::ops::RangeInclusive<u64> = 1_000..=30_000;
/// Least and greatest time after which a KV transfer counts as failed.
const TRANSFER_TIMEOUT_MS: std::ops::RangeInclusive<u64> = 300..=5_000;
/// Ratio of a timeout to the predicted time.
const TIMEOUT_RATIO: u64 = 4;
/// Most tries of one request.
const MAX_ATTEMPTS: u64 = 3;

impl Node {
    /// Starts the prefill of a request whose slot and seat are lined up.
    pub(super) fn start_prefill(&mut self, request: RequestId) {
        if !self.admission.mechanisms.has_slots {
            self.choose_prefill_now(request);
        }
        let Some(flow) = self.flows.get(&request) else {
            return;
        };
        let Some(server) = flow.prefill.clone() else {
            self.retry(request, "no_prefill_engine");
            return;
        };
        let workspace = flow.asked.as_ref().map(|asked| asked.workspace.clone());
        let work_ms = self.admission.estimates.prefill_ms(&server, flow.work_tokens);
        if let Some(workspace) = workspace {
            self.admission.usage.add(self.now.mono_ms, &workspace, work_ms);
        }
        self.set_stage(request, Stage::Prefilling);
        match self.prefill_call(request, work_ms) {
            Some(call) => self.actions.push(Action::Prefill(call)),
            None => self.retry(request, "server_removed"),
        }
    }

    fn choose_prefill_now(&mut self, request: RequestId) {
        let Some(chosen) = self.flows.get(&request).and_then(|flow| self.choose_prefill(flow))
        else {
            return;
        };
        let fields = vec![
            ("server", chosen.server.to_string()),
            ("config_version", self.config.version().to_string()),
            ("reason", "shortest_queue".to_owned()),
        ];
        self.log("choose_prefill", Some(request), fields);
        if let Some(flow) = self.flows.get_mut(&request) {
            flow.prefill = Some(chosen.server);
        }
    }

    pub(super) fn take_prefill_done(
        &mut self,
        request: RequestId,
        stream: &StreamId,
        cached_tokens: Tokens,
    ) {
        if !self.is_at(request, stream, Stage::Prefilling) {
            return;
        }
        let fields = vec![("cached_tokens", cached_tokens.0.to_string())];
        self.log("prefill_done", Some(request), fields);
        self.learn_prefill(request, cached_tokens);
        self.release_slot(request);
        let result_until_ms = self.now.mono_ms + RESULT_LIFE_MS;
        if let Some(flow) = self.flows.get_mut(&request) {
            flow.result_until_ms = result_until_ms;
        }
        self.start_transfer(request);
        self.advance_waiting();
    }

    /// Starts the transfer to the decode engine whose seat was granted.
    pub(super) fn start_transfer(&mut self, request: RequestId) {
        let Some(call) = self.transfer_call(request) else {
            self.retry(request, "server_removed");
            return;
        };
        self.set_stage(request, Stage::Transferring);
        self.book_transfer(request);
        if let Some(flow) = self.flows.get_mut(&request) {
            flow.transfer_until_ms = self.now.mono_ms + call.timeout_ms;
        }
        self.actions.push(Action::Transfer(call));
    }

    pub(super) fn take_prefill_failed(&mut self, request: RequestId, stream: &StreamId) {
        if !self.is_at(request, stream, Stage::Prefilling) {
            return;
        }
        let Some(flow) = self.flows.get(&request) else {
            return;
        };
        if let (Some(asked), Some(server)) = (&flow.asked, &flow.prefill) {
            self.admission.beliefs.remove(server, &asked.prefix_hashes);
        }
        self.suspect(request, |flow| flow.prefill.clone());
        self.exclude(request, |flow| flow.prefill.clone());
        self.retry(request, "prefill_failed");
    }

    pub(super) fn take_transfer_done(&mut self, request: RequestId, stream: &StreamId) {
        if !self.is_at(request, stream, Stage::Transferring) {
            return;
        }
        self.learn_transfer(request);
        self.admission.transfers.end(stream);
        self.set_stage(request, Stage::Decoding);
        self.read_tokens(request);
    }

    /// Takes the same KV cache to another decode engine while it lasts; a second prefill is the
    /// last resort. An engine that stalled may have taken the cache with it: where the next one
    /// fails at once, it is not to blame.
    pub(super) fn take_transfer_failed(&mut self, request: RequestId, stream: &StreamId) {
        if !self.is_at(request, stream, Stage::Transferring) {
            return;
        }
        self.learn_unfinished_transfer(request);
        self.admission.transfers.end(stream);
        let now_ms = self.now.mono_ms;
        let Some(flow) = self.flows.get_mut(&request) else {
            return;
        };
        let is_stalled = now_ms >= flow.transfer_until_ms;
        let is_given_away = flow.has_stalled_transfer && !is_stalled;
        flow.has_stalled_transfer |= is_stalled;
        if is_stalled {
            self.suspect(request, |flow| flow.decode.clone());
        }
        if !is_given_away {
            self.exclude(request, |flow| flow.decode.clone());
            if self.blame_source(request) {
                self.retry(request, "source_failed");
                return;
            }
        }
        let Some(flow) = self.flows.get(&request) else {
            return;
        };
        let lasts = !is_given_away && now_ms + self.tail_ms(flow) < flow.result_until_ms;
        if !self.admission.mechanisms.has_reseat || !lasts {
            self.retry(request, "transfer_failed");
            return;
        }
        if let Some(server) = flow.decode.clone() {
            let stream = flow.stream.clone();
            self.cancel(&server, &stream);
            self.release_seat(request, server, stream);
        }
        self.set_stage(request, Stage::Reseating { since_ms: now_ms });
        if let Some(flow) = self.flows.get_mut(&request) {
            flow.decode = None;
        }
        self.ask_seat(request);
    }

    /// Takes note of a result that could not be transferred. Where two decode engines failed to
    /// fetch from one prefill engine and there is another one, that engine is to blame, not they.
    fn blame_source(&mut self, request: RequestId) -> bool {
        let Some(flow) = self.flows.get(&request) else {
            return false;
        };
        let source = flow.prefill.clone();
        let is_second = source.is_some() && flow.failed_source == source;
        let has_other = self.usable_engines(flow, ServerRole::Prefill).len() > 1;
        let is_blamed = is_second && has_other;
        let wall_ms = self.now.wall_ms;
        let servers = self.config.in_force().map(|configuration| &configuration.servers);
        let is_prefill = |server: &ServerId| {
            let known = servers.and_then(|servers| servers.get(server));
            known.is_some_and(|known| known.role_at(wall_ms) == ServerRole::Prefill)
        };
        if let Some(flow) = self.flows.get_mut(&request) {
            flow.failed_source = source;
            if is_blamed {
                flow.excluded.retain(is_prefill);
            }
        }
        if is_blamed {
            self.suspect(request, |flow| flow.prefill.clone());
            self.exclude(request, |flow| flow.prefill.clone());
        }
        is_blamed
    }

    /// Frees what the present try holds and starts the next one, or gives up.
    pub(super) fn retry(&mut self, request: RequestId, reason: &'static str) {
        self.free_engines(request);
        let Some(flow) = self.flows.get(&request) else {
            return;
        };
        let attempt = flow.attempt + 1;
        let is_untouched = flow.is_resumed() && !flow.has_passed_tokens();
        let fields = vec![("reason", reason.to_owned()), ("attempt", attempt.to_string())];
        self.log("retry", Some(request), fields);
        if attempt > MAX_ATTEMPTS || !self.admission.retries.spend() {
            let kind = if is_untouched { ErrorKind::Overloaded } else { ErrorKind::StreamBroken };
            self.finish_with_error(request, kind);
            return;
        }
        let stream = self.stream_id(request, attempt);
        let now_ms = self.now.mono_ms;
        self.set_stage(request, Stage::Waiting);
        if let Some(flow) = self.flows.get_mut(&request) {
            flow.attempt = attempt;
            flow.stream = stream;
            flow.decode = None;
            flow.prefill = None;
            flow.reads = 0;
            flow.next_read_ms = None;
            flow.was_silent = false;
            flow.broken_reads = 0;
            flow.is_taken_over = false;
            flow.refused.clear();
            flow.has_stalled_transfer = false;
            if flow.has_passed_tokens() || flow.is_resumed() {
                flow.due_from_ms = now_ms;
            }
        }
        self.advance_waiting();
    }

    pub(super) fn take_caller_gone(&mut self, request: RequestId) {
        let Some(flow) = self.flows.get(&request) else {
            return;
        };
        let stage = format!("{:?}", flow.stage);
        self.log("caller_gone", Some(request), vec![("stage", stage)]);
        self.free_engines(request);
        self.flows.remove(&request);
    }

    fn prefill_call(&self, request: RequestId, work_ms: Millis) -> Option<PrefillCall> {
        let flow = self.flows.get(&request)?;
        let left_ms = flow.due_ms() - self.now.mono_ms;
        let timeout_ms = if self.admission.mechanisms.has_slots {
            bounded((flow.wait_ms + work_ms).0 * TIMEOUT_RATIO, PREFILL_TIMEOUT_MS)
        } else {
            Millis(*PREFILL_TIMEOUT_MS.end())
        };
        let target = self.target(flow.prefill.as_ref()?)?;
        Some(PrefillCall {
            request,
            stream: flow.stream.clone(),
            target,
            weights: flow.weights.clone()?,
            holder: self.members.own_holder(),
            priority: self.now.wall_ms.0 + left_ms.0,
            timeout_ms,
        })
    }

    fn transfer_call(&self, request: RequestId) -> Option<TransferCall> {
        let flow = self.flows.get(&request)?;
        if !self.invariants.takes_work(self.now.mono_ms, flow.decode.as_ref()?) {
            return None;
        }
        let predicted_ms = self.transfer_ms(flow, flow.prefill.as_ref()?, flow.decode.as_ref()?).0;
        Some(TransferCall {
            request,
            stream: flow.stream.clone(),
            target: self.target(flow.decode.as_ref()?)?,
            source: self.target(flow.prefill.as_ref()?)?,
            holder: self.members.own_holder(),
            kv_pieces: flow.kv_pieces,
            max_tokens: flow.asked.as_ref()?.max_tokens,
            timeout_ms: bounded(predicted_ms * TIMEOUT_RATIO, TRANSFER_TIMEOUT_MS),
        })
    }

    /// Frees all memory of a stream at an engine.
    pub(super) fn cancel(&mut self, server: &ServerId, stream: &StreamId) {
        let (stream, holder) = (stream.clone(), self.members.own_holder());
        let target = self.target(server);
        self.actions.extend(target.map(|target| Action::Cancel { target, stream, holder }));
    }

    /// Passes a message to the owner of a server, which may be this node.
    pub(super) fn tell_owner(&mut self, server: &ServerId, message: PeerMessage) {
        let Some(owner) = self.owner_of(server) else {
            return;
        };
        let own = self.members.own_holder();
        if owner != own.instance {
            self.send(&owner, message);
            return;
        }
        match message {
            PeerMessage::SeatRequest(asked) => self.take_seat_request(&own, asked),
            PeerMessage::Release(seat) => self.take_release(&own, &seat),
            PeerMessage::Claim(seat) => self.take_claim(&own, &seat),
            _ => {}
        }
    }

    pub(super) fn stream_id(&self, request: RequestId, attempt: u64) -> StreamId {
        let own = self.members.own_holder();
        let text = format!("{}_{}_{request}_{attempt}", own.instance, own.incarnation);
        text.parse().expect("an instance id leaves room for the numbers of a stream id")
    }

    pub(super) fn is_current(&self, request: RequestId, stream: &StreamId) -> bool {
        self.flows.get(&request).is_some_and(|flow| flow.stream == *stream)
    }

    fn is_at(&self, request: RequestId, stream: &StreamId, stage: Stage) -> bool {
        let is_there = |flow: &Flow| flow.stream == *stream && flow.stage == stage;
        self.flows.get(&request).is_some_and(is_there)
    }

    pub(super) fn set_stage(&mut self, request: RequestId, stage: Stage) {
        let Some(flow) = self.flows.get_mut(&request) else {
            return;
        };
        flow.stage = stage;
        flow.stage_ms = self.now.mono_ms;
        let is_served = matches!(stage, Stage::Prefilling | Stage::Transferring | Stage::Decoding);
        if is_served {
            self.admission.waiting.remove(&request);
        } else {
            self.admission.waiting.insert(request);
        }
    }

    /// Takes note that a server failed this instance.
    pub(super) fn suspect(
        &mut self,
        request: RequestId,
        server: impl Fn(&Flow) -> Option<ServerId>,
    ) {
        let Some(server) = self.flows.get(&request).and_then(server) else {
            return;
        };
        self.log("suspect", Some(request), vec![("server", server.to_string())]);
        self.admission.suspects.record_failure(self.now.mono_ms, &server);
    }

    pub(super) fn exclude(
        &mut self,
        request: RequestId,
        server: impl Fn(&Flow) -> Option<ServerId>,
    ) {
        if let Some(flow) = self.flows.get_mut(&request) {
            let server = server(flow);
            flow.excluded.extend(server);
        }
    }
}

fn bounded(value_ms: u64, bounds: std::ops::RangeInclusive<u64>) -> Millis {
    Millis(value_ms.clamp(*bounds.start(), *bounds.end()))
}
