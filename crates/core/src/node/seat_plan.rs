//! The plan of the requests that wait for a decode seat: who can't get one in time is given up at
//! once.

use crate::admission::{WaitingRequest, plan};
use crate::ids::RequestId;
use crate::node::Node;
use crate::request::Stage;
use crate::units::Millis;

impl Node {
    /// Gives up those waiting requests that seats will not come to in time at their present pace.
    pub(super) fn plan_seats(&mut self) {
        if !self.admission.mechanisms.has_seat_plan {
            return;
        }
        let waiting = self.waiting_for_seats();
        let backlog_ms = Millis(waiting.iter().map(|request| request.work_ms.0).sum());
        let now_ms = self.now.monotonic_ms;
        for request in plan(waiting, now_ms, now_ms).given_up {
            self.give_up(request, backlog_ms);
        }
    }

    fn waiting_for_seats(&self) -> Vec<WaitingRequest> {
        let mut waiting = Vec::new();
        for request in &self.admission.waiting {
            let Some(flow) = self.flows.get(request) else {
                continue;
            };
            if flow.stage != Stage::Waiting {
                continue;
            }
            waiting.extend(self.seat_work(*request));
        }
        waiting
    }

    /// A request that no decode engine has room for at present, as the plan sees it.
    fn seat_work(&self, request: RequestId) -> Option<WaitingRequest> {
        let flow = self.flows.get(&request)?;
        let answer = flow.model_request.as_ref()?.max_tokens;
        let work_ms = self.admission.seat_grant_rate.wait_ms(self.now.monotonic_ms, answer)?;
        let chosen = self.choose_prefill(flow)?;
        if self.has_decode(flow, &chosen.server) {
            return None;
        }
        let prefill_ms = self.work_ms(flow).0.max(1) as f64;
        let cost = self.cost(flow) * work_ms.0 as f64 / prefill_ms;
        let latest_end_ms = self.latest_start_ms(flow) + work_ms;
        Some(WaitingRequest { request, work_ms, latest_end_ms, cost })
    }
}
