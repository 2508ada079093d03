//! Requests that servers aren't sent, since server after server was lost to them.
//!
//! A request is quarantined for itself, or for shared parts of its prompt. A server that is lost
//! takes all of its answers with it, so one loss makes many requests suspect. Parts are blamed only
//! for answers that were lost at their first events, and any answer that goes on past them clears
//! them. A request is blamed for each server that ended while it ran there, and a whole answer
//! clears it. What remains is explained by as few causes as possible, see [`LossCause`]. After a
//! while each instance lets one quarantined request through, so that one that was blamed wrongly is
//! cleared.
//!
//! Instances tell each other what they see. Each notice gets a number here, so that a following
//! instance is told only what is new.

use std::collections::BTreeMap;

use super::loss_records::SURVIVAL_REFRESH_MS;
use super::part_survivals::PartSurvivals;
use crate::forward::{
    Loss, LossCause, LossNotice, LossRecords, LossSubject, RequestTraits, Survival, Suspect,
};
use crate::ids::{PromptPartId, ServiceId};
use crate::request::RequestFingerprint;
use crate::units::Millis;

/// Lost servers after which a request is quarantined.
const MIN_QUARANTINE_SERVERS: usize = 3;
/// Lost servers after which an answer that was lost isn't begun again at another server.
const MIN_SUSPECT_SERVERS: usize = 2;
/// An answer clears suspects of losses that follow within this time.
const SURVIVAL_TTL_MS: Millis = Millis(60_000);
/// Shortest time from the last loss to the first trial; doubled for each further lost server.
const MIN_TRIAL_INTERVAL_MS: Millis = Millis(120_000);
/// Longest time from the last loss to the first trial.
const MAX_TRIAL_INTERVAL_MS: Millis = Millis(600_000);

/// Whether a request may be sent to servers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// It is not quarantined.
    Admitted,
    /// It is quarantined, and this attempt tries whether servers are still lost to it.
    Trial,
    /// It is quarantined.
    Quarantined {
        /// Whether it is for itself, rather than for parts of its prompt.
        is_for_request: bool,
        /// Time until this instance tries it again.
        retry_after_ms: Millis,
    },
}

#[derive(Clone, Copy, Debug)]
struct Trial {
    last_loss_ms: Millis,
    wait_ms: Millis,
    due_ms: Millis,
}

/// The losses that are known, and the requests that are quarantined for them.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    records: LossRecords,
    own_survivals: PartSurvivals,
    causes: Vec<LossCause>,
    suspects: Vec<LossCause>,
    trials: BTreeMap<LossSubject, Trial>,
}

impl Quarantine {
    /// Whether a new request may be sent. `random` draws the time of the next trial.
    pub fn admit(&mut self, now_ms: Millis, traits: &RequestTraits<'_>, random: u64) -> Admission {
        let Some((is_for_request, trial)) = self.trial(traits, random) else {
            return Admission::Admitted;
        };
        if now_ms < trial.due_ms {
            let retry_after_ms = trial.due_ms.saturating_sub(now_ms);
            return Admission::Quarantined { is_for_request, retry_after_ms };
        }
        trial.due_ms = now_ms + trial.wait_ms;
        Admission::Trial
    }

    /// As [`Self::admit`] for a request that was admitted before, and without a trial.
    pub fn check(&mut self, now_ms: Millis, traits: &RequestTraits<'_>, random: u64) -> Admission {
        let Some((is_for_request, trial)) = self.trial(traits, random) else {
            return Admission::Admitted;
        };
        let retry_after_ms = trial.due_ms.saturating_sub(now_ms);
        Admission::Quarantined { is_for_request, retry_after_ms }
    }

    /// The next trial of a quarantined request, drawn anew after each further loss, and whether the
    /// request is quarantined for itself.
    fn trial(&mut self, traits: &RequestTraits<'_>, random: u64) -> Option<(bool, &mut Trial)> {
        let cause = self.causes.iter().find(|cause| cause.is_in(traits))?;
        let is_for_request = matches!(cause.subject, LossSubject::Request(_));
        let wait_ms = trial_wait_ms(cause, random);
        let last_loss_ms = cause.last_loss_ms;
        let drawn = Trial { last_loss_ms, wait_ms, due_ms: last_loss_ms + wait_ms };
        let trial = self.trials.entry(cause.subject.clone()).or_insert(drawn);
        if trial.last_loss_ms < last_loss_ms {
            *trial = drawn;
        }
        Some((is_for_request, trial))
    }

    /// Whether a request is quarantined.
    pub fn is_quarantined(&self, traits: &RequestTraits<'_>) -> bool {
        self.causes.iter().any(|cause| cause.is_in(traits))
    }

    /// Whether so many servers were lost to a request that a lost answer is not begun again.
    pub fn is_suspect(&self, traits: &RequestTraits<'_>) -> bool {
        self.suspects.iter().any(|cause| cause.is_in(traits))
    }

    /// The losses that are known.
    pub fn records(&self) -> &LossRecords {
        &self.records
    }

    /// What is quarantined.
    pub fn causes(&self) -> &[LossCause] {
        &self.causes
    }

    /// Records a loss that this instance saw; returns what to tell the others of it.
    pub fn record_loss(&mut self, now_ms: Millis, mut loss: Loss) -> Option<LossNotice> {
        let (service, lost_ms) = (loss.service.clone(), loss.lost_ms);
        loss.parts.retain(|part| !self.is_cleared(&service, Suspect::Part(*part), lost_ms));
        let notice = LossNotice::Lost(loss);
        self.merge(now_ms, notice.clone()).then_some(notice)
    }

