//! One route of the table.

use crate::ids::{RouteId, ServiceId};
use crate::units::Millis;

/// What of a call may be executed more than once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// Any number of executions does no harm.
    Idempotent,
    /// One execution at the most.
    AtMostOnce,
    /// An answer in events; one execution at the most, unless it can be resumed.
    Stream {
        /// Whether another server can go on after the last event.
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

    /// The kind as it stands in logs and metrics.
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
pub struct WeightedService {
    /// The service.
    pub service: ServiceId,
    /// Its share, relative to the others' sum.
    pub weight: u64,
}

/// Where calls go and how they are treated.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// The route.
    pub name: RouteId,
    /// Host in lower case, without a port.
    pub host: String,
    /// Beginning of the paths; ends with a slash.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Most servers that one call may be sent to.
    pub max_attempts: u32,
    /// Longest time until the final answer.
    pub timeout_ms: Millis,
    /// Time within which an answer, or its first event, is wanted.
    pub target_ms: Millis,
    /// Longest pause between two events that is wanted.
    pub gap_target_ms: Millis,
    /// Rank; zero is the most urgent.
    pub priority: u8,
    /// The services that share the calls.
    pub services: Vec<WeightedService>,
}

impl Route {
    /// The service of one call, by a random draw.
    pub fn pick_service(&self, random: u64) -> Option<&ServiceId> {
        let total: u64 = self.services.iter().map(|shared| shared.weight).sum();
        let mut left = random.checked_rem(total)?;
        for shared in &self.services {
            let Some(rest) = left.checked_sub(shared.weight) else {
                return Some(&shared.service);
            };
            left = rest;
        }
        None
    }
}
