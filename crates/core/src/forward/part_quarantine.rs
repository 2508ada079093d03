//! Prompts that engines aren't sent, since engine after engine was lost to a shared part of them.
//!
//! An engine that is lost takes all of its answers with it, so one loss makes many prompts suspect.
//! Only answers that were lost at their first events count, and a part is cleared by any answer
//! that went on past them. What remains is explained by the fewest prompts, see [`LossCause`]. A
//! prompt is quarantined once it explains several lost engines. After a while each instance lets
//! one such prompt through, so that a part that was blamed wrongly is cleared.
//!
//! Instances tell each other what they see. Each notice gets a number here, so that a following
//! instance is told only what is new.

use std::collections::BTreeMap;

use super::part_survivals::PartSurvivals;
use super::{LossCause, PartLoss, PartNotice, PartSurvival};
use crate::ids::{PromptPartId, ServiceId};
use crate::membership::rendezvous::stable_hash;
use crate::units::Millis;

/// Lost engines after which a prompt is quarantined.
const MIN_QUARANTINE_ENGINES: usize = 3;
/// Lost engines after which an answer that was lost isn't begun again at another engine.
const MIN_SUSPECT_ENGINES: usize = 2;
/// An answer clears its parts of losses that follow within this time.
const SURVIVAL_TTL_MS: Millis = Millis(60_000);
/// Time after which a survival is told again if losses still name its part.
const SURVIVAL_REFRESH_MS: Millis = Millis(10_000);
/// Time for which a loss is remembered.
const LOSS_TTL_MS: Millis = Millis(1_200_000);
/// Most losses that are remembered.
const MAX_LOSSES: usize = 64;
/// Shortest time from the last loss to the first trial; doubled for each further lost engine.
const MIN_TRIAL_INTERVAL_MS: Millis = Millis(120_000);
/// Longest time from the last loss to the first trial.
const MAX_TRIAL_INTERVAL_MS: Millis = Millis(600_000);

