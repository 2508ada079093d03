//! The losses and survivals that an instance knows, numbered and within bounds.

use std::collections::{BTreeMap, BTreeSet};

use crate::forward::{Loss, LossNotice, ServerRun, Survival, Suspect};
use crate::ids::ServiceId;
use crate::membership::rendezvous::stable_hash;
use crate::request::RequestFingerprint;
use crate::units::Millis;

/// Most losses that are remembered.
const MAX_LOSSES: usize = 1_024;
/// Most of them that name parts of prompts.
const MAX_PART_LOSSES: usize = 48;
/// Most losses of requests that an exchange tells.
const MAX_EXCHANGED_LOSSES: usize = 64;
/// Time for which a loss is remembered.
const LOSS_TTL_MS: Millis = Millis(1_200_000);
/// Time after which a survival is told again if losses still name its suspect.
pub const SURVIVAL_REFRESH_MS: Millis = Millis(10_000);

#[derive(Clone, Debug)]
struct Numbered<T> {
    number: u64,
    notice: T,
}

/// What is known of lost answers; see [`Quarantine`](crate::forward::Quarantine).
#[derive(Clone, Debug, Default)]
pub struct LossRecords {
    losses: Vec<Numbered<Loss>>,
    /// Told by any instance; only of suspects that losses name.
    survivals: Vec<Numbered<Survival>>,
    last_number: u64,
}

impl LossRecords {
    /// The losses, in the order in which they were learned.
    pub fn losses(&self) -> impl Iterator<Item = &Loss> {
        self.losses.iter().map(|known| &known.notice)
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
    pub fn hash(&self) -> u64 {
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

    /// Drops losses that are old; returns whether there were any.
    pub fn expire(&mut self, now_ms: Millis) -> bool {
        let count = self.losses.len();
        self.losses.retain(|known| now_ms < known.notice.lost_ms + LOSS_TTL_MS);
        if self.losses.len() == count {
            return false;
        }
        self.drop_unneeded_survivals();
        true
    }

    /// Adds a loss, or what it says more than a known one of the same request and server.
    pub fn merge_loss(
        &mut self,
        now_ms: Millis,
        mut loss: Loss,
        is_explained: impl Fn(&Loss) -> bool,
    ) -> bool {
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
        self.drop_excess_losses(is_explained);
        true
    }

    /// Drops a loss beyond the most that are remembered: the oldest that no cause explains, if
    /// there is one.
    fn drop_excess_losses(&mut self, is_explained: impl Fn(&Loss) -> bool) {
        let part_losses = self.losses.iter().filter(|known| !known.notice.parts.is_empty());
        if part_losses.count() > MAX_PART_LOSSES {
            let dropped = self.oldest_loss(&is_explained, |loss| !loss.parts.is_empty());
            if self.losses[dropped].notice.is_server_ended {
                self.losses[dropped].notice.parts.clear();
            } else {
                self.losses.remove(dropped);
            }
            self.drop_unneeded_survivals();
        }
        if self.losses.len() > MAX_LOSSES {
            let dropped = self.oldest_loss(&is_explained, |_| true);
            self.losses.remove(dropped);
            self.drop_unneeded_survivals();
        }
    }

    /// Index of the oldest of such losses, of one that no cause explains if there is any.
    fn oldest_loss(
        &self,
        is_explained: &impl Fn(&Loss) -> bool,
        is_meant: impl Fn(&Loss) -> bool,
    ) -> usize {
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

    /// Adds a survival of a suspect that losses name, unless one was told lately.
    pub fn merge_survival(&mut self, survival: Survival) -> bool {
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

    /// When an answer last cleared a suspect, as any instance told.
    pub fn told_survival_ms(&self, service: &ServiceId, suspect: Suspect) -> Option<Millis> {
        let survivals = self.survivals.iter().map(|known| &known.notice);
        let mut same = survivals.filter(|known| {
            known.suspect == suspect && (known.service == *service || is_request(suspect))
        });
        same.next().map(|known| known.survived_ms)
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
