//! The plan of the waiting requests of one instance.
//!
//! Requests are laid out by the latest time at which their prefill may end. Where one would end
//! later, the request whose work costs most for its weight, among those laid out so far, is given
//! up (the rule of Moore and Hodgson, which completes the most requests on one machine). What is
//! given up is told at once, with the time after which the backlog would let it through.

use crate::ids::RequestId;
use crate::units::Millis;

/// A request that waits for its prefill.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WaitingRequest {
    /// The request.
    pub request: RequestId,
    /// Time of its prefill on an engine.
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
    /// Requests to give up, each with the time after which to come back.
    pub given_up: Vec<(RequestId, Millis)>,
    /// Time in which this instance would have served all that it keeps.
    pub backlog_ms: Millis,
}

/// Plans requests for engines that serve this instance at `speed` engines, from `start_ms` on.
pub fn plan(
    mut waiting: Vec<WaitingRequest>,
    now_ms: Millis,
    start_ms: Millis,
    speed: f64,
) -> Plan {
    waiting.sort_by_key(|request| (request.latest_end_ms, request.request));
    let mut kept: Vec<WaitingRequest> = Vec::new();
    let mut given_up = Vec::new();
    let mut ahead_ms = 0.0;
    for request in waiting {
        kept.push(request);
        let end_ms = start_ms.0 as f64 + ahead_ms + request.work_ms.0 as f64;
        ahead_ms += request.work_ms.0 as f64 / speed;
        if end_ms <= request.latest_end_ms.0 as f64 {
            continue;
        }
        let late_ms = end_ms - request.latest_end_ms.0 as f64;
        let out_of_reach = now_ms + request.work_ms > request.latest_end_ms;
        let place = if out_of_reach { kept.len() - 1 } else { costliest(&kept) };
        let dropped = kept.remove(place);
        ahead_ms -= dropped.work_ms.0 as f64 / speed;
        given_up.push((dropped.request, Millis(late_ms.ceil() as u64)));
    }
    let backlog_ms = Millis(ahead_ms.max(0.0).ceil() as u64);
    Plan { order: kept.iter().map(|request| request.request).collect(), given_up, backlog_ms }
}

fn costliest(kept: &[WaitingRequest]) -> usize {
    let order = kept.iter().enumerate();
    order.max_by(|(_, a), (_, b)| a.cost.total_cmp(&b.cost)).map_or(0, |(place, _)| place)
}
