//! Calls that got no answer, until it is known whether their servers have ended.
//!
//! A connection also breaks at a server that goes on: one that resets connections, or closes idle
//! ones. So a call counts as lost with its server only once the server's address refuses
//! connections, or belongs to another run.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::broken_call::BROKEN_TTL_MS;
use crate::forward::{BrokenCall, BrokenKind, ServerRun};
use crate::request::RequestFingerprint;
use crate::units::Millis;

/// Time between two looks at a server.
const PROBE_INTERVAL_MS: Millis = Millis(250);
/// Most calls that wait at one server.
const MAX_CALLS: usize = 256;

#[derive(Clone, Debug)]
struct SuspectRun {
    address: SocketAddr,
    calls: Vec<BrokenCall>,
    probe_due_ms: Option<Millis>,
    ended_ms: Option<Millis>,
}

/// Broken calls by the run of the server that they were sent to.
#[derive(Clone, Debug, Default)]
pub struct BrokenCalls {
    runs: BTreeMap<ServerRun, SuspectRun>,
}

impl BrokenCalls {
    /// Records a call; returns it if its server is known to have ended.
    pub fn record(
        &mut self,
        run: &ServerRun,
        address: SocketAddr,
        call: BrokenCall,
    ) -> Option<BrokenCall> {
        let suspect = self.runs.entry(run.clone()).or_insert_with(|| SuspectRun {
            address,
            calls: Vec::new(),
            probe_due_ms: None,
            ended_ms: None,
        });
        if suspect.ended_ms.is_some() {
            return Some(call);
        }
        if suspect.calls.len() < MAX_CALLS {
            suspect.calls.push(call);
        }
        None
    }

    /// Plans a look at a server, `delay_ms` from now at the earliest; returns the time until it, or
    /// `None` if one is planned already or not needed.
    pub fn plan_probe(
        &mut self,
        now_ms: Millis,
        run: &ServerRun,
        delay_ms: Millis,
    ) -> Option<Millis> {
        let suspect = self.runs.get_mut(run)?;
        if suspect.ended_ms.is_some() {
            return None;
        }
        let mut due_ms = now_ms + delay_ms;
        if let Some(last_ms) = suspect.probe_due_ms {
            if last_ms > now_ms {
                return None;
            }
            due_ms = due_ms.max(last_ms + PROBE_INTERVAL_MS);
        }
        suspect.probe_due_ms = Some(due_ms);
        Some(due_ms.saturating_sub(now_ms))
    }

    /// Whether calls wait for a sign of the server's end.
    pub fn is_waiting(&self, now_ms: Millis, run: &ServerRun) -> bool {
        let Some(suspect) = self.runs.get(run) else {
            return false;
        };
        suspect.ended_ms.is_none() && suspect.calls.iter().any(|call| !call.is_expired(now_ms))
    }

    /// Records that a run has ended; returns the calls that were lost with it.
    pub fn record_end(&mut self, now_ms: Millis, run: &ServerRun) -> Vec<BrokenCall> {
        let Some(suspect) = self.runs.get_mut(run) else {
            return Vec::new();
        };
        suspect.ended_ms.get_or_insert(now_ms);
        let calls = std::mem::take(&mut suspect.calls);
        calls.into_iter().filter(|call| !call.is_expired(now_ms)).collect()
    }

    /// Records that a run goes on, so that its broken calls were lost for another reason.
    pub fn record_alive(&mut self, run: &ServerRun) {
        if let Some(suspect) = self.runs.get_mut(run) {
            suspect.calls.clear();
        }
    }

    /// Drops the calls of a request that was answered.
    pub fn record_answer(&mut self, request: RequestFingerprint) {
        for suspect in self.runs.values_mut() {
            suspect.calls.retain(|call| call.request != request);
        }
    }

    /// Records that a run is registered; returns the runs that it shows to have ended, as they had
    /// its address or its id, with the calls that broke there.
    pub fn record_registration(
        &mut self,
        now_ms: Millis,
        run: &ServerRun,
        address: SocketAddr,
    ) -> Vec<(ServerRun, Vec<BrokenCall>)> {
        let is_replaced = |known: &ServerRun, suspect: &SuspectRun| {
            known != run && (suspect.address == address || known.server == run.server)
        };
        let replaced: Vec<_> = self
            .runs
            .iter()
            .filter(|(known, suspect)| is_replaced(known, suspect))
            .map(|(known, _)| known.clone())
            .collect();
        let mut ended = Vec::new();
        for known in replaced {
            // A call that was given up may have been sent to a server that had ended before.
            let mut calls = self.record_end(now_ms, &known);
            calls.retain(|call| call.kind == BrokenKind::Broken);
            ended.push((known, calls));
        }
        ended
    }

    /// Drops what is old.
    pub fn expire(&mut self, now_ms: Millis) {
        for suspect in self.runs.values_mut() {
            suspect.calls.retain(|call| !call.is_expired(now_ms));
        }
        let is_recent = |at_ms: Option<Millis>| at_ms.is_some_and(|at| now_ms < at + BROKEN_TTL_MS);
        self.runs.retain(|_, suspect| {
            !suspect.calls.is_empty()
                || is_recent(suspect.ended_ms)
                || is_recent(suspect.probe_due_ms)
        });
    }
}
