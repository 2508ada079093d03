//! The usage caps as one instance keeps them.

use std::collections::BTreeMap;

use super::{
    CoordinatorOrder, MessageId, SuspectMembers, UsageCoordinator, UsageDecision, UsageLevels,
    UsageReply, UsageRequest, UsageStep, UsageTerms, UsageView,
};
use crate::forward::Member;
use crate::ids::{InstanceId, TenantId};
use crate::units::Millis;

/// Time after the start from which on an instance that knows no other members is coordinator.
const START_TIME_MS: Millis = Millis(3_000);
/// Time for which a member that was the coordinator names the one that has asked for its level.
const HANDOVER_TIME_MS: Millis = Millis(60_000);

/// Another member that is the coordinator now.
#[derive(Clone, Debug)]
struct Handover {
    successor: InstanceId,
    at_ms: Millis,
}

/// What an instance knows of the tenants' use, as coordinator and as one that asks coordinators.
#[derive(Debug)]
pub struct UsageCaps {
    own: Member,
    run: u64,
    started_ms: Millis,
    last_number: u64,
    has_exchanged: bool,
    views: BTreeMap<TenantId, UsageView>,
    coordinators: BTreeMap<TenantId, UsageCoordinator>,
    handovers: BTreeMap<TenantId, Handover>,
    members: SuspectMembers,
}

impl UsageCaps {
    /// The state of an instance that has just started; `run` is a random number of its process.
    pub fn new(now_ms: Millis, own: Member, run: u64) -> Self {
        Self {
            own,
            run,
            started_ms: now_ms,
            last_number: 0,
            has_exchanged: false,
            views: BTreeMap::new(),
            coordinators: BTreeMap::new(),
            handovers: BTreeMap::new(),
            members: SuspectMembers::default(),
        }
    }

    /// Records that another instance has told this one its members.
    pub fn record_exchange(&mut self) {
        self.has_exchanged = true;
    }

    /// The members that were and weren't reached.
    pub fn members(&mut self) -> &mut SuspectMembers {
        &mut self.members
    }

    /// What this instance knows of a tenant's use.
    pub fn view(&mut self, now_ms: Millis, tenant: &TenantId) -> &mut UsageView {
        if !self.views.contains_key(tenant) {
            self.views.insert(tenant.clone(), UsageView::new(now_ms));
        }
        self.views.get_mut(tenant).expect("the view was just inserted")
    }

    /// Decides about a request that counts `cost` units.
    pub fn decide(
        &mut self,
        now_ms: Millis,
        tenant: &TenantId,
        terms: &UsageTerms,
        cost: f64,
    ) -> UsageDecision {
        self.view(now_ms, tenant).decide(now_ms, terms, cost)
    }

    /// Decides about a request while no coordinator is reached.
    pub fn decide_alone(
        &mut self,
        now_ms: Millis,
        tenant: &TenantId,
        terms: &UsageTerms,
        cost: f64,
        order: &CoordinatorOrder,
    ) -> Result<(), Millis> {
        self.view(now_ms, tenant).decide_alone(now_ms, terms, cost, order.member_count())
    }