    /// Records that an answer of this instance went on past its first events; returns whether that
    /// clears one of its parts.
    pub fn record_survival(
        &mut self,
        now_ms: Millis,
        service: &ServiceId,
        parts: &[PromptPartId],
    ) -> bool {
        let is_blamed = |part: &PromptPartId| {
            let mut naming = self
                .records
                .losses()
                .filter(|loss| loss.service == *service && loss.parts.contains(part));
            naming.any(|loss| !self.is_cleared(service, Suspect::Part(*part), loss.lost_ms))
        };
        let clears_part = parts.iter().any(is_blamed);
        self.own_survivals.record(now_ms, service, parts);
        if clears_part {
            self.find_causes();
        }
        clears_part
    }

    /// Records that this instance got a whole answer to a request; returns what to tell the others
    /// of it.
    pub fn record_answer(
        &mut self,
        now_ms: Millis,
        service: &ServiceId,
        request: RequestFingerprint,
    ) -> Option<LossNotice> {
        let suspect = Suspect::Request(request);
        let survival = Survival { service: service.clone(), suspect, survived_ms: now_ms };
        let notice = LossNotice::Survived(survival);
        self.merge(now_ms, notice.clone()).then_some(notice)
    }

    /// Merges a notice of another instance; returns whether it is new.
    pub fn merge(&mut self, now_ms: Millis, notice: LossNotice) -> bool {
        !self.merge_all(now_ms, vec![notice]).is_empty()
    }

    /// Merges notices of another instance; returns those that are new.
    pub fn merge_all(&mut self, now_ms: Millis, notices: Vec<LossNotice>) -> Vec<LossNotice> {
        let mut new = Vec::new();
        for notice in notices {
            let is_new = match notice.clone() {
                LossNotice::Lost(loss) => {
                    let causes = &self.causes;
                    self.records.merge_loss(now_ms, loss, |known| is_explained(causes, known))
                }
                LossNotice::Survived(survival) => self.records.merge_survival(survival),
            };
            if is_new {
                new.push(notice);
            }
        }
        if !new.is_empty() {
            self.find_causes();
        }
        new
    }

    /// Survivals that this instance saw of parts that losses name, unless an instance told of them
    /// lately.
    pub fn take_untold_survivals(&mut self, now_ms: Millis) -> Vec<LossNotice> {
        let mut untold = Vec::new();
        let part_losses = self.records.losses().filter(|loss| !loss.parts.is_empty());
        let losses: Vec<_> = part_losses.cloned().collect();
        for loss in losses {
            for part in loss.parts {
                let suspect = Suspect::Part(part);
                let told_ms = self.records.told_survival_ms(&loss.service, suspect);
                let is_told = told_ms.is_some_and(|at| now_ms < at + SURVIVAL_REFRESH_MS);
                let Some(survived_ms) = self.own_survivals.latest_ms(&loss.service, part) else {
                    continue;
                };
                if is_told || survived_ms + SURVIVAL_TTL_MS < loss.lost_ms {
                    continue;
                }
                let service = loss.service.clone();
                let notice = LossNotice::Survived(Survival { service, suspect, survived_ms });
                if self.merge(now_ms, notice.clone()) {
                    untold.push(notice);
                }
            }
        }
        untold
    }

    /// Drops what is old.
    pub fn expire(&mut self, now_ms: Millis) {
        self.own_survivals.expire(now_ms, SURVIVAL_TTL_MS);
        if !self.records.expire(now_ms) {
            return;
        }
        self.find_causes();
        let causes = &self.causes;
        self.trials.retain(|subject, _| causes.iter().any(|cause| cause.subject == *subject));
    }

    /// Whether an answer shows that a suspect is not to blame for a loss.
    fn is_cleared(&self, service: &ServiceId, suspect: Suspect, lost_ms: Millis) -> bool {
        let own_ms = match suspect {
            Suspect::Part(part) => self.own_survivals.latest_ms(service, part),
            Suspect::Request(_) => None,
        };
        let latest_ms = own_ms.max(self.records.told_survival_ms(service, suspect));
        latest_ms.is_some_and(|survived_ms| survived_ms + SURVIVAL_TTL_MS >= lost_ms)
    }

    fn find_causes(&mut self) {
        let mut losses: Vec<_> = self.records.losses().cloned().collect();
        for loss in &mut losses {
            let (service, lost_ms) = (&loss.service, loss.lost_ms);
            loss.parts.retain(|part| !self.is_cleared(service, Suspect::Part(*part), lost_ms));
            loss.is_server_ended &=
                !self.is_cleared(service, Suspect::Request(loss.request), lost_ms);
        }
        self.causes = LossCause::find(&losses, MIN_QUARANTINE_SERVERS);
        self.suspects = LossCause::find(&losses, MIN_SUSPECT_SERVERS);
    }
}

fn is_explained(causes: &[LossCause], loss: &Loss) -> bool {
    let parts: Vec<_> = loss.parts.iter().copied().collect();
    let traits = RequestTraits { service: &loss.service, request: loss.request, parts: &parts };
    causes.iter().any(|cause| cause.is_in(&traits))
}

/// Time from the last loss, or trial, to the next trial of this instance. It is drawn, so that the
/// instances don't all try at once.
fn trial_wait_ms(cause: &LossCause, random: u64) -> Millis {
    let doublings = cause.servers.len().saturating_sub(MIN_QUARANTINE_SERVERS).min(16) as u32;
    let interval_ms = (MIN_TRIAL_INTERVAL_MS.0 << doublings).min(MAX_TRIAL_INTERVAL_MS.0);
    Millis(interval_ms + random % interval_ms)
}
