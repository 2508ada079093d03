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

use std::collections::{BTreeMap, BTreeSet};

use super::part_survivals::PartSurvivals;
use super::{
    Loss, LossCause, LossNotice, LossSubject, RequestTraits, ServerRun, Survival, Suspect,
};
use crate::ids::{PromptPartId, ServiceId};
use crate::membership::rendezvous::stable_hash;
use crate::request::RequestFingerprint;
use crate::units::Millis;

/// Lost servers after which a request is quarantined.
const MIN_QUARANTINE_SERVERS: usize = 3;
/// Lost servers after which an answer that was lost isn't begun again at another server.
const MIN_SUSPECT_SERVERS: usize = 2;
/// An answer clears suspects of losses that follow within this time.
const SURVIVAL_TTL_MS: Millis = Millis(60_000);
/// Time after which a survival is told again if losses still name its suspect.
const SURVIVAL_REFRESH_MS: Millis = Millis(10_000);
/// Time for which a loss is remembered.
const LOSS_TTL_MS: Millis = Millis(1_200_000);
/// Most losses that are remembered.
const MAX_LOSSES: usize = 1_024;
/// Most of them that name parts of prompts.
const MAX_PART_LOSSES: usize = 48;
/// Most losses of requests that an exchange tells.
const MAX_EXCHANGED_LOSSES: usize = 64;
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

#[derive(Clone, Debug)]
struct Numbered<T> {
    number: u64,
    notice: T,
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
    losses: Vec<Numbered<Loss>>,
    /// Told by any instance; only of suspects that losses name.
    survivals: Vec<Numbered<Survival>>,
    own_survivals: PartSurvivals,
    causes: Vec<LossCause>,
    suspects: Vec<LossCause>,
    trials: BTreeMap<LossSubject, Trial>,
    last_number: u64,
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

    /// What is quarantined.
    pub fn causes(&self) -> &[LossCause] {
        &self.causes
    }

    /// Whether a server was lost that ran a request.
    pub fn is_named(&self, request: RequestFingerprint) -> bool {
        let mut losses = self.losses.iter().map(|known| &known.notice);
        losses.any(|loss| loss.is_server_ended && loss.request == request)
    }

