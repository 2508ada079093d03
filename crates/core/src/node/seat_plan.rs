//! Early rejection of requests that wait for a decode seat and can't get one in time.

use crate::admission::{WaitingRequest, plan};
use crate::ids::RequestId;
use crate::node::Node;
use crate::request::Stage;
use crate::units::Millis;

impl Node {
    /// Rejects the waiting requests that would get no seat in time if seats are granted at the
    /// recent rate.
    pub(super) fn reject_requests_without_seat(&mut self) {
        if !self.admission.mechanisms.has_seat_plan {
            return;
        }
        let waiting = self.requests_waiting_for_seats();
        let backlog_ms = Millis(waiting.iter().map(|request| request.work_ms.0).sum());
        let now_ms = self.now.monotonic_ms;
        for request in plan(waiting, now_ms, now_ms).rejected_requests {
            self.reject_request(request, backlog_ms);
        }
    }

    fn requests_waiting_for_seats(&self) -> Vec<WaitingRequest> {
        let mut waiting = Vec::new();
        for request in &self.admission.waiting_requests {
            let Some(flow) = self.flows.get(request) else {
                continue;
            };
            if flow.stage != Stage::Waiting {
                continue;
            }
            waiting.extend(self.seat_planner_input(*request));
        }
        waiting
    }

    /// The planner's input for a request, or `None` if a decode engine has capacity for it now.
    fn seat_planner_input(&self, request: RequestId) -> Option<WaitingRequest> {
        let flow = self.flows.get(&request)?;
        let answer_tokens = flow.model_request.as_ref()?.max_tokens;
        let work_ms =
            self.admission.seat_grant_rate.wait_ms(self.now.monotonic_ms, answer_tokens)?;
        let chosen = self.choose_prefill(flow)?;
        if self.has_decode_capacity(flow, &chosen.server) {
            return None;
        }
        let prefill_ms = self.average_prefill_ms(flow).0.max(1) as f64;
        let cost = self.weighted_cost(flow) * work_ms.0 as f64 / prefill_ms;
        let latest_end_ms = self.latest_prefill_start_ms(flow) + work_ms;
        Some(WaitingRequest { request, work_ms, latest_end_ms, cost })
    }
}
