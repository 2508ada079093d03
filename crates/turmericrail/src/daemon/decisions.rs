//! Decisions of the most recent requests, kept in memory for operators.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Mutex, MutexGuard};

use serde::{Deserialize, Serialize};
use turmericrail_core::action::Decision;
use turmericrail_core::ids::RequestId;
use turmericrail_core::units::WallMillis;

const MAX_REQUESTS: usize = 4_096;
/// The first decisions of a request are kept, later ones only counted.
const MAX_DECISIONS_PER_REQUEST: usize = 64;

/// A decision as it is shown to operators.
#[expect(missing_docs, reason = "the names say it")]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ShownDecision {
    pub wall_ms: WallMillis,
    /// Event of the log line.
    pub event: String,
    /// Keys and values of the log line.
    pub fields: Vec<(String, String)>,
}

/// Decisions of one request, oldest first.
#[expect(missing_docs, reason = "the names say it")]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RequestDecisions {
    pub request: RequestId,
    pub decisions: Vec<ShownDecision>,
    /// Number of decisions that were not kept.
    pub dropped: u64,
}

/// Decisions of the most recent requests.
#[derive(Default)]
pub struct RecentDecisions {
    requests: Mutex<RequestTable>,
}

#[derive(Default)]
struct RequestTable {
    by_request: BTreeMap<RequestId, RequestEntry>,
    insertion_order: VecDeque<RequestId>,
}

#[derive(Default)]
struct RequestEntry {
    decisions: Vec<(WallMillis, Decision)>,
    dropped_count: u64,
}

impl RecentDecisions {
    /// Stores a decision that belongs to a request; others are ignored.
    pub fn record(&self, wall_ms: WallMillis, decision: Decision) {
        let Some(request) = decision.request else {
            return;
        };
        let mut requests = self.requests();
        let entry = requests.entry(request);
        if entry.decisions.len() < MAX_DECISIONS_PER_REQUEST {
            entry.decisions.push((wall_ms, decision));
            return;
        }
        entry.dropped_count += 1;
    }

    /// Returns the stored decisions of a request.
    pub fn of_request(&self, request: RequestId) -> Option<RequestDecisions> {
        let requests = self.requests();
        let entry = requests.by_request.get(&request)?;
        let decisions =
            entry.decisions.iter().map(|(wall_ms, decision)| to_shown(*wall_ms, decision));
        Some(RequestDecisions {
            request,
            decisions: decisions.collect(),
            dropped: entry.dropped_count,
        })
    }

    fn requests(&self) -> MutexGuard<'_, RequestTable> {
        self.requests.lock().unwrap_or_else(|_| std::process::abort())
    }
}

impl RequestTable {
    /// Returns the entry of a request; adds it if it is new and evicts the oldest beyond the limit.
    fn entry(&mut self, request: RequestId) -> &mut RequestEntry {
        if !self.by_request.contains_key(&request) {
            self.insertion_order.push_back(request);
        }
        if self.insertion_order.len() > MAX_REQUESTS
            && let Some(oldest) = self.insertion_order.pop_front()
        {
            self.by_request.remove(&oldest);
        }
        self.by_request.entry(request).or_default()
    }
}

fn to_shown(wall_ms: WallMillis, decision: &Decision) -> ShownDecision {
    let fields = decision.fields.iter().map(|(key, value)| (key.to_string(), value.clone()));
    ShownDecision { wall_ms, event: decision.event.to_owned(), fields: fields.collect() }
}
