//! The other instances to which requests may be handed over.

use std::collections::BTreeMap;
use std::fmt;

use super::shuffled::shuffled;
use crate::forward::Member;
use crate::ids::{DataCentreId, InstanceId, ServiceId};
use crate::units::Millis;

/// Instances to which one request is offered at most.
const MAX_OFFERS: usize = 6;
/// Of these, to members of other data centres, and to those of the own one if it is doubtful.
const MINOR_OFFERS: usize = 2;
/// Members of the own data centre left out from which on others are asked first.
const DOUBTFUL_MEMBERS: usize = 2;
/// Time for which a member that wasn't reached is left out.
const UNREACHED_TTL_MS: Millis = Millis(2_000);
/// Time for which a member that reaches no server itself is left out for the service.
const CUT_OFF_TTL_MS: Millis = Millis(3_000);
/// Time for which a member with an older configuration, or none, is left out.
const BEHIND_TTL_MS: Millis = Millis(1_000);
/// Time for which a member that is shutting down is left out; it ends within it.
const SHUTTING_DOWN_TTL_MS: Millis = Millis(10_000);

/// Why an instance doesn't take a request over.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DeclineReason {
    /// It reaches no server of the service either.
    CutOff,
    /// Its configuration is older than the sender's.
    ConfigBehind,
    /// It has no configuration yet.
    NotReady,
    /// It is shutting down.
    ShuttingDown,
}

impl DeclineReason {
    const ALL: [Self; 4] = [Self::CutOff, Self::ConfigBehind, Self::NotReady, Self::ShuttingDown];

    /// The value in messages and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::CutOff => "cut_off",
            Self::ConfigBehind => "config_behind",
            Self::NotReady => "not_ready",
            Self::ShuttingDown => "shutting_down",
        }
    }

    /// The reason with this value; `None` if there is none.
    pub fn find(text: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|reason| reason.as_str() == text)
    }
}

impl fmt::Display for DeclineReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The members that are left out for a while.
#[derive(Clone, Debug, Default)]
pub struct HandoverTargets {
    /// Until when, for all services.
    members: BTreeMap<InstanceId, Millis>,
    /// Until when, for one service.
    services: BTreeMap<(InstanceId, ServiceId), Millis>,
}

impl HandoverTargets {
    /// Records that a member couldn't be reached.
    pub fn record_unreached(&mut self, now_ms: Millis, instance: &InstanceId) {
        self.members.insert(instance.clone(), now_ms + UNREACHED_TTL_MS);
    }

    /// Records that a member has declined a request for a service.
    pub fn record_declined(
        &mut self,
        now_ms: Millis,
        instance: &InstanceId,
        service: &ServiceId,
        reason: DeclineReason,
    ) {
        let ttl_ms = match reason {
            DeclineReason::CutOff => {
                let key = (instance.clone(), service.clone());
                self.services.insert(key, now_ms + CUT_OFF_TTL_MS);
                return;
            }
            DeclineReason::ConfigBehind | DeclineReason::NotReady => BEHIND_TTL_MS,
            DeclineReason::ShuttingDown => SHUTTING_DOWN_TTL_MS,
        };
        self.members.insert(instance.clone(), now_ms + ttl_ms);
    }

    /// The members to ask for a service, in random order: those of the own data centre and then some
    /// of others, which may be all that is left if a data centre is cut off as a whole. Once members
    /// of the own one have declined, others come first.
    pub fn candidates(
        &self,
        now_ms: Millis,
        members: Vec<Member>,
        service: &ServiceId,
        own_data_centre: &DataCentreId,
        random: u64,
    ) -> Vec<Member> {
        let (mut own, mut others) = (Vec::new(), Vec::new());
        let (mut own_count, mut own_left_out) = (0, 0);
        for member in members {
            let is_own = member.data_centre == *own_data_centre;
            let is_left_out = self.is_left_out(now_ms, &member.instance, service);
            own_count += usize::from(is_own);
            own_left_out += usize::from(is_own && is_left_out);
            if is_left_out {
                continue;
            }
            if is_own {
                own.push(member);
            } else {
                others.push(member);
            }
        }
        let is_own_doubtful = own_left_out >= DOUBTFUL_MEMBERS || own_left_out * 2 > own_count;
        let (own, others) = (shuffled(own, random), shuffled(others, random));
        let (mut candidates, second) = if is_own_doubtful { (others, own) } else { (own, others) };
        candidates.truncate(MAX_OFFERS - second.len().min(MINOR_OFFERS));
        candidates.extend(second);
        candidates.truncate(MAX_OFFERS);
        candidates
    }

    fn is_left_out(&self, now_ms: Millis, instance: &InstanceId, service: &ServiceId) -> bool {
        let is_future = |until_ms: Option<&Millis>| until_ms.is_some_and(|until| now_ms < *until);
        is_future(self.members.get(instance))
            || is_future(self.services.get(&(instance.clone(), service.clone())))
    }

    /// Drops what is over.
    pub fn expire(&mut self, now_ms: Millis) {
        self.members.retain(|_, until_ms| now_ms < *until_ms);
        self.services.retain(|_, until_ms| now_ms < *until_ms);
    }

    /// Number of entries that are held.
    pub fn entry_count(&self) -> usize {
        self.members.len() + self.services.len()
    }
}