/// Whether a prompt may be sent to engines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PromptAdmission {
    /// It is not quarantined.
    Admitted,
    /// It is quarantined, and this request tries whether engines are still lost to it.
    Trial,
    /// It is quarantined.
    Quarantined {
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

/// The losses that are known, and the prompts that are quarantined for them.
#[derive(Clone, Debug, Default)]
pub struct PartQuarantine {
    losses: Vec<Numbered<PartLoss>>,
    /// Told by any instance; only of parts that losses name.
    survivals: Vec<Numbered<PartSurvival>>,
    own_survivals: PartSurvivals,
    causes: Vec<LossCause>,
    suspects: Vec<LossCause>,
    trials: BTreeMap<(ServiceId, Vec<PromptPartId>), Trial>,
    last_number: u64,
}

impl PartQuarantine {
    /// Whether a new request with these shared parts may be sent. `random` draws the time of the
    /// next trial.
    pub fn admit(
        &mut self,
        now_ms: Millis,
        service: &ServiceId,
        parts: &[PromptPartId],
        random: u64,
    ) -> PromptAdmission {
        let Some(trial) = self.trial(service, parts, random) else {
            return PromptAdmission::Admitted;
        };
        if now_ms < trial.due_ms {
            return PromptAdmission::Quarantined {
                retry_after_ms: trial.due_ms.saturating_sub(now_ms),
            };
        }
        trial.due_ms = now_ms + trial.wait_ms;
        PromptAdmission::Trial
    }

    /// Time until this instance tries a quarantined prompt again; `None` if it isn't quarantined.
    pub fn retry_after_ms(
        &mut self,
        now_ms: Millis,
        service: &ServiceId,
        parts: &[PromptPartId],
        random: u64,
    ) -> Option<Millis> {
        let trial = self.trial(service, parts, random)?;
        Some(trial.due_ms.saturating_sub(now_ms))
    }

    /// The next trial of a quarantined prompt, drawn anew after each further loss.
    fn trial(
        &mut self,
        service: &ServiceId,
        parts: &[PromptPartId],
        random: u64,
    ) -> Option<&mut Trial> {
        let cause = self.causes.iter().find(|cause| cause.is_in(service, parts))?;
        let key = (service.clone(), cause.parts.iter().copied().collect());
        let wait_ms = trial_wait_ms(cause, random);
        let last_loss_ms = cause.last_loss_ms;
        let drawn = Trial { last_loss_ms, wait_ms, due_ms: last_loss_ms + wait_ms };
        let trial = self.trials.entry(key).or_insert(drawn);
        if trial.last_loss_ms < last_loss_ms {
            *trial = drawn;
        }
        Some(trial)
    }

    /// Whether prompts with these parts are quarantined.
    pub fn is_quarantined(&self, service: &ServiceId, parts: &[PromptPartId]) -> bool {
        self.causes.iter().any(|cause| cause.is_in(service, parts))
    }

    /// Whether so many engines were lost to these parts that a lost answer is not begun again.
    pub fn is_suspect(&self, service: &ServiceId, parts: &[PromptPartId]) -> bool {
        self.suspects.iter().any(|cause| cause.is_in(service, parts))
    }

    /// The prompts that are quarantined.
    pub fn causes(&self) -> &[LossCause] {
        &self.causes
    }

    /// Records a loss that this instance saw; returns what to tell the others of it.
    pub fn record_loss(&mut self, now_ms: Millis, mut loss: PartLoss) -> Option<PartNotice> {
        loss.parts.retain(|part| !self.is_cleared(&loss.service, *part, loss.lost_ms));
        let notice = PartNotice::Lost(loss);
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
            naming.any(|loss| !self.is_cleared(service, *part, loss.lost_ms))
        };
        let clears_part = parts.iter().any(is_blamed);
        self.own_survivals.record(now_ms, service, parts);
        if clears_part {
            self.find_causes();
        }
        clears_part
    }

    /// Merges a notice of another instance; returns whether it is new.
    pub fn merge(&mut self, now_ms: Millis, notice: PartNotice) -> bool {
        let is_new = match notice {
            PartNotice::Lost(loss) => self.merge_loss(now_ms, loss),
            PartNotice::Survived(survival) => self.merge_survival(survival),
        };
        if is_new {
            self.find_causes();
        }
        is_new
    }

    /// Survivals that this instance saw of parts that losses name, unless an instance told of them
    /// lately.
    pub fn take_untold_survivals(&mut self, now_ms: Millis) -> Vec<PartNotice> {
        let mut untold = Vec::new();
        let losses: Vec<_> = self.losses.iter().map(|known| known.notice.clone()).collect();
        for loss in losses {
            for part in loss.parts {
                let told_ms = self.told_survival_ms(&loss.service, part);
                let is_told = told_ms.is_some_and(|at| now_ms < at + SURVIVAL_REFRESH_MS);
                let Some(survived_ms) = self.own_survivals.latest_ms(&loss.service, part) else {
                    continue;
                };
                if is_told || survived_ms + SURVIVAL_TTL_MS < loss.lost_ms {
                    continue;
                }
                let service = loss.service.clone();
                let notice = PartNotice::Survived(PartSurvival { service, part, survived_ms });
                if self.merge(now_ms, notice.clone()) {
                    untold.push(notice);
                }
            }
        }
        untold
    }

    /// The notices after one with this number.
    pub fn notices_after(&self, number: u64) -> Vec<PartNotice> {
        let losses = self.losses.iter().filter(|known| known.number > number);
        let survivals = self.survivals.iter().filter(|known| known.number > number);
        let losses = losses.map(|known| PartNotice::Lost(known.notice.clone()));
        losses.chain(survivals.map(|known| PartNotice::Survived(known.notice.clone()))).collect()
    }

    /// Number of the latest notice.
    pub fn last_number(&self) -> u64 {
        self.last_number
    }

    /// Hash of the notices without their times; instances that know the same ones have the same.
    /// Zero if there are none.
    pub fn notices_hash(&self) -> u64 {
        let losses = self.losses.iter().map(|Numbered { notice, .. }| {
            let parts: Vec<_> = notice.parts.iter().map(ToString::to_string).collect();
            let run = &notice.engine;
            format!("{} {} {} {}", notice.service, run.server, run.started_ms.0, parts.join(","))
        });
        let survivals = self.survivals.iter();
        let survivals =
            survivals.map(|Numbered { notice, .. }| format!("{} {}", notice.service, notice.part));
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
        self.trials.retain(|(service, parts), _| {
            let is_same =
                |cause: &LossCause| cause.service == *service && cause.parts.iter().eq(parts);
            causes.iter().any(is_same)
        });
    }

    fn merge_loss(&mut self, now_ms: Millis, loss: PartLoss) -> bool {
        let is_old = now_ms >= loss.lost_ms + LOSS_TTL_MS;
        let is_known = |known: &Numbered<PartLoss>| {
            known.notice.engine == loss.engine && known.notice.parts == loss.parts
        };
        if loss.parts.is_empty() || is_old || self.losses.iter().any(is_known) {
            return false;
        }
        self.last_number += 1;
        self.losses.push(Numbered { number: self.last_number, notice: loss });
        self.drop_excess_loss();
        true
    }

    /// Drops a loss beyond the most that are remembered: the oldest that no cause explains, if
    /// there is one.
    fn drop_excess_loss(&mut self) {
        if self.losses.len() <= MAX_LOSSES {
            return;
        }
        let is_unexplained = |known: &Numbered<PartLoss>| {
            let parts: Vec<_> = known.notice.parts.iter().copied().collect();
            !self.is_quarantined(&known.notice.service, &parts)
        };
        let oldest = |known: &(usize, &Numbered<PartLoss>)| known.1.notice.lost_ms;
        let losses = self.losses.iter().enumerate();
        let unexplained = losses.clone().filter(|(_, known)| is_unexplained(known));
        let dropped = unexplained.min_by_key(oldest).or_else(|| losses.min_by_key(oldest));
        if let Some((index, _)) = dropped {
            self.losses.remove(index);
        }
        self.drop_unneeded_survivals();
    }

    fn drop_unneeded_survivals(&mut self) {
        let losses = &self.losses;
        self.survivals.retain(|known| {
            let mut losses = losses.iter().map(|loss| &loss.notice);
            losses.any(|loss| {
                loss.service == known.notice.service && loss.parts.contains(&known.notice.part)
            })
        });
    }

    fn merge_survival(&mut self, survival: PartSurvival) -> bool {
        let number = self.last_number + 1;
        let is_same = |known: &&mut Numbered<PartSurvival>| {
            known.notice.service == survival.service && known.notice.part == survival.part
        };
        let Some(known) = self.survivals.iter_mut().find(is_same) else {
            let losses = self.losses.iter().map(|known| &known.notice);
            let mut same_service = losses.filter(|loss| loss.service == survival.service);
            if !same_service.any(|loss| loss.parts.contains(&survival.part)) {
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

    fn told_survival_ms(&self, service: &ServiceId, part: PromptPartId) -> Option<Millis> {
        let survivals = self.survivals.iter().map(|known| &known.notice);
        let mut same = survivals.filter(|known| known.service == *service && known.part == part);
        same.next().map(|known| known.survived_ms)
    }

    /// Whether an answer shows that a part is not to blame for a loss.
    fn is_cleared(&self, service: &ServiceId, part: PromptPartId, lost_ms: Millis) -> bool {
        let own_ms = self.own_survivals.latest_ms(service, part);
        let latest_ms = own_ms.max(self.told_survival_ms(service, part));
        latest_ms.is_some_and(|survived_ms| survived_ms + SURVIVAL_TTL_MS >= lost_ms)
    }

    fn find_causes(&mut self) {
        let mut losses: Vec<_> = self.losses.iter().map(|known| known.notice.clone()).collect();
        for loss in &mut losses {
            let (service, lost_ms) = (&loss.service, loss.lost_ms);
            loss.parts.retain(|part| !self.is_cleared(service, *part, lost_ms));
        }
        self.causes = LossCause::find(&losses, MIN_QUARANTINE_ENGINES);
        self.suspects = LossCause::find(&losses, MIN_SUSPECT_ENGINES);
    }
}

/// Time from the last loss, or trial, to the next trial of this instance. It is drawn, so that the
/// instances don't all try at once.
fn trial_wait_ms(cause: &LossCause, random: u64) -> Millis {
    let doublings = cause.engine_count.saturating_sub(MIN_QUARANTINE_ENGINES).min(16) as u32;
    let interval_ms = (MIN_TRIAL_INTERVAL_MS.0 << doublings).min(MAX_TRIAL_INTERVAL_MS.0);
    Millis(interval_ms + random % interval_ms)
}
