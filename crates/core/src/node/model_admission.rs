//! Admission of model requests, their deadlines, and the rejection of those that can't meet their
//! latency target.

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

/// Bounds of the retry delay sent to a rejected caller.
const RETRY_AFTER_BOUNDS_MS: std::ops::RangeInclusive<u64> = 100..=60_000;
/// Retry delays are lengthened by up to this much, so that callers don't return together.
const RETRY_AFTER_JITTER_PERCENT: u64 = 20;
/// Share of a request's predicted time that is kept in reserve if the caller kind weighs only
/// wasted prefill; less if goodput has a weight too.
const MAX_RESERVE_FRACTION: f64 = 0.3;
/// Lower bound of the goodput weight, so that costs can be divided by it.
const MIN_GOODPUT_WEIGHT: f64 = 0.001;

impl Node {
    pub(super) fn handle_model_request(&mut self, model_request: ModelRequest) {
        let request = model_request.request;
        if let Some(configuration) = self.config.in_force() {
            self.admission.pools.refresh(configuration, self.now.wall_ms);
        }
        match self.new_flow(model_request) {
            Ok(flow) => {
                let retry_percent = self
                    .config
                    .in_force()
                    .map_or(0, |configuration| configuration.limits.retry_percent);
                self.admission.retry_budget.record_first_attempt(retry_percent);
                if let Some(model_request) = &flow.model_request {
                    self.admission
                        .usage
                        .record_request(self.now.monotonic_ms, &model_request.workspace);
                }
                self.flows.insert(request, flow);
                self.admission.waiting_requests.insert(request);
                self.start_or_reject(request);
            }
            Err(kind) => {
                let retry_after_ms =
                    self.jittered_retry_after_ms(request, self.admission.last_refused_backlog_ms);
                let retry_after_ms = kind.answer().has_retry_after.then_some(retry_after_ms);
                self.answer_with_error(request, kind, retry_after_ms);
            }
        }
    }

    /// Starts the waiting requests for which engines have capacity, and rejects those that can no
    /// longer meet their target.
    pub(super) fn advance_waiting_requests(&mut self) {
        if let Some(configuration) = self.config.in_force() {
            self.admission.pools.refresh(configuration, self.now.wall_ms);
        }
        self.admission.transfers.expire(self.now.monotonic_ms);
        self.advance_owner_requests();
        for request in self.waiting_requests_by_urgency() {
            self.start_or_reject(request);
        }
        self.reject_requests_without_seat();
    }

    fn start_or_reject(&mut self, request: RequestId) {
        self.start_if_possible(request);
        let is_waiting = |flow: &&Flow| flow.stage == Stage::Waiting;
        let Some(flow) = self.flows.get(&request).filter(is_waiting) else {
            return;
        };
        if self.now.monotonic_ms > self.latest_prefill_start_ms(flow) {
            let backlog_ms = self.least_prefill_backlog_ms(flow);
            self.reject_request(request, backlog_ms);
        }
    }

    /// Requests in stage [`Stage::Waiting`], the one with the earliest latest start first.
    fn waiting_requests_by_urgency(&mut self) -> Vec<RequestId> {
        let flows = &self.flows;
        self.admission.waiting_requests.retain(|request| flows.contains_key(request));
        let mut requests = Vec::new();
        for request in &self.admission.waiting_requests {
            let Some(flow) = flows.get(request).filter(|flow| flow.stage == Stage::Waiting) else {
                continue;
            };
            requests.push((self.latest_prefill_start_ms(flow), *request));
        }
        requests.sort();
        requests.into_iter().map(|(_, request)| request).collect()
    }

    /// Latest time at which a request's prefill may start so that the request meets its target.
    pub(super) fn latest_prefill_start_ms(&self, flow: &Flow) -> Millis {
        if self.admission.mechanisms.has_plan {
            self.latest_prefill_end_ms(flow) - self.average_prefill_ms(flow)
        } else {
            flow.first_token_due_ms()
        }
    }

    /// Expected duration of a request's prefill on an average engine.
    pub(super) fn average_prefill_ms(&self, flow: &Flow) -> Millis {
        self.admission.estimates.average_prefill_ms(flow.work_tokens)
    }

    /// Prefill time of a request relative to its goodput weight, increased if its workspace uses
    /// more than its share.
    pub(super) fn weighted_cost(&self, flow: &Flow) -> f64 {
        let workspace = flow.model_request.as_ref().map(|model_request| &model_request.workspace);
        let relative_usage = match workspace {
            Some(workspace) if self.admission.mechanisms.has_isolation => {
                self.admission.usage.relative_usage(workspace)
            }
            _ => 1.0,
        };
        self.average_prefill_ms(flow).0 as f64 * relative_usage
            / self.goodput_and_waste_weights(flow).0.max(MIN_GOODPUT_WEIGHT)
    }

