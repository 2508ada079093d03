//! Ranking of the engines that may serve a request, by predicted cost.

use crate::ids::ServerId;
use crate::membership::rendezvous::stable_hash;

/// An engine that may serve a request, with its predicted cost.
#[derive(Clone, Copy, Debug, PartialEq)]
#[expect(missing_docs, reason = "the names say it")]
pub struct RankedServer<'a> {
    pub server: &'a ServerId,
    /// In whatever unit the caller predicts, usually milliseconds; the lowest cost ranks first.
    pub cost: f64,
}

/// The engine with the lowest cost. Ties are broken by a hash that differs between instances, so
/// that they do not all turn to the same engine.
pub fn lowest_cost_server<'a>(
    candidates: impl IntoIterator<Item = RankedServer<'a>>,
    instance_hash: u64,
) -> Option<RankedServer<'a>> {
    let mut best: Option<RankedServer<'a>> = None;
    for candidate in candidates {
        let is_better = best.is_none_or(|best| {
            let by_cost = candidate.cost.total_cmp(&best.cost);
            let tie = |server: &ServerId| stable_hash(server.as_str()) ^ instance_hash;
            by_cost.then_with(|| tie(candidate.server).cmp(&tie(best.server))).is_lt()
        });
        if is_better {
            best = Some(candidate);
        }
    }
    best
}
