//! What one instance knows about the use of a tenant, and what it has to report.

use super::{UsageBucket, UsageReply, UsageReports, UsageTerms};
use crate::ids::InstanceId;
use crate::units::Millis;

/// Age up to which a level is relied on without asking.
const MAX_LEVEL_AGE_MS: Millis = Millis(500);
/// Age up to which a level tells that the tenant is far below its cap.
const MAX_AMPLE_AGE_MS: Millis = Millis(60_000);
/// Part of the burst that may be admitted without a reply.
const MAX_UNCONFIRMED_SHARE: f64 = 0.25;
/// Requests that a tenant far below its cap may have at this instance beyond the instance's share
/// while no coordinator is reached.
const ALONE_REQUESTS: f64 = 4.0;
/// Least number of instances among which a cap is divided while no coordinator is reached: after a
/// start the members are not known yet.
const ASSUMED_INSTANCE_COUNT: usize = 16;
/// Longest time for which requests are refused by an earlier reply: smaller ones may find room before
/// the refused one.
const MAX_REFUSAL_MS: Millis = Millis(50);
/// Longest `Retry-After` of a request that was refused without a coordinator; one is expected to be
/// reached by then.
const MAX_ALONE_WAIT_MS: Millis = Millis(1_000);

/// How a request is decided.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UsageDecision {
    /// It is admitted; the usage is reported later.
    Admitted,
    /// The coordinator is asked while the request goes on up to its first call of a server that
    /// runs it.
    AskMeanwhile,
    /// The coordinator is asked first.
    AskFirst,
    /// It is refused: by the coordinator's last reply there is no room until this time has passed.
    Refused(Millis),
}

#[derive(Clone, Debug)]
struct KnownLevel {
    level: f64,
    at_ms: Millis,
    coordinator: InstanceId,
}

/// What an instance knows about a tenant's use.
#[derive(Clone, Debug)]
pub struct UsageView {
    known: Option<KnownLevel>,
    /// Time until which there is no room.
    full_until_ms: Millis,
    /// Units admitted here without asking.
    reports: UsageReports,
    /// Limits what is admitted while no coordinator is reached.
    alone: UsageBucket,
}

impl UsageView {
    /// The view of an instance that knows nothing yet.
    pub fn new(now_ms: Millis) -> Self {
        Self {
            known: None,
            full_until_ms: now_ms,
            reports: UsageReports::default(),
            alone: UsageBucket::new(now_ms, 0.0),
        }
    }

    /// Decides about a request that counts `cost` units.
    pub fn decide(&mut self, now_ms: Millis, terms: &UsageTerms, cost: f64) -> UsageDecision {
        if now_ms < self.full_until_ms {
            return UsageDecision::Refused(self.full_until_ms.saturating_sub(now_ms));
        }
        let unconfirmed = self.reports.unconfirmed();
        let Some(known) = self.known.as_ref().filter(|_| self.is_ample(now_ms, terms)) else {
            return UsageDecision::AskFirst;
        };
        let max_unconfirmed = (MAX_UNCONFIRMED_SHARE * terms.burst).max(cost);
        let is_recent = now_ms <= known.at_ms + MAX_LEVEL_AGE_MS;
        let is_below = known.level - unconfirmed > terms.ample_level();
        if is_recent && is_below && unconfirmed + cost <= max_unconfirmed {
            self.reports.add(now_ms, cost);
            return UsageDecision::Admitted;
        }
        UsageDecision::AskMeanwhile
    }

    /// Whether the tenant was far below its cap when a coordinator last replied.
    fn is_ample(&self, now_ms: Millis, terms: &UsageTerms) -> bool {
        self.known.as_ref().is_some_and(|known| {
            now_ms <= known.at_ms + MAX_AMPLE_AGE_MS && known.level > terms.ample_level()
        })
    }

    /// Decides about a request while no coordinator is reached; returns the time until there is
    /// room if it is refused. The instance has its share of the cap, and a little more if the tenant was
    /// far below its cap.
    pub fn decide_alone(
        &mut self,
        now_ms: Millis,
        terms: &UsageTerms,
        cost: f64,
        member_count: usize,
    ) -> Result<(), Millis> {
        let rate_per_s = terms.rate_per_s / member_count.max(ASSUMED_INSTANCE_COUNT) as f64;
        self.alone.refill(now_ms, rate_per_s, cost);
        let is_ample = self.is_ample(now_ms, terms);
        let beyond = (ALONE_REQUESTS * cost).max(MAX_UNCONFIRMED_SHARE * terms.burst);
        let least = if is_ample { -beyond } else { 0.0 };
        if self.alone.level() < least {
            return Err(self.alone.rises_in_ms(least, rate_per_s).min(MAX_ALONE_WAIT_MS));
        }
        self.alone.take(cost);
        self.reports.add(now_ms, cost);
        Ok(())
    }

    /// What was admitted here without asking.
    pub fn reports(&mut self) -> &mut UsageReports {
        &mut self.reports
    }

    /// Level that any coordinator stated last, and its age.
    pub fn stated(&self, now_ms: Millis) -> Option<(f64, Millis)> {
        let known = self.known.as_ref()?;
        Some((known.level, now_ms.saturating_sub(known.at_ms)))
    }

    /// Level that another member than `coordinator` stated last, and its age.
    pub fn stated_elsewhere(
        &self,
        now_ms: Millis,
        coordinator: &InstanceId,
    ) -> Option<(f64, Millis)> {
        let is_other = self.known.as_ref().is_some_and(|known| known.coordinator != *coordinator);
        self.stated(now_ms).filter(|_| is_other)
    }

    /// Records the reply of a coordinator.
    pub fn record_reply(&mut self, now_ms: Millis, coordinator: &InstanceId, reply: &UsageReply) {
        let is_full = !reply.is_granted && reply.level <= 0.0;
        let full_ms = if is_full { reply.wait_ms.min(MAX_REFUSAL_MS) } else { Millis::ZERO };
        self.full_until_ms = now_ms + full_ms;
        let coordinator = coordinator.clone();
        self.known = Some(KnownLevel { level: reply.level, at_ms: now_ms, coordinator });
    }
}