    /// The member to ask at present.
    pub fn choose<'a>(&self, now_ms: Millis, order: &'a CoordinatorOrder) -> Option<&'a Member> {
        self.members.choose(now_ms, order, &self.own.data_centre)
    }

    /// A report to a member of what was admitted here.
    pub fn report(
        &mut self,
        now_ms: Millis,
        tenant: &TenantId,
        terms: UsageTerms,
        to: &InstanceId,
    ) -> UsageRequest {
        let request = self.question(now_ms, tenant, terms, to, 0.0);
        let (reported, reported_span_ms) = self.view(now_ms, tenant).reports().take(now_ms);
        UsageRequest { reported, reported_span_ms, ..request }
    }

    /// A question to a member whether a request may be admitted that counts `asked` units.
    pub fn question(
        &mut self,
        now_ms: Millis,
        tenant: &TenantId,
        terms: UsageTerms,
        to: &InstanceId,
        asked: f64,
    ) -> UsageRequest {
        let id = self.next_id();
        let view = self.view(now_ms, tenant);
        UsageRequest {
            id,
            tenant: tenant.clone(),
            terms,
            asked,
            reported: 0.0,
            reported_span_ms: Millis::ZERO,
            is_deputy: false,
            void: view.reports().void().to_vec(),
            last_level: view.stated_elsewhere(now_ms, to),
            data_centre: self.own.data_centre.clone(),
            suspect_age_ms: self.members.suspect_age_ms(now_ms),
        }
    }

    fn next_id(&mut self) -> MessageId {
        self.last_number += 1;
        let instance = self.own.instance.clone();
        MessageId { instance, run: self.run, number: self.last_number }
    }

    /// Records the reply of a member.
    pub fn record_reply(
        &mut self,
        now_ms: Millis,
        from: &Member,
        request: &UsageRequest,
        reply: &UsageReply,
    ) {
        if from.instance != self.own.instance {
            self.members.record_contact(now_ms, &from.instance, &from.data_centre);
        }
        if request.is_deputy {
            if let Some(coordinator) = self.coordinators.get_mut(&request.tenant) {
                coordinator.lower_to(reply.level);
                coordinator.reports().confirm_void(&request.void);
            }
            return;
        }
        let view = self.view(now_ms, &request.tenant);
        view.record_reply(now_ms, &from.instance, reply);
        view.reports().confirm_void(&request.void);
    }

    /// Records that a member didn't reply, because of a time-out or because it wasn't reached.
    pub fn record_failure(
        &mut self,
        now_ms: Millis,
        member: &Member,
        request: &UsageRequest,
        is_timed_out: bool,
    ) {
        if member.instance != self.own.instance {
            self.members.record_failure(now_ms, member, is_timed_out);
        }
        if !is_timed_out {
            return;
        }
        if !request.is_deputy {
            self.view(now_ms, &request.tenant).reports().add_void(request.id.clone());
        } else if let Some(coordinator) = self.coordinators.get_mut(&request.tenant) {
            coordinator.reports().add_void(request.id.clone());
        }
    }

    /// Handles a question or a report of an instance, this one included.
    pub fn reserve(
        &mut self,
        now_ms: Millis,
        order: &CoordinatorOrder,
        request: &UsageRequest,
    ) -> UsageStep {
        let is_own = request.id.instance == self.own.instance;
        let coordinator = self.coordinators.get(&request.tenant);
        let was_silent = !is_own
            && coordinator
                .is_some_and(|it| it.was_silent(now_ms, &request.data_centre, &self.members));
        if !is_own {
            self.members.record_contact(now_ms, &request.id.instance, &request.data_centre);
        }
        if !self.has_exchanged && now_ms < self.started_ms + START_TIME_MS {
            return UsageStep::Unable;
        }
        if let Some(successor) = self.successor(now_ms, order, request) {
            return UsageStep::Redirect(successor);
        }
        let own = (&self.own.instance, &self.own.data_centre);
        let is_first = order.is_first(own.0);
        let coordinator = self.coordinators.get_mut(&request.tenant);
        let Some(coordinator) = coordinator.filter(|it| is_first || !it.is_idle(now_ms)) else {
            return UsageStep::Start(order.predecessors(own.0));
        };
        let share = coordinator.share(now_ms, own, order, &self.members);
        coordinator.refill(now_ms, share);
        if was_silent {
            coordinator.merge_stated(request);
        }
        UsageStep::Reply(coordinator.reserve(now_ms, request, share, is_first))
    }

    /// The member that is the coordinator in place of this one.
    fn successor(
        &self,
        now_ms: Millis,
        order: &CoordinatorOrder,
        request: &UsageRequest,
    ) -> Option<Member> {
        let own = &self.own.instance;
        let suspect_age_ms = request.suspect_age_ms;
        if let Some(handover) = self.handovers.get(&request.tenant) {
            let age_ms = now_ms.saturating_sub(handover.at_ms);
            // A caller that failed to reach the successor after the handover needs another one.
            let is_reached = suspect_age_ms.is_none_or(|suspect_ms| age_ms < suspect_ms);
            let is_current = age_ms < HANDOVER_TIME_MS && is_reached;
            let candidates = order.candidates().iter().filter(|_| is_current);
            let successor = candidates.clone().find(|member| member.instance == handover.successor);
            if successor.is_some() {
                return successor.cloned();
            }
        }
        // The caller knows fewer members than this instance.
        let first = order.candidates().first()?;
        let is_elsewhere = first.instance != *own
            && request.id.instance != *own
            && suspect_age_ms.is_none()
            && !self.members.is_suspect(now_ms, &first.instance);
        is_elsewhere.then(|| first.clone())
    }

    /// Becomes the coordinator with the levels that its predecessors stated, and handles the call
    /// that it was started for.
    pub fn start(
        &mut self,
        now_ms: Millis,
        order: &CoordinatorOrder,
        request: &UsageRequest,
        mut levels: Vec<UsageLevels>,
    ) -> UsageReply {
        // Where others were asked and none of them knows the tenant, nobody has used it since this
        // instance started, or knew its members if all started together.
        let is_certain = !levels.is_empty() || order.member_count() == 1;
        let unused_ms = now_ms.saturating_sub(self.started_ms + START_TIME_MS);
        let unused_ms = if is_certain { unused_ms } else { Millis::ZERO };
        let stated = self.views.get(&request.tenant).and_then(|view| view.stated(now_ms));
        levels.push(UsageLevels { own: None, stated });
        let coordinator = UsageCoordinator::start(now_ms, request, &levels, unused_ms);
        self.handovers.remove(&request.tenant);
        self.coordinators.insert(request.tenant.clone(), coordinator);
        let coordinator = self.coordinators.get_mut(&request.tenant).expect("it was just inserted");
        let own = (&self.own.instance, &self.own.data_centre);
        let share = coordinator.share(now_ms, own, order, &self.members);
        coordinator.reserve(now_ms, request, share, order.is_first(own.0))
    }

    /// What this instance knows of a tenant, for a member that is to be its coordinator. One that
    /// comes first in the order takes the role over.
    pub fn levels_for(
        &mut self,
        now_ms: Millis,
        order: &CoordinatorOrder,
        tenant: &TenantId,
        asker: &InstanceId,
    ) -> UsageLevels {
        let stated = self.views.get(tenant).and_then(|view| view.stated(now_ms));
        let own = (&self.own.instance, &self.own.data_centre);
        let is_first = order.is_first(own.0);
        let coordinator = self.coordinators.get_mut(tenant);
        let Some(coordinator) = coordinator.filter(|it| is_first || !it.is_idle(now_ms)) else {
            return UsageLevels { own: None, stated };
        };
        let share = coordinator.share(now_ms, own, order, &self.members);
        coordinator.refill(now_ms, share);
        let level = coordinator.level();
        if order.is_before(asker, own.0) {
            self.coordinators.remove(tenant);
            let handover = Handover { successor: asker.clone(), at_ms: now_ms };
            self.handovers.insert(tenant.clone(), handover);
        }
        UsageLevels { own: Some(level), stated }
    }

    /// The tenant's coordinator, if this instance is it.
    pub fn coordinator(&mut self, tenant: &TenantId) -> Option<&mut UsageCoordinator> {
        self.coordinators.get_mut(tenant)
    }

    /// The better member that is to be told what was counted here, where this one is a coordinator
    /// too, and the time until then.
    pub fn deputy_report_due_in_ms<'a>(
        &mut self,
        now_ms: Millis,
        order: &'a CoordinatorOrder,
        tenant: &TenantId,
    ) -> Option<(&'a Member, Millis)> {
        let better = self.members.choose_better(now_ms, order, &self.own.instance)?;
        let due_ms = self.coordinators.get_mut(tenant)?.reports().due_in_ms(now_ms)?;
        Some((better, due_ms))
    }

    /// The report to a better member; `None` if this instance isn't the coordinator.
    pub fn deputy_report(
        &mut self,
        now_ms: Millis,
        tenant: &TenantId,
        terms: UsageTerms,
    ) -> Option<UsageRequest> {
        let id = self.next_id();
        let coordinator = self.coordinators.get_mut(tenant)?;
        let (reported, reported_span_ms) = coordinator.reports().take(now_ms);
        Some(UsageRequest {
            id,
            tenant: tenant.clone(),
            data_centre: self.own.data_centre.clone(),
            terms,
            asked: 0.0,
            reported,
            reported_span_ms,
            is_deputy: true,
            void: coordinator.reports().void().to_vec(),
            last_level: Some((coordinator.level(), Millis::ZERO)),
            suspect_age_ms: None,
        })
    }

    /// Levels of the tenants that this instance coordinates.
    pub fn levels(&self) -> impl Iterator<Item = (&TenantId, f64)> {
        self.coordinators.iter().map(|(tenant, coordinator)| (tenant, coordinator.level()))
    }

    /// Drops the state of tenants that have no cap any more or weren't used for long, and of
    /// members that weren't avoided for a while.
    pub fn expire(&mut self, now_ms: Millis, has_cap: impl Fn(&TenantId) -> bool) {
        self.views.retain(|tenant, _| has_cap(tenant));
        self.coordinators
            .retain(|tenant, coordinator| has_cap(tenant) && !coordinator.is_forgotten(now_ms));
        self.handovers.retain(|_, handover| now_ms < handover.at_ms + HANDOVER_TIME_MS);
        self.members.expire(now_ms);
    }
}
