//! Place of a request among those that compete for a service.

use std::fmt;

use super::ServiceRanks;

/// Levels that a tenant's excess adds: its requests stand beside those of the next rank.
const EXCESS_LEVELS: f64 = 1.0;
/// Levels that a request of a returning caller is ahead of the late ones.
const RETURNING_LEVELS: f64 = 0.5;
/// Engines that a request of the first rank asks for room in one round while the service is scarce:
/// as many as in all steps of a round otherwise.
const FIRST_RANK_ENGINES: usize = 12;
/// The same for other requests that can meet their target.
const IN_TIME_ENGINES: usize = 6;
/// The same for all others, which have time for more rounds.
const LATE_ENGINES: usize = 3;

/// Whether a request can still meet its target.
#[derive(Clone, Copy, Debug, Eq, PartialEq, PartialOrd)]
pub enum Standing {
    /// It is expected to meet its target.
    InTime,
    /// Its caller comes back after a refusal. Another refusal costs the caller more than the first.
    Returning,
    /// It has missed its target, or is expected to.
    Late,
}

impl Standing {
    /// The value in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Standing::InTime => "in_time",
            Standing::Returning => "returning",
            Standing::Late => "late",
        }
    }
}

/// Urgency of a request; lower is more urgent.
///
/// Requests that can meet their target come before all others, and within both groups the rank
/// decides.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Urgency {
    level: f64,
    /// The level as a share of the least urgent one of the service.
    share: f64,
    standing: Standing,
}

impl Urgency {
    /// Urgency of a request. `is_in_excess` tells that its tenant uses more than its share.
    pub fn new(ranks: &ServiceRanks, rank: u8, standing: Standing, is_in_excess: bool) -> Self {
        Self::at(ranks.count(), f64::from(rank), standing, is_in_excess)
    }

    /// Urgency of a request that as many of the `count` ranks are ahead of as `position` says. A
    /// rank that few requests have counts for less than one.
    pub fn at(count: usize, position: f64, standing: Standing, is_in_excess: bool) -> Self {
        let count = count.max(1) as f64;
        let excess = if is_in_excess { EXCESS_LEVELS } else { 0.0 };
        let level = match standing {
            Standing::InTime => position + excess,
            Standing::Returning => count - RETURNING_LEVELS,
            Standing::Late => count + position + excess,
        };
        let share = (level / (2.0 * count - 1.0)).min(1.0);
        Self { level, share, standing }
    }

    /// Number of levels that are more urgent: one for each rank and standing.
    pub fn level(self) -> f64 {
        self.level
    }

    /// From zero for the most urgent requests of the service to one for the least urgent ones.
    pub fn share(self) -> f64 {
        self.share
    }

    /// Whether the request can still meet its target.
    pub fn standing(self) -> Standing {
        self.standing
    }

    /// Engines that are asked for room in one round while the service is scarce.
    pub fn engines_per_round(self) -> usize {
        match self.standing {
            Standing::InTime if self.level < 1.0 => FIRST_RANK_ENGINES,
            Standing::InTime => IN_TIME_ENGINES,
            Standing::Returning | Standing::Late => LATE_ENGINES,
        }
    }
}

impl fmt::Display for Urgency {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.2}", self.level)
    }
}