    /// Whether several servers were lost to a request, so that others must know it soon.
    pub fn is_lost_again(&self, request: RequestFingerprint) -> bool {
        let losses = self.losses.iter().map(|known| &known.notice);
        let mut servers = losses
            .filter(|loss| loss.is_server_ended && loss.request == request)
            .map(|loss| &loss.server);
        let first = servers.next();
        servers.any(|server| Some(server) != first)
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
            let losses = self.losses.iter().map(|known| &known.notice);
            let mut naming =
                losses.filter(|loss| loss.service == *service && loss.parts.contains(part));
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
                LossNotice::Lost(loss) => self.merge_loss(now_ms, loss),
                LossNotice::Survived(survival) => self.merge_survival(survival),
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
        let part_losses = self.losses.iter().filter(|known| !known.notice.parts.is_empty());
        let losses: Vec<_> = part_losses.map(|known| known.notice.clone()).collect();
        for loss in losses {
            for part in loss.parts {
                let suspect = Suspect::Part(part);
                let told_ms = self.told_survival_ms(&loss.service, suspect);
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

    /// The notices after one with this number. All of them, after zero, are those that an exchange
    /// tells.
    pub fn notices_after(&self, number: u64) -> Vec<LossNotice> {
        let (losses, survivals) = if number == 0 {
            self.exchanged_notices()
        } else {
            let losses = self.losses.iter().filter(|known| known.number > number);
            let survivals = self.survivals.iter().filter(|known| known.number > number);
            (losses.collect(), survivals.collect())
        };
        let losses = losses.into_iter().map(|known| LossNotice::Lost(known.notice.clone()));
        let survivals = survivals.into_iter();
        losses.chain(survivals.map(|known| LossNotice::Survived(known.notice.clone()))).collect()
    }

    /// The notices that matter to an instance that knows none: losses of parts, and of requests that
    /// were lost with several servers, with what clears them. A request that was lost once is
    /// told only when that is news.
    fn exchanged_notices(&self) -> (Vec<&Numbered<Loss>>, Vec<&Numbered<Survival>>) {
        let mut servers: BTreeMap<RequestFingerprint, BTreeSet<&ServerRun>> = BTreeMap::new();
        for loss in self.losses.iter().map(|known| &known.notice) {
            if loss.is_server_ended {
                servers.entry(loss.request).or_default().insert(&loss.server);
            }
        }
        let is_lost_again = |request| servers.get(&request).is_some_and(|runs| runs.len() > 1);
        let (part_losses, other_losses): (Vec<_>, Vec<_>) =
            self.losses.iter().partition(|known| !known.notice.parts.is_empty());
        let mut again: Vec<_> =
            other_losses.into_iter().filter(|known| is_lost_again(known.notice.request)).collect();
        again.sort_by_key(|known| (std::cmp::Reverse(known.notice.lost_ms), known.notice.request));
        again.truncate(MAX_EXCHANGED_LOSSES);
        let losses: Vec<_> = part_losses.into_iter().chain(again).collect();
        let is_named = |survival: &Survival| {
            losses.iter().any(|known| names(&known.notice, &survival.service, survival.suspect))
        };
        let survivals = self.survivals.iter().filter(|known| is_named(&known.notice)).collect();
        (losses, survivals)
    }

    /// Number of the latest notice.
    pub fn last_number(&self) -> u64 {
        self.last_number
    }

    /// Hash of the notices that exchanges tell, without their times; instances that know the same
    /// ones have the same. Zero if there are none.
    pub fn notices_hash(&self) -> u64 {
        let (losses, survivals) = self.exchanged_notices();
        let losses = losses.into_iter().map(|Numbered { notice, .. }| {
            let suspects = notice.suspects();
            let run = &notice.server;
            format!("{} {} {suspects:?}", run.server, run.started_ms.0)
        });
        let survivals = survivals.into_iter();
        let survivals = survivals.map(|Numbered { notice, .. }| format!("{:?}", notice.suspect));
        let hashes = losses.chain(survivals).map(|text| stable_hash(&text));
        hashes.fold(0, |sum, hash| sum ^ hash)
    }

    /// Drops what is old.
    pub fn expire(&mut self, now_ms: Millis) {
        self.own_survivals.expire(now_ms, SURVIVAL_TTL_MS);
        let count = self.losses.len();
        self.losses.retain(|known| now_ms < known.notice.lost_ms + LOSS_TTL_MS);
        if self.losses.len() == count {
            return;
        }
        self.drop_unneeded_survivals();
        self.find_causes();
        let causes = &self.causes;
        self.trials.retain(|subject, _| causes.iter().any(|cause| cause.subject == *subject));
    }

    /// Adds a loss, or what it says more than a known one of the same request and server.
    fn merge_loss(&mut self, now_ms: Millis, mut loss: Loss) -> bool {
        let is_old = now_ms >= loss.lost_ms + LOSS_TTL_MS;
        if loss.suspects().is_empty() || is_old {
            return false;
        }
        let is_same = |known: &Numbered<Loss>| {
            known.notice.server == loss.server && known.notice.request == loss.request
        };
        if let Some(index) = self.losses.iter().position(is_same) {
            let known = &self.losses[index].notice;
            loss.parts.extend(&known.parts);
            loss.is_server_ended |= known.is_server_ended;
            loss.is_late |= known.is_late;
            loss.lost_ms = known.lost_ms;
            if loss == *known {
                return false;
            }
            self.losses.remove(index);
        }
        self.last_number += 1;
        self.losses.push(Numbered { number: self.last_number, notice: loss });
        self.drop_excess_losses();
        true
    }

    /// Drops a loss beyond the most that are remembered: the oldest that no cause explains, if
    /// there is one.
    fn drop_excess_losses(&mut self) {
        let part_losses = self.losses.iter().filter(|known| !known.notice.parts.is_empty());
        if part_losses.count() > MAX_PART_LOSSES {
            let dropped = self.oldest_loss(|loss| !loss.parts.is_empty());
            if self.losses[dropped].notice.is_server_ended {
                self.losses[dropped].notice.parts.clear();
            } else {
                self.losses.remove(dropped);
            }
            self.drop_unneeded_survivals();
        }
        if self.losses.len() > MAX_LOSSES {
            let dropped = self.oldest_loss(|_| true);
            self.losses.remove(dropped);
            self.drop_unneeded_survivals();
        }
    }

    /// Index of the oldest of such losses, of one that no cause explains if there is any.
    fn oldest_loss(&self, is_meant: impl Fn(&Loss) -> bool) -> usize {
        let is_explained = |loss: &Loss| {
            let parts: Vec<_> = loss.parts.iter().copied().collect();
            let traits =
                RequestTraits { service: &loss.service, request: loss.request, parts: &parts };
            self.is_quarantined(&traits)
        };
        let losses = self.losses.iter().map(|known| &known.notice).enumerate();
        let meant = losses.filter(|(_, loss)| is_meant(loss));
        let oldest = meant.min_by_key(|(_, loss)| (is_explained(loss), loss.lost_ms));
        oldest.map_or(0, |(index, _)| index)
    }

    fn drop_unneeded_survivals(&mut self) {
        let losses = &self.losses;
        self.survivals.retain(|known| {
            let Survival { service, suspect, .. } = &known.notice;
            losses.iter().any(|loss| names(&loss.notice, service, *suspect))
        });
    }

    fn merge_survival(&mut self, survival: Survival) -> bool {
        let number = self.last_number + 1;
        let is_same = |known: &&mut Numbered<Survival>| {
            known.notice.suspect == survival.suspect
                && (known.notice.service == survival.service || is_request(survival.suspect))
        };
        let Some(known) = self.survivals.iter_mut().find(is_same) else {
            let mut losses = self.losses.iter().map(|known| &known.notice);
            if !losses.any(|loss| names(loss, &survival.service, survival.suspect)) {
                return false;
            }
            self.survivals.push(Numbered { number, notice: survival });
            self.last_number = number;
            return true;
        };
        if survival.survived_ms < known.notice.survived_ms + SURVIVAL_REFRESH_MS {
            return false;
        }
        *known = Numbered { number, notice: survival };
        self.last_number = number;
        true
    }

    fn told_survival_ms(&self, service: &ServiceId, suspect: Suspect) -> Option<Millis> {
        let survivals = self.survivals.iter().map(|known| &known.notice);
        let mut same = survivals.filter(|known| {
            known.suspect == suspect && (known.service == *service || is_request(suspect))
        });
        same.next().map(|known| known.survived_ms)
    }

    /// Whether an answer shows that a suspect is not to blame for a loss.
    fn is_cleared(&self, service: &ServiceId, suspect: Suspect, lost_ms: Millis) -> bool {
        let own_ms = match suspect {
            Suspect::Part(part) => self.own_survivals.latest_ms(service, part),
            Suspect::Request(_) => None,
        };
        let latest_ms = own_ms.max(self.told_survival_ms(service, suspect));
        latest_ms.is_some_and(|survived_ms| survived_ms + SURVIVAL_TTL_MS >= lost_ms)
    }

    fn find_causes(&mut self) {
        let mut losses: Vec<_> = self.losses.iter().map(|known| known.notice.clone()).collect();
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

fn is_request(suspect: Suspect) -> bool {
    matches!(suspect, Suspect::Request(_))
}

/// Whether a loss may be blamed on a suspect; a request is the same one at any service.
fn names(loss: &Loss, service: &ServiceId, suspect: Suspect) -> bool {
    match suspect {
        Suspect::Part(part) => loss.service == *service && loss.parts.contains(&part),
        Suspect::Request(request) => loss.is_server_ended && loss.request == request,
    }
}

/// Time from the last loss, or trial, to the next trial of this instance. It is drawn, so that the
/// instances don't all try at once.
fn trial_wait_ms(cause: &LossCause, random: u64) -> Millis {
    let doublings = cause.servers.len().saturating_sub(MIN_QUARANTINE_SERVERS).min(16) as u32;
    let interval_ms = (MIN_TRIAL_INTERVAL_MS.0 << doublings).min(MAX_TRIAL_INTERVAL_MS.0);
    Millis(interval_ms + random % interval_ms)
}
