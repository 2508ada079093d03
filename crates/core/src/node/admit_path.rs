//! Arrival of model requests, their plan, and the end of those that can't meet their target.

use std::collections::BTreeSet;

use crate::config::window::LatencyTargets;
use crate::error_kind::ErrorKind;
use crate::event::ModelRequest;
use crate::ids::{ModelVersion, RequestId};
use crate::membership::rendezvous::stable_hash;
use crate::node::Node;
use crate::request::{Flow, RequestBinding, Stage};
use crate::units::{Millis, Streams};
use crate::weights::Weights;

/// Least and greatest wait told to callers that are turned away.
const RETRY_AFTER_MS: std::ops::RangeInclusive<u64> = 100..=60_000;
/// Share by which waits told to callers differ, so that they do not come back together.
const RETRY_SPREAD_PERCENT: u64 = 20;
/// Share of a request's own time that is kept in reserve where only wasted prefill counts.
const MAX_RESERVE_SHARE: f64 = 0.3;
/// Least weight that a cost is divided by.
const MIN_WEIGHT: f64 = 0.001;

impl Node {
    pub(super) fn take_model_request(&mut self, asked: ModelRequest) {
        let request = asked.request;
        if let Some(configuration) = self.config.in_force() {
            self.admission.pools.refresh(configuration, self.now.wall_ms);
        }
        match self.start_flow(asked) {
            Ok(flow) => {
                let percent = self.config.in_force().map_or(0, |known| known.limits.retry_percent);
                self.admission.retries.record_first_attempt(percent);
                if let Some(asked) = &flow.model_request {
                    self.admission.usage.ask(self.now.monotonic_ms, &asked.workspace);
                }
                self.flows.insert(request, flow);
                self.admission.waiting.insert(request);
                self.serve_or_give_up(request);
            }
            Err(kind) => {
                let retry_after_ms =
                    self.retry_after_ms(request, self.admission.last_refused_backlog_ms);
                let retry_after_ms = kind.answer().has_retry_after.then_some(retry_after_ms);
                self.answer_error(request, kind, retry_after_ms);
            }
        }
    }

    /// Serves the requests that wait for no owner, and gives up those out of reach.
    pub(super) fn advance_waiting(&mut self) {
        if let Some(configuration) = self.config.in_force() {
            self.admission.pools.refresh(configuration, self.now.wall_ms);
        }
        self.admission.transfers.expire(self.now.monotonic_ms);
        self.advance_asks();
        for request in self.waiting_requests() {
            self.serve_or_give_up(request);
        }
        self.plan_seats();
    }

    fn serve_or_give_up(&mut self, request: RequestId) {
        self.serve(request);
        let is_waiting = |flow: &&Flow| flow.stage == Stage::Waiting;
        let Some(flow) = self.flows.get(&request).filter(is_waiting) else {
            return;
        };
        if self.now.monotonic_ms > self.latest_start_ms(flow) {
            let backlog_ms = self.least_backlog_ms(flow);
            self.give_up(request, backlog_ms);
        }
    }

    /// Requests that wait for no owner, the most urgent first.
    fn waiting_requests(&mut self) -> Vec<RequestId> {
        let flows = &self.flows;
        self.admission.waiting.retain(|request| flows.contains_key(request));
        let mut requests = Vec::new();
        for request in &self.admission.waiting {
            let Some(flow) = flows.get(request).filter(|flow| flow.stage == Stage::Waiting) else {
                continue;
            };
            requests.push((self.latest_start_ms(flow), *request));
        }
        requests.sort();
        requests.into_iter().map(|(_, request)| request).collect()
    }

    /// Latest start of a request's prefill that meets its target.
    pub(super) fn latest_start_ms(&self, flow: &Flow) -> Millis {
        if self.admission.mechanisms.has_plan {
            self.latest_end_ms(flow) - self.work_ms(flow)
        } else {
            flow.first_token_due_ms()
        }
    }

