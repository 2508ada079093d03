//! The usage of one tenant, as its coordinator keeps it.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::counted_messages::CountedMessages;
use super::{
    CoordinatorOrder, SILENCE_MS, SuspectMembers, UsageBucket, UsageLevels, UsageReply,
    UsageReports, UsageRequest, UsageTerms,
};
use crate::ids::{DataCentreId, InstanceId};
use crate::units::Millis;

/// Time without calls after which a member that isn't the first one has ceased to be coordinator.
const IDLE_TIME_MS: Millis = Millis(5_000);
/// Time without calls after which the state is dropped: by then the bucket is full.
const FORGET_TIME_MS: Millis = Millis(60_000);
/// Age up to which the level that another coordinator stated is used.
const MAX_STATED_AGE_MS: Millis = Millis(5_000);
/// Time after the start in which reports of other coordinators may be on their way whose levels
/// were taken over.
const TAKEOVER_TIME_MS: Millis = Millis(200);
/// Time after the start in which calls from all data centres are still to be expected.
const FIRST_CALLS_MS: Millis = Millis(500);
/// Part of a second of the rate with which a bucket starts where nobody knows its level: the
/// tenant may have used its burst just before.
const INITIAL_SECONDS: f64 = 0.25;

/// The coordinator of one tenant.
#[derive(Clone, Debug)]
pub struct UsageCoordinator {
    terms: UsageTerms,
    bucket: UsageBucket,
    /// Part of the rate that is granted.
    share: f64,
    started_ms: Millis,
    last_call_ms: Millis,
    /// Data centres that called since the start.
    callers: BTreeSet<DataCentreId>,
    counted: BTreeMap<InstanceId, CountedMessages>,
    /// Units that came in while the bucket was full, and their times.
    spilled: VecDeque<(Millis, f64)>,
    /// What was counted here while a better member may be the coordinator for others.
    reports: UsageReports,
}

impl UsageCoordinator {
    /// Starts with the lowest of the levels that predecessors have, or else with the latest one
    /// that an instance was told, or else with a small one and what came in during `unused_ms`.
    pub fn start(
        now_ms: Millis,
        request: &UsageRequest,
        levels: &[UsageLevels],
        unused_ms: Millis,
    ) -> Self {
        let terms = request.terms;
        let lowest = levels.iter().filter_map(|levels| levels.own).reduce(f64::min);
        let stated = levels.iter().filter_map(|levels| levels.stated).chain(request.last_level);
        let latest = stated.min_by_key(|(_, age_ms)| *age_ms);
        let latest = latest.and_then(|stated| highest_level(&terms, stated));
        let latest = latest.map(|level| level.min(terms.ample_level()));
        let initial_seconds = INITIAL_SECONDS + unused_ms.0 as f64 / 1_000.0;
        let level = lowest.or(latest).unwrap_or(initial_seconds * terms.rate_per_s);
        let level = level.min(terms.burst);
        Self {
            terms,
            bucket: UsageBucket::new(now_ms, level),
            share: 0.0,
            started_ms: now_ms,
            last_call_ms: now_ms,
            callers: BTreeSet::new(),
            counted: BTreeMap::new(),
            spilled: VecDeque::new(),
            reports: UsageReports::default(),
        }
    }

    /// Whether the member has ceased to be coordinator, unless it is the first one.
    pub fn is_idle(&self, now_ms: Millis) -> bool {
        now_ms > self.last_call_ms + IDLE_TIME_MS
    }

    /// Whether the tenant was not used for so long that its state can be dropped.
    pub fn is_forgotten(&self, now_ms: Millis) -> bool {
        now_ms > self.last_call_ms + FORGET_TIME_MS
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
        let is_young = now_ms < self.started_ms + FIRST_CALLS_MS;
        let is_heard =
            |data_centre: &DataCentreId| !members.is_silent(now_ms, data_centre, self.started_ms);
        order.share(|data_centre| {
            let is_caller = is_first || is_young || self.callers.contains(data_centre);
            data_centre == own_data_centre || (is_caller && is_heard(data_centre))
        })
    }

