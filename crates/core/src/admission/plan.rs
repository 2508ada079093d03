//! The plan of the requests that wait for one prefill engine.
//!
//! Requests are laid out by the latest time at which their prefill may end. Where one would end
//! later, the request whose work costs most for its weight, among those laid out so far, is given
//! up (the rule of Moore and Hodgson, which completes the most requests on one machine).

use crate::ids::RequestId;
use crate::units::Millis;

/// A request that waits for its prefill.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WaitingRequest {
    /// The request.
    pub request: RequestId,
    /// Time of its prefill on the engine.
    pub work_ms: Millis,
    /// Latest end of its prefill that meets its target.
    pub latest_end_ms: Millis,
    /// Cost of serving it, divided by its weight.
    pub cost: f64,
}

/// What is to be done with the waiting requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Requests to serve, the most urgent first.
    pub order: Vec<RequestId>,
    /// Requests to give up.
    pub given_up: Vec<RequestId>,
}

/// Plans requests for an engine that takes the first of them at `start_ms`.
pub fn plan(mut waiting: Vec<WaitingRequest>, now_ms: Millis, start_ms: Millis) -> Plan {
    waiting.sort_by_key(|request| (request.latest_end_ms, request.request));
    let mut kept: Vec<WaitingRequest> = Vec::new();
    let mut given_up = Vec::new();
    let mut end_ms = start_ms;
    for request in waiting {
        kept.push(request);
        end_ms = end_ms + request.work_ms;
        if end_ms <= request.latest_end_ms {
            continue;
        }
        let is_out_of_reach = now_ms + request.work_ms > request.latest_end_ms;
        let place = if is_out_of_reach { kept.len() - 1 } else { costliest(&kept) };
        let dropped = kept.remove(place);
        end_ms = end_ms - dropped.work_ms;
        given_up.push(dropped.request);
    }
    Plan { order: kept.iter().map(|request| request.request).collect(), given_up }
}

/// Keeps all requests in the order given.
pub fn keep_all(waiting: Vec<WaitingRequest>, _now_ms: Millis, _start_ms: Millis) -> Plan {
    let order = waiting.iter().map(|request| request.request).collect();
    Plan { order, given_up: Vec::new() }
}

fn costliest(kept: &[WaitingRequest]) -> usize {
    let order = kept.iter().enumerate();
    order.max_by(|(_, a), (_, b)| a.cost.total_cmp(&b.cost)).map_or(0, |(place, _)| place)
}
