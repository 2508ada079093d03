//! Finds what explains the loss of several servers: a request that each of them ran, or shared
//! parts of the prompts that they ran.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use crate::forward::{Loss, RequestTraits, ServerRun};
use crate::ids::{PromptPartId, ServiceId};
use crate::request::RequestFingerprint;
use crate::units::Millis;

/// What several servers were lost to.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum LossSubject {
    /// Prompts with all of these shared parts.
    Parts {
        /// Service of the engines.
        service: ServiceId,
        /// What the lost prompts have in common.
        parts: BTreeSet<PromptPartId>,
    },
    /// One request and its repeats, at any service.
    Request(RequestFingerprint),
}

/// A request, or parts of prompts, that explain why servers were lost.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LossCause {
    /// What the servers were lost to.
    pub subject: LossSubject,
    /// Whether a lost prompt had no other parts. If none had, these parts alone may be sound.
    pub is_lost_alone: bool,
    /// The servers that were lost.
    pub servers: BTreeSet<ServerRun>,
    /// When the latest one was lost.
    pub last_loss_ms: Millis,
}

impl LossCause {
    /// Whether a request is meant. A prompt is if it holds all of the parts, and others too unless a
    /// prompt without others was lost.
    pub fn is_in(&self, traits: &RequestTraits<'_>) -> bool {
        match &self.subject {
            LossSubject::Request(request) => *request == traits.request,
            LossSubject::Parts { service, parts } => {
                let has_others = || traits.parts.iter().any(|part| !parts.contains(part));
                service == traits.service
                    && parts.iter().all(|part| traits.parts.contains(part))
                    && (self.is_lost_alone || has_others())
            }
        }
    }

    /// The causes that explain at least `min_servers` lost servers each.
    pub fn find(losses: &[Loss], min_servers: usize) -> Vec<Self> {
        let mut causes = find_parts(losses, min_servers);
        causes.extend(find_requests(losses, min_servers));
        drop_explained(causes, min_servers)
    }

    fn explains(&self, loss: &Loss) -> bool {
        match &self.subject {
            LossSubject::Request(request) => *request == loss.request,
            LossSubject::Parts { service, parts } => {
                *service == loss.service && parts.is_subset(&loss.parts)
            }
        }
    }
}

/// Drops causes whose servers another cause explains that explains more of them: a server that ends
/// takes all of its answers with it. Of causes that explain as many, all are kept.
fn drop_explained(mut causes: Vec<LossCause>, min_servers: usize) -> Vec<LossCause> {
    causes.sort_by_key(|cause| Reverse(cause.servers.len()));
    let mut kept: Vec<LossCause> = Vec::new();
    for cause in causes {
        let are_both_parts = |other: &LossCause| {
            let is_parts = |it: &LossCause| matches!(it.subject, LossSubject::Parts { .. });
            is_parts(other) && is_parts(&cause)
        };
        let is_explained = |server: &ServerRun| {
            let more = kept.iter().filter(|other| other.servers.len() > cause.servers.len());
            more.filter(|other| !are_both_parts(other)).any(|other| other.servers.contains(server))
        };
        let own_servers = cause.servers.iter().filter(|server| !is_explained(server)).count();
        if own_servers >= min_servers {
            kept.push(cause);
        }
    }
    kept
}

/// Requests that were lost with several servers. One more is needed where a server had been writing
/// an answer for a while: a long answer meets more servers that end by themselves.
fn find_requests(losses: &[Loss], min_servers: usize) -> Vec<LossCause> {
    let mut by_request: BTreeMap<RequestFingerprint, Vec<&Loss>> = BTreeMap::new();
    for loss in losses.iter().filter(|loss| loss.is_server_ended) {
        by_request.entry(loss.request).or_default().push(loss);
    }
    let mut causes = Vec::new();
    for (request, losses) in by_request {
        let cause = LossCause {
            subject: LossSubject::Request(request),
            is_lost_alone: true,
            servers: losses.iter().map(|loss| loss.server.clone()).collect(),
            last_loss_ms: last_loss_ms(&losses),
        };
        let has_late = losses.iter().any(|loss| loss.is_late);
        if cause.servers.len() >= min_servers + usize::from(has_late) {
            causes.push(cause);
        }
    }
    causes
}

/// Shared parts that explain lost engines.
///
/// A part that only comes together with others is no cause without them: the cause is what all
/// prompts with the part have in common. The cause with most parts goes first, and the losses that
/// it explains count for no other one, so that a sound part that prompts with different causes
/// share isn't blamed for them. What a single request was lost to says nothing of its parts.
fn find_parts(losses: &[Loss], min_servers: usize) -> Vec<LossCause> {
    let mut unexplained: Vec<&Loss> = losses.iter().filter(|loss| !loss.parts.is_empty()).collect();
    let mut causes = Vec::new();
    while let Some(cause) = most_specific_parts(&unexplained, min_servers) {
        unexplained.retain(|loss| !cause.explains(loss));
        causes.push(cause);
    }
    causes
}

fn most_specific_parts(losses: &[&Loss], min_servers: usize) -> Option<LossCause> {
    let mut by_part: BTreeMap<(&ServiceId, PromptPartId), Vec<&Loss>> = BTreeMap::new();
    for loss in losses {
        for part in &loss.parts {
            by_part.entry((&loss.service, *part)).or_default().push(loss);
        }
    }
    let has_several_requests =
        |losses: &Vec<&Loss>| losses.iter().any(|loss| loss.request != losses[0].request);
    by_part.retain(|_, losses| has_several_requests(losses));
    let causes = by_part.into_iter().map(|((service, _), losses)| common_parts(service, &losses));
    let causes = causes.filter(|(_, cause)| cause.servers.len() >= min_servers);
    let best = causes.max_by_key(|(part_count, cause)| (*part_count, cause.servers.len()));
    best.map(|(_, cause)| cause)
}

/// What all of these prompts have in common, with its number of parts.
fn common_parts(service: &ServiceId, losses: &[&Loss]) -> (usize, LossCause) {
    let mut parts = losses.first().map(|loss| loss.parts.clone()).unwrap_or_default();
    for loss in losses {
        parts.retain(|part| loss.parts.contains(part));
    }
    let part_count = parts.len();
    let cause = LossCause {
        is_lost_alone: losses.iter().any(|loss| loss.parts == parts),
        servers: losses.iter().map(|loss| loss.server.clone()).collect(),
        last_loss_ms: last_loss_ms(losses),
        subject: LossSubject::Parts { service: service.clone(), parts },
    };
    (part_count, cause)
}

fn last_loss_ms(losses: &[&Loss]) -> Millis {
    losses.iter().map(|loss| loss.lost_ms).max().unwrap_or_default()
}
