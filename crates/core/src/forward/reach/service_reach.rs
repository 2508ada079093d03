//! Whether connections to the servers of one service can be opened.
//!
//! Answers on connections that were open before don't count, since these may live on while new ones
//! are refused. Where some servers of a service are down, connections to others open at the same
//! time as those to the former fail; such failures say nothing of this instance's links.

use std::collections::BTreeMap;

use crate::forward::ServerRun;
use crate::units::Millis;

/// Unreached servers from which on the service counts as cut off, unless it has fewer.
pub(super) const CUT_OFF_SERVERS: usize = 6;
/// Servers of a service below which one failure of each isn't enough: a lost packet looks the same.
pub(super) const FEW_SERVERS: usize = 3;
/// Time between two failures of such a server that count.
const REPEAT_MS: Millis = Millis(300);
/// Longest time of an attempt to connect: one that fails within this time after a server was reached
/// may have begun before that.
const ATTEMPT_MS: Millis = Millis(250);
/// Time after which an unreached server says nothing any more.
const EVIDENCE_TTL_MS: Millis = Millis(4_000);
/// Time without an answer from any server of the service after which a silent one is probed.
const SILENCE_MS: Millis = Millis(300);
/// Time between two probes of one server for its silence.
const SILENCE_PROBE_INTERVAL_MS: Millis = Millis(1_000);
/// Time without a request for the service after which its servers aren't probed any more.
const DEMAND_TTL_MS: Millis = Millis(10_000);

/// What an attempt to connect has changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReachChange {
    /// Nothing.
    None,
    /// The first server is unreached; others should be looked at.
    Doubtful,
    /// No server is reached.
    CutOff {
        /// Number of unreached servers.
        unreached: usize,
    },
    /// A server is reached again.
    ReachedAgain {
        /// Time since the service was found cut off.
        after_ms: Millis,
    },
}

/// The failed attempts to connect to one server.
#[derive(Clone, Copy, Debug)]
struct FailedAttempts {
    first_ms: Millis,
    last_ms: Millis,
}

/// The servers of a service that couldn't be reached since one was reached last.
#[derive(Clone, Debug, Default)]
pub struct ServiceReach {
    unreached: BTreeMap<ServerRun, FailedAttempts>,
    last_reached_ms: Option<Millis>,
    cut_off_since_ms: Option<Millis>,
    last_answer_ms: Option<Millis>,
    last_wanted_ms: Millis,
    silence_probes: BTreeMap<ServerRun, Millis>,
}

impl ServiceReach {
    /// Records that a connection to a server was opened.
    pub fn record_reached(&mut self, now_ms: Millis) -> ReachChange {
        self.unreached.clear();
        self.last_reached_ms = Some(now_ms);
        match self.cut_off_since_ms.take() {
            Some(since_ms) => {
                ReachChange::ReachedAgain { after_ms: now_ms.saturating_sub(since_ms) }
            }
            None => ReachChange::None,
        }
    }

    /// Records that no connection to a server of the service, which has `servers` of them, could be
    /// opened.
    pub fn record_unreached(
        &mut self,
        now_ms: Millis,
        run: &ServerRun,
        servers: usize,
    ) -> ReachChange {
        self.drop_old_evidence(now_ms);
        if self.last_reached_ms.is_some_and(|at_ms| now_ms < at_ms + ATTEMPT_MS) {
            return ReachChange::None;
        }
        let is_first = self.unreached.is_empty();
        let attempts = self.unreached.entry(run.clone());
        attempts
            .and_modify(|attempts| attempts.last_ms = now_ms)
            .or_insert(FailedAttempts { first_ms: now_ms, last_ms: now_ms });
        if self.cut_off_since_ms.is_some() {
            return ReachChange::None;
        }
        let unreached = self.unreached.len();
        let is_repeated =
            |attempts: &FailedAttempts| attempts.last_ms >= attempts.first_ms + REPEAT_MS;
        let is_sure = servers >= FEW_SERVERS || self.unreached.values().all(is_repeated);
        if unreached >= CUT_OFF_SERVERS.min(servers) && is_sure {
            self.cut_off_since_ms = Some(now_ms);
            self.last_wanted_ms = now_ms;
            return ReachChange::CutOff { unreached };
        }
        if is_first { ReachChange::Doubtful } else { ReachChange::None }
    }

    /// Whether no server of the service is reached.
    pub fn is_cut_off(&self) -> bool {
        self.cut_off_since_ms.is_some()
    }

    /// The servers that couldn't be reached.
    pub fn unreached(&self) -> impl Iterator<Item = &ServerRun> {
        self.unreached.keys()
    }

    /// Records that a request for the service has come while it is cut off.
    pub fn record_wanted(&mut self, now_ms: Millis) {
        self.last_wanted_ms = now_ms;
    }

    /// Records that a server has answered.
    pub fn record_answer(&mut self, now_ms: Millis) {
        self.last_answer_ms = Some(now_ms);
    }

    /// Whether a server that hasn't answered a call should be probed: none of its service has
    /// answered for a while.
    pub fn plan_silence_probe(&mut self, now_ms: Millis, run: &ServerRun) -> bool {
        let is_silent = self.last_answer_ms.is_none_or(|at_ms| now_ms >= at_ms + SILENCE_MS);
        let probed_ms = self.silence_probes.get(run);
        let is_due = probed_ms.is_none_or(|at_ms| now_ms >= *at_ms + SILENCE_PROBE_INTERVAL_MS);
        if !is_silent || !is_due {
            return false;
        }
        self.silence_probes.insert(run.clone(), now_ms);
        true
    }

    /// Drops what says nothing any more; returns whether anything is left.
    pub fn expire(&mut self, now_ms: Millis) -> bool {
        self.drop_old_evidence(now_ms);
        self.silence_probes.retain(|_, at_ms| now_ms < *at_ms + SILENCE_PROBE_INTERVAL_MS);
        let is_unwanted = now_ms >= self.last_wanted_ms + DEMAND_TTL_MS;
        if self.unreached.is_empty() || is_unwanted {
            self.cut_off_since_ms = None;
        }
        let is_heard = self.last_answer_ms.is_some_and(|at_ms| now_ms < at_ms + SILENCE_MS);
        is_heard || !self.unreached.is_empty() || !self.silence_probes.is_empty()
    }

    fn drop_old_evidence(&mut self, now_ms: Millis) {
        self.unreached.retain(|_, attempts| now_ms < attempts.last_ms + EVIDENCE_TTL_MS);
    }
}