    /// Latest time at which a request's prefill may end: what follows it is the transfer, the first
    /// token and a reserve.
    /// The reserve grows with the weight of wasted prefill.
    pub(super) fn latest_prefill_end_ms(&self, flow: &Flow) -> Millis {
        let after_prefill_ms = self.prefill_to_first_token_ms(flow);
        let service_ms = after_prefill_ms + self.average_prefill_ms(flow);
        let (goodput, wasted) = self.goodput_and_waste_weights(flow);
        let waste_ratio = wasted / (goodput + wasted).max(f64::MIN_POSITIVE);
        let reserve_ms = Millis((service_ms.0 as f64 * waste_ratio * MAX_RESERVE_FRACTION) as u64);
        flow.first_token_due_ms() - after_prefill_ms - reserve_ms
    }

    fn goodput_and_waste_weights(&self, flow: &Flow) -> (f64, f64) {
        let kind = flow.model_request.as_ref().map(|model_request| &model_request.caller_kind);
        let kinds = self.config.in_force().map(|configuration| &configuration.caller_kinds);
        let targets = kinds.zip(kind).and_then(|(kinds, kind)| kinds.get(kind));
        targets.map_or((1.0, 1.0), |kind| (kind.goodput_weight, kind.wasted_prefill_weight))
    }

    /// Ends a request that can't meet its target. The caller may retry once the engine has done its
    /// backlog.
    pub(super) fn reject_request(&mut self, request: RequestId, backlog_ms: Millis) {
        let Some(flow) = self.flows.get(&request) else {
            return;
        };
        let waited_ms = self.now.monotonic_ms - flow.arrived_ms;
        let kind = match flow.has_sent_tokens_to_caller() {
            true => ErrorKind::StreamBroken,
            false if !self.has_usable_engines(flow) => ErrorKind::NoServer,
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
        self.finish_with_retry_after(request, kind, backlog_ms);
    }

    /// Ends a request with an error after releasing what it holds.
    pub(super) fn finish_with_error(&mut self, request: RequestId, kind: ErrorKind) {
        self.finish_with_retry_after(request, kind, self.admission.last_refused_backlog_ms);
    }

    fn finish_with_retry_after(&mut self, request: RequestId, kind: ErrorKind, wait_ms: Millis) {
        self.release_engines(request);
        self.flows.remove(&request);
        let retry_after_ms = self.jittered_retry_after_ms(request, wait_ms);
        let retry_after_ms = kind.answer().has_retry_after.then_some(retry_after_ms);
        self.answer_with_error(request, kind, retry_after_ms);
    }

    fn jittered_retry_after_ms(&self, request: RequestId, wait_ms: Millis) -> Millis {
        let hash = stable_hash(&request.to_string()) ^ self.instance_hash();
        let percent = 100 + hash % (RETRY_AFTER_JITTER_PERCENT + 1);
        let wait_ms = wait_ms.0.saturating_mul(percent) / 100;
        Millis(wait_ms.clamp(*RETRY_AFTER_BOUNDS_MS.start(), *RETRY_AFTER_BOUNDS_MS.end()))
    }

    /// Checks whether a request may be admitted and returns its latency targets and model version.
    pub(super) fn check_admission(
        &self,
        model_request: &ModelRequest,
    ) -> Result<(LatencyTargets, ModelVersion), ErrorKind> {
        if self.is_leaving {
            return Err(ErrorKind::ShuttingDown);
        }
        let configuration = self.config.in_force().ok_or(ErrorKind::NotReady)?;
        if self.admission.waiting_requests.len() as u64 >= configuration.limits.queue_limit_requests
        {
            return Err(ErrorKind::Overloaded);
        }
        let kind = configuration.caller_kinds.get(&model_request.caller_kind);
        let kind = kind.ok_or(ErrorKind::UnknownCallerKind)?;
        let targets = kind.at(self.now.wall_ms).ok_or(ErrorKind::NotReady)?;
        let served =
            configuration.served_version(&model_request.model, model_request.version.as_ref());
        let (version, served) = served.ok_or(ErrorKind::UnknownModel)?;
        if model_request
            .adapter
            .as_ref()
            .is_some_and(|adapter| !served.adapters.contains_key(adapter))
        {
            return Err(ErrorKind::UnknownAdapter);
        }
        Ok((targets, version))
    }

    fn new_flow(&mut self, model_request: ModelRequest) -> Result<Flow, ErrorKind> {
        let (targets, version) = self.check_admission(&model_request)?;
        let configuration = self.config.in_force().ok_or(ErrorKind::NotReady)?;
        let kv_pieces =
            configuration.pieces_for(model_request.prompt_tokens.0 + model_request.max_tokens.0);
        let weights = Weights {
            model: model_request.model.clone(),
            version: version.clone(),
            adapter: model_request.adapter.clone(),
        };
        let now_ms = self.now.monotonic_ms;
        Ok(Flow {
            stream: self.new_stream_id(model_request.request, 1),
            work_tokens: model_request.prompt_tokens,
            binding: Some(RequestBinding { version, fingerprint: model_request.fingerprint }),
            model_request: Some(model_request),
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

    /// Cancels a request's stream at its engines and releases its slot and seat.
    pub(super) fn release_engines(&mut self, request: RequestId) {
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
            self.cancel_stream(&server, &stream);
        }
        self.admission.transfers.end(&stream);
        self.release_slot(request);
        if let Some(server) = decode {
            self.release_seat(request, server, stream);
        }
    }
}