    /// Time of a request's prefill on an average engine.
    pub(super) fn work_ms(&self, flow: &Flow) -> Millis {
        self.admission.estimates.average_prefill_ms(flow.work_tokens)
    }

    /// Cost of serving a request for its weight, more where its workspace had more than its share.
    pub(super) fn cost(&self, flow: &Flow) -> f64 {
        let workspace = flow.model_request.as_ref().map(|asked| &asked.workspace);
        let excess = match workspace {
            Some(workspace) if self.admission.mechanisms.has_isolation => {
                self.admission.usage.relative_usage(workspace)
            }
            _ => 1.0,
        };
        self.work_ms(flow).0 as f64 * excess / self.weights(flow).0.max(MIN_WEIGHT)
    }

    /// Latest end of a prefill that leaves time for the transfer, the first token and a reserve
    /// that grows with the weight of wasted prefill.
    pub(super) fn latest_end_ms(&self, flow: &Flow) -> Millis {
        let tail_ms = self.tail_ms(flow);
        let own_ms = tail_ms + self.work_ms(flow);
        let (goodput, wasted) = self.weights(flow);
        let caution = wasted / (goodput + wasted).max(f64::MIN_POSITIVE);
        let reserve_ms = Millis((own_ms.0 as f64 * caution * MAX_RESERVE_SHARE) as u64);
        flow.first_token_due_ms() - tail_ms - reserve_ms
    }

    /// Weights of goodput and of wasted prefill for the caller kind.
    fn weights(&self, flow: &Flow) -> (f64, f64) {
        let kind = flow.model_request.as_ref().map(|asked| &asked.caller_kind);
        let kinds = self.config.in_force().map(|known| &known.caller_kinds);
        let targets = kinds.zip(kind).and_then(|(kinds, kind)| kinds.get(kind));
        targets.map_or((1.0, 1.0), |kind| (kind.goodput_weight, kind.wasted_prefill_weight))
    }

    /// Gives a request its final answer: its target is out of reach behind the backlog.
    pub(super) fn give_up(&mut self, request: RequestId, backlog_ms: Millis) {
        let Some(flow) = self.flows.get(&request) else {
            return;
        };
        let waited_ms = self.now.monotonic_ms - flow.arrived_ms;
        let kind = match flow.has_passed_tokens() {
            true => ErrorKind::StreamBroken,
            false if !self.has_engines(flow) => ErrorKind::NoServer,
            false => ErrorKind::DeadlineUnreachable,
        };
        let fields = vec![
            ("waited_ms", waited_ms.0.to_string()),
            ("backlog_ms", backlog_ms.0.to_string()),
            ("work_tokens", flow.work_tokens.0.to_string()),
            ("reason", "target_out_of_reach".to_owned()),
        ];
        self.log("give_up", Some(request), fields);
        self.admission.last_refused_backlog_ms = backlog_ms;
        self.finish(request, kind, backlog_ms);
    }

    /// Ends a request with an error after freeing what it holds.
    pub(super) fn finish_with_error(&mut self, request: RequestId, kind: ErrorKind) {
        self.finish(request, kind, self.admission.last_refused_backlog_ms);
    }

    fn finish(&mut self, request: RequestId, kind: ErrorKind, wait_ms: Millis) {
        self.free_engines(request);
        self.flows.remove(&request);
        let retry_after_ms = self.retry_after_ms(request, wait_ms);
        let retry_after_ms = kind.answer().has_retry_after.then_some(retry_after_ms);
        self.answer_error(request, kind, retry_after_ms);
    }

    fn retry_after_ms(&self, request: RequestId, wait_ms: Millis) -> Millis {
        let spread = stable_hash(&request.to_string()) ^ self.instance_hash();
        let percent = 100 + spread % (RETRY_SPREAD_PERCENT + 1);
        let wait_ms = wait_ms.0.saturating_mul(percent) / 100;
        Millis(wait_ms.clamp(*RETRY_AFTER_MS.start(), *RETRY_AFTER_MS.end()))
    }

