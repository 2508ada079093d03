//! Scheduling of the requests that wait for one prefill engine, or for decode seats.
//!
//! Requests are scheduled by the latest time at which their work (the prefill, or the wait for a
//! seat) may end. Where one would end later, the request with the highest cost among those
//! scheduled so far is rejected. This is the Moore-Hodgson rule, which minimises the number of late
//! jobs on one machine, with cost in place of processing time.

use crate::ids::RequestId;
use crate::units::Millis;

/// A request that waits for its prefill or for a decode seat.
#[derive(Clone, Copy, Debug, PartialEq)]
#[expect(missing_docs, reason = "the names say it")]
pub struct WaitingRequest {
    pub request: RequestId,
    /// Duration of its prefill on the engine, or predicted wait for its seat alone.
    pub work_ms: Millis,
    /// Latest end of its work that still meets its target.
    pub latest_end_ms: Millis,
    /// Cost of serving it, in ms of engine time, divided by its weight.
    pub cost: f64,
}

/// The schedule of the waiting requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Requests to serve, in this order.
    pub order: Vec<RequestId>,
    /// Requests that can't be served in time.
    pub rejected_requests: Vec<RequestId>,
}

/// Schedules requests on an engine that is free at `start_ms`. A request that would miss its target
/// even on an idle engine is rejected itself.
pub fn plan(mut waiting: Vec<WaitingRequest>, now_ms: Millis, start_ms: Millis) -> Plan {
    waiting.sort_by_key(|request| (request.latest_end_ms, request.request));
    let mut kept: Vec<WaitingRequest> = Vec::new();
    let mut rejected_requests = Vec::new();
    let mut end_ms = start_ms;
    for request in waiting {
        kept.push(request);
        end_ms = end_ms + request.work_ms;
        if end_ms <= request.latest_end_ms {
            continue;
        }
        let is_unreachable = now_ms + request.work_ms > request.latest_end_ms;
        let index = if is_unreachable { kept.len() - 1 } else { most_costly_index(&kept) };
        let dropped = kept.remove(index);
        end_ms = end_ms - dropped.work_ms;
        rejected_requests.push(dropped.request);
    }
    Plan { order: kept.iter().map(|request| request.request).collect(), rejected_requests }
}

/// Used in place of [`plan`] when planning is turned off: keeps all requests in the given order.
pub fn keep_all(waiting: Vec<WaitingRequest>, _now_ms: Millis, _start_ms: Millis) -> Plan {
    let order = waiting.iter().map(|request| request.request).collect();
    Plan { order, rejected_requests: Vec::new() }
}

fn most_costly_index(kept: &[WaitingRequest]) -> usize {
    let order = kept.iter().enumerate();
    order.max_by(|(_, a), (_, b)| a.cost.total_cmp(&b.cost)).map_or(0, |(index, _)| index)
}
