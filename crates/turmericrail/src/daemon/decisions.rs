//! The decisions of the latest requests, kept for operators.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Mutex, MutexGuard};

use serde::{Deserialize, Serialize};
use turmericrail_core::action::Decision;
use turmericrail_core::ids::RequestId;
use turmericrail_core::units::WallMillis;

/// Requests whose decisions are kept.
const KEPT_REQUESTS: usize = 4_096;
/// Decisions kept of one request, the first ones.
const KEPT_DECISIONS: usize = 64;

/// One decision as it is shown to operators.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ShownDecision {
    /// Wall-clock time.
    pub wall_ms: WallMillis,
    /// The log event.
    pub event: String,
    /// The pairs of the log line.
    pub fields: Vec<(String, String)>,
}

/// The decisions of one request, oldest first.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RequestDecisions {
    /// The request.
    pub request: RequestId,
    /// Its decisions.
    pub decisions: Vec<ShownDecision>,
    /// Decisions that no longer fit.
    pub dropped: u64,
}

/// The decisions of the latest requests.
#[derive(Default)]
pub struct Decisions {
    kept: Mutex<Kept>,
}

#[derive(Default)]
struct Kept {
    by_request: BTreeMap<RequestId, KeptRequest>,
    order: VecDeque<RequestId>,
}

#[derive(Default)]
struct KeptRequest {
    decisions: Vec<(WallMillis, Decision)>,
    dropped: u64,
}

impl Decisions {
    /// Keeps a decision where it belongs to a request.
    pub fn keep(&self, wall_ms: WallMillis, decision: Decision) {
        let Some(request) = decision.request else {
            return;
        };
        let mut kept = self.kept();
        let known = kept.request(request);
        if known.decisions.len() < KEPT_DECISIONS {
            known.decisions.push((wall_ms, decision));
            return;
        }
        known.dropped += 1;
    }

    /// The decisions of a request that are still kept.
    pub fn of(&self, request: RequestId) -> Option<RequestDecisions> {
        let kept = self.kept();
        let known = kept.by_request.get(&request)?;
        let decisions = known.decisions.iter().map(|(wall_ms, decision)| show(*wall_ms, decision));
        Some(RequestDecisions { request, decisions: decisions.collect(), dropped: known.dropped })
    }

    fn kept(&self) -> MutexGuard<'_, Kept> {
        self.kept.lock().unwrap_or_else(|_| std::process::abort())
    }
}

impl Kept {
    /// The entry of a request; a new one replaces the oldest.
    fn request(&mut self, request: RequestId) -> &mut KeptRequest {
        if !self.by_request.contains_key(&request) {
            self.order.push_back(request);
        }
        if self.order.len() > KEPT_REQUESTS
            && let Some(oldest) = self.order.pop_front()
        {
            self.by_request.remove(&oldest);
        }
        self.by_request.entry(request).or_default()
    }
}

fn show(wall_ms: WallMillis, decision: &Decision) -> ShownDecision {
    let fields = decision.fields.iter().map(|(key, value)| (key.to_string(), value.clone()));
    ShownDecision { wall_ms, event: decision.event.to_owned(), fields: fields.collect() }
}
