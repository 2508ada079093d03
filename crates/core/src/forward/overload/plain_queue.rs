//! Queues at the servers of a plain service.

use crate::config::ServerRole;
use crate::forward::Forwarder;
use crate::ids::ServiceId;
use crate::units::Millis;

impl Forwarder {
    /// Expected wait for a free place at the plain server with the shortest queue; zero if a server
    /// has one. Measured times of single servers are left out, so that a slow answer alone makes no
    /// call wait.
    pub fn plain_queue_ms(&self, now_ms: Millis, service: &ServiceId) -> Millis {
        let answer_ms = self.service_latency(service).answer_ms;
        let candidates = self.candidates(now_ms, service, ServerRole::Plain, &[]);
        let mut shortest_ms = f64::INFINITY;
        for candidate in candidates {
            let places = f64::from(candidate.entry.max_concurrent_calls.max(1));
            let calls = f64::from(candidate.load.running_calls())
                + candidate.load.other_instances_calls(now_ms);
            let queue_ms = (calls + 1.0 - places).max(0.0) / places * answer_ms;
            shortest_ms = shortest_ms.min(queue_ms);
        }
        if shortest_ms.is_finite() { Millis(shortest_ms as u64) } else { Millis::ZERO }
    }
}
