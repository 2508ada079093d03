//! Updates of this instance's estimates from the prefills, transfers and answers it has observed.

use crate::ids::RequestId;
use crate::node::Node;
use crate::units::{Millis, Streams, Tokens};

/// Length of the shortest answer from which the time between tokens is estimated.
const MIN_ANSWER_TOKENS: u64 = 8;

impl Node {
    pub(super) fn learn_from_prefill(&mut self, request: RequestId, cached_tokens: Tokens) {
        let Some(flow) = self.flows.get(&request) else {
            return;
        };
        let (Some(model_request), Some(server)) = (&flow.model_request, &flow.prefill_server)
        else {
            return;
        };
        let now_ms = self.now.monotonic_ms;
        let elapsed_ms = now_ms - flow.stage_since_ms - flow.wait_ms;
        let computed = model_request.prompt_tokens - cached_tokens;
        let admission = &mut self.admission;
        if admission.mechanisms.has_slots {
            admission.estimates.record_prefill(server, computed, elapsed_ms);
        }
        admission.prefix_cache_index.record_prefill(now_ms, server, &model_request.prefix_hashes);
        admission.ejected_servers.record_success(server);
    }

    pub(super) fn learn_from_transfer(&mut self, request: RequestId) {
        let Some(flow) = self.flows.get(&request) else {
            return;
        };
        let elapsed_ms = self.now.monotonic_ms - flow.stage_since_ms;
        self.record_transfer_time(request, elapsed_ms);
    }

    /// Records an unfinished transfer as one that took twice as long as it ran. Estimates based on
    /// finished transfers alone would take a congested link for a free one.
    pub(super) fn learn_from_unfinished_transfer(&mut self, request: RequestId) {
        let Some(flow) = self.flows.get(&request) else {
            return;
        };
        let (Some(from), Some(to)) = (&flow.prefill_server, &flow.decode_server) else {
            return;
        };
        let elapsed_ms = self.now.monotonic_ms - flow.stage_since_ms;
        if elapsed_ms > self.predicted_transfer_ms(flow, from, to) {
            self.record_transfer_time(request, elapsed_ms + elapsed_ms);
        }
    }

    fn record_transfer_time(&mut self, request: RequestId, elapsed_ms: Millis) {
        let Some(flow) = self.flows.get(&request) else {
            return;
        };
        let (Some(from), Some(to)) = (&flow.prefill_server, &flow.decode_server) else {
            return;
        };
        if let Some((link, rate, bytes)) = self.transfer_parameters(flow, from, to) {
            let link = (link.0.clone(), link.1.clone());
            let estimates = &mut self.admission.estimates;
            estimates.record_transfer((&link.0, &link.1), rate, bytes, elapsed_ms);
        }
    }

    pub(super) fn learn_from_tokens(&mut self, request: RequestId) {
        let Some(flow) = self.flows.get(&request) else {
            return;
        };
        let (Some(model_request), Some(server)) = (&flow.model_request, &flow.decode_server) else {
            return;
        };
        let Some(first_token_ms) =
            flow.first_token_ms.filter(|_| flow.attempt == 1 && !flow.is_resumed())
        else {
            return;
        };
        let tokens = model_request.max_tokens.0;
        if tokens < MIN_ANSWER_TOKENS {
            return;
        }
        let token_ms = (self.now.monotonic_ms - first_token_ms).0 as f64 / (tokens - 1) as f64;
        let batch = Streams((flow.batch_streams.0 + self.batch_streams(server).0) / 2);
        self.admission.estimates.record_token_interval(server, batch, token_ms);
        self.admission.ejected_servers.record_success(server);
    }
}
