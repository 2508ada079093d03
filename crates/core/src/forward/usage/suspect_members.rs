//! Members that were not reached lately, and the data centres that were heard from.

use std::collections::BTreeMap;

use super::{CoordinatorOrder, SILENCE_MS};
use crate::forward::Member;
use crate::ids::{DataCentreId, InstanceId};
use crate::units::Millis;

/// Time for which a member is avoided after a call to it has failed.
const SUSPECT_TIME_MS: Millis = Millis(1_000);
/// Longest such time: it doubles with each further time-out, which holds a request up for longer
/// than a refused connection.
const MAX_SUSPECT_TIME_MS: Millis = Millis(8_000);
/// Time after which a member that was not reached is told again what another one counted in its
/// place; no request waits for that.
const REPORT_AGAIN_MS: Millis = Millis(250);

/// Multiple of the mean time between two messages from a data centre after which it counts as
/// silent: a random gap is as long once in some 100,000 messages.
const SILENT_GAPS: u64 = 12;
/// Shortest such time, for pauses of a process or a link.
const MIN_SILENCE_MS: Millis = Millis(1_000);
/// Weight of the latest gap in the mean is one in this number.
const GAP_SAMPLES: u64 = 8;

/// When a data centre was heard from.
#[derive(Clone, Copy, Debug)]
struct Contact {
    last_ms: Millis,
    mean_gap_ms: Millis,
}

impl Contact {
    fn record(&mut self, now_ms: Millis) {
        let gap_ms = now_ms.saturating_sub(self.last_ms).min(SILENCE_MS);
        let sum_ms = self.mean_gap_ms.0 * (GAP_SAMPLES - 1) + gap_ms.0;
        self.mean_gap_ms = Millis(sum_ms.div_ceil(GAP_SAMPLES));
        self.last_ms = now_ms;
    }
}

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
    contacts: BTreeMap<DataCentreId, Contact>,
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
            Some(contact) => contact.record(now_ms),
            None => {
                let contact = Contact { last_ms: now_ms, mean_gap_ms: SILENCE_MS };
                self.contacts.insert(data_centre.clone(), contact);
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

    /// The member to ask: the best one that isn't avoided, if possible in a data centre that seems
    /// to be within reach.
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

    /// The member to report to for one that stands in for better ones; `None` if it is the best.
    pub fn choose_better<'a>(
        &self,
        now_ms: Millis,
        order: &'a CoordinatorOrder,
        own: &InstanceId,
    ) -> Option<&'a Member> {
        let mut better = order.candidates().iter().take_while(|member| member.instance != *own);
        better.find(|member| {
            let suspect = self.suspects.get(&member.instance);
            suspect.is_none_or(|suspect| now_ms >= suspect.since_ms + REPORT_AGAIN_MS)
        })
    }

    /// Whether nothing has come from a data centre since `since_ms` for so long that it is probably
    /// cut off.
    pub fn is_silent(&self, now_ms: Millis, data_centre: &DataCentreId, since_ms: Millis) -> bool {
        let contact = self.contacts.get(data_centre).copied();
        let contact = contact.unwrap_or(Contact { last_ms: since_ms, mean_gap_ms: SILENCE_MS });
        let silence_ms = Millis(contact.mean_gap_ms.0 * SILENT_GAPS);
        let silence_ms = silence_ms.max(MIN_SILENCE_MS).min(SILENCE_MS);
        now_ms > contact.last_ms.max(since_ms) + silence_ms
    }

    fn last_contact_ms(&self, data_centre: &DataCentreId) -> Option<Millis> {
        self.contacts.get(data_centre).map(|contact| contact.last_ms)
    }

    /// Drops members that are no longer avoided and weren't for a while.
    pub fn expire(&mut self, now_ms: Millis) {
        self.suspects.retain(|_, suspect| now_ms < suspect.until_ms + MAX_SUSPECT_TIME_MS);
    }
}
