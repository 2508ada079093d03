//! Routes of the configuration: how calls are matched, limited and divided among services.

use crate::ids::{RouteId, ServiceId};
use crate::units::Millis;

/// Whether calls of a route may be executed more than once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// Repeated execution does no harm.
    Idempotent,
    /// Executed once at most.
    AtMostOnce,
    /// Answered by a stream of events; executed once at most, unless it can be resumed.
    Stream {
        /// Whether another server can continue after the last event.
        is_resumable: bool,
    },
}

impl RouteKind {
    /// Whether a call that may have run can be sent again.
    pub fn is_repeatable(self) -> bool {
        match self {
            RouteKind::Idempotent => true,
            RouteKind::AtMostOnce => false,
            RouteKind::Stream { is_resumable } => is_resumable,
        }
    }

    /// The value in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            RouteKind::Idempotent => "idempotent",
            RouteKind::AtMostOnce => "at_most_once",
            RouteKind::Stream { is_resumable: true } => "resumable_stream",
            RouteKind::Stream { is_resumable: false } => "stream",
        }
    }
}

/// A service and its share of a route's calls.
#[derive(Clone, Debug, Eq, PartialEq)]
#[expect(missing_docs, reason = "the names say it")]
pub struct WeightedService {
    pub service: ServiceId,
    /// Share relative to the sum of all weights of the route.
    pub weight: u64,
}

/// A route: which calls it matches, where they go and how they are handled.
#[derive(Clone, Debug, Eq, PartialEq)]
#[expect(missing_docs, reason = "the names say it")]
pub struct Route {
    pub name: RouteId,
    /// Lower case, without a port.
    pub host: String,
    /// Prefix of the matching paths; ends with a slash.
    pub path_prefix: String,
    pub kind: RouteKind,
    /// Greatest number of servers that one call may be sent to.
    pub max_attempts: u32,
    /// Time limit for the complete answer.
    pub timeout_ms: Millis,
    /// Target for the time to the answer or the first event.
    pub target_ms: Millis,
    /// Target for the longest gap between two events.
    pub gap_target_ms: Millis,
    /// Priority of the calls at the engines; zero is the most urgent.
    pub priority: u8,
    /// Whether calls need no API key where the configuration has tenants.
    pub is_public: bool,
    /// The services among which the calls are divided.
    pub services: Vec<WeightedService>,
}

impl Route {
    /// Picks a service by weight; `None` if all weights are zero.
    pub fn pick_service(&self, random: u64) -> Option<&ServiceId> {
        let weights = self.services.iter().map(|weighted| weighted.weight);
        let total = weights.fold(0, u64::saturating_add);
        let mut remaining = random.checked_rem(total)?;
        for weighted in &self.services {
            let Some(rest) = remaining.checked_sub(weighted.weight) else {
                return Some(&weighted.service);
            };
            remaining = rest;
        }
        None
    }
}
