//! The usage of one tenant, as its coordinator keeps it.

use std::collections::{BTreeMap, BTreeSet};

use super::seen_messages::SeenMessages;
use super::{
    CoordinatorOrder, SuspectMembers, UsageBucket, UsageLevels, UsageReply, UsageReports,
    UsageRequest, UsageTerms,
};
use crate::ids::{DataCentreId, InstanceId};
use crate::units::Millis;

/// Silence after which a data centre counts as cut off. Members call for each request of the tenant
/// and exchange each 3 s.
const SILENCE_MS: Millis = Millis(4_000);
/// Time without calls after which a member that isn't the first one has ceased to be coordinator.
const IDLE_TIME_MS: Millis = Millis(5_000);
/// Age up to which the level that another coordinator stated is used.
const MAX_STATED_AGE_MS: Millis = Millis(5_000);
/// Part of a second of the rate with which a bucket starts where nobody knows its level: the
/// tenant may have used its burst just before.
const INITIAL_SECONDS: f64 = 0.25;

/// The coordinator of one tenant.
#[derive(Clone, Debug)]
pub struct UsageCoordinator {
    terms: UsageTerms,
    bucket: UsageBucket,
    started_ms: Millis,
    last_call_ms: Millis,
    /// Data centres that called since the start.
    callers: BTreeSet<DataCentreId>,
    seen: BTreeMap<InstanceId, SeenMessages>,
    /// What was counted here while a better member may be the coordinator for others.
    reports: UsageReports,
}

impl UsageCoordinator {
    /// Starts with the lowest of the levels that predecessors have, or else with the latest one that
    /// an instance was told, or else with a small one.
    pub fn start(now_ms: Millis, request: &UsageRequest, levels: &[UsageLevels]) -> Self {
        let terms = request.terms;
        let lowest = levels.iter().filter_map(|levels| levels.own).reduce(f64::min);
        let stated = levels.iter().filter_map(|levels| levels.stated).chain(request.last_level);
        let latest = stated.min_by_key(|(_, age_ms)| *age_ms);
        let latest = latest.and_then(|stated| highest_level(&terms, stated));
        let latest = latest.map(|level| level.min(terms.ample_level()));
        let level = lowest.or(latest).unwrap_or(INITIAL_SECONDS * terms.rate_per_s);
        let level = level.min(terms.burst);
        Self {
            terms,
            bucket: UsageBucket::new(now_ms, level),
            started_ms: now_ms,
            last_call_ms: now_ms,
            callers: BTreeSet::new(),
            seen: BTreeMap::new(),
            reports: UsageReports::default(),
        }
    }

    /// Whether the member has ceased to be coordinator, unless it is the first one.
    pub fn is_idle(&self, now_ms: Millis) -> bool {
        now_ms > self.last_call_ms + IDLE_TIME_MS
    }

    /// Units that may be used at once.
    pub fn level(&self) -> f64 {
        self.bucket.level()
    }

    /// Part of the rate that this member may grant. The other part is that of members which it
    /// can't reach, since another coordinator may grant it to them.
    pub fn share(
        &self,
        now_ms: Millis,
        own: (&InstanceId, &DataCentreId),
        order: &CoordinatorOrder,
        members: &SuspectMembers,
    ) -> f64 {
        let (instance, own_data_centre) = own;
        let is_first = order.is_first(instance);
        let is_heard = |data_centre: &DataCentreId| {
            let contact_ms = members.last_contact_ms(data_centre).unwrap_or_default();
            now_ms <= contact_ms.max(self.started_ms) + SILENCE_MS
        };
        order.share(|data_centre| {
            let is_caller = is_first || self.callers.contains(data_centre);
            data_centre == own_data_centre || (is_caller && is_heard(data_centre))
        })
    }

    /// Brings the level up to date.
    pub fn refill(&mut self, now_ms: Millis, share: f64) {
        self.bucket.refill(now_ms, self.terms.rate_per_s * share, self.terms.burst);
    }

    /// Whether a data centre that was last heard from at `contact_ms` may have had another
    /// coordinator since.
    pub fn was_silent(&self, now_ms: Millis, contact_ms: Millis) -> bool {
        now_ms > contact_ms.max(self.started_ms) + SILENCE_MS
    }

    /// Uses the lower level where contact with a data centre that had another coordinator returns.
    pub fn merge_stated(&mut self, request: &UsageRequest) {
        let stated = request.last_level;
        if let Some(level) = stated.and_then(|stated| highest_level(&request.terms, stated)) {
            self.bucket.lower_to(level);
        }
    }

    /// What was counted here, for a better member. If that one is the coordinator too, for others,
    /// both together grant no more than the cap.
    pub fn reports(&mut self) -> &mut UsageReports {
        &mut self.reports
    }

    /// Uses the level of a better member if it is lower.
    pub fn lower_to(&mut self, level: f64) {
        self.bucket.lower_to(level);
    }

    /// Counts what was admitted, and grants what is asked while the level is above zero.
    pub fn reserve(
        &mut self,
        now_ms: Millis,
        request: &UsageRequest,
        share: f64,
        is_first: bool,
    ) -> UsageReply {
        if request.terms.version >= self.terms.version {
            self.terms = request.terms;
        }
        self.last_call_ms = now_ms;
        if !self.callers.contains(&request.data_centre) {
            self.callers.insert(request.data_centre.clone());
        }
        self.refill(now_ms, share);
        let seen = self.seen.entry(request.instance.clone()).or_default();
        let is_new = seen.record(request.run, request.number);
        let is_granted = self.bucket.level() > 0.0;
        let asked = if is_granted { request.asked } else { 0.0 };
        let units = if is_new { request.reported + asked } else { 0.0 };
        self.bucket.take(units);
        if !is_first && units != 0.0 {
            self.reports.add(now_ms, units);
        }
        let rate_per_s = self.terms.rate_per_s * share;
        UsageReply {
            is_granted,
            wait_ms: self.bucket.rises_in_ms(0.0, rate_per_s),
            level: self.bucket.level(),
        }
    }
}

/// The highest level that a coordinator can have by now, from what it stated.
fn highest_level(terms: &UsageTerms, (level, age_ms): (f64, Millis)) -> Option<f64> {
    let risen = terms.rate_per_s * age_ms.0 as f64 / 1_000.0;
    (age_ms <= MAX_STATED_AGE_MS).then_some(level + risen)
}
