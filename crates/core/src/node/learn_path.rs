//! What finished prefills, transfers and answers teach the estimates of this instance.

use crate::ids::RequestId;
use crate::node::Node;
use crate::units::{Millis, Streams, Tokens};

/// Shortest answer whose token rate is learned from.
const MIN_LEARNED_TOKENS: u64 = 8;

impl Node {
    pub(super) fn learn_prefill(&mut self, request: RequestId, cached_tokens: Tokens) {
        let Some(flow) = self.flows.get(&request) else {
            return;
        };
        let (Some(asked), Some(server)) = (&flow.asked, &flow.prefill) else {
            return;
        };
        let now_ms = self.now.mono_ms;
        let took_ms = now_ms - flow.stage_ms - flow.wait_ms;
        let computed = asked.prompt_tokens - cached_tokens;
        let admission = &mut self.admission;
        if admission.mechanisms.has_slots {
            admission.estimates.record_prefill(server, computed, took_ms);
        }
        admission.beliefs.record_prefill(now_ms, server, &asked.prefix_hashes);
        admission.suspects.record_success(server);
    }

    pub(super) fn learn_transfer(&mut self, request: RequestId) {
        let Some(flow) = self.flows.get(&request) else {
            return;
        };
        let took_ms = self.now.mono_ms - flow.stage_ms;
        self.note_transfer(request, took_ms);
    }

    /// Takes a transfer that was stopped unfinished as one of twice the time it had: estimates that
    /// learn from finished transfers alone hold a crowded link for a free one.
    pub(super) fn learn_unfinished_transfer(&mut self, request: RequestId) {
        let Some(flow) = self.flows.get(&request) else {
            return;
        };
        let (Some(from), Some(to)) = (&flow.prefill, &flow.decode) else {
            return;
        };
        let had_ms = self.now.mono_ms - flow.stage_ms;
        if had_ms > self.transfer_ms(flow, from, to) {
            self.note_transfer(request, had_ms + had_ms);
        }
    }

    fn note_transfer(&mut self, request: RequestId, took_ms: Millis) {
        let Some(flow) = self.flows.get(&request) else {
            return;
        };
        let (Some(from), Some(to)) = (&flow.prefill, &flow.decode) else {
            return;
        };
        if let Some((link, rate, bytes)) = self.transfer_over(flow, from, to) {
            let link = (link.0.clone(), link.1.clone());
            let estimates = &mut self.admission.estimates;
            estimates.record_transfer((&link.0, &link.1), rate, bytes, took_ms);
        }
    }

    pub(super) fn learn_tokens(&mut self, request: RequestId) {
        let Some(flow) = self.flows.get(&request) else {
            return;
        };
        let (Some(asked), Some(server)) = (&flow.asked, &flow.decode) else {
            return;
        };
        let Some(first_ms) =
            flow.first_token_ms.filter(|_| flow.attempt == 1 && !flow.is_resumed())
        else {
            return;
        };
        let tokens = asked.max_tokens.0;
        if tokens < MIN_LEARNED_TOKENS {
            return;
        }
        let token_ms = (self.now.mono_ms - first_ms).0 as f64 / (tokens - 1) as f64;
        let batch = Streams((flow.batch.0 + self.batch(server).0) / 2);
        self.admission.estimates.record_token_interval(server, batch, token_ms);
        self.admission.suspects.record_success(server);
    }
}