    /// Checks whether new work is taken for a request, and gives its targets and its version.
    pub(super) fn admit(
        &self,
        asked: &ModelRequest,
    ) -> Result<(LatencyTargets, ModelVersion), ErrorKind> {
        if self.is_leaving {
            return Err(ErrorKind::ShuttingDown);
        }
        let configuration = self.config.in_force().ok_or(ErrorKind::NotReady)?;
        if self.admission.waiting.len() as u64 >= configuration.limits.queue_limit_requests {
            return Err(ErrorKind::Overloaded);
        }
        let kind = configuration.caller_kinds.get(&asked.caller_kind);
        let kind = kind.ok_or(ErrorKind::UnknownCallerKind)?;
        let targets = kind.at(self.now.wall_ms).ok_or(ErrorKind::NotReady)?;
        let served = configuration.served_version(&asked.model, asked.version.as_ref());
        let (version, served) = served.ok_or(ErrorKind::UnknownModel)?;
        if asked.adapter.as_ref().is_some_and(|adapter| !served.adapters.contains_key(adapter)) {
            return Err(ErrorKind::UnknownAdapter);
        }
        Ok((targets, version))
    }

    fn start_flow(&mut self, asked: ModelRequest) -> Result<Flow, ErrorKind> {
        let (targets, version) = self.admit(&asked)?;
        let configuration = self.config.in_force().ok_or(ErrorKind::NotReady)?;
        let kv_pieces = configuration.pieces_for(asked.prompt_tokens.0 + asked.max_tokens.0);
        let weights = Weights {
            model: asked.model.clone(),
            version: version.clone(),
            adapter: asked.adapter.clone(),
        };
        let now_ms = self.now.monotonic_ms;
        Ok(Flow {
            stream: self.stream_id(asked.request, 1),
            work_tokens: asked.prompt_tokens,
            binding: Some(RequestBinding { version, fingerprint: asked.fingerprint }),
            model_request: Some(asked),
            weights: Some(weights),
            targets,
            arrived_ms: now_ms,
            due_from_ms: now_ms,
            stage: Stage::Waiting,
            stage_since_ms: now_ms,
            attempt: 1,
            decode_server: None,
            prefill_server: None,
            wait_ms: Millis::ZERO,
            result_until_ms: Millis::ZERO,
            transfer_until_ms: Millis::ZERO,
            has_stalled_transfer: false,
            failed_source: None,
            batch_streams: Streams::ZERO,
            kv_pieces,
            first_index: 0,
            next_index: 0,
            refused_by: BTreeSet::new(),
            excluded: BTreeSet::new(),
            first_token_ms: None,
            read_count: 0,
            last_read_ms: Millis::ZERO,
            last_progress_ms: Millis::ZERO,
            next_read_ms: None,
            was_silent: false,
            broken_reads: 0,
            is_taken_over: false,
        })
    }

    /// Frees the memory that a request holds at engines, and what owners granted it.
    pub(super) fn free_engines(&mut self, request: RequestId) {
        let Some(flow) = self.flows.get(&request) else {
            return;
        };
        let stream = flow.stream.clone();
        let (prefill, decode) = (flow.prefill_server.clone(), flow.decode_server.clone());
        let is_at_prefill =
            matches!(flow.stage, Stage::Prefilling | Stage::Transferring | Stage::Reseating { .. });
        let is_at_decode = matches!(flow.stage, Stage::Transferring | Stage::Decoding);
        let at_prefill = prefill.clone().filter(|_| is_at_prefill);
        let engines = at_prefill.into_iter().chain(decode.clone().filter(|_| is_at_decode));
        for server in engines {
            self.cancel(&server, &stream);
        }
        self.admission.transfers.end(&stream);
        self.release_slot(request);
        if let Some(server) = decode {
            self.release_seat(request, server, stream);
        }
    }
}