    /// Brings the level up to date, and grants `share` of the rate from now on. A share is never
    /// applied to the past: after a pause of the process all others seem to be silent.
    pub fn refill(&mut self, now_ms: Millis, share: f64) {
        let rate_per_s = self.terms.rate_per_s * self.share;
        self.share = share;
        let spilled = self.bucket.refill(now_ms, rate_per_s, self.terms.burst);
        if spilled > 0.0 {
            self.spilled.push_back((now_ms, spilled));
        }
        while self.spilled.front().is_some_and(|(at_ms, _)| now_ms > *at_ms + SILENCE_MS) {
            self.spilled.pop_front();
        }
    }

    /// The units of a report. Of a deputy's, the part from before the start of this coordinator is
    /// left out: the first level stands for it.
    fn reported_units(&self, now_ms: Millis, request: &UsageRequest) -> f64 {
        let age_ms = now_ms.saturating_sub(self.started_ms);
        let span_ms = request.reported_span_ms;
        if !request.is_deputy || (age_ms >= span_ms && age_ms >= TAKEOVER_TIME_MS) {
            return request.reported;
        }
        if age_ms < TAKEOVER_TIME_MS {
            return 0.0;
        }
        request.reported * age_ms.0 as f64 / span_ms.0 as f64
    }

    /// The part of a late report that would have been refilled if it had come in time: the bucket
    /// was full meanwhile.
    fn take_spilled(&mut self, now_ms: Millis, request: &UsageRequest, reported: f64) -> f64 {
        let mut rest = reported.max(0.0);
        for (at_ms, spilled) in &mut self.spilled {
            if now_ms > *at_ms + request.reported_span_ms {
                continue;
            }
            let taken = spilled.min(rest);
            *spilled -= taken;
            rest -= taken;
        }
        reported.max(0.0) - rest
    }

    /// Whether a data centre may have had another coordinator, since it was silent.
    pub fn was_silent(
        &self,
        now_ms: Millis,
        data_centre: &DataCentreId,
        members: &SuspectMembers,
    ) -> bool {
        members.is_silent(now_ms, data_centre, self.started_ms)
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
        self.cancel_void(now_ms, request, is_first);
        let needed_level = self.terms.needed_level(request.asked);
        let is_granted = self.bucket.level() >= needed_level;
        let asked = if is_granted { request.asked } else { 0.0 };
        let reported = self.reported_units(now_ms, request);
        let units = reported - self.take_spilled(now_ms, request, reported) + asked;
        let counted = self.counted.entry(request.id.instance.clone()).or_default();
        if counted.record(request.id.run, request.id.number, units) {
            self.count(now_ms, units, is_first);
        }
        let rate_per_s = self.terms.rate_per_s * share;
        UsageReply {
            is_granted,
            wait_ms: self.bucket.rises_in_ms(needed_level, rate_per_s),
            level: self.bucket.level(),
        }
    }

    /// Counts units. They are also kept for a better member that may become known in the next
    /// seconds.
    fn count(&mut self, now_ms: Millis, units: f64, is_first: bool) {
        self.bucket.take(units);
        if units != 0.0 {
            self.reports.add(now_ms, units);
        }
        if is_first {
            self.reports.expire(now_ms);
        }
    }

    /// Takes back what was counted for messages whose reply was lost or late.
    fn cancel_void(&mut self, now_ms: Millis, request: &UsageRequest, is_first: bool) {
        for message in &request.void {
            let counted = self.counted.entry(message.instance.clone()).or_default();
            let units = counted.cancel(message.run, message.number);
            self.count(now_ms, -units, is_first);
            if !is_first {
                self.reports.add_void(message.clone());
            }
        }
    }
}

/// The highest level that a coordinator can have by now, from what it stated.
fn highest_level(terms: &UsageTerms, (level, age_ms): (f64, Millis)) -> Option<f64> {
    let risen = terms.rate_per_s * age_ms.0 as f64 / 1_000.0;
    (age_ms <= MAX_STATED_AGE_MS).then_some(level + risen)
}
