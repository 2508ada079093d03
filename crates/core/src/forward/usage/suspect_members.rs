//! Members that were not reached lately, and the data centres that were heard from.

use std::collections::BTreeMap;

use super::CoordinatorOrder;
use crate::forward::Member;
use crate::ids::{DataCentreId, InstanceId};
use crate::units::Millis;

/// Time for which a member is avoided after a call to it has failed.
const SUSPECT_TIME_MS: Millis = Millis(1_000);
/// Longest such time: it doubles with each further time-out, which holds a request up for longer
/// than a refused connection.
const MAX_SUSPECT_TIME_MS: Millis = Millis(8_000);

#[derive(Clone, Debug)]
struct Suspect {
    data_centre: DataCentreId,
    since_ms: Millis,
    until_ms: Millis,
    time_ms: Millis,
    is_timed_out: bool,
}

/// The members that this instance avoids as coordinators.
#[derive(Clone, Debug, Default)]
pub struct SuspectMembers {
    suspects: BTreeMap<InstanceId, Suspect>,
    contacts: BTreeMap<DataCentreId, Millis>,
}

impl SuspectMembers {
    /// Records a message from a member.
    pub fn record_contact(
        &mut self,
        now_ms: Millis,
        instance: &InstanceId,
        data_centre: &DataCentreId,
    ) {
        self.suspects.remove(instance);
        match self.contacts.get_mut(data_centre) {
            Some(contact_ms) => *contact_ms = now_ms,
            None => {
                self.contacts.insert(data_centre.clone(), now_ms);
            }
        }
    }

    /// Records that a call to a member failed.
    pub fn record_failure(&mut self, now_ms: Millis, member: &Member, is_timed_out: bool) {
        let known = self.suspects.get(&member.instance);
        let time_ms = match known.filter(|known| is_timed_out && known.is_timed_out) {
            // Calls that were on their way together fail together.
            Some(known) if now_ms < known.until_ms => known.time_ms,
            Some(known) => Millis(known.time_ms.0 * 2).min(MAX_SUSPECT_TIME_MS),
            None => SUSPECT_TIME_MS,
        };
        let suspect = Suspect {
            data_centre: member.data_centre.clone(),
            since_ms: now_ms,
            until_ms: now_ms + time_ms,
            time_ms,
            is_timed_out,
        };
        self.suspects.insert(member.instance.clone(), suspect);
    }

    /// Time since the latest failure of a member that is still avoided.
    pub fn suspect_age_ms(&self, now_ms: Millis) -> Option<Millis> {
        let current = self.suspects.values().filter(|suspect| now_ms < suspect.until_ms);
        current.map(|suspect| now_ms.saturating_sub(suspect.since_ms)).min()
    }

    /// Whether a member is avoided.
    pub fn is_suspect(&self, now_ms: Millis, instance: &InstanceId) -> bool {
        self.suspects.get(instance).is_some_and(|suspect| now_ms < suspect.until_ms)
    }

    /// Whether a data centre seems to be out of reach: a member of it timed out, and none was heard
    /// from since.
    fn is_out_of_reach(&self, now_ms: Millis, data_centre: &DataCentreId) -> bool {
        self.suspects.values().any(|suspect| {
            suspect.is_timed_out
                && now_ms < suspect.until_ms
                && suspect.data_centre == *data_centre
                && self.last_contact_ms(data_centre).is_none_or(|at_ms| at_ms < suspect.since_ms)
        })
    }

    /// The member to ask: the best one that isn't avoided, if possible in a data centre that seems to
    /// be within reach.
    pub fn choose<'a>(
        &self,
        now_ms: Millis,
        order: &'a CoordinatorOrder,
        own_data_centre: &DataCentreId,
    ) -> Option<&'a Member> {
        let is_usable = |member: &&Member| !self.is_suspect(now_ms, &member.instance);
        let is_near = |member: &&Member| {
            member.data_centre == *own_data_centre
                || !self.is_out_of_reach(now_ms, &member.data_centre)
        };
        let usable = order.candidates().iter().filter(is_usable);
        usable.clone().find(is_near).or_else(|| usable.clone().next())
    }

    /// Time at which a data centre was last heard from.
    pub fn last_contact_ms(&self, data_centre: &DataCentreId) -> Option<Millis> {
        self.contacts.get(data_centre).copied()
    }

    /// Drops members that are no longer avoided and weren't for a while.
    pub fn expire(&mut self, now_ms: Millis) {
        self.suspects.retain(|_, suspect| now_ms < suspect.until_ms + MAX_SUSPECT_TIME_MS);
    }
}
